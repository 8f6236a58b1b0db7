// SPDX-License-Identifier: Apache-2.0
#include "plugin/supervisor.h"

#include <algorithm>
#include <utility>

namespace kestrelline::plugin {
namespace {

constexpr TimePoint kNever{Duration(1e300)};
constexpr Duration kStallThreshold{1};  // a timer later than this means that the proxy stalled

Outcome FailedOutcome(Fault fault, std::string text = "") {
  Outcome outcome;
  outcome.fault = fault;
  outcome.text = std::move(text);
  return outcome;
}

}  // namespace

std::string_view Name(Supervisor::State state) {
  constexpr std::array<std::string_view, 7> kNames{"idle",      "loading",  "serving", "restarting",
                                                   "suspended", "rejected", "unloaded"};
  return kNames[static_cast<std::size_t>(state)];
}

void Supervisor::Enter(State state, Fault cause, std::string text, Actions* actions) {
  const State from = std::exchange(state_, state);
  if (from != state) actions->push_back(StateChanged{from, state, cause, std::move(text)});
}

void Supervisor::StartNewWorker(TimePoint now, Actions* actions) {
  worker_ = ++last_worker_;
  ready_ = false;
  load_deadline_ = now + policy_.budgets.load;
  ++counts_.workers;
  actions->push_back(StartWorker{worker_});
}

void Supervisor::Start(TimePoint now, Actions* actions) {
  if (state_ != State::kIdle) return;
  Enter(State::kLoading, Fault::kNone, "", actions);
  StartNewWorker(now, actions);
}

void Supervisor::OnReady(TimePoint now, WorkerId worker, Actions* actions) {
  if (worker != worker_ || worker == 0) return;
  if (ready_) return OnWorkerLost(now, Fault::kProtocol, "sent ready twice", true, actions);
  ready_ = true;
  if (state_ == State::kSuspended) probation_ = kProbationCalls;
  Enter(State::kServing, Fault::kNone, "", actions);
  SendWaiting(now, actions);
}

void Supervisor::OnRefused(TimePoint now, WorkerId worker, const std::string& text, Actions* actions) {
  if (worker != worker_ || worker == 0) return;
  if (ready_) return OnWorkerLost(now, Fault::kProtocol, "refused to load after it was ready", true, actions);
  OnLoadFailed(now, text, true, actions);
}

// If the first load fails, the plug-in is rejected; if a later one fails, of a script that had loaded before,
// it is suspended.
void Supervisor::OnLoadFailed(TimePoint now, const std::string& text, bool kill, Actions* actions) {
  if (kill) actions->push_back(KillWorker{worker_});
  worker_ = 0;
  if (state_ == State::kLoading) {
    Enter(State::kRejected, Fault::kLoad, text, actions);
    while (!pending_.empty()) FinishCall(pending_.begin()->first, FailedOutcome(Fault::kLoad), actions);
    return;
  }
  actions->push_back(FaultCounted{Fault::kLoad, text});
  Suspend(now, Fault::kLoad, actions);
}

void Supervisor::Call(TimePoint now, CallId id, TimePoint deadline, Actions* actions) {
  ++counts_.calls;
  const bool accepting =
      state_ == State::kLoading || state_ == State::kServing || state_ == State::kRestarting;
  if (!accepting || waiting_count_ >= kMaxWaiting) {
    const Fault fault = accepting ? Fault::kFull : Fault::kSuspended;
    ++counts_.faults[static_cast<std::size_t>(fault)];
    actions->push_back(Finish{id, FailedOutcome(fault)});
    return;
  }
  PendingCall& call = pending_[id];
  call.had_wall_time = deadline >= now + policy_.budgets.wall;
  call.deadline = std::min(deadline, now + policy_.budgets.wall);
  call.by_deadline = deadlines_.emplace(call.deadline, id);
  waiting_.push_back(id);
  ++waiting_count_;
  SendWaiting(now, actions);
}

// Sends waiting calls in order, up to the limit of calls in flight.
void Supervisor::SendWaiting(TimePoint now, Actions* actions) {
  if (state_ != State::kServing || !ready_) return;
  while (in_flight_.size() < kMaxInFlight && !waiting_.empty()) {
    const CallId id = waiting_.front();
    waiting_.pop_front();
    if (!pending_.contains(id)) continue;
    --waiting_count_;
    if (in_flight_.empty()) StartHeadTimer(now);
    in_flight_.push_back(id);
    actions->push_back(Send{worker_, id});
  }
}

void Supervisor::StartHeadTimer(TimePoint now) {
  head_started_ = now;
  head_extended_ = false;
}

void Supervisor::FinishCall(CallId id, Outcome outcome, Actions* actions) {
  const auto call = pending_.find(id);
  if (call == pending_.end()) return;
  if (outcome.fault == Fault::kNone) {
    ++counts_.tagged;
  } else {
    ++counts_.faults[static_cast<std::size_t>(outcome.fault)];
  }
  if (std::find(in_flight_.begin(), in_flight_.end(), id) == in_flight_.end()) --waiting_count_;
  deadlines_.erase(call->second.by_deadline);
  pending_.erase(call);
  actions->push_back(Finish{id, std::move(outcome)});
}

void Supervisor::Cancel(CallId id) {
  const auto call = pending_.find(id);
  if (call == pending_.end()) return;
  if (std::find(in_flight_.begin(), in_flight_.end(), id) == in_flight_.end()) {
    --waiting_count_;
    std::erase(waiting_, id);  // cancelled calls must not accumulate in the queue
  }
  deadlines_.erase(call->second.by_deadline);
  pending_.erase(call);
}

void Supervisor::OnReply(TimePoint now, WorkerId worker, CallId call, Outcome outcome, Actions* actions) {
  if (worker != worker_ || worker == 0) return;
  // Replies come in the order of the calls, one for each: any other id is a repeated reply or of an unknown
  // call.
  if (!ready_ || in_flight_.empty() || in_flight_.front() != call)
    return OnWorkerLost(now, Fault::kProtocol, "a reply to a call that is not its next", true, actions);
  const Fault fault = outcome.fault;
  const std::string text = outcome.text;
  if (fault == Fault::kMemory)
    return OnWorkerLost(now, fault, text, true, actions);  // the script may keep the memory allocated
  FinishCall(call, std::move(outcome), actions);
  in_flight_.pop_front();
  StartHeadTimer(now);
  if (fault != Fault::kNone) {
    if (!CountFault(now, fault, text, actions)) return;
  } else if (probation_ > 0 && --probation_ == 0) {
    backoff_ = policy_.retry_first;
  }
  SendWaiting(now, actions);
}

void Supervisor::OnInvalidMessage(TimePoint now, WorkerId worker, Actions* actions) {
  if (worker != worker_ || worker == 0) return;
  if (!ready_) return OnLoadFailed(now, "sent an invalid message while loading", true, actions);
  OnWorkerLost(now, Fault::kProtocol, "sent an invalid message", true, actions);
}

void Supervisor::OnExit(TimePoint now, WorkerId worker, Actions* actions) {
  if (worker != worker_ || worker == 0) return;
  if (!ready_) return OnLoadFailed(now, "ended while it was loaded", false, actions);
  OnWorkerLost(now, Fault::kCrash, "its worker ended", false, actions);
}

void Supervisor::OnForbidden(TimePoint now, Actions* actions) {
  ++counts_.faults[static_cast<std::size_t>(Fault::kForbidden)];
  if (state_ != State::kServing) return;
  CountFault(now, Fault::kForbidden, "a tag that it may not set", actions);
}

void Supervisor::OnWorkerLost(TimePoint now, Fault fault, const std::string& text, bool kill,
                              Actions* actions) {
  if (kill) actions->push_back(KillWorker{worker_});
  worker_ = 0;
  ready_ = false;
  if (!in_flight_.empty()) {
    FinishCall(in_flight_.front(), FailedOutcome(fault, text), actions);
    in_flight_.pop_front();
  }
  for (; !in_flight_.empty(); in_flight_.pop_back()) {
    if (!pending_.contains(in_flight_.back())) continue;
    waiting_.push_front(in_flight_.back());
    ++waiting_count_;
  }
  if (!CountFault(now, fault, text, actions)) return;
  Enter(State::kRestarting, fault, text, actions);
  StartNewWorker(now, actions);
}

bool Supervisor::CountFault(TimePoint now, Fault fault, const std::string& text, Actions* actions) {
  actions->push_back(FaultCounted{fault, text});
  while (!recent_faults_.empty() && recent_faults_.front() <= now - policy_.within)
    recent_faults_.pop_front();
  recent_faults_.push_back(now);
  if (probation_ == 0 && recent_faults_.size() < static_cast<std::size_t>(policy_.faults)) return true;
  Suspend(now, fault, actions);
  return false;
}

// Fails all pending calls at once: requests do not wait for a suspended plug-in.
void Supervisor::Suspend(TimePoint now, Fault cause, Actions* actions) {
  if (worker_ != 0) actions->push_back(KillWorker{worker_});
  worker_ = 0;
  ready_ = false;
  probation_ = 0;
  recent_faults_.clear();
  retry_at_ = now + backoff_;
  backoff_ = std::min(backoff_ * 2, policy_.retry_most);
  ++counts_.suspensions;
  Enter(State::kSuspended, cause, "", actions);
  while (!pending_.empty()) FinishCall(pending_.begin()->first, FailedOutcome(Fault::kSuspended), actions);
  waiting_.clear();
  in_flight_.clear();
  waiting_count_ = 0;
}

void Supervisor::Unload(Actions* actions) {
  if (state_ == State::kUnloaded) return;
  if (worker_ != 0) actions->push_back(KillWorker{worker_});
  worker_ = 0;
  Enter(State::kUnloaded, Fault::kNone, "", actions);
  while (!pending_.empty()) FinishCall(pending_.begin()->first, FailedOutcome(Fault::kSuspended), actions);
  waiting_.clear();
  in_flight_.clear();
}

void Supervisor::Tick(TimePoint now, Actions* actions) {
  // If the timer fired late, the proxy itself stalled, and with a single core the worker did too. The worker
  // is given the wall time once more; the deadlines of the calls stay.
  const bool stalled = now > NextWake() + kStallThreshold;
  if (stalled && !head_extended_ && ready_ && !in_flight_.empty()) {
    head_extended_ = true;
    head_started_ = now;
  }
  if (worker_ != 0 && !ready_ && now >= load_deadline_) {
    OnLoadFailed(now, "did not load in its time", true, actions);
  } else if (ready_ && !in_flight_.empty() && now >= head_started_ + policy_.budgets.wall) {
    OnWorkerLost(now, Fault::kTimeout, "no answer in its time", true, actions);
  } else if (state_ == State::kSuspended && worker_ == 0 && now >= retry_at_) {
    StartNewWorker(now, actions);
  }
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const CallId id = deadlines_.begin()->second;
    const bool had_wall_time = pending_.at(id).had_wall_time;
    FinishCall(id, FailedOutcome(Fault::kLate), actions);
    // Several calls that wait behind one slow call expire together; they count as one fault.
    if (!had_wall_time || stalled || state_ != State::kServing || now < last_late_ + policy_.budgets.wall)
      continue;
    last_late_ = now;
    if (!CountFault(now, Fault::kLate, "calls waited too long", actions)) return;
  }
  while (!waiting_.empty() && !pending_.contains(waiting_.front())) waiting_.pop_front();
}

TimePoint Supervisor::NextWake() const {
  TimePoint next = kNever;
  if (!deadlines_.empty()) next = deadlines_.begin()->first;
  if (worker_ != 0 && !ready_) next = std::min(next, load_deadline_);
  if (ready_ && !in_flight_.empty()) next = std::min(next, head_started_ + policy_.budgets.wall);
  if (state_ == State::kSuspended && worker_ == 0) next = std::min(next, retry_at_);
  return next;
}

}  // namespace kestrelline::plugin
