// SPDX-License-Identifier: Apache-2.0
#include "standin/converter_model.h"

#include <algorithm>
#include <cmath>

namespace kestrelline::standin {

bool CellMemory::Seen(const std::string& key, Microseconds window, Microseconds now) {
  Forget(now);
  const auto [entry, added] = until_.try_emplace(key, now + window);
  if (!added && entry->second > now) return true;
  entry->second = now + window;
  order_.emplace_back(now + window, key);
  return false;
}

// Windows differ by class, so what is past stands behind what is not; it goes when its turn comes.
void CellMemory::Forget(Microseconds now) {
  while (!order_.empty() && (order_.front().first <= now || until_.size() >= kMostKeys)) {
    const auto found = until_.find(order_.front().second);
    if (found != until_.end() && found->second == order_.front().first) until_.erase(found);
    order_.pop_front();
  }
}

void ConverterModel::Start(Microseconds now, bool cold) {
  running_.clear();
  waiting_.clear();
  started_ = now;
  cold_ = cold;
}

double ConverterModel::Share(Microseconds now) const {
  if (!cold_ || now - started_ >= warm_up_) return 1;
  const double warm = static_cast<double>((now - started_).count()) / static_cast<double>(warm_up_.count());
  return cold_from_ + (1 - cold_from_) * warm;
}

bool ConverterModel::Offer(JobId job, double work_s, Microseconds now) {
  if (running() >= cores_ && queued() >= queue_) return false;
  waiting_.push_back({job, work_s});
  Begin(now);
  return true;
}

void ConverterModel::Abandon(JobId job, Microseconds now) {
  std::erase_if(waiting_, [&](const Waiting& w) { return w.job == job; });
  Begin(now);
}

void ConverterModel::Begin(Microseconds now) {
  while (running() < cores_ && !waiting_.empty()) {
    const double takes_s = waiting_.front().work_s * slower_ / (speed_ * Share(now));
    running_.emplace(now + Microseconds(std::max<std::int64_t>(1, std::llround(takes_s * 1e6))),
                     waiting_.front().job);
    waiting_.pop_front();
  }
}

std::optional<Microseconds> ConverterModel::Next() const {
  if (running_.empty()) return std::nullopt;
  return running_.begin()->first;
}

std::vector<JobId> ConverterModel::Advance(Microseconds now) {
  std::vector<JobId> done;
  // The next begins when the one before ended, not when somebody looked.
  while (!running_.empty() && running_.begin()->first <= now) {
    const auto [end, job] = *running_.begin();
    running_.erase(running_.begin());
    done.push_back(job);
    Begin(end);
  }
  return done;
}

}  // namespace kestrelline::standin
