// SPDX-License-Identifier: Apache-2.0
#include "connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <cmath>
#include <sstream>
#include <utility>

#include "pieces.h"

namespace kestrelline::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

// For a backend to accept a piece of a request body, or to send a piece of a response.
constexpr std::chrono::seconds kStallTimeout{10};
constexpr int kMaxInterimResponses = 8;  // 1xx responses before the final one

Steady::duration ToSteady(Duration d) { return std::chrono::ceil<Steady::duration>(d); }

// 503 and 504 alone may come from any intermediary; only the backend's Srv-Declined header proves that the
// request was not executed.
Outcome OutcomeOf(const http::response_header<>& response) {
  const unsigned status = response.result_int();
  if (status == 200) return Outcome::kOk;
  if ((status == 503 || status == 504) && response["Srv-Declined"] == "1") return Outcome::kFull;
  // A rejected request is not a failure of the backend, and other backends would reject it as well.
  if (status >= 400 && status < 500 && status != 408 && status != 429) return Outcome::kUnknown;
  return Outcome::kError;
}

bool HasConnectionClose(const http::response_header<>& header) {
  return http::token_list(header[http::field::connection]).exists("close");
}

// Whether the error is an exhausted resource of this process or machine, and not the fault of a backend.
bool IsLocalFailure(const Error& failed) {
  return failed == asio::error::no_descriptors || failed == asio::error::no_buffer_space ||
         failed == asio::error::no_memory || failed == boost::system::errc::too_many_files_open_in_system ||
         failed == boost::system::errc::address_not_available;
}

}  // namespace

void Connection::Open(const Tcp::endpoint& address, Duration connect_timeout) {
  Error error;
  socket_.open(address.protocol(), error);
  if (!error) socket_.set_option(Tcp::no_delay(true), error);
  if (!error) socket_.non_blocking(true, error);
  if (error) return PostFinish(Outcome::kMoot);
  SetTimer(std::min(deadline_, Steady::now() + ToSteady(connect_timeout)));
  socket_.async_connect(address, [self = shared_from_this()](const Error& failed) {
    if (!self->on_done_) return;
    if (failed) {
      self->local_failure_ = IsLocalFailure(failed);
      return self->Finish(self->local_failure_ ? Outcome::kMoot : Outcome::kConnectFailed);
    }
    if (!self->still_wanted_() || !self->owner_->IsCurrent(*self)) return self->Finish(Outcome::kMoot);
    self->SetTimer(self->deadline_);
    // Bytes that arrive before the request is sent cannot be its response.
    if (!self->IsQuiet()) return self->Finish(Outcome::kConnectFailed);
    self->WriteRequest();
  });
}

void Connection::Assign(std::shared_ptr<const HttpRequest> request, std::shared_ptr<Upload> upload,
                        Duration timeout, Duration hold, AttemptDone done, Backends::Wanted wanted) {
  ++use_;
  upload_ = std::move(upload);
  timeout_ = timeout;
  request_ = std::move(request);
  header_.base() = request_->base();
  header_.body() = {request_->body().data(), request_->body().size()};
  on_done_ = std::move(done);
  still_wanted_ = std::move(wanted);
  // For a streamed request body, the timeout counts from its last byte; see WriteUploadPiece.
  deadline_ = Steady::now() + (upload_ ? Steady::duration(std::chrono::hours(1)) : ToSteady(timeout));
  hold_ = hold;
  request_written_ = response_started_ = holding_last_byte_ = final_header_read_ = read_in_flight_ =
      streaming_ = stream_broken_ = local_failure_ = false;
  interim_responses_ = 0;
}

void Connection::Reuse() {
  Error ignored;
  socket_.cancel(ignored);  // the wait of WatchIdle
  SetTimer(deadline_);
  WriteRequest();
}

void Connection::Abandon(std::uint64_t use) {
  if (on_done_ && use == use_ && !request_written_) Finish(Outcome::kMoot);
}

