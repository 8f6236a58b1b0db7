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

constexpr std::size_t kBodyCopies = 2;  // a body occupies its size twice while it is read
// Minimum average rate of a request body, in bytes per second; the slowest clients of the platform send at
// 64,000.
constexpr double kMinUploadRate = 40000;
constexpr std::chrono::seconds kStallTimeout{30};  // for a client to read any byte of a streamed response
constexpr std::size_t kMaxEmptyLineBytes = 16;     // empty lines before a request line
constexpr std::size_t kMaxDiscarded =
    64 * 1024 * 1024;  // rest of a request that was answered early, in bytes
constexpr std::size_t kDiscardBuffer = 4096;
constexpr std::size_t kMaxReadAheadPerSweep = 256 * 1024;  // of pipelined bytes behind a pending request
constexpr const char* kTextType = "text/plain";
constexpr const char* kNotAccepting = "this proxy takes nothing new; trying again is harmless";

HttpResponse Plain(http::status status, std::string text) {
  HttpResponse response{status, 11};
  response.set(http::field::content_type, kTextType);
  response.body() = std::move(text);
  return response;
}

// Whether the parser rejected the input; otherwise the connection ended or broke.
bool IsMalformed(const boost::system::error_code& failed) {
  return failed.category() == http::make_error_code(http::error::bad_version).category() &&
         failed != http::error::end_of_stream && failed != http::error::partial_message;
}

kestrelline::management::RequestOutcome EndingOf(http::status status) {
  using kestrelline::management::RequestOutcome;
  if (status == http::status::ok) return RequestOutcome::kServed;
  const bool refused =
      status == http::status::too_many_requests || status == http::status::service_unavailable;
  return refused ? RequestOutcome::kRefused : RequestOutcome::kFailed;
}

}  // namespace

void Session::Start() {
  Error ignored;
  socket_.set_option(Tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  AwaitRequest(timeouts().request_read);
}

bool Session::Idle() const {
  Error error;
  return state_ == State::kAwaitingRequest && socket_.available(error) == 0;
}
void Session::EnforceTimeout(Steady::time_point now) {
  if (now < deadline_) return;
  if (state_ == State::kAwaitingResponse) return AbortUpload(http::status::request_timeout, "too slow");
  if (state_ != State::kReading) return Close();
  Error ignored;
  socket_.cancel(ignored);
  Reject(http::status::request_timeout, "too slow");
}

void Session::CloseIfDraining(Steady::time_point now) {
  const auto& life = owner_->life_;
  if (state_ == State::kAwaitingRequest) {
    if (life.ClosesIdle(now, state_since_, serial_) && Idle()) Close();
  } else if (state_ == State::kReading && life.ClosesIncomplete(now, state_since_)) {
    Error ignored;
    socket_.cancel(ignored);
    Reject(http::status::service_unavailable, kNotAccepting);
  }
}

// The request has its response, or its client has gone.
void Session::FinishRequest() {
  if (std::exchange(counted_active_, false) && owner_) owner_->figures_.OnRequestClosed();
  class_ = -1;
}

void Session::Close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  if (const auto upload = std::exchange(upload_, nullptr)) upload->Break();
  if (const auto source = std::exchange(source_, nullptr)) source->Drop();
  FinishRequest();
  ReleaseMemory();
  Error ignored;
  socket_.close(ignored);
  if (owner_) owner_->Remove(this);
}

void Session::Detach() {
  owner_ = nullptr;
  Close();
}

void Session::Served(HttpResponse answer, std::shared_ptr<BodySource> rest,
                     std::optional<std::uint64_t> length) {
  if (!AwaitsResponse()) return rest ? rest->Drop() : void();
  HttpResponse reply{http::status::ok, 11};
  if (const auto type = answer.find(http::field::content_type); type != answer.end())
    reply.set(http::field::content_type, type->value());
  reply.body() = std::move(answer.body());
  if (rest) return StreamResponse(std::move(reply), std::move(rest), length);
  Write(std::move(reply));
}
void Session::Refused(Duration retry_after) {
  if (!AwaitsResponse()) return;
  HttpResponse reply = Plain(http::status::service_unavailable, "refused; trying again is harmless\n");
  if (retry_after.count() > 0) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", retry_after.count() / 1000);
    reply.set(http::field::retry_after, seconds);
  }
  Write(std::move(reply));
}
void Session::Failed() {
  if (AwaitsResponse()) Write(Plain(http::status::bad_gateway, "failed\n"));
}
void Session::Rejected(http::status status) {
  if (AwaitsResponse()) Reject(status, "found faulty");
}

