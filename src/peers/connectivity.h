// SPDX-License-Identifier: Apache-2.0
//
// Classifies a view: the whole fleet is reachable, a part of it, or this proxy is alone. No I/O, no clock.
#ifndef KESTRELLINE_PEERS_CONNECTIVITY_H_
#define KESTRELLINE_PEERS_CONNECTIVITY_H_

#include <cstddef>

#include "peers/member.h"

namespace kestrelline::peers {

// kPart: some known members have failed.
enum class Connectivity { kWhole, kPart, kAlone };
const char* NameOf(Connectivity connectivity);

// Debounces the classification: a new one takes effect only after it has held for a while, so that a fleet
// whose members come and go one by one is reported to have changed once.
class StableConnectivity {
 public:
  explicit StableConnectivity(Span hold, Connectivity first = Connectivity::kWhole)
      : hold_(hold), current_(first) {}

  // `present` of `known` members are believed to run; `present` includes this proxy, and `known` includes
  // failed members. `has_seeds`: the settings name other proxies. Returns whether the classification has
  // changed.
  bool Update(Time now, std::size_t present, std::size_t known, bool has_seeds) {
    const Connectivity observed =
        present > 1 ? (present < known ? Connectivity::kPart : Connectivity::kWhole)
                    : (known > 1 || has_seeds ? Connectivity::kAlone : Connectivity::kWhole);
    if (observed == current_) {
      candidate_ = observed;
      return false;
    }
    if (candidate_ != observed) candidate_ = observed, since_ = now;
    if (now - since_ < hold_) return false;
    current_ = observed;
    return true;
  }
  // Whether a change waits to take effect, and when it does.
  bool pending() const { return candidate_ != current_; }
  Time due() const { return since_ + hold_; }
  Connectivity current() const { return current_; }

 private:
  Span hold_;
  Connectivity current_;
  Connectivity candidate_ = current_;
  Time since_{};
};

inline const char* NameOf(Connectivity connectivity) {
  return connectivity == Connectivity::kWhole  ? "whole"
         : connectivity == Connectivity::kPart ? "part"
                                               : "alone";
}

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_CONNECTIVITY_H_
