// SPDX-License-Identifier: Apache-2.0
//
// Checks the history of a simulated control plane as it grows: what operators were told, what members show,
// what proxies put in force, who gave orders to backends. The first thing that breaks a promise is kept.
#ifndef KESTRELLINE_CONTROL_SIM_AUDIT_H_
#define KESTRELLINE_CONTROL_SIM_AUDIT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "control_plane/replica_types.h"

namespace kestrelline::control_sim {

using control_plane::Duration;
using control_plane::Outcome;
using control_plane::Time;

// A change as an operator sends it.
struct OperatorOrder {
  std::uint64_t version = 0;
  std::uint64_t builds_on = 0;
  std::string body;
};

class Audit {
 public:
  // How much older than the newest acknowledgement the first configuration of a proxy's life may be.
  static constexpr Duration kMostStartLag{2000};
  static constexpr Duration kOrderLease{3000};  // of stage orders: two holders within it take turns

  void Answered(Time now, const OperatorOrder& order, Outcome outcome);
  // A member answered a read that was sent at `sent`.
  void Read(Time now, Time sent, std::uint64_t version);
  // A member shows a committed record.
  void Shown(Time now, const wire::Record& record);
  void TwoLeaders(Time now) { Break(now, "two leaders"); }
  void WentBack(Time now, const std::string& who) { Break(now, who + " went back to an older version"); }
  // The first configuration of a proxy's life.
  void Began(Time now, std::uint64_t version);
  // A stage order left its sender.
  void Ordered(Time now, const std::string& holder, std::uint64_t fence);

  std::uint64_t newest() const { return newest_; }
  const OperatorOrder* Acknowledged(std::uint64_t version) const;
  // What broke first; empty while all promises are kept.
  const std::string& broken() const { return broken_; }
  void Break(Time now, const std::string& what);

 private:
  // The newest version that was acknowledged at that time.
  std::uint64_t NewestAt(Time at) const;

  std::map<std::uint64_t, OperatorOrder> acknowledged_;
  std::map<std::uint64_t, std::uint64_t> successor_of_;
  std::map<Time, std::uint64_t> newest_at_;
  std::set<std::pair<std::uint64_t, std::string>> refused_;
  std::uint64_t newest_ = 0;
  struct StageOrderSent {
    std::string holder;
    std::uint64_t fence = 0;
    Time at{0};
  };
  std::optional<StageOrderSent> last_order_;
  std::map<std::uint64_t, std::string> holder_of_fence_;
  std::string broken_;
};

}  // namespace kestrelline::control_sim

#endif  // KESTRELLINE_CONTROL_SIM_AUDIT_H_
