// SPDX-License-Identifier: Apache-2.0
#include "clients.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdio>
#include <utility>

namespace brackenspoke::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::size_t kMostHeader = 16 * 1024;
constexpr std::chrono::milliseconds kPause{50};      // after a failed accept
constexpr std::chrono::milliseconds kHalfRead{500};  // at the stop, for the rest of a request to come
constexpr std::chrono::milliseconds kLookAgain{10};
constexpr double kBodyShare = 0.25;  // of the memory, for clients' bodies
constexpr std::size_t kCopies = 2;   // of a body while it is read
constexpr std::chrono::milliseconds kSweep{50};
constexpr double kRoomy = 0.4;  // of the own share, up to which those that stand idle are kept
constexpr double kShort = 0.7;  // of the own share, from which on each answer ends its connection
constexpr std::size_t kMostDrainedAtOnce = 4096;
constexpr const char* kText = "text/plain";

}  // namespace

class Clients::Session : public std::enable_shared_from_this<Session>, public Responder {
 public:
  Session(Clients& owner, Tcp::socket socket) : owner_(&owner), socket_(std::move(socket)) {}

  std::list<std::shared_ptr<Session>>::iterator place;

  void Start() {
    Error ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    Wait(patience().whole_request);
  }

  // Between requests, with none on its way as far as can be seen.
  bool Idle() const {
    Error error;
    return state_ == State::kWaiting && socket_.available(error) == 0;
  }
  bool Reading() const { return state_ == State::kWaiting || state_ == State::kReading; }
  bool Holds() const { return state_ == State::kHeld; }
  // Owes an answer, or the rest of one.
  bool Owes() const { return Holds() || state_ == State::kWriting; }
  // For how long it has been without a request, of one that asked before.
  bool SpareSince(Steady::time_point at) const { return asked_ && since_ <= at && Idle(); }
  bool SilentSince(Steady::time_point at) const { return !asked_ && since_ <= at && Idle(); }

  // Ends what has taken too long.
  void EndIfDue(Steady::time_point now) {
    if (now < until_) return;
    if (state_ != State::kReading) return Close();
    Error ignored;
    socket_.cancel(ignored);
    TurnAway(http::status::request_timeout, "too slow");
  }

  void Close() {
    if (state_ == State::kClosed) return;
    state_ = State::kClosed;
    Release();
    Error ignored;
    socket_.close(ignored);
    if (owner_) owner_->Remove(this);
  }

  void Orphan() {
    owner_ = nullptr;
    Close();
  }

  void Served(HttpResponse answer, AnswerLease lease) override {
    if (!Holds()) return;
    lease_ = std::move(lease);
    HttpResponse mine{http::status::ok, 11};
    if (const auto type = answer.find(http::field::content_type); type != answer.end())
      mine.set(http::field::content_type, type->value());
    mine.body() = std::move(answer.body());
    Write(std::move(mine));
  }
  void Refused(Duration retry_after) override {
    if (!Holds()) return;
    HttpResponse mine = Plain(http::status::service_unavailable, "refused; trying again is harmless\n");
    if (retry_after.count() > 0) {
      char seconds[32];
      std::snprintf(seconds, sizeof seconds, "%.3f", retry_after.count() / 1000);
      mine.set(http::field::retry_after, seconds);
    }
    Write(std::move(mine));
  }
  void Failed() override {
    if (Holds()) Write(Plain(http::status::bad_gateway, "failed\n"));
  }
  void Rejected(http::status status) override {
    if (Holds()) TurnAway(status, "found faulty");
  }

 private:
  // Waiting for the first byte of a request, and then for its last.
  enum class State { kWaiting, kReading, kHeld, kWriting, kDraining, kClosed };

  using Parser = http::request_parser<http::string_body>;

  const Patience& patience() const { return owner_->config_.patience; }

  static HttpResponse Plain(http::status status, std::string text) {
    HttpResponse response{status, 11};
    response.set(http::field::content_type, kText);
    response.body() = std::move(text);
    return response;
  }