const Timeouts& Session::timeouts() const { return owner_->config_.timeouts; }

// Each state has one timeout, which is not restarted by received bytes.
void Session::EnterState(State state, std::optional<Steady::duration> timeout) {
  state_ = state;
  state_since_ = Steady::now();
  deadline_ = timeout ? state_since_ + *timeout : Steady::time_point::max();
  owner_->sessions_.splice(owner_->sessions_.end(), owner_->sessions_, position);
}

void Session::AwaitRequest(Steady::duration timeout) {
  EnterState(State::kAwaitingRequest, timeout);
  ReleaseMemory();
  parser_.reset();
  if (buffer_.size() > 0) return BeginRequest();  // a pipelined request
  buffer_.shrink_to_fit();                        // idle connections hold no buffer
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](const Error& failed) {
    if (self->state_ != State::kAwaitingRequest) return;
    if (failed) return self->Close();
    self->BeginRequest();
  });
}

void Session::BeginRequest() {
  EnterState(State::kReading, timeouts().request_read);
  empty_line_bytes_ = 0;
  ReadHeader();
}

void Session::ReadHeader() {
  head_only_ = http_1_0_ = false;
  parser_.emplace();
  parser_->header_limit(kMaxRequestHeader);
  parser_->body_limit(boost::none);  // large bodies are streamed
  http::async_read_header(socket_, buffer_, *parser_,
                          [self = shared_from_this()](const Error& failed, std::size_t) {
                            if (self->state_ != State::kReading) return;
                            if (failed == http::error::bad_method && self->SkipEmptyLines())
                              return self->ReadHeader();
                            if (failed) return self->OnReadError(failed);
                            self->OnHeader();
                          });
}

// Skips empty lines before a request line (RFC 9112, 2.2), up to a limit. True if there were any.
bool Session::SkipEmptyLines() {
  const auto bytes = buffer_.data();
  const std::string_view text(static_cast<const char*>(bytes.data()), bytes.size());
  const std::size_t n = std::min(text.find_first_not_of("\r\n"), text.size());
  buffer_.consume(n);
  empty_line_bytes_ += n;
  return n > 0 && empty_line_bytes_ <= kMaxEmptyLineBytes;
}

void Session::OnHeader() {
  // Moved out now, because the parser adds trailers to the header fields later (RFC 9110, 6.5.1).
  header_ = std::move(parser_->get().base());
  head_only_ = header_.method() == http::verb::head;
  http_1_0_ = header_.version() < 11;
  close_after_response_ = http_1_0_ || !parser_->keep_alive();
  if (const auto rejection = CheckHeader(header_)) return Reject(rejection->status, rejection->text);
  rate_ = kestrelline::bodies::MinimumRate(timeouts().request_read, kMinUploadRate);
  const std::uint64_t length = parser_->content_length().value_or(0);
  const bool may_be_long = parser_->chunked() || length > kMaxBufferedBody;
  if (!ReserveFor(may_be_long ? 0 : static_cast<std::size_t>(length))) return RejectForMemory();
  if (boost::beast::iequals(header_[http::field::expect], "100-continue") && !http_1_0_)
    return SendContinue();
  ReadBody();
}

bool Session::ReserveFor(std::size_t body) {
  const std::size_t needed = body * kBodyCopies;
  if (needed <= reserved_bytes_) return true;
  if (!owner_->Reserve(needed - reserved_bytes_)) return false;
  reserved_bytes_ = needed;
  return true;
}

void Session::ReleaseMemory() {
  if (owner_) owner_->reserved_ -= std::exchange(reserved_bytes_, 0);
}

void Session::SendContinue() {
  const auto interim = std::make_shared<http::response<http::empty_body>>(http::status::continue_, 11);
  http::async_write(socket_, *interim,
                    [self = shared_from_this(), interim](const Error& failed, std::size_t) {
                      if (self->state_ != State::kReading) return;
                      if (failed) return self->Close();
                      self->ReadBody();
                    });
}

void Session::ReadBody() {
  const std::uint64_t length = parser_->content_length().value_or(0);
  if (parser_->chunked() || length > kMaxBufferedBody) return ReadBodyStart();
  if (length > 0) {
    rate_.OnRead({}, static_cast<std::size_t>(length));
    EnterState(State::kReading, rate_.Remaining());
  }
  http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](const Error& failed, std::size_t) {
    if (self->state_ != State::kReading) return;
    if (failed) return self->OnReadError(failed);
    const auto now = Steady::now();
    if (auto request = self->ParseRequest(std::move(self->parser_->get().body()), true, now))
      self->SubmitRequest(std::move(*request));
  });
}

