// SPDX-License-Identifier: Apache-2.0
//
// The faults of a site's plan, played on the view of its proxies in virtual time: how long after each change
// all views were equal to the truth.
#ifndef KESTRELLINE_SIM_PEERS_PLAY_H_
#define KESTRELLINE_SIM_PEERS_PLAY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sim/peers_world.h"
#include "standin/site.h"

namespace kestrelline::sim {

// The beginning or the end of a fault. Faults of converters and discovery are no business of the view.
struct PeersChange {
  Microseconds at{0};
  std::string what;
  std::size_t parts = 1;  // into which the members are cut from here on
  std::optional<Microseconds>
      equal;                 // until all views of each part were equal to it; none: not before the next
  Microseconds differed{0};  // and for how long some of them differed again before the next
};

struct PeersPlayed {
  std::vector<PeersChange> changes;  // the first one is the start of all
  PeersWorld::Totals totals;
  double seconds = 0;
  // Said of a member that ran and was of the same part, kSettling after the last change or later.
  std::uint64_t false_deaths = 0;
  bool agreed = false;  // within kMostAfter of the last change, and for kStaysSo from there
};

class PeersPlay {
 public:
  static constexpr Microseconds kMostAfter{60000000}, kStaysSo{5000000}, kSettling{5000000};

  // Bound: peers::kMaxMembers proxies.
  PeersPlay(const standin::SiteSpec& site, std::uint64_t seed);

  PeersPlayed Play();
  standin::NetFaults& net() { return world_.net(); }

  // Of every member, as they come.
  std::function<void(Microseconds, int member, const peers::Event&)> on_event;

 private:
  struct Edge {
    Microseconds at;
    const standin::Fault* fault;
    bool begins;
  };
  void Turn(const Edge& edge);
  void OnEvent(int member, const peers::Event& event);

  const standin::SiteSpec& site_;
  std::vector<standin::Candidate> proxies_;
  std::vector<Edge> edges_;
  PeersWorld world_;
  std::vector<int> part_of_;  // by member; -1: does not run
  Microseconds changed_{0};
  std::uint64_t false_deaths_ = 0;
};

}  // namespace kestrelline::sim

#endif  // KESTRELLINE_SIM_PEERS_PLAY_H_
