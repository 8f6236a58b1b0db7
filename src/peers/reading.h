// SPDX-License-Identifier: Apache-2.0
//
// What a view says of the network: whole, a part of the fleet, or alone. No I/O, no clock.
#ifndef KESTRELLINE_PEERS_READING_H_
#define KESTRELLINE_PEERS_READING_H_

#include <cstddef>

#include "peers/member.h"

namespace kestrelline::peers {

enum class Reading { kWhole, kPart, kAlone };
const char* NameOf(Reading reading);

// The reading that stands, which another takes the place of only once that has held for a while: a fleet that
// hovers is said to have changed once, not with each member.
class SteadyReading {
 public:
  explicit SteadyReading(Span holds, Reading first = Reading::kWhole) : holds_(holds), stands_(first) {}

  // `present`, this proxy included, of `known`, those that have failed included. `hopes`: others are named in
  // the settings. True if another reading stands from now on.
  bool Update(Time now, std::size_t present, std::size_t known, bool hopes) {
    const Reading raw = present > 1 ? (present < known ? Reading::kPart : Reading::kWhole)
                                    : (known > 1 || hopes ? Reading::kAlone : Reading::kWhole);
    if (raw == stands_) {
      next_ = raw;
      return false;
    }
    if (next_ != raw) next_ = raw, since_ = now;
    if (now - since_ < holds_) return false;
    stands_ = raw;
    return true;
  }
  bool waiting() const { return next_ != stands_; }
  Time due() const { return since_ + holds_; }
  Reading stands() const { return stands_; }

 private:
  Span holds_;
  Reading stands_;
  Reading next_ = stands_;
  Time since_{};
};

inline const char* NameOf(Reading reading) {
  return reading == Reading::kWhole ? "whole" : reading == Reading::kPart ? "part" : "alone";
}

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_READING_H_
