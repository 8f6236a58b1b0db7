// SPDX-License-Identifier: Apache-2.0
#include "replica/store.h"

#include <algorithm>

namespace kestrelline::replica {
namespace {

using Ms = std::chrono::milliseconds;

std::uint64_t MsOf(Span span) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, std::chrono::ceil<Ms>(span).count()));
}

}  // namespace

Store::Store(Origin own, std::uint64_t owner, std::size_t max_entries, Time now)
    : own_(own), owner_(owner), max_entries_(std::max<std::size_t>(max_entries, 1)) {
  // The clock starts at one millisecond, because 0 means an unknown time.
  clock_starts_[own_] = now - Ms(1);
  streams_.emplace(own_, Stream(owner_));
}

std::uint64_t Store::NowOf(Origin origin, Time now) const {
  const auto start = clock_starts_.find(origin);
  return start == clock_starts_.end() || now <= start->second
             ? 0
             : static_cast<std::uint64_t>(std::chrono::floor<Ms>(now - start->second).count());
}

Time Store::TimeOf(Origin origin, std::uint64_t ms) const {
  const auto start = clock_starts_.find(origin);
  return (start == clock_starts_.end() ? Time() : start->second) + Ms(static_cast<std::int64_t>(ms));
}

// A clock value was correct when it was sent, so the clock started at the computed time or before.
void Store::LearnClock(Origin origin, std::uint64_t now_ms, Time now) {
  if (origin == own_ || now_ms == 0 || now_ms > 1000 * kMaxLifetimeMs) return;
  const Time start = now - Ms(static_cast<std::int64_t>(now_ms));
  const auto [known, added] = clock_starts_.try_emplace(origin, start);
  if (!added) known->second = std::min(known->second, start);
}

const Stream* Store::StreamOf(Origin origin) const {
  const auto found = streams_.find(origin);
  return found == streams_.end() ? nullptr : &found->second;
}

Stream* Store::FindOrAddStream(Origin origin, std::uint64_t owner) {
  const auto found = streams_.find(origin);
  if (found != streams_.end()) {
    if (found->second.owner() == 0) found->second.SetOwner(owner);
    return &found->second;
  }
  if (streams_.size() >= kMaxStreams) {
    const auto empty_stream = std::find_if(streams_.begin(), streams_.end(), [this](const auto& s) {
      return s.second.empty() && s.first != own_;
    });
    if (empty_stream == streams_.end()) return ++counts_.streams_refused, nullptr;
    clock_starts_.erase(empty_stream->first);
    streams_.erase(empty_stream);
  }
  return &streams_.emplace(origin, Stream(owner)).first->second;
}

std::int64_t Store::BucketOf(Origin origin, std::uint64_t until_ms) const {
  return std::chrono::floor<std::chrono::seconds>(TimeOf(origin, until_ms).time_since_epoch()).count();
}

std::uint64_t Store::EvictionHorizon(Origin origin) const {
  if (evicted_until_ == 0) return 0;
  return NowOf(origin, Time(std::chrono::seconds(evicted_until_ + 1)));
}

bool Store::Add(Origin origin, Stream& stream, const Entry& entry) {
  const std::int64_t bucket = BucketOf(origin, entry.until_ms);
  if (evicted_until_ != 0 && bucket <= evicted_until_) return ++counts_.refused, false;
  std::optional<Entry> displaced;
  if (stream.Merge(entry, &displaced) == Stream::MergeResult::kOutdated) return false;
  if (displaced) Unindex(origin, *displaced);
  IndexFor(entry.subject.id)[entry.subject.id].push_back({origin, entry.seq});
  by_end_[bucket].push_back({origin, entry.seq});
  ++size_;
  MakeRoom();
  return true;
}

// Removes the index entries of an entry that its stream no longer holds. Tick and MakeRoom skip its place in
// `by_end_`.
void Store::Unindex(Origin origin, const Entry& entry) {
  --size_;
  auto& by_id = IndexFor(entry.subject.id);
  const auto found = by_id.find(entry.subject.id);
  if (found == by_id.end()) return;
  std::erase(found->second, EntryId{origin, entry.seq});
  if (found->second.empty()) by_id.erase(found);
}

void Store::MakeRoom() {
  while (size_ > max_entries_ && !by_end_.empty()) {
    const auto first = by_end_.begin();
    while (size_ > max_entries_ && !first->second.empty()) {
      const EntryId id = first->second.back();
      first->second.pop_back();
      const auto stream = streams_.find(id.origin);
      if (stream == streams_.end()) continue;
      const auto removed = stream->second.Remove(id.seq);
      if (!removed) continue;
      Unindex(id.origin, *removed);
      ++counts_.evicted;
      evicted_until_ = std::max(evicted_until_, first->first);
    }
    if (first->second.empty()) by_end_.erase(first);
  }
}

Seq Store::Write(Time now, const Subject& subject, Span lifetime, std::uint32_t value) {
  Stream& stream = streams_.at(own_);
  Entry entry{++last_seq_, subject,
              std::min(NowOf(own_, now) + MsOf(lifetime), NowOf(own_, now) + kMaxLifetimeMs), value};
  if (const Entry* before = stream.Find(subject)) entry.until_ms = std::max(entry.until_ms, before->until_ms);
  ++counts_.written;
  Add(own_, stream, entry);
  stream.MarkKnown(entry.seq - 1, entry.seq);
  return stream.Find(entry.seq) ? entry.seq : 0;
}

