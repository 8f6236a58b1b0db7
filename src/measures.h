// SPDX-License-Identifier: Apache-2.0
//
// What the decision module counts with: a random source, averages, memories and the record of a
// request. No decisions.
#ifndef KESTRELLINE_SRC_MEASURES_H_
#define KESTRELLINE_SRC_MEASURES_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kestrelline/balancer.h"

namespace kestrelline {

// Deterministic from its seed alone; the standard distributions differ between libraries.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  std::uint64_t Below(std::uint64_t n) { return engine_() % n; }

 private:
  std::mt19937_64 engine_;
};

// A hash that every proxy shares: all bits of an id mixed, as MurmurHash3 ends.
inline std::uint32_t MixBits(std::uint32_t x) {
  x = (x ^ (x >> 16)) * 0x85ebca6bu;
  x = (x ^ (x >> 13)) * 0xc2b2ae35u;
  return x ^ (x >> 16);
}

// Mean and mean deviation, exponentially weighted.
struct Spread {
  double mean = 0, deviation = 0;
  int samples = 0;

  void Add(double x) {
    const double gain = std::max(0.02, 1.0 / ++samples);
    if (samples == 1) mean = x, deviation = x / 2;
    deviation += gain * (std::abs(x - mean) - deviation);
    mean += gain * (x - mean);
  }
};

// Work this proxy sent to one cold server within the rule's window. Everything sent counts.
class SentWindow {
 public:
  void Add(TimePoint now, double work) { sent_.emplace_back(now, work); }
  double Within(TimePoint now, Duration window) {
    std::erase_if(sent_, [&](const auto& sent) { return now - sent.first > window; });
    double sum = 0;
    for (const auto& [at, work] : sent_) sum += work;
    return sum;
  }

 private:
  std::vector<std::pair<TimePoint, double>> sent_;
};

// Of a server that has not all of its capacity yet.
struct ColdStart {
  SentWindow sent;
  TimePoint turn_since{};  // the last send to it, or its start as told
  double turn_phase = 1;   // part of the time between sends that has to pass
};

// First attempts and repeats of one retry budget over its window, in eighths of it.
class RepeatWindow {
 public:
  void First(TimePoint now, Duration window) { Roll(now, window), ++first_[slot_ % kSlots], ++firsts_; }
  // Counts one more repeat if the budget allows it.
  bool Take(TimePoint now, const RetryBudget& budget) {
    Roll(now, budget.window);
    if (!(repeats_ + 1 <= budget.at_least + budget.share * static_cast<double>(firsts_))) return false;
    ++repeat_[slot_ % kSlots], ++repeats_;
    return true;
  }
  // Nothing was counted for a window.
  bool Empty(TimePoint now) const { return window_.count() <= 0 || SlotOf(now, window_) - slot_ > kSlots; }

 private:
  static constexpr std::int64_t kSlots = 8;

  static std::int64_t SlotOf(TimePoint now, Duration window) {
    const Duration length = std::max(window, Duration(1)) / static_cast<double>(kSlots);
    return static_cast<std::int64_t>(now.time_since_epoch() / length);
  }
  void Roll(TimePoint now, Duration window) {
    const std::int64_t slot = SlotOf(now, window);
    // Of another length since a reload: what was counted by the old slots is not carried over, nor is a
    // burst.
    if (window != window_) *this = RepeatWindow(), window_ = window, slot_ = slot;
    for (; slot_ < slot; ++slot_) {
      if (slot - slot_ > kSlots) slot_ = slot - kSlots;
      const auto oldest = static_cast<std::size_t>((slot_ + 1) % kSlots);
      firsts_ -= std::exchange(first_[oldest], 0);
      repeats_ -= std::exchange(repeat_[oldest], 0);
    }
  }

  Duration window_{0};
  std::int64_t slot_ = 0, firsts_ = 0, repeats_ = 0;
  std::int64_t first_[kSlots] = {}, repeat_[kSlots] = {};
};

// What is open by each route and drawn on each budget.
class RouteUse {
 public:
  bool Full(const RouteLimits& limits) const {
    const auto found = open_.find(limits.route);
    return limits.max_in_flight > 0 && found != open_.end() && found->second >= limits.max_in_flight;
  }
  void Enter(const RouteLimits& limits) { ++open_[limits.route]; }
  void Leave(const RouteLimits& limits) {
    const auto found = open_.find(limits.route);
    if (found != open_.end() && --found->second == 0) open_.erase(found);
  }
  void First(TimePoint now, const RouteLimits& limits) {
    for (const RetryBudget& b : limits.budgets) budgets_[b.id].First(now, b.window);
  }
  // Counts one more repeat if one of the budgets allows it, or there is none.
  bool Take(TimePoint now, const RouteLimits& limits) {
    return limits.budgets.empty() ||
           std::any_of(limits.budgets.begin(), limits.budgets.end(),
                       [&](const RetryBudget& b) { return budgets_[b.id].Take(now, b); });
  }
  // Budgets without traffic for a window are forgotten.
  void DropEmpty(TimePoint now) {
    std::erase_if(budgets_, [now](auto& b) { return b.second.Empty(now); });
  }

