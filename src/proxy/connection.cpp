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

// For a server to take a piece of a body, or to send one.
constexpr std::chrono::seconds kMostStall{10};
constexpr int kMostInterim = 8;  // 1xx answers ahead of the final one

Steady::duration ToSteady(Duration d) { return std::chrono::ceil<Steady::duration>(d); }

// 503 and 504 alone may come from anything on the way; only the backend's own word proves that it never ran.
Outcome OutcomeOf(const http::response_header<>& response) {
  const unsigned status = response.result_int();
  if (status == 200) return Outcome::kOk;
  if ((status == 503 || status == 504) && response["Srv-Declined"] == "1") return Outcome::kFull;
  // What a backend says of the request is no failure of the backend's, and no other would say otherwise.
  if (status >= 400 && status < 500 && status != 408 && status != 429) return Outcome::kUnknown;
  return Outcome::kError;
}

bool SaysClose(const http::response_header<>& header) {
  return http::token_list(header[http::field::connection]).exists("close");
}

// No fault of a backend: this process, or this machine, has no more to give.
bool IsLocal(const Error& failed) {
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
  if (error) return FinishSoon(Outcome::kMoot);
  SetTimer(std::min(deadline_, Steady::now() + ToSteady(connect_timeout)));
  socket_.async_connect(address, [self = shared_from_this()](const Error& failed) {
    if (!self->done_) return;
    if (failed) {
      self->local_ = IsLocal(failed);
      return self->Finish(self->local_ ? Outcome::kMoot : Outcome::kConnectFailed);
    }
    if (!self->still_wanted_() || !self->owner_->IsCurrent(*self)) return self->Finish(Outcome::kMoot);
    self->SetTimer(self->deadline_);
    // What speaks before it is asked will not answer what it is asked.
    if (!self->Quiet()) return self->Finish(Outcome::kConnectFailed);
    self->Write();
  });
}

void Connection::Assign(std::shared_ptr<const HttpRequest> request, std::shared_ptr<Upload> upload,
                        Duration timeout, Duration hold, AttemptDone done, Backends::Wanted wanted) {
  ++use_;
  upload_ = std::move(upload);
  timeout_ = timeout;
  request_ = std::move(request);
  head_.base() = request_->base();
  head_.body() = {request_->body().data(), request_->body().size()};
  done_ = std::move(done);
  still_wanted_ = std::move(wanted);
  // Of a body that is still coming, the time counts from its last byte.
  deadline_ = Steady::now() + (upload_ ? Steady::duration(std::chrono::hours(1)) : ToSteady(timeout));
  hold_ = hold;
  written_ = begun_ = holding_ = answered_ = reading_ = passing_ = broken_ = local_ = false;
  interim_ = 0;
}

void Connection::Reuse() {
  Error ignored;
  socket_.cancel(ignored);  // the watch for its end
  SetTimer(deadline_);
  Write();
}

void Connection::Abandon(std::uint64_t use) {
  if (done_ && use == use_ && !written_) Finish(Outcome::kMoot);
}

void Connection::AbandonUnwritten() {
  if (!done_ || first_byte_ != Steady::time_point()) return;
  asio::post(owner_->io_, [self = shared_from_this(), use = use_] { self->Abandon(use); });
}

void Connection::FinishSoon(Outcome outcome) {
  local_ = outcome == Outcome::kMoot;
  asio::post(owner_->io_, [self = shared_from_this(), outcome] { self->Finish(outcome); });
}

bool Connection::Quiet() {
  Error error;
  char byte;
  socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return error == asio::error::would_block || error == asio::error::try_again;
}

void Connection::WatchIdle(Duration at_most) {
  idle_since_ = Steady::now();
  SetTimer(idle_since_ + ToSteady(at_most));
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), use = use_](const Error&) {
    if (use == self->use_) self->Close();  // its end, or an answer that nobody asked for
  });
}

void Connection::Close() {
  if (closed_) return;
  closed_ = true;
  Error ignored;
  socket_.close(ignored);
  timer_.cancel();
  if (owner_) owner_->Drop(this);
}

void Connection::Orphan() {
  owner_ = nullptr;
  done_ = nullptr;
  Close();
}