void Store::ChangeOrigin(Time now, Origin origin) {
  const Stream before = streams_.at(own_);
  const std::uint64_t old_now = NowOf(own_, now);
  own_ = origin;
  last_seq_ = 0;
  clock_starts_[own_] = now - Ms(1);
  streams_.try_emplace(own_, Stream(owner_));
  for (const auto& [seq, entry] : before.entries()) {
    if (entry.until_ms > old_now) Write(now, entry.subject, Ms(entry.until_ms - old_now), entry.value);
  }
}

bool Store::Merge(Time now, const Interval& interval) {
  if (interval.origin == 0 || interval.origin == own_) return false;
  LearnClock(interval.origin, interval.now_ms, now);
  if (!clock_starts_.contains(interval.origin)) return false;
  Stream* stream = FindOrAddStream(interval.origin, interval.owner);
  if (!stream) return false;
  const std::uint64_t origin_now = NowOf(interval.origin, now);
  const Seq before = stream->upto();
  bool anything_new = false;
  for (const Entry& entry : interval.entries) {
    if (entry.seq == 0 || entry.until_ms <= origin_now) continue;
    if (entry.until_ms - origin_now > kMaxLifetimeMs + kGracePeriodMs) {
      ++counts_.refused;
      continue;
    }
    if (!Add(interval.origin, *stream, entry)) continue;
    ++counts_.merged;
    anything_new = true;
  }
  stream->MarkKnown(interval.after, interval.upto);
  return anything_new || stream->upto() > before;
}

Interval Store::EntriesAfter(Time now, Origin origin, Seq after, std::size_t max_entries) const {
  Interval out;
  out.origin = origin;
  out.now_ms = NowOf(origin, now);
  out.after = out.upto = after;
  const Stream* stream = StreamOf(origin);
  if (!stream) return out;
  out.owner = stream->owner();
  out.upto = std::max(after, stream->upto());
  const auto& entries = stream->entries();
  for (auto entry = entries.upper_bound(after); entry != entries.end() && entry->first <= stream->upto();
       ++entry) {
    if (entry->second.until_ms <= out.now_ms) continue;
    if (out.entries.size() == max_entries) {
      out.upto = out.entries.back().seq;
      break;
    }
    out.entries.push_back(entry->second);
  }
  return out;
}

std::vector<Interval> Store::EntriesBetween(Time now, Origin origin, Seq after, Seq upto) const {
  std::vector<Interval> parts;
  const Stream* stream = StreamOf(origin);
  if (!stream) return parts;
  const Interval empty{origin, stream->owner(), NowOf(origin, now), after, std::min(upto, stream->upto()),
                       {}};
  if (empty.upto > after) parts.push_back(empty);
  const auto& entries = stream->entries();
  for (auto entry = entries.upper_bound(after); entry != entries.end() && entry->first <= upto; ++entry) {
    if (entry->second.until_ms <= empty.now_ms) continue;
    if (entry->first > stream->upto()) {
      parts.push_back(empty);
      parts.back().after = entry->first - 1, parts.back().upto = entry->first;
    }
    parts.back().entries.push_back(entry->second);
  }
  return parts;
}

std::vector<Store::Match> Store::Find(Time now, Table table, std::uint64_t id) const {
  std::vector<Match> found;
  const auto& by_id = by_id_[ShardOf(id)];
  const auto ids = by_id.find(id);
  if (ids == by_id.end()) return found;
  for (const EntryId& entry_id : ids->second) {
    const Entry* entry = streams_.at(entry_id.origin).Find(entry_id.seq);
    if (!entry || entry->subject.table != table) continue;
    const Time until = TimeOf(entry_id.origin, entry->until_ms);
    if (until > now) found.push_back({entry_id.origin, *entry, until});
  }
  return found;
}

void Store::ForEach(Time now, Table table,
                    const std::function<void(std::uint64_t, const Match&)>& visit) const {
  for (const auto& [origin, stream] : streams_) {
    for (const auto& [seq, entry] : stream.entries()) {
      if (entry.subject.table != table) continue;
      const Time until = TimeOf(origin, entry.until_ms);
      if (until > now) visit(stream.owner(), {origin, entry, until});
    }
  }
}

bool Store::Tick(Time now, const std::function<bool(std::uint64_t owner)>& keeps) {
  const auto expired_before =
      std::chrono::floor<std::chrono::seconds>((now - Ms(kGracePeriodMs)).time_since_epoch()).count();
  std::size_t budget = kMaxForgottenPerTick;
  for (; budget > 0 && !by_end_.empty() && by_end_.begin()->first < expired_before; --budget) {
    auto& ids = by_end_.begin()->second;
    if (ids.empty()) {
      by_end_.erase(by_end_.begin());
      continue;
    }
    const EntryId id = ids.back();
    ids.pop_back();
    const auto stream = streams_.find(id.origin);
    if (stream == streams_.end()) continue;
    if (const auto removed = stream->second.Remove(id.seq)) Unindex(id.origin, *removed);
  }
  for (auto stream = streams_.begin(); stream != streams_.end();) {
    if (stream->first != own_ && stream->second.empty() && !keeps(stream->second.owner())) {
      clock_starts_.erase(stream->first);
      stream = streams_.erase(stream);
    } else {
      ++stream;
    }
  }
  return budget > 0;
}

}  // namespace kestrelline::replica
