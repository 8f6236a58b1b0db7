// SPDX-License-Identifier: Apache-2.0
#include "load/arrivals.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace kestrelline::load {
namespace {

constexpr double kExact = 5e-7;  // seconds: half of the unit that arrivals are told in
constexpr std::uint64_t kOtherStream = 0x9e3779b97f4a7c15u;

bool Rate(double value) { return std::isfinite(value) && value >= 0 && value <= kMostRate; }
bool Time(double value) { return std::isfinite(value) && value > 0; }

std::vector<double> WeightsOf(const std::vector<ClassShare>& classes) {
  std::vector<double> weights;
  for (const ClassShare& c : classes) weights.push_back(c.weight);
  return weights;
}

struct Integrate {
  double t;
  double operator()(const Constant& s) const { return s.rate * t; }
  double operator()(const Ramp& s) const {
    const double in = std::min(t, s.over);
    return s.from * in + (s.to - s.from) * in * in / (2 * s.over) + s.to * (t - in);
  }
  double operator()(const Sine& s) const {
    const double turn = 2 * std::numbers::pi / s.period;
    return s.mean * t + s.swing / turn * (1 - std::cos(turn * t));
  }
  double operator()(const Steps& s) const {
    double sum = 0;
    for (std::size_t i = 0; i < s.rates.size(); ++i) {
      const double begins = static_cast<double>(i) * s.each;
      if (t <= begins) break;
      const bool last = i + 1 == s.rates.size();
      sum += s.rates[i] * (last ? t - begins : std::min(t - begins, s.each));
    }
    return sum;
  }
  double operator()(const Bursts& s) const {
    const double whole = std::floor(t / s.every);
    return s.rate * (whole * s.for_s + std::min(t - whole * s.every, s.for_s));
  }
};

struct Check {
  std::string operator()(const Constant& s) const { return Rate(s.rate) ? "" : "a rate"; }
  std::string operator()(const Ramp& s) const {
    return !Rate(s.from) || !Rate(s.to) ? "a rate of a ramp" : !Time(s.over) ? "the time of a ramp" : "";
  }
  std::string operator()(const Sine& s) const {
    if (!Rate(s.mean) || !Rate(s.swing) || s.swing > s.mean) return "the mean or the swing of a sine";
    return Time(s.period) ? "" : "the period of a sine";
  }
  std::string operator()(const Steps& s) const {
    if (s.rates.empty() || !std::all_of(s.rates.begin(), s.rates.end(), Rate)) return "the rates of steps";
    return Time(s.each) ? "" : "the time of a step";
  }
  std::string operator()(const Bursts& s) const {
    if (!Rate(s.rate)) return "the rate of bursts";
    return Time(s.every) && Time(s.for_s) && s.for_s <= s.every ? "" : "the times of bursts";
  }
};

std::string WrongWeights(const std::vector<double>& weights, const char* of) {
  double sum = 0;
  for (const double w : weights) {
    if (!std::isfinite(w) || w < 0) return std::string("a weight of ") + of + " is no number of 0 or more";
    sum += w;
  }
  return sum > 0 ? "" : std::string("the weights of ") + of + " add up to nothing";
}

}  // namespace

double ArrivedBy(const Shape& shape, double t) { return std::visit(Integrate{t}, shape); }

std::string Wrong(const Mixture& mixture) {
  if (!Time(mixture.seconds)) return "the run must last longer than 0 s";
  if (mixture.shapes.empty()) return "there is no shape of load";
  double total = 0;
  for (const Shape& shape : mixture.shapes) {
    const std::string part = std::visit(Check{}, shape);
    if (!part.empty()) return part + " is out of range: rates are 0 to 1,000,000 a second, times over 0";
    total += ArrivedBy(shape, mixture.seconds);
  }
  if (!(total <= kMostArrivals)) return "the run has more than 100,000,000 arrivals";
  if (!(total >= 1)) return "the run has not one arrival";
  if (mixture.classes.empty()) return "there is no class";
  if (auto wrong = WrongWeights(WeightsOf(mixture.classes), "classes"); !wrong.empty()) return wrong;
  for (const ClassShare& c : mixture.classes) {
    if (c.least_bytes > c.most_bytes) return "class " + c.name + " has fewer bytes at most than at least";
  }
  if (!mixture.tenants.empty()) {
    if (auto wrong = WrongWeights(mixture.tenants, "tenants"); !wrong.empty()) return wrong;
  }
  if (mixture.keys > kMostKeys) return "more than 1,000,000 keys";
  if (!std::isfinite(mixture.zipf) || mixture.zipf < 0 || mixture.zipf > 10)
    return "the exponent of the keys' popularity is not 0 to 10";
  return "";
}

Chooser::Chooser(const std::vector<double>& weights) {
  double sum = 0;
  for (const double w : weights) cumulative_.push_back(sum += w);
  for (double& c : cumulative_) c /= sum;
}

Chooser Chooser::Zipf(std::uint32_t n, double exponent) {
  std::vector<double> weights;
  weights.reserve(n);
  for (std::uint32_t k = 1; k <= n; ++k) weights.push_back(std::pow(k, -exponent));
  return Chooser(weights);
}

std::uint32_t Chooser::Draw(double unit) const {
  const auto found = std::upper_bound(cumulative_.begin(), cumulative_.end(), unit);
  const auto last = cumulative_.end() - 1;  // where rounding leaves the sum under 1
  return static_cast<std::uint32_t>(std::min(found, last) - cumulative_.begin());
}

Arrivals::Arrivals(Mixture mixture, std::uint64_t seed)
    : mixture_(std::move(mixture)),
      times_(seed),
      kinds_(seed ^ kOtherStream),
      classes_(WeightsOf(mixture_.classes)) {
  if (!mixture_.tenants.empty()) tenants_.emplace(mixture_.tenants);
  if (mixture_.keys > 0) keys_ = Chooser::Zipf(mixture_.keys, mixture_.zipf);
  total_ = Integral(mixture_.seconds);
}

double Arrivals::Integral(double t) const {
  double sum = 0;
  for (const Shape& shape : mixture_.shapes) sum += ArrivedBy(shape, t);
  return sum;
}

// The first moment by which so much has arrived. The integral only rises, so that halving finds it.
double Arrivals::TimeOf(double arrived, double not_before) const {
  double low = not_before, step = 1e-3;
  while (low + step < mixture_.seconds && Integral(low + step) < arrived) low += step, step *= 2;
  double high = std::min(low + step, mixture_.seconds);
  while (high - low > kExact) {
    const double middle = low + (high - low) / 2;
    (Integral(middle) < arrived ? low : high) = middle;
  }
  return high;
}

std::optional<Arrival> Arrivals::Next() {
  arrived_ += mixture_.spacing == Spacing::kEven ? 1 : -std::log1p(-Unit(times_));
  if (arrived_ > total_) {
    arrived_ = total_ + 1;  // over for good
    return std::nullopt;
  }
  now_ = TimeOf(arrived_, now_);
  Arrival arrival;
  arrival.at = Microseconds(static_cast<std::int64_t>(std::llround(now_ * 1e6)));
  arrival.request_class = classes_.Draw(Unit(kinds_));
  const ClassShare& c = mixture_.classes[arrival.request_class];
  arrival.bytes =
      c.least_bytes + static_cast<std::uint32_t>(Unit(kinds_) * (c.most_bytes - c.least_bytes + 1.0));
  if (tenants_) arrival.tenant = tenants_->Draw(Unit(kinds_));
  if (keys_) arrival.key = keys_->Draw(Unit(kinds_)) + 1;
  return arrival;
}

}  // namespace kestrelline::load
