// SPDX-License-Identifier: Apache-2.0
#include "session.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdio>
#include <sstream>
#include <utility>

#include "pieces.h"

namespace kestrelline::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t kCopies = 2;  // of a body while it is read
// Bytes a second that a client's body has to come at on the whole; the platform's slowest send at 64,000.
constexpr double kLeastRate = 40000;
constexpr std::chrono::seconds kMostStall{30};          // for a client to take any of an answer that passes
constexpr std::size_t kMostEmptyLines = 16;             // bytes of them before a request line
constexpr std::size_t kMostDrained = 64 * 1024 * 1024;  // of a request that was answered before it had come
constexpr std::size_t kMostDrainedAtOnce = 4096;
constexpr std::size_t kMostAheadAtOnce = 256 * 1024;  // read at one sweep of what comes behind a held request
constexpr const char* kText = "text/plain";
constexpr const char* kNothingNew = "this proxy takes nothing new; trying again is harmless";

HttpResponse Plain(http::status status, std::string text) {
  HttpResponse response{status, 11};
  response.set(http::field::content_type, kText);
  response.body() = std::move(text);
  return response;
}

// The parser's word on what has come; else the connection ended, or broke.
bool IsMalformed(const boost::system::error_code& failed) {
  return failed.category() == http::make_error_code(http::error::bad_version).category() &&
         failed != http::error::end_of_stream && failed != http::error::partial_message;
}

kestrelline::management::Ending EndingOf(http::status status) {
  using kestrelline::management::Ending;
  if (status == http::status::ok) return Ending::kServed;
  const bool refused =
      status == http::status::too_many_requests || status == http::status::service_unavailable;
  return refused ? Ending::kRefused : Ending::kFailed;
}

}  // namespace

void Session::Start() {
  Error ignored;
  socket_.set_option(Tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  Wait(patience().whole_request);
}

bool Session::Idle() const {
  Error error;
  return state_ == State::kWaiting && socket_.available(error) == 0;
}
void Session::EndIfDue(Steady::time_point now) {
  if (now < until_) return;
  if (state_ == State::kHeld) return GiveUpload(http::status::request_timeout, "too slow");
  if (state_ != State::kReading) return Close();
  Error ignored;
  socket_.cancel(ignored);
  TurnAway(http::status::request_timeout, "too slow");
}

void Session::EndIfLeaving(Steady::time_point now) {
  const auto& life = owner_->life_;
  if (state_ == State::kWaiting) {
    if (life.ClosesIdle(now, since_, serial_) && Idle()) Close();
  } else if (state_ == State::kReading && life.ClosesIncomplete(now, since_)) {
    Error ignored;
    socket_.cancel(ignored);
    TurnAway(http::status::service_unavailable, kNothingNew);
  }
}

// The request has been answered, or nobody is left to answer.
void Session::Over() {
  if (std::exchange(taken_, false) && owner_) owner_->figures_.OnOver();
  class_ = -1;
}

void Session::Close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  if (const auto upload = std::exchange(upload_, nullptr)) upload->Break();
  if (const auto source = std::exchange(source_, nullptr)) source->Drop();
  Over();
  Release();
  Error ignored;
  socket_.close(ignored);
  if (owner_) owner_->Remove(this);
}

void Session::Orphan() {
  owner_ = nullptr;
  Close();
}

void Session::Served(HttpResponse answer, std::shared_ptr<BodySource> rest,
                     std::optional<std::uint64_t> length) {
  if (!Holds()) return rest ? rest->Drop() : void();
  HttpResponse mine{http::status::ok, 11};
  if (const auto type = answer.find(http::field::content_type); type != answer.end())
    mine.set(http::field::content_type, type->value());
  mine.body() = std::move(answer.body());
  if (rest) return Pass(std::move(mine), std::move(rest), length);
  Write(std::move(mine));
}
void Session::Refused(Duration retry_after) {
  if (!Holds()) return;
  HttpResponse mine = Plain(http::status::service_unavailable, "refused; trying again is harmless\n");
  if (retry_after.count() > 0) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", retry_after.count() / 1000);
    mine.set(http::field::retry_after, seconds);
  }
  Write(std::move(mine));
}
void Session::Failed() {
  if (Holds()) Write(Plain(http::status::bad_gateway, "failed\n"));
}
void Session::Rejected(http::status status) {
  if (Holds()) TurnAway(status, "found faulty");
}

