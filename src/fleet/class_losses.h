// SPDX-License-Identifier: Apache-2.0
//
// Servers that lose one class of requests and serve the others: a renderer that has died in a process that
// lives. The failures of such a class are too few among all of a server's answers to take it out of service,
// and a class that may not run twice is lost with each of them. No I/O, no clock.
//
// A pair of server and class is avoided when what it lost is far from what the class loses elsewhere: by the
// likelihood ratio of the two shares (a G-test), once it has lost kLeastLost and the server has answered
// other classes meanwhile: one that answers nothing is for A50 to judge. It is avoided for a while, as a
// server that A50 ejects is, and longer each time it turns out not to have recovered. Only losses that speak
// of the class are counted, errors and silence: connections break for all classes alike.
//
// Pairs that lose nothing cost nothing. Of those that do, at most kMostPairs are kept; beyond, new ones go
// unseen until others have been forgotten.
#ifndef KESTRELLINE_FLEET_CLASS_LOSSES_H_
#define KESTRELLINE_FLEET_CLASS_LOSSES_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "kestrelline/balancer.h"

namespace kestrelline::fleet {

class ClassLosses {
 public:
  using Duration = kestrelline::Duration;
  using TimePoint = kestrelline::TimePoint;

  static constexpr Duration kMemory{8000};     // what was seen counts by 1/e after this
  static constexpr double kLeastLost = 1.5;    // two, the first of them a little faded
  static constexpr double kDecisive = 3.3;     // log likelihood ratio: one in a hundred by chance
  static constexpr double kPriorLost = 1;      // seen elsewhere before anything is: a class that fails from
  static constexpr double kPriorAll = 4;       // the start fails everywhere, for all that is known
  static constexpr double kLeastExcess = 0.1;  // in the share lost, over that elsewhere: less is not worth it
  static constexpr Duration kAvoid{3000}, kMostAvoid{16000};
  static constexpr double kMostAvoided = 0.5;  // of the servers, for one class
  static constexpr std::size_t kMostPairs = 4096;

  // An answer came, or stayed away until it could not be expected any more (`lost`; an answer that comes
  // later is not to be told). `hosts`: servers listed as ready. True if the pair is avoided from now on.
  bool Add(TimePoint now, std::uint32_t server, int request_class, bool lost, int hosts);

  bool Avoids(TimePoint now, std::uint32_t server, int request_class) const {
    if (pairs_.empty()) return false;
    const auto found = pairs_.find(Key(server, request_class));
    return found != pairs_.end() && now < found->second.until;
  }

  // Its number belongs to another server, or it runs anew.
  void Forget(std::uint32_t server);
  std::size_t pairs() const { return pairs_.size(); }

 private:
  struct Shares {
    double lost = 0, all = 0;
    TimePoint as_of{};
    void Add(TimePoint now, bool is_lost);
    void Fade(TimePoint now);
  };
  struct Pair {
    Shares seen;    // since its first loss
    int times = 0;  // that it was avoided and had not recovered
    TimePoint until{};
    TimePoint other_served{};  // when the server last answered something of another class
  };
  static std::uint64_t Key(std::uint32_t server, int request_class) {
    return std::uint64_t{server} << 32 | static_cast<std::uint32_t>(request_class);
  }
  bool IsApart(TimePoint now, const Pair& pair, const Shares& of_class) const;
  void NoteServed(TimePoint now, std::uint32_t server, int request_class);
  void DropStale(TimePoint now);

  boost::unordered_flat_map<std::uint64_t, Pair> pairs_;
  std::vector<Shares> classes_;
  TimePoint drop_at_{};
};

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_CLASS_LOSSES_H_
