// SPDX-License-Identifier: Apache-2.0
#include "control_sim/audit.h"

namespace kestrelline::control_sim {

void Audit::Break(Time now, const std::string& what) {
  if (broken_.empty()) broken_ = what + " at " + std::to_string(now.count()) + " ms";
}

const OperatorOrder* Audit::Acknowledged(std::uint64_t version) const {
  const auto found = acknowledged_.find(version);
  return found == acknowledged_.end() ? nullptr : &found->second;
}

void Audit::Answered(Time now, const OperatorOrder& order, Outcome outcome) {
  const OperatorOrder* same = Acknowledged(order.version);
  if (outcome == Outcome::kCommitted) {
    if (same != nullptr && same->body != order.body) Break(now, "two changes under one version");
    const auto base = successor_of_.find(order.builds_on);
    if (base != successor_of_.end() && base->second != order.version) {
      Break(now, "two changes built on one version");
    }
    if (refused_.contains({order.version, order.body})) Break(now, "a refused change was acknowledged");
    acknowledged_[order.version] = order;
    successor_of_[order.builds_on] = order.version;
    if (order.version > newest_) {
      newest_ = order.version;
      newest_at_[now] = newest_;
    }
  }
  if (outcome == Outcome::kConflict || outcome == Outcome::kOldVersion) {
    if (same != nullptr && same->body == order.body) Break(now, "an acknowledged change was refused");
    refused_.insert({order.version, order.body});
  }
}

std::uint64_t Audit::NewestAt(Time at) const {
  auto next = newest_at_.upper_bound(at);
  return next == newest_at_.begin() ? 0 : std::prev(next)->second;
}

void Audit::Read(Time now, Time sent, std::uint64_t version) {
  if (version < NewestAt(sent)) Break(now, "a read answered with an older version than was acknowledged");
}

void Audit::Shown(Time now, const wire::Record& record) {
  const OperatorOrder* known = Acknowledged(record.version);
  if (known != nullptr && known->body != record.configuration) {
    Break(now, "a version holds something else than what was acknowledged");
  }
  if (refused_.contains({record.version, record.configuration})) Break(now, "a refused change is in force");
}

void Audit::Began(Time now, std::uint64_t version) {
  if (version < NewestAt(now - kMostStartLag)) Break(now, "a proxy began with an old configuration");
}

void Audit::Ordered(Time now, const std::string& holder, std::uint64_t fence) {
  const auto known = holder_of_fence_.emplace(fence, holder).first;
  if (known->second != holder) Break(now, "two holders with one fence");
  if (last_order_) {
    if (fence < last_order_->fence) Break(now, "a lower fence after a higher one");
    const bool turns = holder != last_order_->holder && now - last_order_->at < kOrderLease;
    if (turns) Break(now, "two holders took turns");
  }
  last_order_ = {holder, fence, now};
}

}  // namespace kestrelline::control_sim
