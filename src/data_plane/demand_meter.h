// SPDX-License-Identifier: Apache-2.0
//
// What clients ask of each service with engines, as a rate that follows the last seconds. No I/O, no clock.
#ifndef KESTRELLINE_DATA_PLANE_DEMAND_METER_H_
#define KESTRELLINE_DATA_PLANE_DEMAND_METER_H_

#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "data_plane/backend.h"
#include "wire/messages.h"

namespace kestrelline::data_plane {

class DemandMeter {
 public:
  static constexpr double kFollowsMs = 2500;

  void Count(const std::string& service, double reading_ms, double output_tokens, TimePoint now) {
    Rate& rate = rates_[service];
    rate.Fade(now);
    rate.reading += reading_ms;
    rate.tokens += output_tokens;
  }
  std::vector<wire::Demand> Demands(TimePoint now) {
    constexpr double kMsPerS = 1000;
    std::vector<wire::Demand> demands;
    for (auto& [service, rate] : rates_) {
      rate.Fade(now);
      const double per_s = kMsPerS / kFollowsMs;
      demands.push_back({service, static_cast<std::uint32_t>(rate.reading * per_s),
                         static_cast<std::uint32_t>(rate.tokens * per_s)});
    }
    return demands;
  }

 private:
  // Sums in which everything fades by 1/e within kFollowsMs: sum / kFollowsMs is the rate.
  struct Rate {
    double reading = 0;
    double tokens = 0;
    TimePoint at{};
    void Fade(TimePoint now) {
      const double left = std::exp(-(now - at).count() / kFollowsMs);
      reading *= left;
      tokens *= left;
      at = now;
    }
  };
  std::map<std::string, Rate> rates_;  // of the services with engines
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_DEMAND_METER_H_
