// SPDX-License-Identifier: Apache-2.0
//
// Hand-off during an upgrade: sends all entries that a process holds, and those it still writes until it
// ends, to the process that continues under its name. No I/O, no clock.
//
// Each datagram is acknowledged individually and sent again until it is: the successor may start to listen
// while a window of datagrams is in flight, and no other process could tell it what it missed. It may also
// never listen: after kMaxTries transmissions of a window without any acknowledgement the rest is dropped.
#ifndef KESTRELLINE_REPLICA_HANDOFF_H_
#define KESTRELLINE_REPLICA_HANDOFF_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "replica/message.h"

namespace kestrelline::replica {

class Handoff {
 public:
  static constexpr int kMaxTries = 20;
  static constexpr std::size_t kWindow = 16;  // datagrams in flight

  // Queues messages behind those added before. They become chunks, each with a number of its own.
  void Add(std::vector<Message> messages) {
    if (done()) Restart();
    for (Message& message : messages) {
      message.kind = Message::Kind::kChunk;
      message.number = ++last_number_;
      message.last = true;  // requests an acknowledgement with this number
      unacknowledged_.push_back(std::move(message));
    }
  }
  // Returns what to send now, if anything: the first window of unacknowledged datagrams.
  std::vector<Message> Next(Time now, Span timeout) {
    if (done() || now < due_) return {};
    if (++tries_ > kMaxTries) {
      unacknowledged_.clear();
      return {};
    }
    due_ = now + timeout;
    in_flight_ = std::min(kWindow, unacknowledged_.size());
    return {unacknowledged_.begin(), unacknowledged_.begin() + static_cast<std::ptrdiff_t>(in_flight_)};
  }
  // The datagram of this number was received. A repeated acknowledgement changes nothing.
  void OnAck(std::uint64_t number) {
    const auto end = unacknowledged_.begin() + static_cast<std::ptrdiff_t>(in_flight_);
    const auto found = std::find_if(unacknowledged_.begin(), end,
                                    [number](const Message& message) { return message.number == number; });
    if (found == end) return;
    unacknowledged_.erase(found);
    tries_ = 0;
    if (--in_flight_ == 0) due_ = Time::min();
  }
  // Nothing is unacknowledged: everything was received, or the successor didn't respond.
  bool done() const { return unacknowledged_.empty(); }
  Time NextDue() const { return done() ? Time::max() : due_; }

 private:
  void Restart() {
    tries_ = 0;
    in_flight_ = 0;
    due_ = Time::min();
  }

  std::deque<Message> unacknowledged_;
  std::uint64_t last_number_ = 0;
  std::size_t in_flight_ = 0;  // the first ones of `unacknowledged_`
  int tries_ = 0;
  Time due_ = Time::min();
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_HANDOFF_H_
