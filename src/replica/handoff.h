// SPDX-License-Identifier: Apache-2.0
//
// An upgrade: all that one process holds, given slice by slice to the one that goes on under its name. No
// I/O, no clock.
//
// A slice is sent until it is acknowledged. Whoever takes it up may not listen yet, and may never do: after
// kTries of one slice the rest is given up. Both are on one machine, so that what was acknowledged by its
// last datagram came whole but for a full buffer; what is missing then is asked for when copies are compared.
#ifndef KESTRELLINE_REPLICA_HANDOFF_H_
#define KESTRELLINE_REPLICA_HANDOFF_H_

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "replica/message.h"

namespace kestrelline::replica {

class Handoff {
 public:
  static constexpr int kTries = 20;
  static constexpr std::size_t kSlice = 16;  // datagrams

  void Start(std::vector<Message> all) {
    all_ = std::move(all);
    at_ = 0, slice_ = 1, tries_ = 0, due_ = Time::min();
  }
  // What to send now, if anything.
  std::vector<Message> Next(Time now, Span patience) {
    if (over() || now < due_) return {};
    if (++tries_ > kTries) {
      GiveUp();
      return {};
    }
    due_ = now + patience;
    const std::size_t end = std::min(all_.size(), at_ + kSlice);
    std::vector<Message> slice(all_.begin() + static_cast<std::ptrdiff_t>(at_),
                               all_.begin() + static_cast<std::ptrdiff_t>(end));
    for (Message& m : slice) m.number = slice_;
    slice.back().last = true;
    return slice;
  }
  void OnTaken(std::uint64_t slice) {
    if (over() || slice != slice_) return;
    at_ += kSlice, ++slice_, tries_ = 0, due_ = Time::min();
    if (at_ >= all_.size()) GiveUp();
  }
  bool over() const { return all_.empty(); }
  Time NextDue() const { return over() ? Time::max() : due_; }

 private:
  void GiveUp() { all_.clear(), all_.shrink_to_fit(); }

  std::vector<Message> all_;
  std::size_t at_ = 0;
  std::uint64_t slice_ = 0;
  int tries_ = 0;
  Time due_{};
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_HANDOFF_H_