void Connection::SetTimer(Steady::time_point at) {
  timer_.expires_at(at);
  timer_.async_wait([self = shared_from_this()](const Error& cancelled) {
    if (cancelled || self->closed_ || Steady::now() < self->timer_.expiry()) return;
    if (self->passing_) return self->BreakAnswer();
    if (!self->done_) return self->Close();  // idle for too long
    if (self->holding_ && self->timer_.expiry() < self->deadline_) return self->WriteLast();
    // It comes too slowly to be gathered: what there is of it passes.
    if (self->begun_ && self->reading_ && self->BeginToPass()) return;
    // Nothing has run unless the last byte was written.
    self->Finish(!self->written_                                           ? Outcome::kConnectFailed
                 : self->begun_ && self->timer_.expiry() < self->deadline_ ? Outcome::kReset
                                                                           : Outcome::kTimeout);
  });
}

void Connection::Write() {
  first_byte_ = Steady::now();
  // What is left now: the connection may have taken its time to come up, and no part of a millisecond is
  // more.
  const Duration left = upload_ ? timeout_ : deadline_ - first_byte_;
  head_.set("Req-Deadline-Ms", std::to_string(static_cast<long long>(std::max(left.count(), 0.0))));
  if (upload_) return WriteUpload();
  if (hold_.count() > 0) return WriteButLast();
  http::async_write(socket_, head_, [self = shared_from_this()](const Error& failed, std::size_t) {
    if (!self->done_) return;
    if (failed) return self->Finish(Outcome::kConnectFailed);
    self->Written();
    self->AwaitAnswer();
  });
}

void Connection::WriteButLast() {
  std::ostringstream text;
  text << head_.base();
  whole_ = std::move(text).str();
  whole_.append(head_.body().data(), head_.body().size());
  holding_ = true;
  asio::async_write(socket_, asio::buffer(whole_.data(), whole_.size() - 1),
                    [self = shared_from_this()](const Error& failed, std::size_t) {
                      if (!self->done_) return;
                      if (failed) return self->Finish(Outcome::kConnectFailed);
                      self->SetTimer(std::min(self->deadline_, self->first_byte_ + ToSteady(self->hold_)));
                      self->WatchHeld();
                    });
}

void Connection::Written() {
  written_ = true;
  last_byte_ = Steady::now();
  owner_->limits_.on_written();
}

void Connection::WatchHeld() {
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), use = use_](const Error& failed) {
    if (!self->done_ || use != self->use_ || !self->holding_ || failed == asio::error::operation_aborted)
      return;
    // An answer ahead of the last byte is one: it is read when that is written.
    if (failed || self->PeerEnded()) return self->Finish(Outcome::kConnectFailed);
  });
}

void Connection::WriteLast() {
  // The server's end may have come in this very turn, and so may the client's.
  if (PeerEnded()) return Finish(Outcome::kConnectFailed);
  if (!still_wanted_()) return Finish(Outcome::kMoot);
  holding_ = false;
  SetTimer(deadline_);
  Error ignored;
  socket_.cancel(ignored);  // the watch
  asio::async_write(socket_, asio::buffer(&whole_.back(), 1),
                    [self = shared_from_this()](const Error& failed, std::size_t) {
                      if (!self->done_) return;
                      if (failed) return self->Finish(Outcome::kConnectFailed);
                      self->Written();
                      self->AwaitAnswer();
                    });
}

void Connection::AwaitAnswer() {
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), use = use_](const Error& failed) {
    if (!self->done_ || use != self->use_) return;
    if (failed || (!self->written_ && self->PeerEnded())) return self->Finish(self->Broken());
    self->begun_ = true;
    self->SetTimer(std::min(self->deadline_, Steady::now() + self->owner_->limits_.timeouts.response_read));
    self->Read();
  });
}

void Connection::Read() {
  parser_.emplace();
  parser_->body_limit(boost::none);  // small ones are measured, others pass
  parser_->header_limit(kMostAnswerHeader);
  http::async_read_header(socket_, buffer_, *parser_,
                          [self = shared_from_this()](const Error& failed, std::size_t) {
                            if (!self->done_) return;
                            if (failed) return self->Finish(self->Broken());
                            self->OnHeader();
                          });
}

