// SPDX-License-Identifier: Apache-2.0
#include "data_plane/engine_estimate.h"

#include <algorithm>
#include <cmath>

namespace kestrelline::data_plane {
namespace {

constexpr double kMillion = 1e6;
// Input units that bring the weights to a similar size: 10 ms of fixed time, 1,000 tokens, a million pairs.
constexpr double kFixedUnitMs = 10;
constexpr double kTokenUnit = 1000;
// Weight of an observation that took longer than expected, relative to one that took less.
constexpr double kOverrunWeight = 0.3;
// Forgetting factor: the weight of an observation halves after about 23 further ones.
constexpr double kForgettingFactor = 0.97;
// Initial variance of each weight relative to its square: how far the initial values may be off, compared
// with the noise of one observation.
constexpr double kInitialCovariance = 4;
// Observations in which queueing takes a larger share than this are ignored.
constexpr double kMaxWaitShare = 0.3;
// Observation noise grows with the duration.
constexpr double kNoiseFloorMs = 10;
constexpr double kNoiseShare = 0.15;
// It also grows with the tokens that may or may not have been cached.
constexpr double kCacheNoisePerSharedToken = 0.3;
constexpr double kMinMsPerToken = 1e-3;

}  // namespace

double MillionPairs(double tokens, double cached) {
  return (tokens * tokens - cached * cached) / 2 / kMillion;
}

double PrefillCost::WorkMs(double tokens, double cached) const {
  return (tokens - cached) * ms_per_token + MillionPairs(tokens, cached) * ms_per_million_pairs;
}

EngineEstimate::EngineEstimate(PrefillCost initial)
    : cost_(initial),
      weights_{initial.fixed_ms / kFixedUnitMs, initial.ms_per_token * kTokenUnit,
               initial.ms_per_million_pairs},
      covariance_{} {
  for (std::size_t i = 0; i < kCoefficients; ++i)
    covariance_[i][i] = kInitialCovariance * weights_[i] * weights_[i];
}

double EngineEstimate::LikelyCached(const Prompt& prompt, double prefill_ms) const {
  const auto tokens = static_cast<double>(prompt.tokens);
  double cached = 0;
  double best_cached = 0;
  double best_error = 0;
  for (std::size_t cached_blocks = 0; cached_blocks <= prompt.SharedBlocks(); ++cached_blocks) {
    const double error = std::abs(cost_.fixed_ms + cost_.WorkMs(tokens, cached) - prefill_ms);
    if (cached_blocks == 0 || error < best_error) {
      best_error = error;
      best_cached = cached;
    }
    if (cached_blocks < prompt.SharedBlocks())
      cached += static_cast<double>(prompt.blocks[cached_blocks].tokens);
  }
  return best_cached;
}

void EngineEstimate::Observe(const Prompt& prompt, double wait_ms, double elapsed_ms) {
  if (prompt.tokens <= 0 || elapsed_ms <= 0 || wait_ms > elapsed_ms * kMaxWaitShare) return;
  const double prefill_ms = elapsed_ms - wait_ms;
  const auto tokens = static_cast<double>(prompt.tokens);
  const double cached = LikelyCached(prompt, prefill_ms);
  const double cache_noise_ms =
      kCacheNoisePerSharedToken * static_cast<double>(prompt.SharedTokens()) * cost_.ms_per_token;
  const double noise_ms = std::hypot(kNoiseFloorMs + kNoiseShare * prefill_ms, cache_noise_ms);
  Update({kFixedUnitMs, (tokens - cached) / kTokenUnit, MillionPairs(tokens, cached)}, prefill_ms, noise_ms);
  cost_.fixed_ms = std::max(0.0, weights_[0] * kFixedUnitMs);
  cost_.ms_per_token = std::max(kMinMsPerToken, weights_[1] / kTokenUnit);
  cost_.ms_per_million_pairs = std::max(0.0, weights_[2]);
}

// One step of recursive least squares with forgetting.
void EngineEstimate::Update(const Vector& inputs, double prefill_ms, double noise_ms) {
  Vector projected{};
  double expected = 0;
  double spread = 0;
  for (std::size_t i = 0; i < kCoefficients; ++i) {
    for (std::size_t j = 0; j < kCoefficients; ++j) projected[i] += covariance_[i][j] * inputs[j];
    expected += weights_[i] * inputs[i];
    spread += inputs[i] * projected[i];
  }
  const double error = prefill_ms - expected;
  const double variance = noise_ms * noise_ms / (error > 0 ? kOverrunWeight : 1);
  const double divisor = kForgettingFactor * variance + spread;
  for (std::size_t i = 0; i < kCoefficients; ++i) weights_[i] += projected[i] / divisor * error;
  for (std::size_t i = 0; i < kCoefficients; ++i) {
    for (std::size_t j = 0; j < kCoefficients; ++j) {
      covariance_[i][j] = (covariance_[i][j] - projected[i] * projected[j] / divisor) / kForgettingFactor;
    }
  }
}

}  // namespace kestrelline::data_plane
