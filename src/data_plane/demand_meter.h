// SPDX-License-Identifier: Apache-2.0
//
// Measures client demand per service with engines, as an exponentially decaying rate. No I/O, no clock.
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
  static constexpr double kTimeConstantMs = 2500;

  void Count(const std::string& service, double prefill_ms, double output_tokens, TimePoint now) {
    Rate& rate = rates_[service];
    rate.Decay(now);
    rate.prefill += prefill_ms;
    rate.generation += output_tokens * rate.pace.MsPerToken();
  }
  // Records that a stream which announced `output_tokens` occupied its slot for `ms`.
  void RecordGeneration(const std::string& service, double output_tokens, double ms) {
    rates_[service].pace.Add(output_tokens, ms);
  }
  std::vector<wire::Demand> Demands(TimePoint now) {
    constexpr double kMsPerS = 1000;
    std::vector<wire::Demand> demands;
    for (auto& [service, rate] : rates_) {
      rate.Decay(now);
      const double to_per_second = kMsPerS / kTimeConstantMs;
      demands.push_back({service, static_cast<std::uint32_t>(rate.prefill * to_per_second),
                         static_cast<std::uint32_t>(rate.generation * to_per_second)});
    }
    return demands;
  }

 private:
  // How long a stream occupies its slot per announced token, learned from recent streams.
  class GenerationPace {
   public:
    double MsPerToken() const { return ms_ / tokens_; }
    void Add(double tokens, double ms) {
      if (tokens <= 0 || ms <= 0) return;
      tokens_ = tokens_ * kDecayFactor + tokens;
      ms_ = ms_ * kDecayFactor + ms;
    }

   private:
    static constexpr double kDecayFactor = 0.98;
    // Initial values until streams have finished: about 6 ms per generated token, with a third of the
    // announced tokens generated.
    double tokens_ = 50;
    double ms_ = 100;
  };

  // Sums that decay by 1/e within kTimeConstantMs; sum / kTimeConstantMs is the rate.
  struct Rate {
    double prefill = 0;
    double generation = 0;
    GenerationPace pace;
    TimePoint updated_at{};
    void Decay(TimePoint now) {
      const double remaining = std::exp(-(now - updated_at).count() / kTimeConstantMs);
      prefill *= remaining;
      generation *= remaining;
      updated_at = now;
    }
  };
  std::map<std::string, Rate> rates_;  // by service; only those with engines
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_DEMAND_METER_H_
