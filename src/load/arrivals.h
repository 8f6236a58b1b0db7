// SPDX-License-Identifier: Apache-2.0
//
// Open-loop arrivals, drawn ahead from a seed: when requests are meant to be sent, and what they are. No I/O,
// no clock: times count from the start of the run.
//
// A rate may change over time. Arrivals are spaced by its integral, evenly or as a Poisson process, so that
// each shape has the arrivals that its rate says and no step of simulation shows in them. Times and kinds are
// drawn from two streams: a plan that changes its mixture keeps its times.
#ifndef KESTRELLINE_LOAD_ARRIVALS_H_
#define KESTRELLINE_LOAD_ARRIVALS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "hashing/mix.h"

namespace kestrelline::load {

using Microseconds = std::chrono::microseconds;

// Rates in requests a second, times in seconds.
struct Constant {
  double rate = 0;
};
struct Ramp {  // from one rate to the other, which then holds
  double from = 0, to = 0, over = 0;
};
struct Sine {  // mean + swing * sin; the swing is at most the mean
  double mean = 0, swing = 0, period = 0;
};
struct Steps {  // each rate for `each` seconds, the last for good
  std::vector<double> rates;
  double each = 0;
};
struct Bursts {  // more by `rate` for the first `for_s` of every `every` seconds
  double rate = 0, every = 0, for_s = 0;
};
using Shape = std::variant<Constant, Ramp, Sine, Steps, Bursts>;

// What has arrived by `t`, in the mean: the integral of the rate. `t` in seconds, 0 or more.
double ArrivedBy(const Shape& shape, double t);

struct ClassShare {
  std::string name;
  double weight = 1;
  std::uint32_t least_bytes = 0, most_bytes = 0;  // of the body
};

enum class Spacing { kEven, kPoisson };

struct Mixture {
  std::vector<Shape> shapes;  // they add up
  Spacing spacing = Spacing::kPoisson;
  std::vector<ClassShare> classes;
  std::vector<double> tenants;  // weights; empty: no tenants
  std::uint32_t keys = 0;       // 0: no keys
  double zipf = 1;              // popularity of the k-th key: 1 / k^zipf
  double seconds = 0;           // of the run
};

inline constexpr double kMostRate = 1e6;      // a second
inline constexpr double kMostArrivals = 1e8;  // of a run
inline constexpr std::uint32_t kMostKeys = 1000000;

// What makes a plan impossible, in words that name the value; empty if nothing does.
std::string Wrong(const Mixture& mixture);

struct Arrival {
  Microseconds at{0};  // from the start of the run
  std::uint32_t request_class = 0, tenant = 0, key = 0, bytes = 0;
  bool operator==(const Arrival&) const = default;
};

// Popular items first, by a table of cumulative weights: one draw is one binary search.
class Chooser {
 public:
  explicit Chooser(const std::vector<double>& weights);
  static Chooser Zipf(std::uint32_t n, double exponent);
  std::uint32_t Draw(double unit) const;  // 0 <= unit < 1

 private:
  std::vector<double> cumulative_;  // the last is 1
};

class Arrivals {
 public:
  // `mixture` has nothing Wrong with it.
  Arrivals(Mixture mixture, std::uint64_t seed);

  // In the order of their times; nothing once the run is over.
  std::optional<Arrival> Next();

 private:
  double Unit(std::mt19937_64& from) { return hashing::Unit(from()); }
  double Integral(double t) const;
  double TimeOf(double arrived, double not_before) const;

  Mixture mixture_;
  std::mt19937_64 times_, kinds_;
  Chooser classes_;
  std::optional<Chooser> tenants_, keys_;
  double now_ = 0, arrived_ = 0, total_ = 0;
};

}  // namespace kestrelline::load

#endif  // KESTRELLINE_LOAD_ARRIVALS_H_