void Connection::AbandonUnwritten() {
  if (!on_done_ || first_byte_at_ != Steady::time_point()) return;
  asio::post(owner_->io_, [self = shared_from_this(), use = use_] { self->Abandon(use); });
}

void Connection::PostFinish(Outcome outcome) {
  local_failure_ = outcome == Outcome::kMoot;
  asio::post(owner_->io_, [self = shared_from_this(), outcome] { self->Finish(outcome); });
}

bool Connection::IsQuiet() {
  Error error;
  char byte;
  socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return error == asio::error::would_block || error == asio::error::try_again;
}

void Connection::WatchIdle(Duration at_most) {
  idle_since_ = Steady::now();
  SetTimer(idle_since_ + ToSteady(at_most));
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), use = use_](const Error&) {
    if (use == self->use_) self->Close();  // closed by the backend, or unexpected bytes
  });
}

void Connection::Close() {
  if (closed_) return;
  closed_ = true;
  Error ignored;
  socket_.close(ignored);
  timer_.cancel();
  if (owner_) owner_->Remove(this);
}

void Connection::Detach() {
  owner_ = nullptr;
  on_done_ = nullptr;
  Close();
}

void Connection::SetTimer(Steady::time_point at) {
  timer_.expires_at(at);
  timer_.async_wait([self = shared_from_this()](const Error& cancelled) {
    if (cancelled || self->closed_ || Steady::now() < self->timer_.expiry()) return;
    if (self->streaming_) return self->FailStream();
    if (!self->on_done_) return self->Close();  // idle timeout
    if (self->holding_last_byte_ && self->timer_.expiry() < self->deadline_) return self->WriteLastByte();
    // The response arrives too slowly to be buffered: stream what was read so far.
    if (self->response_started_ && self->read_in_flight_ && self->StartStreaming()) return;
    // The request cannot have been executed unless its last byte was written.
    self->Finish(!self->request_written_ ? Outcome::kConnectFailed
                 : self->response_started_ && self->timer_.expiry() < self->deadline_ ? Outcome::kReset
                                                                                      : Outcome::kTimeout);
  });
}

void Connection::WriteRequest() {
  first_byte_at_ = Steady::now();
  // Send the time that is left now, since connecting may have taken long. Rounded down.
  const Duration left = upload_ ? timeout_ : deadline_ - first_byte_at_;
  header_.set("Req-Deadline-Ms", std::to_string(static_cast<long long>(std::max(left.count(), 0.0))));
  if (upload_) return WriteUpload();
  if (hold_.count() > 0) return WriteAllButLastByte();
  http::async_write(socket_, header_, [self = shared_from_this()](const Error& failed, std::size_t) {
    if (!self->on_done_) return;
    if (failed) return self->Finish(Outcome::kConnectFailed);
    self->OnRequestWritten();
    self->AwaitResponse();
  });
}

void Connection::WriteAllButLastByte() {
  std::ostringstream text;
  text << header_.base();
  serialized_ = std::move(text).str();
  serialized_.append(header_.body().data(), header_.body().size());
  holding_last_byte_ = true;
  asio::async_write(socket_, asio::buffer(serialized_.data(), serialized_.size() - 1),
                    [self = shared_from_this()](const Error& failed, std::size_t) {
                      if (!self->on_done_) return;
                      if (failed) return self->Finish(Outcome::kConnectFailed);
                      self->SetTimer(std::min(self->deadline_, self->first_byte_at_ + ToSteady(self->hold_)));
                      self->WatchWhileHolding();
                    });
}

void Connection::OnRequestWritten() {
  request_written_ = true;
  last_byte_at_ = Steady::now();
  owner_->limits_.on_written();
}

void Connection::WatchWhileHolding() {
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), use = use_](const Error& failed) {
    if (!self->on_done_ || use != self->use_ || !self->holding_last_byte_ ||
        failed == asio::error::operation_aborted)
      return;
    // A response may arrive before the last byte; it is read after that is written.
    if (failed || self->PeerClosed()) return self->Finish(Outcome::kConnectFailed);
  });
}

