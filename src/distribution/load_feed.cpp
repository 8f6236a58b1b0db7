// SPDX-License-Identifier: Apache-2.0
#include "distribution/load_feed.h"

#include <algorithm>
#include <cmath>

namespace kestrelline::distribution {
namespace {

// Approximate cost of one more running request to those beside it, in milliseconds: one token of each.
constexpr double kRunningMs = 40;
// Factor on the weight of backends near the receivers.
constexpr double kNearWeight = 4;
// Changes of reading time up to this are not sent.
constexpr double kMinReadingMs = 3;

double Difference(std::uint32_t a, std::uint32_t b) {
  return std::abs(static_cast<double>(a) - static_cast<double>(b));
}

// The urgency of an update; 0 if it is too small to be sent.
double WeightOf(const wire::BackendLoad& sent, const wire::BackendLoad& now) {
  const double reading = Difference(sent.prefill_ms, now.prefill_ms);
  const double running = Difference(sent.running, now.running);
  const bool small = reading <= kMinReadingMs && running == 0;
  if (small && sent.idle() == now.idle()) return 0;
  return 1 + reading + kRunningMs * running;
}

}  // namespace

void LoadFeed::Refill(Time now) {
  if (!started_) refilled_ = repeats_counted_ = now;
  started_ = true;
  const double seconds = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  allowance_ = std::min(options_.burst_bytes, allowance_ + options_.bytes_per_s * seconds);
}

std::size_t LoadFeed::MessageCapacity() const {
  return allowance_ <= kMessageBytes ? 0
                                     : static_cast<std::size_t>((allowance_ - kMessageBytes) / kLoadBytes);
}

std::vector<LoadFeed::Change> LoadFeed::Changes(const std::vector<wire::BackendLoad>& loads,
                                                const BackendSet& nearby) const {
  std::vector<Change> changes;
  const auto add = [&](const wire::BackendLoad& sent, const wire::BackendLoad& now) {
    const double weight = WeightOf(sent, now);
    if (weight > 0) changes.push_back({nearby.contains(now.backend) ? kNearWeight * weight : weight, now});
  };
  // Both sequences are in order of backends. A backend that is missing in `loads` has become idle.
  const LoadMirror::Loads& all_sent = sent_.loads();
  auto sent = all_sent.begin();
  for (const wire::BackendLoad& load : loads) {
    for (; sent != all_sent.end() && sent->first < load.backend; ++sent)
      add(sent->second, {sent->first, 0, 0});
    const bool known = sent != all_sent.end() && sent->first == load.backend;
    add(known ? sent->second : wire::BackendLoad{load.backend, 0, 0}, load);
    if (known) ++sent;
  }
  for (; sent != all_sent.end(); ++sent) add(sent->second, {sent->first, 0, 0});
  return changes;
}

void LoadFeed::AddRepeats(Time now, const std::vector<wire::BackendLoad>& loads,
                          std::vector<wire::BackendLoad>& chosen) {
  if (options_.repeat_within.count() <= 0 || loads.empty()) return;
  const double count = static_cast<double>(loads.size());
  const double share = std::chrono::duration<double>(now - repeats_counted_) /
                       std::chrono::duration<double>(options_.repeat_within);
  repeats_counted_ = now;
  repeats_due_ = std::min(count, repeats_due_ + count * share);
  auto next =
      std::upper_bound(loads.begin(), loads.end(), repeated_,
                       [](std::uint64_t key, const wire::BackendLoad& load) { return key < load.backend; });
  for (; repeats_due_ >= 1 && chosen.size() < MessageCapacity(); repeats_due_ -= 1) {
    if (next == loads.end()) next = loads.begin();
    repeated_ = next->backend;
    chosen.push_back(*next++);
  }
}

std::vector<wire::BackendLoad> LoadFeed::Next(Time now, const std::vector<wire::BackendLoad>& loads,
                                              const BackendSet& nearby) {
  Refill(now);
  std::vector<Change> changes = Changes(loads, nearby);
  const std::size_t count = std::min(changes.size(), MessageCapacity());
  const auto heavier = [](const Change& a, const Change& b) { return a.weight > b.weight; };
  std::partial_sort(changes.begin(), changes.begin() + static_cast<std::ptrdiff_t>(count), changes.end(),
                    heavier);
  std::vector<wire::BackendLoad> chosen;
  for (std::size_t i = 0; i < count; ++i) chosen.push_back(changes[i].load);
  AddRepeats(now, loads, chosen);
  sent_.Apply(chosen);
  if (!chosen.empty()) allowance_ -= kMessageBytes + kLoadBytes * static_cast<double>(chosen.size());
  return chosen;
}

}  // namespace kestrelline::distribution
