// SPDX-License-Identifier: Apache-2.0
//
// Virtual time: what is to happen, in the order of its moments. One seed has one order of events, on every
// machine.
//
// Time is whole microseconds, so that a week adds up without drift. Events of one moment come in an order
// that the seed draws: nothing that a simulation finds may hang on the order in which it was written down.
//
// Bounds: what is pending alone takes memory, 64 bytes an event and what its action holds.
#ifndef KESTRELLINE_SIM_KERNEL_H_
#define KESTRELLINE_SIM_KERNEL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace kestrelline::sim {

using Microseconds = std::chrono::microseconds;

class Kernel {
 public:
  using Action = std::function<void()>;

  explicit Kernel(std::uint64_t seed) : seed_(seed) {}

  Microseconds now() const { return now_; }

  // At `at`, or now if that has passed.
  void At(Microseconds at, Action action);
  void After(Microseconds pause, Action action) { At(now_ + pause, std::move(action)); }

  // The next event; false if there is none, or it comes after `until`, which is then now.
  bool Step(Microseconds until);

  std::uint64_t events() const { return events_; }
  std::size_t pending() const { return heap_.size(); }

 private:
  struct Entry {
    Microseconds at;
    std::uint64_t order;  // within the moment
    std::uint32_t slot;
    // A heap has its greatest in front.
    bool operator<(const Entry& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  std::uint64_t seed_, scheduled_ = 0, events_ = 0;
  Microseconds now_{0};
  std::vector<Entry> heap_;
  std::vector<Action> actions_;  // by slot
  std::vector<std::uint32_t> free_;
};

}  // namespace kestrelline::sim

#endif  // KESTRELLINE_SIM_KERNEL_H_
