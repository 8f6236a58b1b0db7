// SPDX-License-Identifier: Apache-2.0
//
// One attempt to send a request to one backend, up to the response head. The body is read afterwards with
// ReadChunk() or ReadBody(). One coroutine at a time.
#ifndef KESTRELLINE_DATA_PLANE_ATTEMPT_H_
#define KESTRELLINE_DATA_PLANE_ATTEMPT_H_

#include <memory>
#include <string>

#include "data_plane/client_connection.h"
#include "data_plane/edge_state.h"
#include "data_plane/response_head.h"

namespace kestrelline::data_plane {

enum class AttemptResult {
  kResponded,       // a response head arrived; the request has run or is running
  kNotExecuted,     // the backend states that it has not run the request and will not
  kNotSent,         // no byte reached the backend
  kConnectionLost,  // may have run: the connection failed, or the bytes received are no valid response
  kTimedOut,        // may have run: no response before the deadline
};

// Why a backend did not run a request, as far as its response says.
enum class RejectionReason { kNone, kOverloaded, kOther };

class Attempt {
 public:
  Attempt(EdgeState& state, BackendPtr backend, ExpectedResponse expected);
  ~Attempt();
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  // Sends the request and reads the response head. `head` is complete, with its blank line. The outcome
  // counts towards the health of the backend.
  Awaitable<AttemptResult> Run(const std::string& head, const std::string& body,
                               const std::string& request_id, steady_clock::time_point deadline);
  // Reads the next bytes of the body; `chunk` is empty at its end. An error means that the response is
  // truncated.
  Awaitable<error_code> ReadChunk(std::string& chunk, steady_clock::time_point deadline);
  // Reads the whole body; fails with message_size if it is longer than `limit` bytes.
  Awaitable<error_code> ReadBody(std::string& body, std::size_t limit, steady_clock::time_point deadline);
  // After the end of the body: whether what follows it makes that end doubtful.
  bool EndIsInDoubt() const { return connection_->EndIsInDoubt(); }
  // Call after the whole response was read and found valid: returns the connection to the pool if it can be
  // reused.
  void Finish();
  void Abort();
  // The response is not valid: as ReportFault(), and closes the connection, so that the backend stops.
  void Reject(backend_faults::Kind kind, std::string detail);
  // Logs and counts a fault of the backend against the protocol; it counts as a failure of the backend.
  void ReportFault(backend_faults::Kind kind, std::string detail = "");

  Backend& backend() { return *backend_; }
  const BackendPtr& backend_ptr() const { return backend_; }
  const http::bhttp::response<http::bhttp::buffer_body>& head() const { return connection_->head(); }
  // Valid after AttemptResult::kNotExecuted.
  RejectionReason rejection() const { return rejection_; }

 private:
  AttemptResult Classify();
  void RecordError(const error_code& error);
  void RecordFailure();
  void RecordSuccess();
  void CloseConnection();
  void UpdateLoad();
  void RecordRejection(unsigned status);
  void LeaveInFlight();

  EdgeState& state_;
  BackendPtr backend_;
  BackendConnectionPtr connection_;
  const ExpectedResponse expected_;
  std::string request_id_;
  bool in_flight_ = false;
  bool success_pending_ = false;  // counts as a success unless the rest of the response fails
  bool aborted_ = false;
  RejectionReason rejection_ = RejectionReason::kNone;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_ATTEMPT_H_