const Patience& Session::patience() const { return owner_->config_.patience; }

// Each state has one time limit: it does not begin anew with each byte.
void Session::Enter(State state, std::optional<Steady::duration> at_most) {
  state_ = state;
  since_ = Steady::now();
  until_ = at_most ? since_ + *at_most : Steady::time_point::max();
  owner_->sessions_.splice(owner_->sessions_.end(), owner_->sessions_, place);
}

void Session::Wait(Steady::duration at_most) {
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

void Session::Begin() {
  Enter(State::kReading, patience().whole_request);
  empty_lines_ = 0;
  ReadHeader();
}

void Session::ReadHeader() {
  head_only_ = old_ = false;
  parser_.emplace();
  parser_->header_limit(kMostRequestHeader);
  parser_->body_limit(boost::none);  // long ones pass, in pieces
  http::async_read_header(socket_, buffer_, *parser_,
                          [self = shared_from_this()](const Error& failed, std::size_t) {
                            if (self->state_ != State::kReading) return;
                            if (failed == http::error::bad_method && self->SkipEmptyLines())
                              return self->ReadHeader();
                            if (failed) return self->OnUnreadable(failed);
                            self->OnHeader();
                          });
}

// A request line may have empty lines before it (RFC 9112, 2.2); here, a few. True if there were any.
bool Session::SkipEmptyLines() {
  const auto bytes = buffer_.data();
  const std::string_view text(static_cast<const char*>(bytes.data()), bytes.size());
  const std::size_t n = std::min(text.find_first_not_of("\r\n"), text.size());
  buffer_.consume(n);
  empty_lines_ += n;
  return n > 0 && empty_lines_ <= kMostEmptyLines;
}

void Session::OnHeader() {
  // Taken out now: trailers are not to be mistaken for what the header said (RFC 9110, 6.5.1).
  head_ = std::move(parser_->get().base());
  head_only_ = head_.method() == http::verb::head;
  old_ = head_.version() < 11;
  last_ = old_ || !parser_->keep_alive();
  if (const auto complaint = CheckHeader(head_)) return TurnAway(complaint->status, complaint->text);
  pace_ = kestrelline::bodies::Pace(patience().whole_request, kLeastRate);
  const std::uint64_t length = parser_->content_length().value_or(0);
  const bool may_be_long = parser_->chunked() || length > kMostBody;
  if (!ReserveFor(may_be_long ? 0 : static_cast<std::size_t>(length))) return NoMemory();
  if (boost::beast::iequals(head_[http::field::expect], "100-continue") && !old_) return Continue();
  ReadBody();
}

bool Session::ReserveFor(std::size_t body) {
  const std::size_t needed = body * kCopies;
  if (needed <= reserved_) return true;
  if (!owner_->Reserve(needed - reserved_)) return false;
  reserved_ = needed;
  return true;
}

void Session::Release() {
  if (owner_) owner_->reserved_ -= std::exchange(reserved_, 0);
}

void Session::Continue() {
  const auto go_on = std::make_shared<http::response<http::empty_body>>(http::status::continue_, 11);
  http::async_write(socket_, *go_on, [self = shared_from_this(), go_on](const Error& failed, std::size_t) {
    if (self->state_ != State::kReading) return;
    if (failed) return self->Close();
    self->ReadBody();
  });
}

void Session::ReadBody() {
  const std::uint64_t length = parser_->content_length().value_or(0);
  if (parser_->chunked() || length > kMostBody) return ReadFirst();
  if (length > 0) {
    pace_.OnRead({}, static_cast<std::size_t>(length));
    Enter(State::kReading, pace_.Left());
  }
  http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](const Error& failed, std::size_t) {
    if (self->state_ != State::kReading) return;
    if (failed) return self->OnUnreadable(failed);
    const auto now = Steady::now();
    if (auto request = self->Take(std::move(self->parser_->get().body()), true, now))
      self->Hold(std::move(*request));
  });
}