void Connection::OnHeader() {
  const auto& header = parser_->get();
  if (header.result_int() < 200) {
    // The final answer is still to come; but nothing here asked to switch protocols.
    if (header.result() == http::status::switching_protocols || ++interim_ > kMostInterim)
      return Finish(Broken());
    if (buffer_.size() > 0) return Read();
    begun_ = false;  // it may take its time again
    if (written_) SetTimer(deadline_);
    return AwaitAnswer();
  }
  // An answer that only the connection's end delimits cannot be told from one cut short, unless its server
  // says that it is to end so (RFC 9112, 6.3).
  const bool by_end = parser_->need_eof() && !parser_->chunked();
  if (!FramingIsPlain(header, header.version()) || (by_end && header.version() >= 11 && !SaysClose(header)))
    return Finish(Broken());
  // What it says of a request that has not come whole is the answer all the same; nobody wants the rest.
  answered_ = true;
  if (!written_) {
    upload_->Drop();
    SetTimer(Steady::now() + owner_->limits_.timeouts.response_read);
  }
  if (!by_end && !parser_->chunked() && parser_->content_length().value_or(0) <= kMostBody)
    return ReadWhole();
  ReadPiece();
}

void Connection::ReadWhole() {
  http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](const Error& failed, std::size_t) {
    if (self->done_) self->OnGathered(failed);
  });
}

void Connection::ReadPiece() {
  reading_ = true;
  if (passing_) {
    FitBuffer(share_->Renew(), &buffer_);
    SetTimer(Steady::now() + kMostStall);
  }
  http::async_read_some(socket_, buffer_, *parser_,
                        [self = shared_from_this()](const Error& failed, std::size_t) {
                          self->reading_ = false;
                          if (self->passing_) return self->OnPassed(failed);
                          if (self->done_) self->OnGathered(failed);
                        });
}

// More of an answer that has not begun to pass.
void Connection::OnGathered(const Error& failed) {
  if (failed) return Finish(Broken());
  std::string& body = parser_->get().body();
  if (parser_->is_done() && body.size() <= kMostBody) {
    reusable_ = written_ && parser_->keep_alive() && !parser_->need_eof() && buffer_.size() == 0;
    const Outcome outcome = OutcomeOf(parser_->get());
    HttpResponse response;
    response.base() = std::move(parser_->get().base());
    response.body() = std::move(body);
    return Finish(outcome, std::move(response));
  }
  const bool is_long = body.size() > kMostBody || parser_->content_length().value_or(0) > kMostBody;
  if (is_long && BeginToPass()) return;
  ReadPiece();
}

bool Connection::BeginToPass() {
  const Outcome outcome = OutcomeOf(parser_->get());
  HttpResponse response;
  if (outcome != Outcome::kOk) {  // its body is of no use to anybody
    response.base() = std::move(parser_->get().base());
    Finish(outcome, std::move(response));
    return true;
  }
  if (parser_->get().body().empty()) return false;
  share_ = owner_->limits_.bodies ? owner_->limits_.bodies->Join() : nullptr;
  if (!share_) {  // for want of room here the server is not to blame: as if it had been given up
    Finish(Outcome::kCancelled);
    return true;
  }
  passing_ = true;
  timer_.cancel();
  const AttemptDone done = std::exchange(done_, nullptr);
  AttemptResult result;
  result.outcome = outcome;
  result.written = Steady::now() - first_byte_;
  result.answering = written_ ? Duration(Steady::now() - last_byte_) : Duration(0);
  if (const auto length = parser_->content_length()) result.length = *length;
  response.base() = parser_->get().base();  // the parser goes on
  response.body() = std::exchange(parser_->get().body(), {});
  result.response = std::move(response);
  result.rest = shared_from_this();
  first_byte_ = {};
  done(std::move(result));
  return true;
}

void Connection::Next(OnPiece on_piece) {
  if (broken_ || closed_) return on_piece({{}, false, true});
  wanted_ = std::move(on_piece);
  if (reading_) return;
  if (parser_->is_done() || !parser_->get().body().empty()) return OnPassed({});
  ReadPiece();
}

void Connection::OnPassed(const Error& failed) {
  if (failed) return BreakAnswer();
  if (!wanted_) return;  // it is asked for later
  std::string& body = parser_->get().body();
  const bool last = parser_->is_done();
  if (body.empty() && !last) return ReadPiece();
  timer_.cancel();
  const OnPiece wanted = std::exchange(wanted_, nullptr);
  Piece piece{std::exchange(body, {}), last, false};
  if (last) {
    passing_ = false;
    share_.reset();
    if (written_ && parser_->keep_alive() && !parser_->need_eof() && buffer_.size() == 0 && owner_) {
      Rest();
      owner_->Keep(shared_from_this());
    } else {
      Close();
    }
  }
  wanted(std::move(piece));
}