 private:
  std::unordered_map<std::uint64_t, int> open_;
  std::unordered_map<std::uint64_t, RepeatWindow> budgets_;  // by id
};

// Where keys were sent lately: a server that met a key serves it again with less work.
class KeyMemory {
 public:
  explicit KeyMemory(Duration kept) : kept_(kept) {}
  void Met(std::uint64_t key, std::uint32_t server, TimePoint now) {
    while (!order_.empty() && now - order_.front().first >= kept_) {
      const auto found = met_.find(order_.front().second);
      if (found != met_.end()) {
        std::erase_if(found->second, [&](const auto& met) { return now - met.second >= kept_; });
        if (found->second.empty()) met_.erase(found);
      }
      order_.pop_front();
    }
    auto& servers = met_[key];
    std::erase_if(servers, [&](const auto& met) { return met.first == server; });
    if (servers.size() >= kMost) servers.erase(servers.begin());  // a hot key is warm nearly everywhere
    servers.emplace_back(server, now);
    order_.emplace_back(now, key);
  }
  // Who met the key lately, by one look-up; good until the next Met.
  class Servers {
   public:
    bool Has(std::uint32_t server) const {
      return met_ && std::any_of(met_->begin(), met_->end(), [&](const auto& met) {
               return met.first == server && now_ - met.second < kept_;
             });
    }
    template <typename Visit>
    void ForEach(Visit&& visit) const {
      for (std::size_t k = 0; met_ && k < met_->size(); ++k) {
        if (now_ - (*met_)[k].second < kept_) visit((*met_)[k].first);
      }
    }

   private:
    friend class KeyMemory;
    Servers(const std::vector<std::pair<std::uint32_t, TimePoint>>* met, TimePoint now, Duration kept)
        : met_(met), now_(now), kept_(kept) {}
    const std::vector<std::pair<std::uint32_t, TimePoint>>* met_;  // null: nobody
    TimePoint now_;
    Duration kept_;
  };
  Servers Of(std::uint64_t key, TimePoint now) const {
    const auto found = key == 0 ? met_.end() : met_.find(key);
    return Servers(found == met_.end() ? nullptr : &found->second, now, kept_);
  }

 private:
  static constexpr std::size_t kMost = 64;  // servers of a key

  Duration kept_;
  std::unordered_map<std::uint64_t, std::vector<std::pair<std::uint32_t, TimePoint>>> met_;
  std::deque<std::pair<TimePoint, std::uint64_t>> order_;
};

// Where a server stands, by which those that drop each other's repeats of a key are told.
struct Location {
  int zone = 0, cell = 0;
  bool operator==(const Location&) const = default;
};
inline bool InGroup(Group group, const Location& a, const Location& b) {
  return group == Group::kAll || (a.zone == b.zone && (group == Group::kZone || a.cell == b.cell));
}

// What may be done with a request now.
struct Permission {
  bool dispatch = false;
  bool refuse = false;
  std::optional<Location> group_of;  // if set: only to servers that drop the repeats of those there
  TimePoint by{Duration(1e300)};     // and only so long as they do
};

// ---- what is kept of requests --------------------------------------------------------------------------
using ServerIndex = std::uint32_t;  // of the dense list of servers

struct Attempt {
  ServerIndex server = 0;
  TimePoint sent_at{};
  bool outstanding = true;
  bool may_have_run = true;
  bool overdue = false;  // out for longer than such answers take: it may never end by itself
};

struct Request {
  RequestId id = 0;
  int cls = 0;
  double work = 1;
  double value = 0;
  std::uint64_t key = 0;
  TimePoint arrived{}, due{}, refuse_at{};
  std::vector<Attempt> attempts;
  std::shared_ptr<const std::vector<KeyClaim>> claims;  // of other tries of its key; null: none
  std::shared_ptr<const RouteLimits> limits;            // null: none of a route
  TimePoint paused_until{}, copy_at{};                  // of another attempt; of a second copy
  bool finished = false, streaming = false, held = false, paused = false, copying = false;
  bool passing = false;  // its body is still coming, and its attempts hold no server's time
  bool bound = false;    // no other attempt can be made
  int outstanding() const {
    return static_cast<int>(
        std::count_if(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.outstanding; }));
  }
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_MEASURES_H_