void Session::ReadFirst() {
  Enter(State::kReading, pace_.Left());
  http::async_read_some(socket_, buffer_, *parser_,
                        [self = shared_from_this()](const Error& failed, std::size_t n) {
                          if (self->state_ != State::kReading) return;
                          if (failed) return self->OnUnreadable(failed);
                          const auto now = Steady::now();
                          self->pace_.OnRead(now - self->since_, n);
                          std::string& body = self->parser_->get().body();
                          if (!self->ReserveFor(body.size())) return self->NoMemory();
                          if (self->parser_->is_done() && body.size() <= kMostBody) {
                            if (auto request = self->Take(std::move(body), true, now))
                              self->Hold(std::move(*request));
                          } else if (body.size() < kestrelline::bodies::Passage::kMostKept) {
                            self->ReadFirst();
                          } else {
                            self->BeginUpload();
                          }
                        });
}

// The rest is read when an attempt asks for it.
void Session::BeginUpload() {
  auto share = owner_->bodies_.Join();
  if (!share) return NoMemory();
  const auto now = Steady::now();
  const std::uint64_t length = parser_->content_length().value_or(0);
  const bool whole = parser_->is_done();
  std::string first = std::exchange(parser_->get().body(), {});
  const std::uint64_t left = length > first.size() ? length - first.size() : 0;
  auto request = Take({}, whole, now);
  if (!request) return;
  const auto deadline = request->due - now;
  request->upload = upload_ =
      std::make_shared<Upload>(std::move(first), whole, now, deadline, std::move(share));
  if (!whole) {
    const auto guess = length > 0 ? std::chrono::duration<double>(static_cast<double>(left) / kLeastRate)
                                  : std::chrono::duration<double>(3600);
    request->due += std::chrono::duration_cast<Steady::duration>(guess) + patience().whole_request;
  }
  upload_->OnWant([this] { ReadMore(); });
  Hold(std::move(*request));
}

void Session::ReadMore() {
  asked_at_ = Steady::now();
  until_ = asked_at_ + pace_.Left();
  FitBuffer(upload_->Room(), &buffer_);
  http::async_read_some(socket_, buffer_, *parser_,
                        [self = shared_from_this(), upload = upload_](const Error& failed, std::size_t n) {
                          if (!self->Holds() || self->upload_ != upload) return;
                          self->pace_.OnRead(Steady::now() - self->asked_at_, n);
                          self->until_ = Steady::time_point::max();
                          self->OnMore(failed);
                        });
}

void Session::OnMore(const Error& failed) {
  if (failed) {
    if (IsMalformed(failed)) return GiveUpload(http::status::bad_request, "malformed");
    return OnGone();
  }
  std::string& body = parser_->get().body();
  const bool last = parser_->is_done();
  if (body.empty() && !last) return ReadMore();
  const auto upload = upload_;
  const auto now = Steady::now();
  // Its server has never had the whole of it.
  if (last && !owner_->life_.AcceptsRequest(now, now + upload->deadline()))
    return GiveUpload(http::status::service_unavailable, kNothingNew);
  read_whole_ = last;
  upload->Add(std::exchange(body, {}), last, now);
  if (!Holds() || upload_ != upload) return;
  if (upload->bound()) Release();  // what was kept is not any more
  if (last) WatchClient();
}

// A client that does not send what it began to send is not served; its request has not run.
void Session::GiveUpload(http::status status, const char* text) {
  const auto of = request_;
  const auto self = shared_from_this();
  owner_->handler_.OnClientGone(of);  // first: what becomes of its attempt is nobody's any more
  upload_->Break();
  if (Holds()) TurnAway(status, text);
}

void Session::OnUnreadable(const Error& failed) {
  if (!IsMalformed(failed)) return Close();
  if (failed == http::error::body_limit) return TurnAway(http::status::payload_too_large, "too large");
  if (failed == http::error::header_limit || failed == http::error::buffer_overflow)
    return TurnAway(http::status::request_header_fields_too_large, "header too large");
  TurnAway(http::status::bad_request, "malformed");
}

