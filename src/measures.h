// SPDX-License-Identifier: Apache-2.0
//
// Building blocks of the decision module: random numbers, averages, sliding windows, and the record of a
// request. Makes no decisions.
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

// Random numbers determined by the seed alone. Standard distributions are avoided: they differ between
// standard libraries.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  std::uint64_t Below(std::uint64_t n) { return engine_() % n; }

 private:
  std::mt19937_64 engine_;
};

// Finalizer of MurmurHash3. All proxies use it, so that they place an id at the same point of a ring.
inline std::uint32_t MixBits(std::uint32_t x) {
  x = (x ^ (x >> 16)) * 0x85ebca6bu;
  x = (x ^ (x >> 13)) * 0xc2b2ae35u;
  return x ^ (x >> 16);
}

// Exponentially weighted mean and mean deviation.
struct MeanDeviation {
  double mean = 0, deviation = 0;
  int samples = 0;

  void Add(double x) {
    const double gain = std::max(0.02, 1.0 / ++samples);
    if (samples == 1) mean = x, deviation = x / 2;
    deviation += gain * (std::abs(x - mean) - deviation);
    mean += gain * (x - mean);
  }
};

// Sum of the work sent to one cold server within a sliding window, whatever became of it.
class WorkWindow {
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

// Load record of a server that is warming up.
struct ColdStart {
  WorkWindow sent;
  TimePoint last_send{};  // when a request was last sent to it, or when its start became known
  double send_phase = 1;  // fraction of the interval between sends that has to pass before the next
};

// First attempts and retries of one retry budget over its sliding window, counted in eighths of the window.
class RetryWindow {
 public:
  void First(TimePoint now, Duration window) {
    Roll(now, window), ++first_attempts_by_slot_[slot_ % kSlots], ++first_attempts_;
  }
  // Counts one more retry if the budget allows it; false if it does not.
  bool Take(TimePoint now, const RetryBudget& budget) {
    Roll(now, budget.window);
    if (!(retries_ + 1 <= budget.at_least + budget.share * static_cast<double>(first_attempts_)))
      return false;
    ++retries_by_slot_[slot_ % kSlots], ++retries_;
    return true;
  }
  // True if nothing was counted during the last window.
  bool Empty(TimePoint now) const { return window_.count() <= 0 || SlotOf(now, window_) - slot_ > kSlots; }

 private:
  static constexpr std::int64_t kSlots = 8;

  static std::int64_t SlotOf(TimePoint now, Duration window) {
    const Duration length = std::max(window, Duration(1)) / static_cast<double>(kSlots);
    return static_cast<std::int64_t>(now.time_since_epoch() / length);
  }
  void Roll(TimePoint now, Duration window) {
    const std::int64_t slot = SlotOf(now, window);
    // The window's length was changed by a reload: starts from zero, so that no burst is carried over.
    if (window != window_) *this = RetryWindow(), window_ = window, slot_ = slot;
    for (; slot_ < slot; ++slot_) {
      if (slot - slot_ > kSlots) slot_ = slot - kSlots;
      const auto oldest = static_cast<std::size_t>((slot_ + 1) % kSlots);
      first_attempts_ -= std::exchange(first_attempts_by_slot_[oldest], 0);
      retries_ -= std::exchange(retries_by_slot_[oldest], 0);
    }
  }

  Duration window_{0};
  std::int64_t slot_ = 0, first_attempts_ = 0, retries_ = 0;
  std::int64_t first_attempts_by_slot_[kSlots] = {}, retries_by_slot_[kSlots] = {};
};

// Requests in flight by route, and the retry budgets.
class RouteUsage {
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
  // Counts one more retry on the first budget that allows it. True if one did, or the route has no budget.
  bool Take(TimePoint now, const RouteLimits& limits) {
    return limits.budgets.empty() ||
           std::any_of(limits.budgets.begin(), limits.budgets.end(),
                       [&](const RetryBudget& b) { return budgets_[b.id].Take(now, b); });
  }
  // Erases budgets that had no traffic for a window.
  void EraseIdle(TimePoint now) {
    std::erase_if(budgets_, [now](auto& b) { return b.second.Empty(now); });
  }

