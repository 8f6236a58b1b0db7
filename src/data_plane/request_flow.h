// SPDX-License-Identifier: Apache-2.0
//
// One request of a client, from its route to its last byte: which backends it is sent to, what is tried
// again, and how it is answered.
//
// What keeps the rules: a request that is not idempotent is sent again only where no backend can have run it;
// 503 is answered only then too; an answer is passed on only from its backend, and ends well only if it is
// whole.
#ifndef KESTRELLINE_DATA_PLANE_REQUEST_FLOW_H_
#define KESTRELLINE_DATA_PLANE_REQUEST_FLOW_H_

#include <optional>
#include <string>

#include "data_plane/arrival_account.h"
#include "data_plane/attempt.h"
#include "data_plane/event_splitter.h"

namespace kestrelline::data_plane {

class RequestFlow {
 public:
  static constexpr std::size_t kLongestAnswer =
      8 * 1024 * 1024;                  // of those that are read whole before they go on
  static constexpr int kMostSends = 6;  // attempts of any kind

  RequestFlow(EdgeState& state, ClientConnection& client);
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  Awaitable<void> Run();
  // After Run: the request ended as it may (invariant kEveryRequestEnds).
  bool ended() const;
  // The process ends: gives up what has no answer yet, which is then answered.
  void Conclude();

 private:
  struct ReadPrompt {
    BackendPtr source;
    std::string handle;
  };

  // The times within which it is to be answered; false if this proxy is stopping and can't keep them.
  bool Admit();
  void AnnounceCloseIfStopping();
  Awaitable<void> RunPlain();
  Awaitable<void> RunGeneration();
  // Lets a prefill backend read the prompt; nothing if none did.
  Awaitable<std::optional<ReadPrompt>> Prefill(Pick pick);
  Awaitable<void> PassOn(Attempt& attempt);
  Awaitable<void> PassOnWhole(Attempt& attempt);
  Awaitable<bool> PassOnStream(Attempt& attempt);
  Awaitable<void> ResumeStream();
  // Events of its answer go on to the client.
  void NoteEvents();
  // Whether it may be sent again after an attempt without an answer; that backend is done without.
  bool MayRetry(AttemptEnd end, const Backend& backend);
  bool MayRunAgain() const;
  // Before an arrival: whether the budget bears it.
  bool PayForArrival();
  void FreeHandle(const ReadPrompt& prompt);
  // Who runs the request next, and the fields that go with it; nothing if it can't be sent now.
  struct Target {
    BackendPtr backend;
    double reading_ms = 0;  // of the prompt, at the target itself
    std::string fields;
  };
  Awaitable<std::optional<Target>> NextTarget();
  void AfterHandOver(AttemptEnd end, const Attempt& attempt);

  // A refusal is read to its end.
  Awaitable<AttemptEnd> Send(Attempt& attempt, const std::string& extra_fields,
                             steady_clock::time_point until);
  // The same of an arrival that is to run, which is counted.
  Awaitable<AttemptEnd> SendToRun(Attempt& attempt, const std::string& extra_fields);
  std::string BackendHead(const Backend& backend, const std::string& extra_fields) const;
  std::string PriorityField() const;

  Awaitable<void> Refuse(milliseconds retry_after);
  Awaitable<void> GiveUp();
  Awaitable<void> AnswerError(http::bhttp::status status, const std::string& fields);

  bool OutOfTime() const { return steady_clock::now() >= give_up_at_; }
  ClientRequest& request() { return client_.request(); }

  EdgeState& state_;
  ClientConnection& client_;
  const steady_clock::time_point arrived_;
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
  ArrivalAccount arrivals_;
  int may_have_run_ = 0;
  bool cut_ = false;                // an answer that had begun was broken off, by its backend or its time
  std::optional<ReadPrompt> read_;  // a prompt that was read and not taken yet
  EventSplitter events_;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_REQUEST_FLOW_H_
