// SPDX-License-Identifier: Apache-2.0
#include "concert/pool.h"

#include <algorithm>
#include <iterator>
#include <numeric>

#include "concert/voter.h"

namespace kestrelline::quota {
namespace {

constexpr double kEven =
    0.5;  // of the pool in even parts: who has had no traffic yet is not left with nothing

}  // namespace

double Pool::Outstanding(Time now, std::uint64_t boot) const {
  const auto found = given_.find(boot);
  if (found == given_.end()) return 0;
  double most = 0;
  for (const Given& g : found->second)
    if (now < g.until) most = std::max(most, g.share);
  return most;
}

double Pool::Outstanding(Time now) {
  if (now == summed_at_) return sum_;
  sum_ = 0, summed_at_ = now;
  for (const auto& [boot, given] : given_) sum_ += Outstanding(now, boot);
  return sum_;
}

Grant Pool::Give(Time now, std::uint64_t boot, double wish, Span lasts, std::uint64_t answers) {
  const double before = Outstanding(now, boot), others = Outstanding(now) - before;
  const Grant grant{answers, ++last_, std::clamp(wish, 0.0, std::max(0.0, size_ - others)),
                    std::chrono::floor<std::chrono::milliseconds>(lasts)};
  auto& given = given_[boot];
  given.push_back({grant.number, grant.share, now + Longer(grant.lasts)});
  if (given.size() > kMostGiven) {
    given[1].share = std::max(given[0].share, given[1].share);
    given[1].until = std::max(given[0].until, given[1].until);
    given.erase(given.begin());
  }
  sum_ += Outstanding(now, boot) - before;
  return grant;
}

void Pool::OnTaken(std::uint64_t boot, std::uint64_t number) {
  const auto found = given_.find(boot);
  if (found == given_.end() || number > last_) return;
  std::erase_if(found->second, [number](const Given& g) { return g.number < number; });
  summed_at_ = {};
}

void Pool::Tick(Time now) {
  for (auto of = given_.begin(); of != given_.end();) {
    std::erase_if(of->second, [now](const Given& g) { return g.until <= now; });
    of = of->second.empty() ? given_.erase(of) : std::next(of);
  }
}

std::vector<double> Divided(double pool, const std::vector<double>& rates) {
  const double all = std::accumulate(rates.begin(), rates.end(), 0.0);
  const double even = pool / static_cast<double>(std::max<std::size_t>(1, rates.size()));
  std::vector<double> parts;
  for (const double rate : rates)
    parts.push_back(all > 0 ? kEven * even + (1 - kEven) * pool * rate / all : even);
  return parts;
}

}  // namespace kestrelline::quota