void Connection::WriteLastByte() {
  // Check again: the backend or the client may have disconnected in this iteration of the event loop.
  if (PeerClosed()) return Finish(Outcome::kConnectFailed);
  if (!still_wanted_()) return Finish(Outcome::kMoot);
  holding_last_byte_ = false;
  SetTimer(deadline_);
  Error ignored;
  socket_.cancel(ignored);  // the wait of WatchWhileHolding
  asio::async_write(socket_, asio::buffer(&serialized_.back(), 1),
                    [self = shared_from_this()](const Error& failed, std::size_t) {
                      if (!self->on_done_) return;
                      if (failed) return self->Finish(Outcome::kConnectFailed);
                      self->OnRequestWritten();
                      self->AwaitResponse();
                    });
}

void Connection::AwaitResponse() {
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), use = use_](const Error& failed) {
    if (!self->on_done_ || use != self->use_) return;
    if (failed || (!self->request_written_ && self->PeerClosed()))
      return self->Finish(self->OutcomeOfBreak());
    self->response_started_ = true;
    self->SetTimer(std::min(self->deadline_, Steady::now() + self->owner_->limits_.timeouts.response_read));
    self->ReadHeader();
  });
}

void Connection::ReadHeader() {
  parser_.emplace();
  parser_->body_limit(boost::none);  // small bodies are limited while buffering, others are streamed
  parser_->header_limit(kMaxResponseHeader);
  http::async_read_header(socket_, buffer_, *parser_,
                          [self = shared_from_this()](const Error& failed, std::size_t) {
                            if (!self->on_done_) return;
                            if (failed) return self->Finish(self->OutcomeOfBreak());
                            self->OnHeader();
                          });
}

void Connection::OnHeader() {
  const auto& header = parser_->get();
  if (header.result_int() < 200) {
    // An interim response. The proxy never asks to switch protocols.
    if (header.result() == http::status::switching_protocols || ++interim_responses_ > kMaxInterimResponses)
      return Finish(OutcomeOfBreak());
    if (buffer_.size() > 0) return ReadHeader();
    response_started_ = false;  // response_read starts again with the next response
    if (request_written_) SetTimer(deadline_);
    return AwaitResponse();
  }
  // A response that is delimited by the end of the connection cannot be told from a truncated one, unless the
  // backend announces the close (RFC 9112, 6.3).
  const bool by_end = parser_->need_eof() && !parser_->chunked();
  if (!FramingIsUnambiguous(header, header.version()) ||
      (by_end && header.version() >= 11 && !HasConnectionClose(header)))
    return Finish(OutcomeOfBreak());
  // A response before the end of the request body is final; the rest of the body is not sent.
  final_header_read_ = true;
  if (!request_written_) {
    upload_->Drop();
    SetTimer(Steady::now() + owner_->limits_.timeouts.response_read);
  }
  if (!by_end && !parser_->chunked() && parser_->content_length().value_or(0) <= kMaxBufferedBody)
    return ReadWholeBody();
  ReadBodyPiece();
}

void Connection::ReadWholeBody() {
  http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](const Error& failed, std::size_t) {
    if (self->on_done_) self->OnBufferedRead(failed);
  });
}

void Connection::ReadBodyPiece() {
  read_in_flight_ = true;
  if (streaming_) {
    FitBuffer(share_->ReservePiece(), &buffer_);
    SetTimer(Steady::now() + kStallTimeout);
  }
  http::async_read_some(socket_, buffer_, *parser_,
                        [self = shared_from_this()](const Error& failed, std::size_t) {
                          self->read_in_flight_ = false;
                          if (self->streaming_) return self->OnStreamedRead(failed);
                          if (self->on_done_) self->OnBufferedRead(failed);
                        });
}