  // Each state has one time limit: it does not begin anew with each byte.
  void Enter(State state, std::optional<Steady::duration> at_most) {
    state_ = state;
    since_ = Steady::now();
    until_ = at_most ? since_ + *at_most : Steady::time_point::max();
    owner_->sessions_.splice(owner_->sessions_.end(), owner_->sessions_, place);
  }

  void Wait(Steady::duration at_most) {
    Enter(State::kWaiting, at_most);
    Release();
    parser_.reset();
    if (buffer_.size() > 0) return Begin();  // the next request came right behind the last
    buffer_.shrink_to_fit();                 // what stands idle keeps no memory
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](const Error& failed) {
      if (self->state_ != State::kWaiting) return;
      if (failed) return self->Close();
      self->Begin();
    });
  }

  void Begin() {
    // A first request's time counts from the connection's start.
    Enter(State::kReading, asked_ ? Steady::duration(patience().whole_request) : until_ - Steady::now());
    parser_.emplace();
    parser_->header_limit(kMostHeader);
    parser_->body_limit(kMostBody);
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this()](const Error& failed, std::size_t) {
                              if (self->state_ != State::kReading) return;
                              if (failed) return self->OnUnreadable(failed);
                              self->OnHeader();
                            });
  }

  void OnHeader() {
    const auto& header = parser_->get();
    if (const auto complaint = CheckHeader(header)) return TurnAway(complaint->status, complaint->text);
    const std::size_t length = static_cast<std::size_t>(
        parser_->chunked() ? kMostBody
                           : std::min<std::uint64_t>(kMostBody, parser_->content_length().value_or(0)));
    if (!owner_->Reserve(length * kCopies))
      return TurnAway(http::status::service_unavailable, "no memory for this now; trying again is harmless");
    reserved_ = length * kCopies;
    if (boost::beast::iequals(header[http::field::expect], "100-continue")) return Continue();
    ReadBody();
  }

  void Release() {
    if (owner_) owner_->reserved_ -= std::exchange(reserved_, 0);
  }

  void Continue() {
    const auto go_on = std::make_shared<http::response<http::empty_body>>(http::status::continue_, 11);
    http::async_write(socket_, *go_on, [self = shared_from_this(), go_on](const Error& failed, std::size_t) {
      if (self->state_ != State::kReading) return;
      if (failed) return self->Close();
      self->ReadBody();
    });
  }

  void ReadBody() {
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](const Error& failed, std::size_t) {
                       if (self->state_ != State::kReading) return;
                       if (failed) return self->OnUnreadable(failed);
                       self->OnRead(Steady::now());
                     });
  }

  void OnUnreadable(const Error& failed) {
    const bool from_parser = failed.category() == http::make_error_code(http::error::bad_version).category();
    if (!from_parser || failed == http::error::end_of_stream || failed == http::error::partial_message)
      return Close();
    if (failed == http::error::body_limit) return TurnAway(http::status::payload_too_large, "too large");
    if (failed == http::error::header_limit || failed == http::error::buffer_overflow)
      return TurnAway(http::status::request_header_fields_too_large, "header too large");
    TurnAway(http::status::bad_request, "malformed");
  }

  void OnRead(Steady::time_point at) {
    asked_ = read_whole_ = true;
    HttpRequest message = parser_->release();
    last_ = !message.keep_alive();
    if (message.method() == http::verb::get && message.target() == "/ready") {
      const bool ready = owner_->handler_.Ready() && !owner_->stopping_;
      return Write(ready ? Plain(http::status::ok, "ready\n")
                         : Plain(http::status::service_unavailable, "not ready\n"));
    }
    ClientRequest request;
    if (const auto complaint = Understand(std::move(message), at, owner_->config_, &request))
      return TurnAway(complaint->status, complaint->text);
    const auto id = request.message["Req-Id"];
    if (owner_->handler_.IsOpen({id.data(), id.size()}))
      return TurnAway(http::status::conflict, "Req-Id is that of an open request");
    Enter(State::kHeld, std::nullopt);
    request_ = owner_->handler_.OnRequest(std::move(request), shared_from_this());
    if (state_ == State::kHeld) WatchClient();
  }

  // A client that closes its connection while its request is held has gone.
  void WatchClient() {
    socket_.async_wait(Tcp::socket::wait_read,
                       [self = shared_from_this(), of = request_](const Error& failed) {
                         if (failed || !self->Holds() || self->request_ != of) return;
                         Error error;
                         char byte;
                         self->socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
                         // The start of a next request: it waits for this one's answer, and is not looked at
                         // before.
                         if (!error || error == asio::error::would_block) return;
                         const auto owner = self->owner_;
                         self->Close();
                         owner->handler_.OnClientGone(of);
                       });
  }

  // A client in error is not listened to any further: what follows may be the rest of what could not be read.
  void TurnAway(http::status status, std::string text) {
    last_ = true;
    Write(Plain(status, std::move(text) + '\n'));
  }

  void Write(HttpResponse response) {
    Enter(State::kWriting, patience().answer_taken);
    response_ = std::move(response);
    // A client that keeps its connection and asks no more would hold the place for `spare`, against ever-new
    // clients that wait in the kernel's queue until their time is up (incident rf19165).
    const bool whole = std::exchange(read_whole_, false);
    const bool shed = whole && !last_ && owner_->PlacesRunShort();
    last_ |= owner_->stopping_ || shed;
    response_.keep_alive(!last_);
    response_.prepare_payload();
    Error ignored;
    socket_.cancel(ignored);  // the watch for the client's end
    http::async_write(socket_, response_,
                      [self = shared_from_this(), shed](const Error& failed, std::size_t) {
                        if (self->state_ != State::kWriting) return;
                        self->response_ = {};
                        self->lease_.reset();
                        if (failed || (shed && self->NothingUnread())) return self->Close();
                        if (self->last_) return self->CloseGently();
                        self->Wait(self->patience().kept);
                        if (self->owner_->waiting_for_room_) self->owner_->Accept();
                      });
  }

  bool NothingUnread() const {
    Error error;
    return buffer_.size() == 0 && socket_.available(error) == 0;
  }

  // Guards against a reset overtaking the answer: with unread input left, a plain close would send one.
  void CloseGently() {
    Enter(State::kDraining, patience().drained);
    Error ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    Drain();
  }
  void Drain() {
    // Not into the buffer of requests: a read of one may be on its way, and have its bytes already.
    rest_.resize(kMostDrainedAtOnce);
    socket_.async_read_some(asio::buffer(rest_),
                            [self = shared_from_this()](const Error& failed, std::size_t n) {
                              if (self->state_ != State::kDraining) return;
                              self->drained_ += n;
                              if (failed || self->drained_ > 4 * kMostBody) return self->Close();
                              self->Drain();
                            });
  }

  Clients* owner_;
  Tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kMostBody + kMostHeader};
  std::optional<Parser> parser_;
  AnswerLease lease_;  // of response_, where it is large
  HttpResponse response_;
  RequestId request_ = 0;
  std::vector<char> rest_;  // what is read and not looked at, once the last answer is written
  std::size_t drained_ = 0, reserved_ = 0;
  State state_ = State::kWaiting;
  Steady::time_point since_{}, until_{};  // of the state
  bool asked_ = false;                    // has sent a whole request
  bool read_whole_ = false;               // the request that is answered now
  bool last_ = false;                     // the connection closes after this answer
};

