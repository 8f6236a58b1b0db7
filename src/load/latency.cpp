// SPDX-License-Identifier: Apache-2.0
#include "load/latency.h"

#include <algorithm>
#include <cmath>

namespace kestrelline::load {
namespace {

constexpr double kLeastUs = 1, kMostUs = 3.6e9;

// So many that the middle of a bin is off by the error from its ends.
unsigned BinsFor(double error) {
  return static_cast<unsigned>(std::ceil(std::log(kMostUs / kLeastUs) / (2 * std::log1p(error))));
}

}  // namespace

Latencies::Latencies(double relative_error)
    : counts_(std::tuple(Axis(BinsFor(relative_error), kLeastUs, kMostUs))) {}

std::vector<std::pair<int, std::uint64_t>> Latencies::Bins() const {
  std::vector<std::pair<int, std::uint64_t>> bins;
  for (int i = 0; i < counts_.axis().size(); ++i) {
    if (const std::uint64_t n = counts_.at(i); n > 0) bins.emplace_back(i, n);
  }
  return bins;
}

bool Latencies::AddBin(int bin, std::uint64_t times) {
  if (bin < 0 || bin >= counts_.axis().size()) return false;
  counts_.at(bin) += times;
  count_ += times;
  return true;
}

void Latencies::SetExact(Microseconds least, Microseconds most, double sum_us) {
  least_ = least, most_ = most, sum_us_ = sum_us;
}

void Latencies::Add(Microseconds latency, std::uint64_t times) {
  if (times == 0) return;
  latency = std::max(latency, Microseconds(0));
  const auto us = static_cast<double>(latency.count());
  counts_(std::clamp(us, kLeastUs, kMostUs * 0.999999), boost::histogram::weight(times));
  count_ += times;
  sum_us_ += us * static_cast<double>(times);
  least_ = std::min(least_, latency);
  most_ = std::max(most_, latency);
}

Latencies& Latencies::operator+=(const Latencies& other) {
  counts_ += other.counts_;
  count_ += other.count_;
  sum_us_ += other.sum_us_;
  least_ = std::min(least_, other.least_);
  most_ = std::max(most_, other.most_);
  return *this;
}

double Latencies::mean_us() const { return count_ == 0 ? 0 : sum_us_ / static_cast<double>(count_); }

Microseconds Latencies::Quantile(double q) const {
  if (count_ == 0) return Microseconds(0);
  const double share = std::clamp(q, 0.0, 1.0) * static_cast<double>(count_);
  const auto rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(share - 1e-9)));
  if (rank >= count_) return most_;
  std::uint64_t seen = 0;
  const auto& axis = counts_.axis();
  for (int i = 0; i < axis.size(); ++i) {
    seen += counts_.at(i);
    if (seen < rank) continue;
    const auto middle = Microseconds(std::llround(std::sqrt(axis.value(i) * axis.value(i + 1))));
    return std::clamp(middle, least_, most_);
  }
  return most_;
}

std::uint64_t Latencies::Over(Microseconds limit) const {
  if (limit >= most_) return 0;
  const auto& axis = counts_.axis();
  std::uint64_t over = 0;
  const double us = std::max(static_cast<double>(limit.count()), kLeastUs);
  for (int i = axis.size() - 1; i >= 0 && axis.value(i) >= us; --i) over += counts_.at(i);
  return over;
}

}  // namespace kestrelline::load