void Session::ReadBodyStart() {
  EnterState(State::kReading, rate_.Remaining());
  http::async_read_some(socket_, buffer_, *parser_,
                        [self = shared_from_this()](const Error& failed, std::size_t n) {
                          if (self->state_ != State::kReading) return;
                          if (failed) return self->OnReadError(failed);
                          const auto now = Steady::now();
                          self->rate_.OnRead(now - self->state_since_, n);
                          std::string& body = self->parser_->get().body();
                          if (!self->ReserveFor(body.size())) return self->RejectForMemory();
                          if (self->parser_->is_done() && body.size() <= kMaxBufferedBody) {
                            if (auto request = self->ParseRequest(std::move(body), true, now))
                              self->SubmitRequest(std::move(*request));
                          } else if (body.size() < kestrelline::bodies::UploadProgress::kMaxBuffered) {
                            self->ReadBodyStart();
                          } else {
                            self->BeginUpload();
                          }
                        });
}

// Streams the body from here on: the rest is read when an attempt asks for it.
void Session::BeginUpload() {
  auto share = owner_->bodies_.Join();
  if (!share) return RejectForMemory();
  const auto now = Steady::now();
  const std::uint64_t length = parser_->content_length().value_or(0);
  const bool whole = parser_->is_done();
  std::string first = std::exchange(parser_->get().body(), {});
  const std::uint64_t left = length > first.size() ? length - first.size() : 0;
  auto request = ParseRequest({}, whole, now);
  if (!request) return;
  const auto deadline = request->due - now;
  request->upload = upload_ =
      std::make_shared<Upload>(std::move(first), whole, now, deadline, std::move(share));
  if (!whole) {
    const auto guess = length > 0 ? std::chrono::duration<double>(static_cast<double>(left) / kMinUploadRate)
                                  : std::chrono::duration<double>(3600);
    request->due += std::chrono::duration_cast<Steady::duration>(guess) + timeouts().request_read;
  }
  upload_->SetReadCallback([this] { ReadUploadPiece(); });
  SubmitRequest(std::move(*request));
}

void Session::ReadUploadPiece() {
  read_started_ = Steady::now();
  deadline_ = read_started_ + rate_.Remaining();
  FitBuffer(upload_->NextPieceSize(), &buffer_);
  http::async_read_some(socket_, buffer_, *parser_,
                        [self = shared_from_this(), upload = upload_](const Error& failed, std::size_t n) {
                          if (!self->AwaitsResponse() || self->upload_ != upload) return;
                          self->rate_.OnRead(Steady::now() - self->read_started_, n);
                          self->deadline_ = Steady::time_point::max();
                          self->OnUploadPiece(failed);
                        });
}

void Session::OnUploadPiece(const Error& failed) {
  if (failed) {
    if (IsMalformed(failed)) return AbortUpload(http::status::bad_request, "malformed");
    return OnDisconnect();
  }
  std::string& body = parser_->get().body();
  const bool last = parser_->is_done();
  if (body.empty() && !last) return ReadUploadPiece();
  const auto upload = upload_;
  const auto now = Steady::now();
  // The backend has not received the complete request.
  if (last && !owner_->life_.AcceptsRequest(now, now + upload->deadline()))
    return AbortUpload(http::status::service_unavailable, kNotAccepting);
  body_complete_ = last;
  upload->Add(std::exchange(body, {}), last, now);
  if (!AwaitsResponse() || upload_ != upload) return;
  if (upload->body_dropped()) ReleaseMemory();  // the upload has dropped its buffer
  if (last) WatchForDisconnect();
}

// Rejects a request whose body was not received completely; it has not been executed.
void Session::AbortUpload(http::status status, const char* text) {
  const auto id = request_;
  const auto self = shared_from_this();
  owner_->handler_.OnClientGone(id);  // first, so that the result of its attempt is ignored
  upload_->Break();
  if (AwaitsResponse()) Reject(status, text);
}

void Session::OnReadError(const Error& failed) {
  if (!IsMalformed(failed)) return Close();
  if (failed == http::error::body_limit) return Reject(http::status::payload_too_large, "too large");
  if (failed == http::error::header_limit || failed == http::error::buffer_overflow)
    return Reject(http::status::request_header_fields_too_large, "header too large");
  Reject(http::status::bad_request, "malformed");
}