void Connection::BreakAnswer() {
  broken_ = true;
  passing_ = false;
  share_.reset();
  Close();
  if (const OnPiece wanted = std::exchange(wanted_, nullptr)) wanted({{}, false, true});
}

void Connection::Drop() {
  wanted_ = nullptr;
  if (!passing_) return;
  passing_ = false;
  share_.reset();
  Close();
}

// What stands idle keeps no memory.
void Connection::Rest() {
  request_ = {};
  upload_ = {};
  whole_ = piece_ = {};
  head_ = {};
  parser_.reset();
  buffer_.clear();
  buffer_.shrink_to_fit();
}

bool Connection::PeerEnded() {
  Error error;
  char byte;
  const std::size_t n = socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return (error && error != asio::error::would_block) || (!error && n == 0);
}

void Connection::WriteUpload() {
  if (!upload_->Begin()) {
    local_ = true;
    return Finish(Outcome::kMoot);
  }
  std::ostringstream text;
  text << head_.base();
  whole_ = std::move(text).str();
  SetTimer(Steady::now() + kMostStall);
  AwaitAnswer();
  asio::async_write(socket_, asio::buffer(whole_),
                    [self = shared_from_this()](const Error& failed, std::size_t) {
                      if (!self->done_) return;
                      if (failed) return self->OnWriteFailed();
                      self->Pump();
                    });
}

void Connection::Pump() {
  if (answered_) return;
  timer_.cancel();  // the client has a time limit of its own
  upload_->Next([self = shared_from_this(), use = use_](Piece piece) {
    if (self->done_ && use == self->use_ && !self->answered_) self->WritePiece(std::move(piece));
  });
}

void Connection::WritePiece(Piece piece) {
  if (piece.broken) return Finish(Outcome::kCancelled);
  if (head_.chunked()) {
    piece_.clear();
    AppendChunk(piece.bytes, piece.last, &piece_);
  } else {
    piece_ = std::move(piece.bytes);
  }
  SetTimer(Steady::now() + kMostStall);
  asio::async_write(socket_, asio::buffer(piece_),
                    [self = shared_from_this(), last = piece.last](const Error& failed, std::size_t) {
                      if (!self->done_) return;
                      if (failed) return self->OnWriteFailed();
                      if (!last) return self->Pump();
                      self->Written();
                      self->deadline_ =
                          std::min(self->upload_->due(), Steady::now() + ToSteady(self->timeout_));
                      if (!self->answered_) self->SetTimer(self->deadline_);
                    });
}

// A server that reads no further may have answered: what there is to read is looked at first.
void Connection::OnWriteFailed() {
  Error error;
  if (!answered_ && socket_.available(error) == 0) return Finish(Outcome::kConnectFailed);
  SetTimer(Steady::now() + owner_->limits_.timeouts.response_read);
}

void Connection::Finish(Outcome outcome, HttpResponse response) {
  if (!done_) return;
  const auto self = shared_from_this();
  const AttemptDone done = std::exchange(done_, nullptr);
  // Where the attempt was given up, a write or a read may be on its way, and have its bytes already: what
  // it uses goes with the connection.
  const bool broke = (outcome == Outcome::kReset || outcome == Outcome::kConnectFailed) &&
                     first_byte_ != Steady::time_point() && !(parser_ && parser_->got_some());
  const Duration written = first_byte_ == Steady::time_point() ? Duration(0) : Steady::now() - first_byte_;
  first_byte_ = {};
  holding_ = false;
  const Duration answering = written_ ? Duration(Steady::now() - last_byte_) : Duration(0);
  if (upload_) upload_->Drop();
  if (reusable_) Rest();
  // Closed before anybody hears of the end: the next attempt must not find this one on an open connection.
  if (std::exchange(reusable_, false) && owner_) {
    owner_->Keep(self);
  } else {
    Close();
  }
  // Where one answer stays away, the idle connections may lead nowhere too.
  if (outcome == Outcome::kTimeout && owner_) owner_->CloseIdle(server_);
  AttemptResult result;
  result.outcome = outcome;
  result.response = std::move(response);
  result.local = local_;
  result.broke = broke;
  result.written = written;
  result.answering = answering;
  done(std::move(result));
}

}  // namespace kestrelline::proxy
