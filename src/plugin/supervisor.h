// SPDX-License-Identifier: Apache-2.0
//
// The life of one plug-in: its worker, its calls, its breaker. No I/O and no clock: events come in with the
// time, actions go out. Whatever a worker does, each call ends once, at its time at the latest.
//
//   kLoading ----ready----> kServing <---ready--- kRestarting
//      | refused, hangs,       | worker ended or       | refused, hangs or ended
//      v ended                 | killed                v
//   kRejected                  +---> kRestarting    kSuspended --retry_at, ready--> kServing (on probation)
//                              +---> kSuspended: N faults in T, or one on probation
//
// A worker answers its calls in their order, one at a time, so that of those it was sent only the first
// unanswered one can have harmed it. When it ends, that one has failed; those behind it never began and go to
// the next worker, if their time allows. Calls have no effect outside the worker: sending one again is
// harmless.
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

struct Supervision {
  Budgets budgets;
  int faults = 5;  // within `within` open the breaker
  Duration within{10000};
  Duration retry_first{1000}, retry_most{60000};  // doubled at each suspension that follows another

  bool operator==(const Supervision&) const = default;
};

inline constexpr std::size_t kMostOut = 16;        // calls that a worker holds at a time
inline constexpr std::size_t kMostWaiting = 1024;  // calls that wait for one; more fail at once
inline constexpr int kProbation = 20;              // calls without a fault, after a suspension

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
  struct Finish {  // the one end of a call
    CallId call;
    Outcome outcome;
  };
  struct Changed {
    State from, to;
    Fault why;
    std::string text;
  };
  struct Faulted {  // one that the breaker counted: at most N in T, and one for each retry
    Fault fault;
    std::string text;
  };
  using Action = std::variant<StartWorker, KillWorker, Send, Finish, Changed, Faulted>;
  using Actions = std::vector<Action>;

  struct Counts {
    std::uint64_t calls = 0, tagged = 0, workers = 0, suspensions = 0;
    std::array<std::uint64_t, 13> faults{};  // by Fault, as calls ended
  };

  explicit Supervisor(Supervision policy) : policy_(std::move(policy)), backoff_(policy_.retry_first) {}

  void Start(TimePoint now, Actions* actions);

  // Of a worker that was killed since, these are nothing.
  void OnReady(TimePoint now, WorkerId worker, Actions* actions);
  void OnRefused(TimePoint now, WorkerId worker, const std::string& text, Actions* actions);
  void OnReply(TimePoint now, WorkerId worker, CallId call, Outcome outcome, Actions* actions);
  void OnNonsense(TimePoint now, WorkerId worker, Actions* actions);
  void OnGone(TimePoint now, WorkerId worker, Actions* actions);

  // `id` is new. It ends by `due`, and by the wall time from now.
  void Call(TimePoint now, CallId id, TimePoint due, Actions* actions);
  void Cancel(CallId id);  // it ends without Finish
  // The tags of a call that had succeeded were found to be forbidden.
  void OnForbidden(TimePoint now, Actions* actions);

  void Unload(Actions* actions);
  // Due at NextWake(), harmless before.
  void Tick(TimePoint now, Actions* actions);
  TimePoint NextWake() const;

  State state() const { return state_; }
  std::size_t open() const { return open_.size(); }
  const Counts& counts() const { return counts_; }

 private:
  struct Open {
    TimePoint due;
    bool own_time = true;  // had all of the wall time: lateness is the plug-in's
    std::multimap<TimePoint, CallId>::iterator by_due;
  };

  void Enter(State state, Fault why, std::string text, Actions* actions);
  void Launch(TimePoint now, Actions* actions);
  void Feed(TimePoint now, Actions* actions);
  void HeadIsNew(TimePoint now);
  void End(CallId id, Outcome outcome, Actions* actions);
  // The worker is no more; its first call ends with `fault`, the others wait again.
  void Lose(TimePoint now, Fault fault, const std::string& text, bool kill, Actions* actions);
  // False if the breaker opened.
  bool Count(TimePoint now, Fault fault, const std::string& text, Actions* actions);
  void Suspend(TimePoint now, Fault why, Actions* actions);
  void LoadFailed(TimePoint now, const std::string& text, bool kill, Actions* actions);

  Supervision policy_;
  State state_ = State::kIdle;
  WorkerId worker_ = 0, last_worker_ = 0;
  bool ready_ = false;   // the worker has loaded
  bool spared_ = false;  // its first call was given its time a second time
  TimePoint load_until_{}, head_since_{}, retry_at_{}, last_late_{};
  Duration backoff_;
  int probation_ = 0;
  std::unordered_map<CallId, Open> open_;
  std::multimap<TimePoint, CallId> dues_;
  std::deque<CallId> waiting_;  // may hold ids that are over: they are skipped
  std::deque<CallId> out_;      // at the worker, in its order; the same
  std::size_t waiting_open_ = 0;
  std::deque<TimePoint> recent_;  // faults
  Counts counts_;
};

std::string_view Name(Supervisor::State state);

}  // namespace kestrelline::plugin

#endif  // KESTRELLINE_PLUGIN_SUPERVISOR_H_
