// SPDX-License-Identifier: Apache-2.0
#include "quota/pool.h"

#include <algorithm>
#include <iterator>
#include <numeric>

#include "quota/voter.h"

namespace kestrelline::quota {
namespace {

// Part of the pool that is split evenly, so that a member without traffic so far gets some of it as well.
constexpr double kEvenPart = 0.5;

}  // namespace

double Pool::Outstanding(Time now, std::uint64_t boot) const {
  const auto found = issued_.find(boot);
  if (found == issued_.end()) return 0;
  double largest = 0;
  for (const IssuedGrant& grant : found->second)
    if (now < grant.until) largest = std::max(largest, grant.share);
  return largest;
}

double Pool::Outstanding(Time now) {
  if (now == summed_at_) return sum_;
  sum_ = 0, summed_at_ = now;
  for (const auto& [boot, grants] : issued_) sum_ += Outstanding(now, boot);
  return sum_;
}

Grant Pool::Issue(Time now, std::uint64_t boot, double requested, Span duration, std::uint64_t reply_number) {
  const double before = Outstanding(now, boot), others = Outstanding(now) - before;
  const Grant grant{reply_number, ++last_number_, std::clamp(requested, 0.0, std::max(0.0, size_ - others)),
                    std::chrono::floor<std::chrono::milliseconds>(duration)};
  auto& grants = issued_[boot];
  grants.push_back({grant.number, grant.share, now + LengthenedByDrift(grant.duration)});
  if (grants.size() > kMaxGrantsPerHolder) {
    grants[1].share = std::max(grants[0].share, grants[1].share);
    grants[1].until = std::max(grants[0].until, grants[1].until);
    grants.erase(grants.begin());
  }
  sum_ += Outstanding(now, boot) - before;
  return grant;
}

void Pool::OnAccepted(std::uint64_t boot, std::uint64_t number) {
  const auto found = issued_.find(boot);
  if (found == issued_.end() || number > last_number_) return;
  std::erase_if(found->second, [number](const IssuedGrant& grant) { return grant.number < number; });
  summed_at_ = {};
}

void Pool::Tick(Time now) {
  for (auto holder = issued_.begin(); holder != issued_.end();) {
    std::erase_if(holder->second, [now](const IssuedGrant& grant) { return grant.until <= now; });
    holder = holder->second.empty() ? issued_.erase(holder) : std::next(holder);
  }
}

std::vector<double> DivideByRates(double pool, const std::vector<double>& rates) {
  const double total_rate = std::accumulate(rates.begin(), rates.end(), 0.0);
  const double even = pool / static_cast<double>(std::max<std::size_t>(1, rates.size()));
  std::vector<double> parts;
  for (const double rate : rates)
    parts.push_back(total_rate > 0 ? kEvenPart * even + (1 - kEvenPart) * pool * rate / total_rate : even);
  return parts;
}

}  // namespace kestrelline::quota
