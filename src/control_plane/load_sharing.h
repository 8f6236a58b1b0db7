// SPDX-License-Identifier: Apache-2.0
//
// A member's part in telling proxies what all of them have sent to backends: takes the reports of the proxies
// here and the changes of other members, and decides what each zone's proxies and the other members are told,
// within budgets of bytes that do not grow with the number of backends. No I/O, no clock.
#ifndef KESTRELLINE_CONTROL_PLANE_LOAD_SHARING_H_
#define KESTRELLINE_CONTROL_PLANE_LOAD_SHARING_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "distribution/load_board.h"
#include "distribution/load_feed.h"
#include "wire/messages.h"

namespace kestrelline::control_plane {

class LoadSharing {
 public:
  using Time = std::chrono::milliseconds;  // of a steady clock

  // To the proxies of one zone, and from one member to another; bytes a second.
  static constexpr double kProxyBytesPerSecond = 9000;
  static constexpr double kMemberBytesPerSecond = 12000;
  static constexpr Time kMemberRepeatInterval{4000};
  static constexpr Time kHeartbeatInterval{400};  // at the latest, though nothing changed

  distribution::LoadBoard& board() { return board_; }

  // Where backends are: those of a proxy's zone matter most to it.
  void SetInstances(const wire::InstanceList& list);

  struct Updates {
    std::optional<wire::LoadChanges> to_members;
    std::map<std::string, wire::LoadSummary> to_zones;
  };
  // What to tell now, given the zones in which proxies subscribe here.
  Updates Tick(Time now, const std::set<std::string>& zones);
  // For a proxy that has just subscribed.
  wire::LoadSummary FullSummary(const std::string& zone) const;

 private:
  struct ZoneFeed {
    distribution::LoadFeed feed{{kProxyBytesPerSecond, kProxyBytesPerSecond / 2, Time(0)}};
    Time last_sent_at{0};
  };

  std::optional<wire::LoadChanges> ChangesForMembers(Time now);
  std::optional<wire::LoadSummary> SummaryFor(Time now, const std::string& zone,
                                              const std::vector<wire::BackendLoad>& loads);

  distribution::LoadBoard board_;
  std::map<std::string, distribution::BackendSet> backends_by_zone_;
  std::map<std::string, ZoneFeed> feeds_;
  distribution::LoadFeed to_members_{
      {kMemberBytesPerSecond, kMemberBytesPerSecond / 2, kMemberRepeatInterval}};
  Time last_sent_to_members_at_{0};
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_LOAD_SHARING_H_
