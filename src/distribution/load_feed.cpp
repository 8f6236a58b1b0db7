// SPDX-License-Identifier: Apache-2.0
#include "distribution/load_feed.h"

#include <algorithm>
#include <cmath>

namespace kestrelline::distribution {
namespace {

// What one more running request costs those beside it, about: one token of each.
constexpr double kRunningMs = 40;
constexpr double kNearWeight = 4;
// Changes of reading time up to this are not worth telling.
constexpr double kLeastReadingMs = 3;

double Difference(std::uint32_t one, std::uint32_t other) {
  return std::abs(static_cast<double>(one) - static_cast<double>(other));
}

// 0: not worth telling.
double WeightOf(const wire::BackendLoad& told, const wire::BackendLoad& now) {
  const double reading = Difference(told.prefill_ms, now.prefill_ms);
  const double running = Difference(told.running, now.running);
  const bool small = reading <= kLeastReadingMs && running == 0;
  if (small && told.idle() == now.idle()) return 0;
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

std::size_t LoadFeed::Room() const {
  return allowance_ <= kMessageBytes ? 0
                                     : static_cast<std::size_t>((allowance_ - kMessageBytes) / kLoadBytes);
}

std::vector<LoadFeed::Change> LoadFeed::Changes(const std::vector<wire::BackendLoad>& loads,
                                                const BackendSet& near) const {
  std::vector<Change> changes;
  const auto add = [&](const wire::BackendLoad& told, const wire::BackendLoad& now) {
    const double weight = WeightOf(told, now);
    if (weight > 0) changes.push_back({near.contains(now.backend) ? kNearWeight * weight : weight, now});
  };
  const LoadMirror::Loads& all_told = told_.loads();
  auto told = all_told.begin();
  for (const wire::BackendLoad& load : loads) {
    for (; told != all_told.end() && told->first < load.backend; ++told)
      add(told->second, {told->first, 0, 0});
    const bool known = told != all_told.end() && told->first == load.backend;
    add(known ? told->second : wire::BackendLoad{load.backend, 0, 0}, load);
    if (known) ++told;
  }
  for (; told != all_told.end(); ++told) add(told->second, {told->first, 0, 0});
  return changes;
}

void LoadFeed::AddRepeats(Time now, const std::vector<wire::BackendLoad>& loads,
                          std::vector<wire::BackendLoad>& chosen) {
  if (options_.repeat_within.count() <= 0 || loads.empty()) return;
  const double all = static_cast<double>(loads.size());
  const double share = std::chrono::duration<double>(now - repeats_counted_) /
                       std::chrono::duration<double>(options_.repeat_within);
  repeats_counted_ = now;
  repeats_due_ = std::min(all, repeats_due_ + all * share);
  auto next =
      std::upper_bound(loads.begin(), loads.end(), repeated_,
                       [](std::uint64_t key, const wire::BackendLoad& load) { return key < load.backend; });
  for (; repeats_due_ >= 1 && chosen.size() < Room(); repeats_due_ -= 1) {
    if (next == loads.end()) next = loads.begin();
    repeated_ = next->backend;
    chosen.push_back(*next++);
  }
}

std::vector<wire::BackendLoad> LoadFeed::Next(Time now, const std::vector<wire::BackendLoad>& loads,
                                              const BackendSet& near) {
  Refill(now);
  std::vector<Change> changes = Changes(loads, near);
  const std::size_t count = std::min(changes.size(), Room());
  const auto heavier = [](const Change& one, const Change& other) { return one.weight > other.weight; };
  std::partial_sort(changes.begin(), changes.begin() + static_cast<std::ptrdiff_t>(count), changes.end(),
                    heavier);
  std::vector<wire::BackendLoad> chosen;
  for (std::size_t i = 0; i < count; ++i) chosen.push_back(changes[i].load);
  AddRepeats(now, loads, chosen);
  told_.Take(chosen);
  if (!chosen.empty()) allowance_ -= kMessageBytes + kLoadBytes * static_cast<double>(chosen.size());
  return chosen;
}

}  // namespace kestrelline::distribution
