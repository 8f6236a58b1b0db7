// SPDX-License-Identifier: Apache-2.0
//
// Estimates how fast the engines of a service process prompts (prefill), from response times seen by this
// proxy. No I/O, no clock.
//
// The model of the prefill time is
//   fixed_ms + ms_per_token * tokens + ms_per_million_pairs * pairs
// with the tokens that were not cached, and the pairs of tokens that attend to each other. The coefficients
// are fitted by recursive least squares. Two partly unknown effects disturb each observation: other work at
// the backend makes it longer, and cached prefixes make it shorter. So observations above the expectation get
// a lower weight than those below it, and the number of cached leading blocks is assumed to be the one that
// fits best.
#ifndef KESTRELLINE_DATA_PLANE_ENGINE_ESTIMATE_H_
#define KESTRELLINE_DATA_PLANE_ENGINE_ESTIMATE_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "data_plane/prompt.h"

namespace kestrelline::data_plane {

struct PrefillCost {
  double fixed_ms = 20;            // independent of the prompt length
  double ms_per_token = 1.0 / 64;  // per token that is not cached
  double ms_per_million_pairs = 0.5;

  // The prefill computation itself, without `fixed_ms`: the time for which it occupies the engine.
  double WorkMs(double tokens, double cached) const;
};

// Attention pairs in millions. The first `cached` of `tokens` tokens are not processed; each of the others
// attends to all tokens before it.
double MillionPairs(double tokens, double cached);

class EngineEstimate {
 public:
  explicit EngineEstimate(PrefillCost initial = {});

  const PrefillCost& cost() const { return cost_; }
  // Records a prefill that took `elapsed_ms`, of which `wait_ms` was the expected queueing time.
  void Observe(const Prompt& prompt, double wait_ms, double elapsed_ms);

 private:
  static constexpr std::size_t kCoefficients = 3;
  using Vector = std::array<double, kCoefficients>;

  // The number of cached leading tokens that explains the time best, over all numbers of leading blocks.
  double LikelyCached(const Prompt& prompt, double prefill_ms) const;
  void Update(const Vector& inputs, double prefill_ms, double noise_ms);

  PrefillCost cost_;
  Vector weights_;                                // coefficients, scaled to about 1
  std::array<Vector, kCoefficients> covariance_;  // of the weights, up to a factor
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_ENGINE_ESTIMATE_H_