 private:
  std::unordered_map<std::uint64_t, int> open_;
  std::unordered_map<std::uint64_t, RetryWindow> budgets_;  // by id
};

// Which servers were recently sent which key: they serve it again with less work.
class WarmKeys {
 public:
  explicit WarmKeys(Duration kept) : kept_(kept) {}
  void Record(std::uint64_t key, std::uint32_t server, TimePoint now) {
    while (!order_.empty() && now - order_.front().first >= kept_) {
      const auto found = servers_by_key_.find(order_.front().second);
      if (found != servers_by_key_.end()) {
        std::erase_if(found->second, [&](const auto& entry) { return now - entry.second >= kept_; });
        if (found->second.empty()) servers_by_key_.erase(found);
      }
      order_.pop_front();
    }
    auto& servers = servers_by_key_[key];
    std::erase_if(servers, [&](const auto& entry) { return entry.first == server; });
    if (servers.size() >= kMaxServersPerKey)
      servers.erase(servers.begin());  // a hot key is warm nearly everywhere
    servers.emplace_back(server, now);
    order_.emplace_back(now, key);
  }
  // The servers that were recently sent a key. Valid until the next call of Record.
  class Servers {
   public:
    bool Has(std::uint32_t server) const {
      return servers_by_key_ &&
             std::any_of(servers_by_key_->begin(), servers_by_key_->end(), [&](const auto& entry) {
               return entry.first == server && now_ - entry.second < kept_;
             });
    }
    template <typename Visit>
    void ForEach(Visit&& visit) const {
      for (std::size_t k = 0; servers_by_key_ && k < servers_by_key_->size(); ++k) {
        if (now_ - (*servers_by_key_)[k].second < kept_) visit((*servers_by_key_)[k].first);
      }
    }

   private:
    friend class WarmKeys;
    Servers(const std::vector<std::pair<std::uint32_t, TimePoint>>* entry, TimePoint now, Duration kept)
        : servers_by_key_(entry), now_(now), kept_(kept) {}
    const std::vector<std::pair<std::uint32_t, TimePoint>>* servers_by_key_;  // null: none
    TimePoint now_;
    Duration kept_;
  };
  Servers Of(std::uint64_t key, TimePoint now) const {
    const auto found = key == 0 ? servers_by_key_.end() : servers_by_key_.find(key);
    return Servers(found == servers_by_key_.end() ? nullptr : &found->second, now, kept_);
  }

 private:
  static constexpr std::size_t kMaxServersPerKey = 64;  // servers kept per key

  Duration kept_;
  std::unordered_map<std::uint64_t, std::vector<std::pair<std::uint32_t, TimePoint>>> servers_by_key_;
  std::deque<std::pair<TimePoint, std::uint64_t>> order_;
};

// Location of a server; determines which servers share a deduplication record (see Group).
struct Location {
  int zone = 0, cell = 0;
  bool operator==(const Location&) const = default;
};
inline bool SameGroup(Group group, const Location& a, const Location& b) {
  return group == Group::kAll || (a.zone == b.zone && (group == Group::kZone || a.cell == b.cell));
}

// What may be done with a request at a given moment.
struct Permission {
  bool dispatch = false;
  bool refuse = false;               // may end with Refuse; else only with Fail
  std::optional<Location> group_of;  // if set: only to servers that deduplicate together with those there
  TimePoint valid_until{Duration(1e300)};  // and only until then, while they remember the key
};

// ---- requests ------------------------------------------------------------------------------------------
using ServerIndex = std::uint32_t;  // dense index of a server

struct Attempt {
  ServerIndex server = 0;
  TimePoint sent_at{};
  bool outstanding = true;
  bool may_have_run = true;
  bool overdue = false;  // outstanding for longer than is likely for its class: it may never be answered
};

struct Request {
  RequestId id = 0;
  int cls = 0;
  double work = 1;
  double value = 0;
  std::uint64_t key = 0;
  TimePoint arrived{}, due{}, refuse_at{};
  std::vector<Attempt> attempts;
  std::shared_ptr<const std::vector<KeyClaim>> claims;  // other tries of its key; null: none
  std::shared_ptr<const RouteLimits> limits;            // null: its route sets none
  TimePoint paused_until{}, copy_at{};                  // end of the retry backoff; of the hedging delay
  bool finished = false, streaming = false, queued = false, paused = false, copying = false;
  bool receiving = false;     // its body is still being received, and its attempts do not count as load
  bool body_dropped = false;  // its body is not buffered any more: no further attempt is possible
  int outstanding() const {
    return static_cast<int>(
        std::count_if(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.outstanding; }));
  }
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_MEASURES_H_