// Nothing, and the client has been told why, if it cannot be understood.
std::optional<ClientRequest> Session::Take(std::string body, bool whole, Steady::time_point at) {
  asked_ = true;
  read_whole_ = whole;
  HttpRequest message;
  message.base() = std::move(head_);
  message.body() = std::move(body);
  const bool asks_ready = message.method() == http::verb::get || message.method() == http::verb::head;
  if (asks_ready && message.target() == "/ready") {
    Write(owner_->life_.Ready() ? Plain(http::status::ok, "ready\n")
                                : Plain(http::status::service_unavailable, "not ready\n"));
    return std::nullopt;
  }
  ClientRequest request;
  const auto complaint =
      Understand(std::move(message), at, owner_->config_, &request, /*body_follows=*/!whole);
  class_ = request.request_class;
  if (complaint) {
    TurnAway(complaint->status, complaint->text);
    return std::nullopt;
  }
  const auto id = request.message["Req-Id"];
  if (owner_->handler_.IsOpen({id.data(), id.size()})) {
    TurnAway(http::status::conflict, "Req-Id is that of an open request");
    return std::nullopt;
  }
  // When a body that is still coming will be over is not known.
  if (!owner_->life_.AcceptsRequest(at, whole ? request.due : Steady::time_point::max())) {
    TurnAway(http::status::service_unavailable, kNothingNew);
    return std::nullopt;
  }
  return request;
}

void Session::Hold(ClientRequest request) {
  Enter(State::kHeld, std::nullopt);
  taken_ = true;
  unwatched_ = true;
  owner_->figures_.OnTaken();
  request_ = 0;
  const auto id = owner_->handler_.OnRequest(std::move(request), shared_from_this());
  if (state_ != State::kHeld) return;
  request_ = id;
  if (!upload_) WatchClient();
}

// A client that closes its connection while its request is held has gone. What it sent ahead waits for this
// request's answer and is not read before: from then on its end is looked for at each sweep.
void Session::WatchClient() {
  unwatched_ = false;
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), of = request_](const Error& failed) {
    if (failed || !self->Holds() || self->request_ != of) return;
    if (self->Gone()) return self->OnGone();
    self->unwatched_ = true;
  });
}

void Session::LookForEnd() {
  if (!Holds() || !unwatched_) return;
  if (Gone()) return OnGone();
  if (!upload_) ReadAhead();
}

// The client's end does not come through while what it sent ahead fills the system's buffers. What there is
// room for here is kept for its turn. Of a client that sends more, all is thrown away, and its connection
// ends with the answer that it waits for.
void Session::ReadAhead() {
  Error error;
  for (std::size_t left = kMostAheadAtOnce; left > 0 && !error;) {
    const std::size_t ahead = std::min(socket_.available(error), left);
    if (ahead == 0) return;
    const std::size_t room = last_ ? 0 : std::min(buffer_.max_size() - buffer_.size(), ahead);
    if (room == 0 || !owner_->Reserve(room)) {
      last_ = true;
      rest_.resize(kMostDrainedAtOnce);
      left -= std::min(left, socket_.read_some(asio::buffer(rest_), error));
      continue;
    }
    reserved_ += room;
    const std::size_t n = socket_.read_some(buffer_.prepare(room), error);
    buffer_.commit(n);
    left -= n;
  }
}

// First the request is over, then its connection: a body that breaks off must not be sent anew.
void Session::OnGone() {
  const auto self = shared_from_this();
  owner_->handler_.OnClientGone(request_);
  Close();
}