// Returns nullopt if the request was rejected, or answered as a readiness probe; the response is then being
// written.
std::optional<ClientRequest> Session::ParseRequest(std::string body, bool whole, Steady::time_point at) {
  has_sent_request_ = true;
  body_complete_ = whole;
  HttpRequest message;
  message.base() = std::move(header_);
  message.body() = std::move(body);
  const bool may_be_probe = message.method() == http::verb::get || message.method() == http::verb::head;
  if (may_be_probe && message.target() == "/ready") {
    Write(owner_->life_.Ready() ? Plain(http::status::ok, "ready\n")
                                : Plain(http::status::service_unavailable, "not ready\n"));
    return std::nullopt;
  }
  ClientRequest request;
  const auto rejection =
      ParseClientRequest(std::move(message), at, owner_->config_, &request, /*body_follows=*/!whole);
  class_ = request.request_class;
  if (rejection) {
    Reject(rejection->status, rejection->text);
    return std::nullopt;
  }
  const auto id = request.message["Req-Id"];
  if (owner_->handler_.IsOpen({id.data(), id.size()})) {
    Reject(http::status::conflict, "Req-Id is that of an open request");
    return std::nullopt;
  }
  // The end of an incomplete body is not known.
  if (!owner_->life_.AcceptsRequest(at, whole ? request.due : Steady::time_point::max())) {
    Reject(http::status::service_unavailable, kNotAccepting);
    return std::nullopt;
  }
  return request;
}

void Session::SubmitRequest(ClientRequest request) {
  EnterState(State::kAwaitingResponse, std::nullopt);
  counted_active_ = true;
  poll_for_disconnect_ = true;
  owner_->figures_.OnRequestStarted();
  request_ = 0;
  const auto id = owner_->handler_.OnRequest(std::move(request), shared_from_this());
  if (state_ != State::kAwaitingResponse) return;
  request_ = id;
  if (!upload_) WatchForDisconnect();
}

// Detects a client that disconnects while its request is pending. Pipelined bytes end this wait and are not
// parsed before the response; after that, each sweep polls for the disconnect.
void Session::WatchForDisconnect() {
  poll_for_disconnect_ = false;
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), id = request_](const Error& failed) {
    if (failed || !self->AwaitsResponse() || self->request_ != id) return;
    if (self->ClientClosed()) return self->OnDisconnect();
    self->poll_for_disconnect_ = true;
  });
}

void Session::CheckForDisconnect() {
  if (!AwaitsResponse() || !poll_for_disconnect_) return;
  if (ClientClosed()) return OnDisconnect();
  if (!upload_) ReadAhead();
}

// A disconnect is not visible while pipelined bytes fill the socket buffer, so they are read: into the
// request buffer as long as there is room. Beyond that, all input is discarded and the connection closes
// after the pending response.
void Session::ReadAhead() {
  Error error;
  for (std::size_t left = kMaxReadAheadPerSweep; left > 0 && !error;) {
    const std::size_t ahead = std::min(socket_.available(error), left);
    if (ahead == 0) return;
    const std::size_t room = close_after_response_ ? 0 : std::min(buffer_.max_size() - buffer_.size(), ahead);
    if (room == 0 || !owner_->Reserve(room)) {
      close_after_response_ = true;
      discard_buffer_.resize(kDiscardBuffer);
      left -= std::min(left, socket_.read_some(asio::buffer(discard_buffer_), error));
      continue;
    }
    reserved_bytes_ += room;
    const std::size_t n = socket_.read_some(buffer_.prepare(room), error);
    buffer_.commit(n);
    left -= n;
  }
}

// Cancel the request before closing: a body that was cut off must not be sent again.
void Session::OnDisconnect() {
  const auto self = shared_from_this();
  owner_->handler_.OnClientGone(request_);
  Close();
}

