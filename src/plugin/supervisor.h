// SPDX-License-Identifier: Apache-2.0
//
// The state machine of one plug-in: its worker, its pending calls and its circuit breaker. No I/O and no
// clock: events are passed in with the current time, and the actions to carry out are returned. Whatever a
// worker does, each call finishes exactly once, at its deadline at the latest.
//
//   kLoading ----ready----> kServing <---ready--- kRestarting
//      | refused, timed out    | worker exited or      | refused, timed out or exited
//      v or exited             | was killed            v
//   kRejected                  +---> kRestarting    kSuspended --retry_at, ready--> kServing (on probation)
//                              +---> kSuspended: N faults in T, or one on probation
//
// A worker processes its calls in order, one at a time, so that only the first unanswered call can have made
// it fail. When a worker exits, that call fails; the calls behind it have not started and are sent to the
// next worker if their deadlines allow. Calls have no effect outside the worker, so sending one again is
// safe.
#ifndef KESTRELLINE_PLUGIN_SUPERVISOR_H_
#define KESTRELLINE_PLUGIN_SUPERVISOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "plugin/api.h"

namespace kestrelline::plugin {

using CallId = std::uint64_t;
using WorkerId = std::uint64_t;  // 0: none

// Limits and circuit breaker settings of one plug-in.
struct Supervision {
  Budgets budgets;
  int faults = 5;  // so many within `within` open the breaker
  Duration within{10000};
  Duration retry_first{1000},
      retry_most{60000};  // the backoff doubles with each suspension until a probation is passed

  bool operator==(const Supervision&) const = default;
};

inline constexpr std::size_t kMaxInFlight = 16;   // calls that are sent to a worker and unanswered
inline constexpr std::size_t kMaxWaiting = 1024;  // calls that wait to be sent; further ones fail at once
inline constexpr int kProbationCalls = 20;  // calls without a fault that end the probation after a suspension

class Supervisor {
 public:
  enum class State { kIdle, kLoading, kServing, kRestarting, kSuspended, kRejected, kUnloaded };

  struct StartWorker {
    WorkerId worker;
  };
  struct KillWorker {
    WorkerId worker;
  };
  struct Send {
    WorkerId worker;
    CallId call;
  };
  struct Finish {  // sent exactly once for each call that is not cancelled
    CallId call;
    Outcome outcome;
  };
  struct StateChanged {
    State from, to;
    Fault cause;
    std::string text;
  };
  struct FaultCounted {  // by the breaker: at most N in T, and one for each retry
    Fault fault;
    std::string text;
  };
  using Action = std::variant<StartWorker, KillWorker, Send, Finish, StateChanged, FaultCounted>;
  using Actions = std::vector<Action>;

  struct Counts {
    std::uint64_t calls = 0, tagged = 0, workers = 0, suspensions = 0;
    std::array<std::uint64_t, 13> faults{};  // indexed by Fault, one for each failed call
  };

  explicit Supervisor(Supervision policy) : policy_(std::move(policy)), backoff_(policy_.retry_first) {}

  void Start(TimePoint now, Actions* actions);

  // Events of a worker. Those of a worker that was killed meanwhile are ignored.
  void OnReady(TimePoint now, WorkerId worker, Actions* actions);
  void OnRefused(TimePoint now, WorkerId worker, const std::string& text, Actions* actions);
  void OnReply(TimePoint now, WorkerId worker, CallId call, Outcome outcome, Actions* actions);
  void OnInvalidMessage(TimePoint now, WorkerId worker, Actions* actions);
  void OnExit(TimePoint now, WorkerId worker, Actions* actions);

  // Starts a call with a new `id`. It finishes by `deadline`, and within the wall time from now.
  void Call(TimePoint now, CallId id, TimePoint deadline, Actions* actions);
  void Cancel(CallId id);  // the call gets no Finish
  // A call had succeeded, but its tags are not allowed.
  void OnForbidden(TimePoint now, Actions* actions);

  void Unload(Actions* actions);
  // Handles timeouts. To be called at NextWake(); earlier calls have no effect.
  void Tick(TimePoint now, Actions* actions);
  TimePoint NextWake() const;

  State state() const { return state_; }
  std::size_t pending() const { return pending_.size(); }
  const Counts& counts() const { return counts_; }

 private:
  struct PendingCall {
    TimePoint deadline;
    bool had_wall_time = true;  // had the full wall time, so that lateness is a fault of the plug-in
    std::multimap<TimePoint, CallId>::iterator by_deadline;
  };

  void Enter(State state, Fault cause, std::string text, Actions* actions);
  void StartNewWorker(TimePoint now, Actions* actions);
  void SendWaiting(TimePoint now, Actions* actions);
  void StartHeadTimer(TimePoint now);
  void FinishCall(CallId id, Outcome outcome, Actions* actions);
  // The worker is lost: its first call fails with `fault`, the others wait for the next worker.
  void OnWorkerLost(TimePoint now, Fault fault, const std::string& text, bool kill, Actions* actions);
  // Counts a fault. Returns false if it opened the breaker.
  bool CountFault(TimePoint now, Fault fault, const std::string& text, Actions* actions);
  void Suspend(TimePoint now, Fault cause, Actions* actions);
  void OnLoadFailed(TimePoint now, const std::string& text, bool kill, Actions* actions);

  Supervision policy_;
  State state_ = State::kIdle;
  WorkerId worker_ = 0, last_worker_ = 0;
  bool ready_ = false;          // the worker has loaded
  bool head_extended_ = false;  // the worker's first call was given the wall time a second time
  TimePoint load_deadline_{}, head_started_{}, retry_at_{}, last_late_{};
  Duration backoff_;
  int probation_ = 0;  // calls left until the probation ends; 0: not on probation
  std::unordered_map<CallId, PendingCall> pending_;
  std::multimap<TimePoint, CallId> deadlines_;
  std::deque<CallId> waiting_;     // may hold ids of finished calls, which are skipped
  std::deque<CallId> in_flight_;   // sent to the worker, in order; may hold such ids as well
  std::size_t waiting_count_ = 0;  // pending calls in waiting_
  std::deque<TimePoint> recent_faults_;
  Counts counts_;
};

std::string_view Name(Supervisor::State state);

}  // namespace kestrelline::plugin

#endif  // KESTRELLINE_PLUGIN_SUPERVISOR_H_
