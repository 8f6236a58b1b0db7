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
    rate.generating += output_tokens * rate.pace.MsPerToken();
  }
  // A stream of that many announced tokens held its slot for `ms`.
  void NoteGeneration(const std::string& service, double output_tokens, double ms) {
    rates_[service].pace.Note(output_tokens, ms);
  }
  std::vector<wire::Demand> Demands(TimePoint now) {
    constexpr double kMsPerS = 1000;
    std::vector<wire::Demand> demands;
    for (auto& [service, rate] : rates_) {
      rate.Fade(now);
      const double per_s = kMsPerS / kFollowsMs;
      demands.push_back({service, static_cast<std::uint32_t>(rate.reading * per_s),
                         static_cast<std::uint32_t>(rate.generating * per_s)});
    }
    return demands;
  }

 private:
  // How long a stream holds its slot, by the tokens that its request announced: learned from the last
  // streams.
  class GenerationPace {
   public:
    double MsPerToken() const { return ms_ / tokens_; }
    void Note(double tokens, double ms) {
      if (tokens <= 0 || ms <= 0) return;
      tokens_ = tokens_ * kKept + tokens;
      ms_ = ms_ * kKept + ms;
    }

   private:
    static constexpr double kKept = 0.98;
    // Until streams have ended: some 6 ms a token, of which a third of those announced come.
    double tokens_ = 50;
    double ms_ = 100;
  };

  // Sums in which everything fades by 1/e within kFollowsMs: sum / kFollowsMs is the rate.
  struct Rate {
    double reading = 0;
    double generating = 0;
    GenerationPace pace;
    TimePoint at{};
    void Fade(TimePoint now) {
      const double left = std::exp(-(now - at).count() / kFollowsMs);
      reading *= left;
      generating *= left;
      at = now;
    }
  };
  std::map<std::string, Rate> rates_;  // of the services with engines
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_DEMAND_METER_H_