bool Session::ClientClosed() const {
  if (state_ == State::kClosed) return true;
  pollfd query{const_cast<Tcp::socket&>(socket_).native_handle(), POLLRDHUP, 0};
  return ::poll(&query, 1, 0) > 0 && (query.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

// The connection closes after an error: what follows may be the rest of an unreadable message.
void Session::Reject(http::status status, std::string text) {
  close_after_response_ = true;
  Write(Plain(status, std::move(text) + '\n'));
}

void Session::BeginResponse(Steady::duration timeout) {
  EnterState(State::kWriting, timeout);
  const bool whole = std::exchange(body_complete_, false);
  if (const auto upload = std::exchange(upload_, nullptr)) upload->SetReadCallback(nullptr);
  if (!whole) close_after_response_ = true;  // the rest of the request would follow
  // Near the connection limit, idle kept-alive clients would keep their places for evict_idle, while new
  // clients time out in the kernel's queue.
  close_after_response_ |= owner_->life_.ClosesAfterResponse() || owner_->NearConnectionLimit();
  Error ignored;
  socket_.cancel(ignored);  // the wait of WatchForDisconnect
}

void Session::RejectForMemory() {
  Reject(http::status::service_unavailable, "no memory for this now; trying again is harmless");
}

void Session::Write(HttpResponse response) {
  response_ = std::move(response);
  // For a request that was rejected early, the class may be known from its path.
  if (const auto target = header_.target(); class_ < 0 && !target.empty())
    class_ = ClassOfTarget({target.data(), target.size()}, owner_->config_);
  owner_->figures_.OnRequestOutcome(class_, EndingOf(response_.result()));
  BeginResponse(timeouts().response_write);
  response_.keep_alive(!close_after_response_);
  response_.prepare_payload();
  if (head_only_) response_.body().clear();  // Content-Length stays (RFC 9110, 9.3.2)
  http::async_write(socket_, response_, [self = shared_from_this()](const Error& failed, std::size_t) {
    if (self->state_ != State::kWriting) return;
    self->response_ = {};
    self->AfterResponse(static_cast<bool>(failed));
  });
}

void Session::AfterResponse(bool failed) {
  FinishRequest();
  if (failed) return Close();
  if (close_after_response_) return LingeringClose();
  AwaitRequest(timeouts().keep_alive);
  if (owner_->accept_blocked_) owner_->Accept();
}

void Session::StreamResponse(HttpResponse head, std::shared_ptr<BodySource> rest,
                             std::optional<std::uint64_t> length) {
  BeginResponse(kStallTimeout);
  source_ = std::move(rest);
  chunked_ = !length && !http_1_0_;
  if (length) {
    head.content_length(*length);
  } else {
    head.chunked(chunked_);  // for HTTP/1.0 the body ends with the connection
  }
  head.keep_alive(!close_after_response_);
  std::ostringstream text;
  text << head.base();
  stream_buffer_ = std::move(text).str();
  AppendPiece(head.body(), false);
  WriteStream();
}

void Session::AppendPiece(std::string_view bytes, bool last) {
  stream_ends_ = last;
  if (chunked_) return AppendChunk(bytes, last, &stream_buffer_);
  stream_buffer_.append(bytes);
}

// Writes as fast as the client reads; the timeout restarts with each byte that it accepts.
void Session::WriteStream() {
  deadline_ = Steady::now() + kStallTimeout;
  socket_.async_write_some(
      asio::buffer(stream_buffer_.data() + stream_written_, stream_buffer_.size() - stream_written_),
      [self = shared_from_this()](const Error& failed, std::size_t n) {
        if (self->state_ != State::kWriting) return;
        if (failed) return self->ResetConnection();
        self->stream_written_ += n;
        if (self->stream_written_ < self->stream_buffer_.size()) return self->WriteStream();
        self->stream_buffer_.clear();
        self->stream_written_ = 0;
        if (self->stream_ends_) {
          self->source_ = nullptr;
          self->stream_buffer_ = {};
          self->owner_->figures_.OnRequestOutcome(self->class_,
                                                  kestrelline::management::RequestOutcome::kServed);
          return self->AfterResponse(false);
        }
        self->deadline_ = Steady::time_point::max();  // the backend connection has its own timeout
        self->source_->Next([self](BodySource::Piece piece) {
          if (self->state_ != State::kWriting) return;
          if (piece.broken) return self->ResetConnection();
          self->AppendPiece(piece.bytes, piece.last);
          self->WriteStream();
        });
      });
}

// Closes with a reset instead of an orderly close, so that the client cannot take the truncated response for
// a complete one.
void Session::ResetConnection() {
  owner_->figures_.OnRequestOutcome(class_, kestrelline::management::RequestOutcome::kFailed);
  Error ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

// Lingering close: closing a socket with unread or later input would send a reset, which may overtake the
// response.
void Session::LingeringClose() {
  EnterState(State::kLingering, timeouts().linger);
  Error ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  DiscardInput();
}
void Session::DiscardInput() {
  // Not into the request buffer: a cancelled read may still be in flight with that buffer.
  discard_buffer_.resize(kDiscardBuffer);
  socket_.async_read_some(asio::buffer(discard_buffer_),
                          [self = shared_from_this()](const Error& failed, std::size_t n) {
                            if (self->state_ != State::kLingering) return;
                            self->discarded_bytes_ += n;
                            if (failed || self->discarded_bytes_ > kMaxDiscarded) return self->Close();
                            self->DiscardInput();
                          });
}

}  // namespace kestrelline::proxy
