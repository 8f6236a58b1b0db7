// SPDX-License-Identifier: Apache-2.0
#include "plugin/supervisor.h"

#include <algorithm>
#include <utility>

namespace kestrelline::plugin {
namespace {

constexpr TimePoint kNever{Duration(1e300)};
constexpr Duration kOwnLag{1};

Outcome Failed(Fault fault, std::string text = "") {
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

void Supervisor::Enter(State state, Fault why, std::string text, Actions* actions) {
  const State from = std::exchange(state_, state);
  if (from != state) actions->push_back(Changed{from, state, why, std::move(text)});
}

void Supervisor::Launch(TimePoint now, Actions* actions) {
  worker_ = ++last_worker_;
  ready_ = false;
  load_until_ = now + policy_.budgets.load;
  ++counts_.workers;
  actions->push_back(StartWorker{worker_});
}

void Supervisor::Start(TimePoint now, Actions* actions) {
  if (state_ != State::kIdle) return;
  Enter(State::kLoading, Fault::kNone, "", actions);
  Launch(now, actions);
}

void Supervisor::OnReady(TimePoint now, WorkerId worker, Actions* actions) {
  if (worker != worker_ || worker == 0) return;
  if (ready_) return Lose(now, Fault::kProtocol, "ready twice", true, actions);
  ready_ = true;
  if (state_ == State::kSuspended) probation_ = kProbation;
  Enter(State::kServing, Fault::kNone, "", actions);
  Feed(now, actions);
}

void Supervisor::OnRefused(TimePoint now, WorkerId worker, const std::string& text, Actions* actions) {
  if (worker != worker_ || worker == 0) return;
  if (ready_) return Lose(now, Fault::kProtocol, "refused after it was ready", true, actions);
  LoadFailed(now, text, true, actions);
}

// A first load that fails refuses the plug-in; a later one, of what had loaded before, takes it out for a
// while.
void Supervisor::LoadFailed(TimePoint now, const std::string& text, bool kill, Actions* actions) {
  if (kill) actions->push_back(KillWorker{worker_});
  worker_ = 0;
  if (state_ == State::kLoading) {
    Enter(State::kRejected, Fault::kLoad, text, actions);
    while (!open_.empty()) End(open_.begin()->first, Failed(Fault::kLoad), actions);
    return;
  }
  actions->push_back(Faulted{Fault::kLoad, text});
  Suspend(now, Fault::kLoad, actions);
}

void Supervisor::Call(TimePoint now, CallId id, TimePoint due, Actions* actions) {
  ++counts_.calls;
  const bool served = state_ == State::kLoading || state_ == State::kServing || state_ == State::kRestarting;
  if (!served || waiting_open_ >= kMostWaiting) {
    const Fault fault = served ? Fault::kFull : Fault::kSuspended;
    ++counts_.faults[static_cast<std::size_t>(fault)];
    actions->push_back(Finish{id, Failed(fault)});
    return;
  }
  Open& open = open_[id];
  open.own_time = due >= now + policy_.budgets.wall;
  open.due = std::min(due, now + policy_.budgets.wall);
  open.by_due = dues_.emplace(open.due, id);
  waiting_.push_back(id);
  ++waiting_open_;
  Feed(now, actions);
}

// Sends what waits, in its order, as far as the worker may hold it.
void Supervisor::Feed(TimePoint now, Actions* actions) {
  if (state_ != State::kServing || !ready_) return;
  while (out_.size() < kMostOut && !waiting_.empty()) {
    const CallId id = waiting_.front();
    waiting_.pop_front();
    if (!open_.contains(id)) continue;
    --waiting_open_;
    if (out_.empty()) HeadIsNew(now);
    out_.push_back(id);
    actions->push_back(Send{worker_, id});
  }
}

void Supervisor::HeadIsNew(TimePoint now) {
  head_since_ = now;
  spared_ = false;
}

void Supervisor::End(CallId id, Outcome outcome, Actions* actions) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  if (outcome.fault == Fault::kNone) {
    ++counts_.tagged;
  } else {
    ++counts_.faults[static_cast<std::size_t>(outcome.fault)];
  }
  if (std::find(out_.begin(), out_.end(), id) == out_.end()) --waiting_open_;
  dues_.erase(found->second.by_due);
  open_.erase(found);
  actions->push_back(Finish{id, std::move(outcome)});
}

void Supervisor::Cancel(CallId id) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  if (std::find(out_.begin(), out_.end(), id) == out_.end()) {
    --waiting_open_;
    std::erase(waiting_, id);  // clients that come and go must not leave a queue of ids behind
  }
  dues_.erase(found->second.by_due);
  open_.erase(found);
}

void Supervisor::OnReply(TimePoint now, WorkerId worker, CallId call, Outcome outcome, Actions* actions) {
  if (worker != worker_ || worker == 0) return;
  // In their order and each once: another id is that of a reply that was given before, or of no call.
  if (!ready_ || out_.empty() || out_.front() != call)
    return Lose(now, Fault::kProtocol, "a reply to no call that it has", true, actions);
  const Fault fault = outcome.fault;
  const std::string text = outcome.text;
  if (fault == Fault::kMemory)
    return Lose(now, fault, text, true, actions);  // it may hold that memory for good
  End(call, std::move(outcome), actions);
  out_.pop_front();
  HeadIsNew(now);
  if (fault != Fault::kNone) {
    if (!Count(now, fault, text, actions)) return;
  } else if (probation_ > 0 && --probation_ == 0) {
    backoff_ = policy_.retry_first;
  }
  Feed(now, actions);
}

void Supervisor::OnNonsense(TimePoint now, WorkerId worker, Actions* actions) {
  if (worker != worker_ || worker == 0) return;
  if (!ready_) return LoadFailed(now, "said what no worker says", true, actions);
  Lose(now, Fault::kProtocol, "a message that is none", true, actions);
}

void Supervisor::OnGone(TimePoint now, WorkerId worker, Actions* actions) {
  if (worker != worker_ || worker == 0) return;
  if (!ready_) return LoadFailed(now, "ended while it was loaded", false, actions);
  Lose(now, Fault::kCrash, "its worker ended", false, actions);
}

void Supervisor::OnForbidden(TimePoint now, Actions* actions) {
  ++counts_.faults[static_cast<std::size_t>(Fault::kForbidden)];
  if (state_ != State::kServing) return;
  Count(now, Fault::kForbidden, "a tag that it may not set", actions);
}

void Supervisor::Lose(TimePoint now, Fault fault, const std::string& text, bool kill, Actions* actions) {
  if (kill) actions->push_back(KillWorker{worker_});
  worker_ = 0;
  ready_ = false;
  if (!out_.empty()) {
    End(out_.front(), Failed(fault, text), actions);
    out_.pop_front();
  }
  for (; !out_.empty(); out_.pop_back()) {
    if (!open_.contains(out_.back())) continue;
    waiting_.push_front(out_.back());
    ++waiting_open_;
  }
  if (!Count(now, fault, text, actions)) return;
  Enter(State::kRestarting, fault, text, actions);
  Launch(now, actions);
}

bool Supervisor::Count(TimePoint now, Fault fault, const std::string& text, Actions* actions) {
  actions->push_back(Faulted{fault, text});
  while (!recent_.empty() && recent_.front() <= now - policy_.within) recent_.pop_front();
  recent_.push_back(now);
  if (probation_ == 0 && recent_.size() < static_cast<std::size_t>(policy_.faults)) return true;
  Suspend(now, fault, actions);
  return false;
}

// What it owes is given up at once: nobody waits for a plug-in that is out.
void Supervisor::Suspend(TimePoint now, Fault why, Actions* actions) {
  if (worker_ != 0) actions->push_back(KillWorker{worker_});
  worker_ = 0;
  ready_ = false;
  probation_ = 0;
  recent_.clear();
  retry_at_ = now + backoff_;
  backoff_ = std::min(backoff_ * 2, policy_.retry_most);
  ++counts_.suspensions;
  Enter(State::kSuspended, why, "", actions);
  while (!open_.empty()) End(open_.begin()->first, Failed(Fault::kSuspended), actions);
  waiting_.clear();
  out_.clear();
  waiting_open_ = 0;
}

void Supervisor::Unload(Actions* actions) {
  if (state_ == State::kUnloaded) return;
  if (worker_ != 0) actions->push_back(KillWorker{worker_});
  worker_ = 0;
  Enter(State::kUnloaded, Fault::kNone, "", actions);
  while (!open_.empty()) End(open_.begin()->first, Failed(Fault::kSuspended), actions);
  waiting_.clear();
  out_.clear();
}

void Supervisor::Tick(TimePoint now, Actions* actions) {
  // Woken late, the daemon itself stood still, and on its one core the worker with it: the worker has its
  // time once more, though none of the calls has.
  const bool stalled = now > NextWake() + kOwnLag;
  if (stalled && !spared_ && ready_ && !out_.empty()) {
    spared_ = true;
    head_since_ = now;
  }
  if (worker_ != 0 && !ready_ && now >= load_until_) {
    LoadFailed(now, "did not load in its time", true, actions);
  } else if (ready_ && !out_.empty() && now >= head_since_ + policy_.budgets.wall) {
    Lose(now, Fault::kTimeout, "no answer in its time", true, actions);
  } else if (state_ == State::kSuspended && worker_ == 0 && now >= retry_at_) {
    Launch(now, actions);
  }
  while (!dues_.empty() && dues_.begin()->first <= now) {
    const CallId id = dues_.begin()->second;
    const bool own_time = open_.at(id).own_time;
    End(id, Failed(Fault::kLate), actions);
    // Many that wait behind one slow call are late together: that is one fault.
    if (!own_time || stalled || state_ != State::kServing || now < last_late_ + policy_.budgets.wall)
      continue;
    last_late_ = now;
    if (!Count(now, Fault::kLate, "calls waited too long", actions)) return;
  }
  while (!waiting_.empty() && !open_.contains(waiting_.front())) waiting_.pop_front();
}

TimePoint Supervisor::NextWake() const {
  TimePoint next = kNever;
  if (!dues_.empty()) next = dues_.begin()->first;
  if (worker_ != 0 && !ready_) next = std::min(next, load_until_);
  if (ready_ && !out_.empty()) next = std::min(next, head_since_ + policy_.budgets.wall);
  if (state_ == State::kSuspended && worker_ == 0) next = std::min(next, retry_at_);
  return next;
}

}  // namespace kestrelline::plugin