// Handles more of a response that is not streamed yet.
void Connection::OnBufferedRead(const Error& failed) {
  if (failed) return Finish(OutcomeOfBreak());
  std::string& body = parser_->get().body();
  if (parser_->is_done() && body.size() <= kMaxBufferedBody) {
    reusable_ = request_written_ && parser_->keep_alive() && !parser_->need_eof() && buffer_.size() == 0;
    const Outcome outcome = OutcomeOf(parser_->get());
    HttpResponse response;
    response.base() = std::move(parser_->get().base());
    response.body() = std::move(body);
    return Finish(outcome, std::move(response));
  }
  const bool is_long =
      body.size() > kMaxBufferedBody || parser_->content_length().value_or(0) > kMaxBufferedBody;
  if (is_long && StartStreaming()) return;
  ReadBodyPiece();
}

bool Connection::StartStreaming() {
  const Outcome outcome = OutcomeOf(parser_->get());
  HttpResponse response;
  if (outcome != Outcome::kOk) {  // the body of an error response is not forwarded
    response.base() = std::move(parser_->get().base());
    Finish(outcome, std::move(response));
    return true;
  }
  if (parser_->get().body().empty()) return false;
  share_ = owner_->limits_.bodies ? owner_->limits_.bodies->Join() : nullptr;
  if (!share_) {  // out of memory for streams: not the fault of the backend, so treated as cancelled
    Finish(Outcome::kCancelled);
    return true;
  }
  streaming_ = true;
  timer_.cancel();
  const AttemptDone done = std::exchange(on_done_, nullptr);
  AttemptResult result;
  result.outcome = outcome;
  result.since_first_byte = Steady::now() - first_byte_at_;
  result.since_last_byte = request_written_ ? Duration(Steady::now() - last_byte_at_) : Duration(0);
  if (const auto length = parser_->content_length()) result.length = *length;
  response.base() = parser_->get().base();  // the parser still needs its own
  response.body() = std::exchange(parser_->get().body(), {});
  result.response = std::move(response);
  result.rest_of_body = shared_from_this();
  first_byte_at_ = {};
  done(std::move(result));
  return true;
}

void Connection::Next(OnPiece on_piece) {
  if (stream_broken_ || closed_) return on_piece({{}, false, true});
  on_piece_ = std::move(on_piece);
  if (read_in_flight_) return;
  if (parser_->is_done() || !parser_->get().body().empty()) return OnStreamedRead({});
  ReadBodyPiece();
}

void Connection::OnStreamedRead(const Error& failed) {
  if (failed) return FailStream();
  if (!on_piece_) return;  // delivered with the next call of Next
  std::string& body = parser_->get().body();
  const bool last = parser_->is_done();
  if (body.empty() && !last) return ReadBodyPiece();
  timer_.cancel();
  const OnPiece wanted = std::exchange(on_piece_, nullptr);
  Piece piece{std::exchange(body, {}), last, false};
  if (last) {
    streaming_ = false;
    share_.reset();
    if (request_written_ && parser_->keep_alive() && !parser_->need_eof() && buffer_.size() == 0 && owner_) {
      ReleaseMemory();
      owner_->ReturnIdle(shared_from_this());
    } else {
      Close();
    }
  }
  wanted(std::move(piece));
}

void Connection::FailStream() {
  stream_broken_ = true;
  streaming_ = false;
  share_.reset();
  Close();
  if (const OnPiece wanted = std::exchange(on_piece_, nullptr)) wanted({{}, false, true});
}

void Connection::Drop() {
  on_piece_ = nullptr;
  if (!streaming_) return;
  streaming_ = false;
  share_.reset();
  Close();
}

// Idle connections hold no buffers.
void Connection::ReleaseMemory() {
  request_ = {};
  upload_ = {};
  serialized_ = upload_piece_ = {};
  header_ = {};
  parser_.reset();
  buffer_.clear();
  buffer_.shrink_to_fit();
}

