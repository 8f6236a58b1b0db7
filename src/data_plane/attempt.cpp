// SPDX-License-Identifier: Apache-2.0
#include "data_plane/attempt.h"

#include <utility>

#include "http/sockets.h"

namespace kestrelline::data_plane {
namespace {

using namespace http;

constexpr milliseconds kConnectTimeout{350};
constexpr unsigned kStatusMisdirected = 421;
constexpr unsigned kStatusUnavailable = 503;
constexpr unsigned kFirstServerError = 500;

}  // namespace

Attempt::Attempt(EdgeState& state, BackendPtr backend, ExpectedResponse expected)
    : state_(state), backend_(std::move(backend)), expected_(expected) {}

Attempt::~Attempt() {
  if (success_pending_) RecordSuccess();                // the client left before the end
  if (in_flight_ && connection_) connection_->Abort();  // closing the connection makes the backend stop
  LeaveInFlight();
}

void Attempt::LeaveInFlight() {
  if (!std::exchange(in_flight_, false)) return;
  --backend_->in_flight;
}

Awaitable<AttemptResult> Attempt::Run(const std::string& head, const std::string& body,
                                      const std::string& request_id, steady_clock::time_point deadline) {
  request_id_ = request_id;
  connection_ = state_.pool.AcquireIdle(backend_->info.id);
  if (!connection_) {
    connection_ = state_.pool.Create(backend_->info.address);
    const error_code failed =
        co_await connection_->Connect(std::min(deadline, steady_clock::now() + kConnectTimeout));
    if (failed || aborted_) {
      if (!aborted_) RecordFailure();
      co_return AttemptResult::kNotSent;
    }
  }
  in_flight_ = true;
  ++backend_->in_flight;
  error_code error = co_await connection_->Send(head, body, deadline);
  if (!error) error = co_await connection_->ReadHead(request_id, deadline);
  if (connection_->skipped_responses() > 0) ReportFault(backend_faults::Kind::kStrayResponse);
  if (error) {
    RecordError(error);
    CloseConnection();
    co_return error == beast::error::timeout ? AttemptResult::kTimedOut : AttemptResult::kConnectionLost;
  }
  const HeadFault fault = CheckHead(connection_->head(), expected_);
  if (fault != HeadFault::kNone) {
    Reject(backend_faults::Kind::kHead, std::string("reason=") + Name(fault));
    co_return AttemptResult::kConnectionLost;
  }
  UpdateLoad();
  co_return Classify();
}

void Attempt::UpdateLoad() {
  const std::size_t fields = head().count("Backend-Load");
  if (fields == 0) return;
  if (fields > 1 || !ParseLoad(head()["Backend-Load"], backend_->load)) {
    return ReportFault(backend_faults::Kind::kLoad);
  }
  backend_->load.own_requests = backend_->in_flight;
  backend_->load.reported_at = DecisionTime();
}

AttemptResult Attempt::Classify() {
  const unsigned status = head().result_int();
  if (status == kStatusMisdirected) {
    const std::string_view instance = head()["Instance-Id"];
    if (!instance.empty() && instance != backend_->info.id) backend_->RecordReusedAddress(DecisionTime());
    RecordRejection(status);
    return AttemptResult::kNotExecuted;
  }
  if (head().count("Not-Executed") > 0) {
    RecordRejection(status);
    return AttemptResult::kNotExecuted;
  }
  backend_->ResetBackoff();
  if (status >= kFirstServerError) {
    RecordFailure();
  } else {
    success_pending_ = true;
  }
  return AttemptResult::kResponded;
}

void Attempt::RecordRejection(unsigned status) {
  // A 503 from a backend with free slots has another cause than load: the KV cache that it should fetch, or
  // its stage.
  const bool no_free_slot = backend_->load.known && backend_->load.running >= backend_->load.slots;
  rejection_ =
      status != kStatusUnavailable || no_free_slot ? RejectionReason::kOverloaded : RejectionReason::kOther;
  backend_->RecordRejection(DecisionTime());
}

Awaitable<error_code> Attempt::ReadChunk(std::string& chunk, steady_clock::time_point deadline) {
  const error_code error = co_await connection_->ReadChunk(chunk, deadline);
  if (error) {
    RecordError(error);
    CloseConnection();
  }
  co_return error;
}

Awaitable<error_code> Attempt::ReadBody(std::string& body, std::size_t limit,
                                        steady_clock::time_point deadline) {
  std::string chunk;
  do {
    const error_code error = co_await ReadChunk(chunk, deadline);
    if (error) co_return error;
    body += chunk;
    if (body.size() > limit) co_return asio::error::message_size;
  } while (!chunk.empty());
  co_return error_code();
}

void Attempt::Finish() {
  LeaveInFlight();
  if (connection_ && connection_->HasSurplusBytes()) ReportFault(backend_faults::Kind::kSurplusBytes);
  if (success_pending_) RecordSuccess();
  if (connection_ && connection_->complete()) state_.pool.Release(backend_->info.id, connection_);
}

void Attempt::Abort() {
  aborted_ = true;
  if (connection_) connection_->Abort();
}

void Attempt::CloseConnection() {
  connection_->Abort();
  LeaveInFlight();
}

void Attempt::Reject(backend_faults::Kind kind, std::string detail) {
  ReportFault(kind, std::move(detail));
  CloseConnection();
}

void Attempt::ReportFault(backend_faults::Kind kind, std::string detail) {
  state_.backend_faults.Report({kind, backend_->info.id, request_id_, std::move(detail)});
  RecordFailure();
}

// An attempt that this proxy aborted says nothing about the backend.
void Attempt::RecordError(const error_code& error) {
  if (aborted_) return;
  if (IsProtocolError(error)) return ReportFault(backend_faults::Kind::kFraming);
  RecordFailure();
}

void Attempt::RecordFailure() {
  success_pending_ = false;
  if (state_.backends.Record(*backend_, false, DecisionTime())) ++state_.counters.ejections;
}

void Attempt::RecordSuccess() {
  success_pending_ = false;
  state_.backends.Record(*backend_, true, DecisionTime());
}

}  // namespace kestrelline::data_plane
