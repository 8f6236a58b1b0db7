// SPDX-License-Identifier: Apache-2.0
#include "sim/node.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kestrelline::sim {

Node::Node(std::uint32_t number, Settings settings, bool hold, Hooks hooks, bool survives)
    : number_(number),
      settings_(std::move(settings)),
      hold_(hold),
      survives_(survives),
      hooks_(std::move(hooks)) {}

// Up to the next whole microsecond: a timer must not fire before the module thinks that it is due.
Microseconds Node::MomentOf(TimePoint at) {
  const double us = std::ceil((at.time_since_epoch().count() - 1e7) * 1000);
  Microseconds moment(static_cast<std::int64_t>(std::clamp(us, 0.0, 9e15)));
  while (TimeOf(moment) < at && us < 9e15) ++moment;
  return moment;
}

void Node::Start(std::uint64_t seed) {
  ++life_;
  up_ = true;
  if (!balancer_) {
    balancer_ = std::make_unique<Balancer>(settings_, seed);
    last_byte_ = handover::LastByte();
  }
}

void Node::Die(Microseconds now) {
  if (survives_) {
    // What it had in its hands ends, and says nothing of any server.
    std::vector<Action> ignored;
    for (const auto& [id, pending] : pending_) {
      balancer_->Handle(TimeOf(now), kestrelline::ClientGone{id}, &ignored);
      for (int n = 0; n < pending.attempts; ++n) {
        AttemptEnded end;
        end.request = id, end.attempt = n, end.settled = true, end.outcome = Outcome::kCancelled;
        balancer_->Handle(TimeOf(now), end, &ignored);
      }
    }
  } else {
    balancer_.reset();
  }
  up_ = false;
  pending_.clear();
  by_id_.clear();
  events_.clear();
}

void Node::Listed(ListUpdate list, Microseconds now) { Feed(std::move(list), now); }

void Node::Shared(const Share& share, Microseconds now) { Feed(share, now); }

void Node::Arrived(std::shared_ptr<const Try> of, Microseconds now) {
  const RequestId id = ++last_request_;
  Submit submit;
  submit.request = id;
  submit.due = TimeOf(of->due);
  submit.request_class = static_cast<int>(of->request_class);
  submit.tenant = static_cast<int>(of->tenant);
  submit.key = of->object;
  submit.client_retry = of->again;
  submit.has_hint = of->work_s > 0;
  submit.work_ms = of->work_s * 1000;
  by_id_[of->id] = id;
  pending_[id].of = std::move(of);
  Feed(submit, now);
}

void Node::ClientGone(const Try& of, Microseconds now) {
  const auto found = by_id_.find(of.id);
  if (found == by_id_.end()) return;
  const RequestId id = found->second;
  Pending& pending = pending_.at(id);
  if (std::exchange(pending.answered, true)) return;
  ForgetIfOver(id);
  Feed(kestrelline::ClientGone{id}, now);
}

void Node::Ended(const AttemptPtr& attempt, Outcome outcome, Microseconds now) {
  if (!std::exchange(attempt->waited_for, false) || attempt->node_life != life_ || !up()) return;
  AttemptEnded end;
  end.request = attempt->request;
  end.attempt = attempt->number;
  end.server = attempt->server;
  end.outcome = outcome;
  end.took = Duration(static_cast<double>((now - attempt->sent).count()) / 1000);
  last_byte_.OnEnded(TimeOf(now), end.took, attempt->broke);
  const auto found = pending_.find(attempt->request);
  if (found != pending_.end()) --found->second.out;
  if (outcome == Outcome::kOk)
    Conclude(attempt->request, {load::Answer::kServed, Microseconds(0), attempt->of->id});
  end.settled = found == pending_.end() || found->second.answered;
  ForgetIfOver(attempt->request);
  Feed(end, now);
}

void Node::Feed(Event event, Microseconds now) {
  events_.push_back(std::move(event));
  if (handling_) return;
  handling_ = true;
  std::vector<Action> actions;
  while (!events_.empty() && up()) {
    Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    if (hooks_.tamper_with_event) hooks_.tamper_with_event(&next);
    balancer_->Handle(TimeOf(now), next, &actions);
    if (hooks_.tamper_with_actions) hooks_.tamper_with_actions(&actions);
    if (hooks_.decided) hooks_.decided(next, actions);
    for (const Action& action : actions) std::visit([&](const auto& a) { Do(a, now); }, action);
  }
  handling_ = false;
}

void Node::Do(const Dispatch& action, Microseconds now) {
  const auto found = pending_.find(action.request);
  const int number = found == pending_.end() ? 0 : found->second.attempts++;
  const int most_out = settings_.parallel_tries ? 2 : 1;
  if (found == pending_.end() || found->second.answered || found->second.out >= most_out ||
      now >= found->second.of->due || number >= settings_.max_attempts) {
    AttemptEnded end;
    end.request = action.request;
    end.attempt = number;
    end.server = action.server;
    end.settled = found == pending_.end() || found->second.answered;
    end.outcome = Outcome::kMoot;
    events_.push_back(end);
    return;
  }
  Pending& pending = found->second;
  ++pending.out;
  const auto attempt = std::make_shared<Attempt>();
  attempt->of = pending.of;
  attempt->node = number_, attempt->node_life = life_;
  attempt->request = action.request, attempt->server = action.server, attempt->number = number;
  attempt->sent = now;
  const ClassSettings& c = settings_.classes[pending.of->request_class];
  if (hold_)
    attempt->hold = Microseconds(
        static_cast<std::int64_t>(last_byte_.WaitFor(TimeOf(now), c.effect, c.aim).count() * 1000));
  const Microseconds left = pending.of->due - now;
  const Microseconds asked(static_cast<std::int64_t>(action.timeout.count() * 1000));
  hooks_.send(attempt);
  hooks_.at(now + (action.timeout.count() > 0 ? std::min(asked, left) : left),
            [this, attempt, life = life_](Microseconds) {
              if (!attempt->waited_for || life != life_ || !up()) return;
              // Before the module hears of it, which may send another: never two at once.
              hooks_.give_up(attempt);
            });
}

void Node::Do(const Refuse& action, Microseconds) {
  const Microseconds after(static_cast<std::int64_t>(action.retry_after.count() * 1000));
  Conclude(action.request, {load::Answer::kRefused, after, ""});
  ForgetIfOver(action.request);
}

void Node::Do(const Fail& action, Microseconds) {
  Conclude(action.request, {load::Answer::kFailed, Microseconds(0), ""});
  ForgetIfOver(action.request);
}

void Node::Do(const SetTimer& action, Microseconds now) {
  hooks_.at(std::max(now, MomentOf(action.at)),
            [this, token = action.token, life = life_](Microseconds then) {
              if (life == life_ && up()) Feed(TimerFired{token}, then);
            });
}

void Node::Do(const kestrelline::CloseIdle& action, Microseconds) { hooks_.close_idle(action.server); }

bool Node::Conclude(RequestId request, Answer answer) {
  const auto found = pending_.find(request);
  if (found == pending_.end() || std::exchange(found->second.answered, true)) return false;
  hooks_.answer(found->second.of, std::move(answer));
  return true;
}

void Node::ForgetIfOver(RequestId request) {
  const auto found = pending_.find(request);
  if (found == pending_.end() || !found->second.answered || found->second.out > 0) return;
  by_id_.erase(found->second.of->id);
  pending_.erase(found);
}

}  // namespace kestrelline::sim
