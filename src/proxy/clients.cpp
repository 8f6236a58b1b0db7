// SPDX-License-Identifier: Apache-2.0
#include "clients.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>

namespace brackenspoke::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::size_t kMostHeader = 16 * 1024;
constexpr std::chrono::seconds kIdleOrSlow{90};      // for a request to come whole
constexpr std::chrono::seconds kSlowWrite{10};       // for an answer to be taken
constexpr std::chrono::milliseconds kPause{50};      // after a failed accept
constexpr std::chrono::milliseconds kHalfRead{500};  // at the stop, for the rest of a request to come
constexpr std::chrono::milliseconds kLookAgain{10};
constexpr double kMostDeadlineMs = 3600 * 1000;
constexpr double kMostCostUs = 1e12;
constexpr const char* kText = "text/plain";

std::optional<double> Number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

int IndexOf(const std::vector<std::string>& names, std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

// What the request is about; 0 if it does not say.
std::uint64_t KeyOf(boost::beast::string_view cookie) {
  std::string list("; ");
  list.append(cookie.data(), cookie.size());
  for (const auto& [name, value] : http::param_list(list)) {
    if (name == "obj") return value.empty() ? 0 : std::max<std::uint64_t>(1, StableHash(View(value)));
  }
  return 0;
}

std::string_view FirstOfPath(std::string_view target) {
  if (!target.empty() && target.front() == '/') target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// Headers that concern one connection only, and so must not go on.
void EraseHopByHop(HttpRequest& message) {
  std::vector<std::string> named;
  for (const auto& token : http::token_list(message[http::field::connection])) named.emplace_back(token);
  for (const std::string& name : named) message.erase(name);
  for (const http::field field :
       {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
        http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect})
    message.erase(field);
}

}  // namespace

std::optional<Complaint> Understand(HttpRequest message, Steady::time_point read_at, const Config& config,
                                    ClientRequest* request) {
  const auto bad = [](const char* what) { return Complaint{http::status::bad_request, what}; };
  const auto kind = message.find("Req-Kind");
  request->request_class = IndexOf(
      config.classes, kind != message.end() ? View(kind->value()) : FirstOfPath(View(message.target())));
  if (request->request_class < 0) return Complaint{http::status::not_found, "unknown class"};
  const ClassSettings& c = config.settings.classes[request->request_class];
  const http::verb method = c.effect == Effect::kSafe ? http::verb::get : http::verb::post;
  if (message.method() != method) return Complaint{http::status::method_not_allowed, "wrong method"};
  if (message["Req-Id"].empty()) return bad("Req-Id is missing");
  if (c.effect == Effect::kKeyed && message["Idempotency-Key"].empty())
    return bad("Idempotency-Key is missing");

  double deadline_ms = c.deadline.count();
  if (const auto text = message.find("Req-Deadline-Ms"); text != message.end()) {
    const auto value = Number(View(text->value()));
    if (!value || *value < 0) return bad("Req-Deadline-Ms is no number");
    deadline_ms = std::min(*value, kMostDeadlineMs);
  }
  request->due = read_at + std::chrono::duration_cast<Steady::duration>(Duration(deadline_ms));
  if (const auto text = message.find("Req-Cost"); text != message.end()) {
    const auto value = Number(View(text->value()));
    if (!value || *value < 0) return bad("Req-Cost is no number");
    request->has_hint = true;
    request->work_ms = std::min(*value, kMostCostUs) / 1000;
  }
  if (!config.tenants.empty()) {
    request->tenant = IndexOf(config.tenants, View(message["Req-Owner"]));
    if (request->tenant < 0) return bad("unknown Req-Owner");
  }
  request->client_retry = message["Req-Retry"] == "1";
  request->key = KeyOf(message[http::field::cookie]);

  EraseHopByHop(message);
  message.version(11);
  message.prepare_payload();
  request->message = std::move(message);
  return std::nullopt;
}

class Clients::Session : public std::enable_shared_from_this<Session>, public Responder {
 public:
  Session(Clients& owner, Tcp::socket socket) : owner_(&owner), stream_(std::move(socket)) {}

  std::list<std::shared_ptr<Session>>::iterator place;

  void Start() {
    Error ignored;
    stream_.socket().set_option(Tcp::no_delay(true), ignored);
    Read();
  }

  // Between requests, with none on its way as far as can be seen.
  bool Idle() {
    Error error;
    return state_ == State::kReading && buffer_.size() == 0 && !parser_->got_some() &&
           stream_.socket().available(error) == 0;
  }
  bool Reading() const { return state_ == State::kReading; }
  bool Holds() const { return state_ == State::kHeld; }
  // Owes an answer, or the rest of one.
  bool Owes() const { return Holds() || (state_ == State::kWriting && !draining_); }

  void Close() {
    if (state_ == State::kClosed) return;
    state_ = State::kClosed;
    stream_.close();
    if (owner_) owner_->Remove(this);
  }

  void Orphan() {
    owner_ = nullptr;
    Close();
  }

  void Served(HttpResponse answer) override {
    if (!Holds()) return;
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

 private:
  enum class State { kReading, kHeld, kWriting, kClosed };

  using Parser = http::request_parser<http::string_body>;

  static HttpResponse Plain(http::status status, std::string text) {
    HttpResponse response{status, 11};
    response.set(http::field::content_type, kText);
    response.body() = std::move(text);
    return response;
  }

  void Read() {
    state_ = State::kReading;
    parser_.emplace();
    parser_->header_limit(kMostHeader);
    parser_->body_limit(kMostBody);
    stream_.expires_after(kIdleOrSlow);
    http::async_read_header(
        stream_, buffer_, *parser_, [self = shared_from_this()](const Error& failed, std::size_t) {
          if (self->state_ != State::kReading) return;
          if (failed) return self->OnUnreadable(failed);
          if (boost::beast::iequals(self->parser_->get()[http::field::expect], "100-continue"))
            return self->Continue();
          self->ReadBody();
        });
  }

  void Continue() {
    const auto go_on = std::make_shared<http::response<http::empty_body>>(http::status::continue_, 11);
    http::async_write(stream_, *go_on, [self = shared_from_this(), go_on](const Error& failed, std::size_t) {
      if (self->state_ != State::kReading) return;
      if (failed) return self->Close();
      self->ReadBody();
    });
  }

  void ReadBody() {
    http::async_read(stream_, buffer_, *parser_,
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
    last_ = true;
    Write(failed == http::error::body_limit ? Plain(http::status::payload_too_large, "too large\n")
          : failed == http::error::header_limit || failed == http::error::buffer_overflow
              ? Plain(http::status::request_header_fields_too_large, "header too large\n")
              : Plain(http::status::bad_request, "malformed\n"));
  }

  void OnRead(Steady::time_point at) {
    stream_.expires_never();
    HttpRequest message = parser_->release();
    last_ = !message.keep_alive();
    if (message.method() == http::verb::get && message.target() == "/ready") {
      const bool ready = owner_->handler_.Ready() && !owner_->stopping_;
      return Write(ready ? Plain(http::status::ok, "ready\n")
                         : Plain(http::status::service_unavailable, "not ready\n"));
    }
    ClientRequest request;
    if (const auto complaint = Understand(std::move(message), at, owner_->config_, &request))
      return Write(Plain(complaint->status, complaint->text + '\n'));
    state_ = State::kHeld;
    owner_->sessions_.splice(owner_->sessions_.end(), owner_->sessions_, place);
    request_ = owner_->handler_.OnRequest(std::move(request), shared_from_this());
    if (state_ == State::kHeld) WatchClient();
  }

  // A client that closes its connection while its request is held has gone.
  void WatchClient() {
    stream_.socket().async_wait(
        Tcp::socket::wait_read, [self = shared_from_this(), of = request_](const Error& failed) {
          if (failed || !self->Holds() || self->request_ != of) return;
          Error error;
          char byte;
          self->stream_.socket().non_blocking(true, error);
          if (!error)
            self->stream_.socket().receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
          // The start of a next request: it waits for this one's answer, and is not looked at before.
          if (!error || error == asio::error::would_block) return;
          const auto owner = self->owner_;
          self->Close();
          owner->handler_.OnClientGone(of);
        });
  }

  void Write(HttpResponse response) {
    state_ = State::kWriting;
    response_ = std::move(response);
    last_ |= owner_->stopping_;
    response_.keep_alive(!last_);
    response_.prepare_payload();
    Error ignored;
    stream_.socket().cancel(ignored);  // the watch for the client's end
    stream_.expires_after(kSlowWrite);
    http::async_write(stream_, response_, [self = shared_from_this()](const Error& failed, std::size_t) {
      if (self->state_ != State::kWriting) return;
      self->response_ = {};
      if (failed) return self->Close();
      if (self->last_) return self->CloseGently();
      self->Read();
      if (self->owner_->waiting_for_room_) self->owner_->Accept();
    });
  }

  // Guards against a reset overtaking the answer: with unread input left, a plain close would send one.
  void CloseGently() {
    draining_ = true;
    Error ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    Drain();
  }
  void Drain() {
    buffer_.clear();
    stream_.expires_after(std::chrono::seconds(1));
    stream_.async_read_some(buffer_.prepare(4096),
                            [self = shared_from_this()](const Error& failed, std::size_t n) {
                              if (self->state_ != State::kWriting) return;
                              self->drained_ += n;
                              if (failed || self->drained_ > 4 * kMostBody) return self->Close();
                              self->Drain();
                            });
  }

  Clients* owner_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_{kMostBody + kMostHeader};
  std::optional<Parser> parser_;
  HttpResponse response_;
  RequestId request_ = 0;
  std::size_t drained_ = 0;
  State state_ = State::kReading;
  bool last_ = false;  // the connection closes after this answer
  bool draining_ = false;
};

Clients::Clients(asio::io_context& io, const Config& config, std::size_t most_connections,
                 RequestHandler& handler)
    : io_(io),
      config_(config),
      most_connections_(most_connections),
      handler_(handler),
      acceptor_(io),
      pause_(io),
      grace_(io) {
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
  if (sessions_.size() >= most_connections_ && !MakeRoom()) {
    waiting_for_room_ = true;  // the next connections wait in the kernel's queue
    return;
  }
  acceptor_.async_accept([this](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    // Guards against spinning when descriptors run out: the queue stays readable all the while.
    if (failed) return AcceptLater();
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

bool Clients::MakeRoom() {
  const auto idle =
      std::find_if(sessions_.begin(), sessions_.end(), [](const auto& session) { return session->Idle(); });
  if (idle == sessions_.end()) return false;
  const auto session = *idle;
  session->Close();
  return true;
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
