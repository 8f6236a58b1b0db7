// SPDX-License-Identifier: Apache-2.0
//
// Handles one client request from routing to the last byte of the response: selects backends, retries, and
// forwards the response.
//
// Rules: a request that is not idempotent is sent again only if no backend can have executed it, and 503 is
// sent only in that case too; a response is forwarded only from the backend that produced it, and ends
// normally only if it is complete.
#ifndef KESTRELLINE_DATA_PLANE_REQUEST_FLOW_H_
#define KESTRELLINE_DATA_PLANE_REQUEST_FLOW_H_

#include <optional>
#include <string>

#include "data_plane/attempt.h"
#include "data_plane/event_stream.h"
#include "data_plane/retry_account.h"

namespace kestrelline::data_plane {

class RequestFlow {
 public:
  // Size limit of responses that are buffered before they are forwarded.
  static constexpr std::size_t kMaxBufferedResponse = 8 * 1024 * 1024;
  // Attempts of any kind, except those that resume a stream. A separate prefill and the decode after it count
  // as one.
  static constexpr int kMaxAttempts = 6;

  RequestFlow(EdgeState& state, ClientConnection& client);
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  Awaitable<void> Run();
  // After Run(): whether the request ended in an allowed way (invariant kEveryRequestEnds).
  bool ended() const;
  // The process is about to exit: aborts the attempt if the response has not started, so that an error is
  // sent.
  void Finalize();

 private:
  struct PrefilledPrompt {
    BackendPtr source;
    std::string handle;
  };

  // Sets the deadline of the request. Returns false if this proxy is draining and cannot meet it.
  bool Admit();
  void AnnounceCloseIfStopping();
  Awaitable<void> RunPlain();
  Awaitable<void> RunGeneration();
  // Runs a separate prefill; empty if it failed.
  Awaitable<std::optional<PrefilledPrompt>> Prefill(Pick pick);
  Awaitable<void> ForwardResponse(Attempt& attempt);
  Awaitable<void> ForwardBuffered(Attempt& attempt);
  Awaitable<bool> ForwardStream(Attempt& attempt);
  Awaitable<void> ResumeStream();
  // Rejects a stream that is not valid.
  void RejectStream(Attempt& attempt) const;
  // Records that events were forwarded to the client.
  void RecordEvents();
  // After an attempt without a response: excludes the backend and returns whether another attempt is allowed.
  bool MayRetry(AttemptResult result, const Backend& backend);
  // Whether the route allows another execution, as far as earlier attempts may have executed the request.
  bool MayExecuteAgain() const;
  // Call before an attempt. Returns false if the retry budget is exhausted.
  bool AcquireRetryBudget();
  void ReleaseHandle(const PrefilledPrompt& prompt);
  // The next backend and the header fields to send to it; empty if there is none to send to yet.
  struct Target {
    BackendPtr backend;
    double prefill_ms = 0;  // prefill time, if the target runs the prefill
    std::string fields;
  };
  Awaitable<std::optional<Target>> NextTarget();
  void HandleFailedHandOver(AttemptResult result, const Attempt& attempt);

  // Runs an attempt. Reads the body of a rejection.
  Awaitable<AttemptResult> Send(Attempt& attempt, const std::string& extra_fields,
                                steady_clock::time_point deadline);
  // Runs an attempt that executes the request and counts it for the retry budget.
  Awaitable<AttemptResult> SendToExecute(Attempt& attempt, const std::string& extra_fields);
  std::string BackendHead(const Backend& backend, const std::string& extra_fields) const;
  std::string PriorityField() const;
  ExpectedResponse Expected() const;

  Awaitable<void> SendUnavailable(milliseconds retry_after);
  Awaitable<void> GiveUp();
  Awaitable<void> SendError(http::bhttp::status status, const std::string& fields);

  bool OutOfTime() const { return steady_clock::now() >= give_up_at_; }
  ClientRequest& request() { return client_.request(); }

  EdgeState& state_;
  ClientConnection& client_;
  const steady_clock::time_point read_at_;
  const OpenRequests::Handle open_;
  configuration::RouteTablePtr routes_;
  const configuration::Route* route_ = nullptr;
  std::string service_;
  std::string request_id_;
  Prompt prompt_;
  std::optional<milliseconds> client_deadline_;
  steady_clock::time_point give_up_at_;
  bool admitted_while_stopping_ = false;

  Attempt* active_ = nullptr;
  Excluded excluded_;
  RetryAccount retry_account_;
  int possible_executions_ = 0;
  bool truncated_ = false;  // a started response was truncated by its backend or by the deadline
  std::optional<PrefilledPrompt> prefilled_;  // a finished prefill whose KV cache was not handed over yet
  EventStream events_;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_REQUEST_FLOW_H_
