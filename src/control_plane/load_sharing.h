// SPDX-License-Identifier: Apache-2.0
//
// Distribution of backend loads by one member of the control plane. It collects the load reports of the
// proxies subscribed here and the changes reported by other members, and decides what to send to the proxies
// of each zone and to the other members, within bandwidth budgets that do not grow with the number of
// backends. No I/O, no clock.
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

  // Budgets in bytes per second, to each proxy of a zone and to each other member.
  static constexpr double kProxyBytesPerSecond = 9000;
  static constexpr double kMemberBytesPerSecond = 12000;
  static constexpr Time kMemberRepeatInterval{4000};
  static constexpr Time kHeartbeatInterval{400};  // longest pause between messages, even if nothing changed

  distribution::LoadBoard& board() { return board_; }

  // Sets the zones of the backends; proxies get the loads of their own zone first.
  void SetInstances(const wire::InstanceList& list);

  // Messages that are due; absent if there is nothing to send.
  struct Updates {
    std::optional<wire::LoadChanges> to_members;
    std::map<std::string, wire::LoadSummary> to_zones;
  };
  // Returns the messages to send now. `zones` are those of the proxies subscribed here.
  Updates Tick(Time now, const std::set<std::string>& zones);
  // The full summary, for a proxy that has just subscribed.
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