bool Connection::PeerClosed() {
  Error error;
  char byte;
  const std::size_t n = socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return (error && error != asio::error::would_block) || (!error && n == 0);
}

void Connection::WriteUpload() {
  if (!upload_->Begin()) {
    local_failure_ = true;
    return Finish(Outcome::kMoot);
  }
  std::ostringstream text;
  text << header_.base();
  serialized_ = std::move(text).str();
  SetTimer(Steady::now() + kStallTimeout);
  AwaitResponse();
  asio::async_write(socket_, asio::buffer(serialized_),
                    [self = shared_from_this()](const Error& failed, std::size_t) {
                      if (!self->on_done_) return;
                      if (failed) return self->OnUploadWriteFailed();
                      self->PumpUpload();
                    });
}

void Connection::PumpUpload() {
  if (final_header_read_) return;
  timer_.cancel();  // the session limits the time of the client
  upload_->Next([self = shared_from_this(), use = use_](Piece piece) {
    if (self->on_done_ && use == self->use_ && !self->final_header_read_)
      self->WriteUploadPiece(std::move(piece));
  });
}

void Connection::WriteUploadPiece(Piece piece) {
  if (piece.broken) return Finish(Outcome::kCancelled);
  if (header_.chunked()) {
    upload_piece_.clear();
    AppendChunk(piece.bytes, piece.last, &upload_piece_);
  } else {
    upload_piece_ = std::move(piece.bytes);
  }
  SetTimer(Steady::now() + kStallTimeout);
  asio::async_write(socket_, asio::buffer(upload_piece_),
                    [self = shared_from_this(), last = piece.last](const Error& failed, std::size_t) {
                      if (!self->on_done_) return;
                      if (failed) return self->OnUploadWriteFailed();
                      if (!last) return self->PumpUpload();
                      self->OnRequestWritten();
                      self->deadline_ =
                          std::min(self->upload_->due(), Steady::now() + ToSteady(self->timeout_));
                      if (!self->final_header_read_) self->SetTimer(self->deadline_);
                    });
}

// A backend that stops reading may have responded already: read what is available first.
void Connection::OnUploadWriteFailed() {
  Error error;
  if (!final_header_read_ && socket_.available(error) == 0) return Finish(Outcome::kConnectFailed);
  SetTimer(Steady::now() + owner_->limits_.timeouts.response_read);
}

void Connection::Finish(Outcome outcome, HttpResponse response) {
  if (!on_done_) return;
  const auto self = shared_from_this();
  const AttemptDone done = std::exchange(on_done_, nullptr);
  // A write or read that is in flight for a cancelled attempt may already have transferred bytes, so its
  // buffers live as long as the connection.
  const bool connection_broke = (outcome == Outcome::kReset || outcome == Outcome::kConnectFailed) &&
                                first_byte_at_ != Steady::time_point() && !(parser_ && parser_->got_some());
  const Duration since_first_byte =
      first_byte_at_ == Steady::time_point() ? Duration(0) : Steady::now() - first_byte_at_;
  first_byte_at_ = {};
  holding_last_byte_ = false;
  const Duration since_last_byte = request_written_ ? Duration(Steady::now() - last_byte_at_) : Duration(0);
  if (upload_) upload_->Drop();
  if (reusable_) ReleaseMemory();
  // Close before reporting the result: the next attempt must not find this one on an open connection.
  if (std::exchange(reusable_, false) && owner_) {
    owner_->ReturnIdle(self);
  } else {
    Close();
  }
  // After a timeout the idle connections to the same backend may be dead as well.
  if (outcome == Outcome::kTimeout && owner_) owner_->CloseIdle(server_);
  AttemptResult result;
  result.outcome = outcome;
  result.response = std::move(response);
  result.local_failure = local_failure_;
  result.connection_broke = connection_broke;
  result.since_first_byte = since_first_byte;
  result.since_last_byte = since_last_byte;
  done(std::move(result));
}

}  // namespace kestrelline::proxy
