// SPDX-License-Identifier: Apache-2.0
//
// Detects servers that fail one class of requests and serve the others, as when one worker of a running
// process has died. The failures are too few among all answers of the server for outlier ejection, and each
// loses a request if the class must not run twice. No I/O, no clock.
//
// A pair of server and class is avoided when its failure share differs significantly from that of the class
// elsewhere, by the likelihood ratio of the two (a G-test), once it has kMinLosses losses and the server has
// answered other classes meanwhile; a server that answers nothing is left to A50. It is avoided for a limited
// time, which grows each time it turns out not to have recovered, as with A50. Only errors and missing
// answers count as losses: broken connections affect all classes alike.
//
// Pairs without losses need no memory. At most kMaxPairs others are kept; beyond that, new ones are not
// detected until old ones have been erased.
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

  static constexpr Duration kMemory{8000};       // time constant of the exponential decay of counts
  static constexpr double kMinLosses = 1.5;      // two losses, the first of them partly decayed
  static constexpr double kDecisiveRatio = 3.3;  // log likelihood ratio: 1% by chance
  // Prior counts of the class elsewhere: a class that fails from the start is assumed to fail everywhere.
  static constexpr double kPriorLost = 1;
  static constexpr double kPriorAll = 4;
  static constexpr double kMinExcess = 0.1;  // smaller excess of the loss share is not worth avoiding
  static constexpr Duration kAvoid{3000}, kMaxAvoid{16000};
  static constexpr double kMaxAvoidedShare = 0.5;  // fraction of the servers, for one class
  static constexpr std::size_t kMaxPairs = 4096;

  // Adds an answer. `lost`: an error, or no answer within the time it could be expected; a later answer to
  // the same attempt must not be added. `hosts`: servers listed as ready. True if the pair is avoided from
  // now on.
  bool Add(TimePoint now, std::uint32_t server, int request_class, bool lost, int hosts);

  bool Avoids(TimePoint now, std::uint32_t server, int request_class) const {
    if (pairs_.empty()) return false;
    const auto found = pairs_.find(Key(server, request_class));
    return found != pairs_.end() && now < found->second.until;
  }

  // Erases a server that restarted, or whose number was given to another server.
  void Forget(std::uint32_t server);
  std::size_t pairs() const { return pairs_.size(); }

 private:
  struct Shares {
    double lost = 0, all = 0;
    TimePoint as_of{};
    void Add(TimePoint now, bool is_lost);
    void Decay(TimePoint now);
  };
  struct Pair {
    Shares shares;             // since its first loss, or since it was last avoided
    int times_avoided = 0;     // times in a row that it was avoided without recovering
    TimePoint until{};         // avoided until then
    TimePoint other_served{};  // when the server last answered a request of another class
  };
  static std::uint64_t Key(std::uint32_t server, int request_class) {
    return std::uint64_t{server} << 32 | static_cast<std::uint32_t>(request_class);
  }
  bool DiffersFromClass(TimePoint now, const Pair& pair, const Shares& class_shares) const;
  void NoteServed(TimePoint now, std::uint32_t server, int request_class);
  void DropStale(TimePoint now);

  boost::unordered_flat_map<std::uint64_t, Pair> pairs_;
  std::vector<Shares> classes_;
  TimePoint drop_at_{};
};

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_CLASS_LOSSES_H_