Clients::Clients(asio::io_context& io, const Config& config, std::size_t share, Count most_connections,
                 RequestHandler& handler)
    : io_(io),
      config_(config),
      share_(share),
      most_connections_(std::move(most_connections)),
      most_bytes_(static_cast<std::size_t>(config.memory_mb * kBodyShare * 1024 * 1024)),
      handler_(handler),
      acceptor_(io),
      pause_(io),
      grace_(io),
      sweep_(io) {
  acceptor_.open(config.listen.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));  // restarts come on the same address
  acceptor_.bind(config.listen);
  acceptor_.listen();
  Accept();
}

Clients::~Clients() {
  const auto sessions = std::move(sessions_);
  sessions_.clear();
  for (const auto& session : sessions) session->Orphan();
}

void Clients::Accept() {
  waiting_for_room_ = false;
  if (shut_) return;
  if (sessions_.size() >= most_connections_() && !MakeRoom()) {
    waiting_for_room_ = true;  // the next connections wait in the kernel's queue
    return;
  }
  acceptor_.async_accept([this](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    // Guards against spinning when descriptors run out: the queue stays readable all the while.
    if (failed) return AcceptLater();
    if (sessions_.empty()) Sweep();
    sessions_.push_back(std::make_shared<Session>(*this, std::move(socket)));
    const auto session = sessions_.back();
    session->place = std::prev(sessions_.end());
    session->Start();
    Accept();
  });
}

