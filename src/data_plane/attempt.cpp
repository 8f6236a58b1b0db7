// SPDX-License-Identifier: Apache-2.0
#include "data_plane/attempt.h"

#include <utility>

namespace kestrelline::data_plane {
namespace {

using namespace http;

constexpr milliseconds kConnectPatience{350};
constexpr unsigned kMisdirected = 421;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kServerErrors = 500;

}  // namespace

Attempt::Attempt(EdgeState& state, BackendPtr backend) : state_(state), backend_(std::move(backend)) {}

Attempt::~Attempt() {
  if (in_flight_ && connection_) connection_->Abort();  // the backend stops with its connection
  Land();
}

void Attempt::Land() {
  if (!std::exchange(in_flight_, false)) return;
  --backend_->in_flight;
}

Awaitable<AttemptEnd> Attempt::Run(const std::string& head, const std::string& body,
                                   const std::string& request_id, steady_clock::time_point until) {
  connection_ = state_.pool.TakeIdle(backend_->info.id);
  if (!connection_) {
    connection_ = state_.pool.Create(backend_->info.address);
    const error_code failed =
        co_await connection_->Connect(std::min(until, steady_clock::now() + kConnectPatience));
    if (failed || aborted_) {
      if (!aborted_) RecordFailure();
      co_return AttemptEnd::kNotSent;
    }
  }
  in_flight_ = true;
  ++backend_->in_flight;
  error_code error = co_await connection_->Send(head, body, until);
  if (!error) error = co_await connection_->ReadHead(request_id, until);
  if (error) {
    if (!aborted_) RecordFailure();
    connection_->Abort();
    Land();
    co_return error == beast::error::timeout ? AttemptEnd::kTimedOut : AttemptEnd::kBroken;
  }
  NoteLoad();
  co_return Classify();
}

void Attempt::NoteLoad() {
  const std::string_view load = head()["Backend-Load"];
  if (load.empty() || !ParseLoad(load, backend_->load)) return;
  backend_->load.own = backend_->in_flight;
  backend_->load.at = DecisionTime();
}

AttemptEnd Attempt::Classify() {
  const unsigned status = head().result_int();
  if (status == kMisdirected) {
    const std::string_view instance = head()["Instance-Id"];
    if (!instance.empty() && instance != backend_->info.id) backend_->displaced = true;
    NoteRefusal(status);
    return AttemptEnd::kNotExecuted;
  }
  if (head().count("Not-Executed") > 0) {
    NoteRefusal(status);
    return AttemptEnd::kNotExecuted;
  }
  backend_->NoteAcceptance();
  if (status >= kServerErrors) {
    RecordFailure();
  } else {
    RecordSuccess();
  }
  return AttemptEnd::kAnswered;
}

void Attempt::NoteRefusal(unsigned status) {
  // 503 with places free speaks of something else than load: the KV cache that it was to fetch, or its stage.
  const bool full = backend_->load.known && backend_->load.running >= backend_->load.slots;
  refused_ = status != kUnavailable || full ? AttemptRefusal::kBusy : AttemptRefusal::kOther;
  backend_->NoteRefusal(DecisionTime());
}

Awaitable<error_code> Attempt::ReadPiece(std::string& piece, steady_clock::time_point until) {
  const error_code error = co_await connection_->ReadPiece(piece, until);
  if (error) {
    if (!aborted_) RecordFailure();
    connection_->Abort();
    Land();
  }
  co_return error;
}

Awaitable<error_code> Attempt::ReadBody(std::string& body, std::size_t limit,
                                        steady_clock::time_point until) {
  std::string piece;
  do {
    const error_code error = co_await ReadPiece(piece, until);
    if (error) co_return error;
    body += piece;
    if (body.size() > limit) co_return asio::error::message_size;
  } while (!piece.empty());
  co_return error_code();
}

void Attempt::Finish() {
  Land();
  if (connection_ && connection_->whole()) state_.pool.Return(backend_->info.id, connection_);
}

void Attempt::Abort() {
  aborted_ = true;
  if (connection_) connection_->Abort();
}

void Attempt::RecordFailure() {
  if (state_.backends.Record(*backend_, false, DecisionTime())) ++state_.counters.ejections;
}

void Attempt::RecordSuccess() { state_.backends.Record(*backend_, true, DecisionTime()); }

}  // namespace kestrelline::data_plane