bool Session::Gone() const {
  if (state_ == State::kClosed) return true;
  pollfd look{const_cast<Tcp::socket&>(socket_).native_handle(), POLLRDHUP, 0};
  return ::poll(&look, 1, 0) > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

// A client in error is not listened to any further: what follows may be the rest of what could not be read.
void Session::TurnAway(http::status status, std::string text) {
  last_ = true;
  Write(Plain(status, std::move(text) + '\n'));
}

void Session::BeginAnswer(Steady::duration at_most) {
  Enter(State::kWriting, at_most);
  const bool whole = std::exchange(read_whole_, false);
  if (const auto upload = std::exchange(upload_, nullptr)) upload->OnWant(nullptr);
  if (!whole) last_ = true;  // what follows is the rest of what nobody wants
  // A client that keeps its connection and asks no more would hold the place for `spare`, against ever-new
  // clients that wait in the kernel's queue until their time is up (incident rf19165).
  last_ |= owner_->life_.ClosesAfterResponse() || owner_->PlacesRunShort();
  Error ignored;
  socket_.cancel(ignored);  // the watch for the client's end
}

void Session::NoMemory() {
  TurnAway(http::status::service_unavailable, "no memory for this now; trying again is harmless");
}

void Session::Write(HttpResponse response) {
  response_ = std::move(response);
  // Of one that is turned away before it was understood, its path may tell.
  if (const auto target = head_.target(); class_ < 0 && !target.empty())
    class_ = ClassOf({target.data(), target.size()}, owner_->config_);
  owner_->figures_.OnEnded(class_, EndingOf(response_.result()));
  BeginAnswer(patience().answer_taken);
  response_.keep_alive(!last_);
  response_.prepare_payload();
  if (head_only_) response_.body().clear();  // its length stays said (RFC 9110, 9.3.2)
  http::async_write(socket_, response_, [self = shared_from_this()](const Error& failed, std::size_t) {
    if (self->state_ != State::kWriting) return;
    self->response_ = {};
    self->AfterAnswer(static_cast<bool>(failed));
  });
}

void Session::AfterAnswer(bool failed) {
  Over();
  if (failed) return Close();
  if (last_) return CloseGently();
  Wait(patience().kept);
  if (owner_->waiting_for_room_) owner_->Accept();
}

void Session::Pass(HttpResponse head, std::shared_ptr<BodySource> rest, std::optional<std::uint64_t> length) {
  BeginAnswer(kMostStall);
  source_ = std::move(rest);
  chunked_ = !length && !old_;
  if (length) {
    head.content_length(*length);
  } else {
    head.chunked(chunked_);  // to a client of 1.0 it ends with the connection
  }
  head.keep_alive(!last_);
  std::ostringstream text;
  text << head.base();
  out_ = std::move(text).str();
  AddPiece(head.body(), false);
  WritePassing();
}

void Session::AddPiece(std::string_view bytes, bool last) {
  out_last_ = last;
  if (chunked_) return AppendChunk(bytes, last, &out_);
  out_.append(bytes);
}

// As fast as the client takes it: its time begins anew with each byte that it does.
void Session::WritePassing() {
  until_ = Steady::now() + kMostStall;
  socket_.async_write_some(
      asio::buffer(out_.data() + written_, out_.size() - written_),
      [self = shared_from_this()](const Error& failed, std::size_t n) {
        if (self->state_ != State::kWriting) return;
        if (failed) return self->BreakOff();
        self->written_ += n;
        if (self->written_ < self->out_.size()) return self->WritePassing();
        self->out_.clear();
        self->written_ = 0;
        if (self->out_last_) {
          self->source_ = nullptr;
          self->out_ = {};
          self->owner_->figures_.OnEnded(self->class_, kestrelline::management::Ending::kServed);
          return self->AfterAnswer(false);
        }
        self->until_ = Steady::time_point::max();  // its server has a time limit of its own
        self->source_->Next([self](BodySource::Piece piece) {
          if (self->state_ != State::kWriting) return;
          if (piece.broken) return self->BreakOff();
          self->AddPiece(piece.bytes, piece.last);
          self->WritePassing();
        });
      });
}

// The client must not take what it has for whole: a reset, not an end.
void Session::BreakOff() {
  owner_->figures_.OnEnded(class_, kestrelline::management::Ending::kFailed);
  Error ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

// Guards against a reset overtaking the answer: with unread input left, or input that comes later, a plain
// close would send one.
void Session::CloseGently() {
  Enter(State::kDraining, patience().drained);
  Error ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  Drain();
}
void Session::Drain() {
  // Not into the buffer of requests: a read of one may be on its way, and have its bytes already.
  rest_.resize(kMostDrainedAtOnce);
  socket_.async_read_some(asio::buffer(rest_),
                          [self = shared_from_this()](const Error& failed, std::size_t n) {
                            if (self->state_ != State::kDraining) return;
                            self->drained_ += n;
                            if (failed || self->drained_ > kMostDrained) return self->Close();
                            self->Drain();
                          });
}

}  // namespace kestrelline::proxy