void Clients::AcceptLater() {
  MakeRoom();
  pause_.expires_after(kPause);
  pause_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Accept();
  });
}

bool Clients::PlacesRunShort() const {
  return waiting_for_room_ || static_cast<double>(sessions_.size()) >= static_cast<double>(share_) * kShort;
}

// Bodies that are being read, or are held, must not fill the memory: what comes beyond is turned away.
bool Clients::Reserve(std::size_t bytes) {
  if (reserved_ + bytes > most_bytes_) return false;
  reserved_ += bytes;
  return true;
}

// Gives up the connection that has stood idle for the longest; failing that, the oldest of those that never
// said anything. Those that are fresh stay, since their request may be on its way.
bool Clients::MakeRoom() {
  const auto now = Steady::now();
  auto found = std::find_if(sessions_.begin(), sessions_.end(), [&](const auto& session) {
    return session->SpareSince(now - config_.patience.spare);
  });
  if (found == sessions_.end()) {
    found = std::find_if(sessions_.begin(), sessions_.end(), [&](const auto& session) {
      return session->SilentSince(now - config_.patience.silent);
    });
  }
  if (found == sessions_.end()) return false;
  const auto session = *found;
  const bool waiting = std::exchange(waiting_for_room_, false);  // whoever asks goes on by itself
  session->Close();
  waiting_for_room_ = waiting;
  return true;
}

// Ends what has taken too long, and makes room ahead of need.
void Clients::Sweep() {
  sweep_.expires_after(kSweep);
  sweep_.async_wait([this](const Error& cancelled) {
    if (cancelled) return;
    const auto now = Steady::now();
    const auto mark = static_cast<std::size_t>(static_cast<double>(share_) * kRoomy);
    for (auto it = sessions_.begin(); it != sessions_.end();) {
      const auto session = *it++;
      if (sessions_.size() > mark && session->SpareSince(now - config_.patience.spare)) {
        session->Close();
      } else {
        session->EndIfDue(now);
      }
    }
    if (waiting_for_room_) Accept();
    if (!sessions_.empty()) Sweep();
  });
}

void Clients::Remove(Session* session) {
  sessions_.erase(session->place);
  if (waiting_for_room_) Accept();
}

void Clients::Stop(Duration grace, std::function<void()> done) {
  if (stopping_) return;
  stopping_ = true;
  stopped_ = std::move(done);
  grace_.expires_after(std::chrono::ceil<Steady::duration>(grace));
  grace_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Shut();
  });
}

// Looks again until no answer is owed and no request is half read.
void Clients::Shut() {
  if (!std::exchange(shut_, true)) {
    Error ignored;
    acceptor_.close(ignored);
    half_read_until_ = Steady::now() + kHalfRead;
  }
  bool wait = false;
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    const auto session = *it++;
    if (session->Idle()) {
      session->Close();
    } else {
      wait |= session->Owes() || (session->Reading() && Steady::now() < half_read_until_);
    }
  }
  if (!wait) return stopped_();
  grace_.expires_after(kLookAgain);
  grace_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Shut();
  });
}

}  // namespace brackenspoke::proxy
