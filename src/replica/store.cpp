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

Store::Store(Origin own, std::uint64_t owner, std::size_t most_entries, Time now)
    : own_(own), owner_(owner), most_(std::max<std::size_t>(most_entries, 1)) {
  // One millisecond on: 0 is no time.
  began_[own_] = now - Ms(1);
  streams_.emplace(own_, Stream(owner_));
}

std::uint64_t Store::NowOf(Origin origin, Time now) const {
  const auto began = began_.find(origin);
  return began == began_.end() || now <= began->second
             ? 0
             : static_cast<std::uint64_t>(std::chrono::floor<Ms>(now - began->second).count());
}

Time Store::TimeOf(Origin origin, std::uint64_t ms) const {
  const auto began = began_.find(origin);
  return (began == began_.end() ? Time() : began->second) + Ms(static_cast<std::int64_t>(ms));
}

// What is told of a clock was right when it was sent: it began then or before.
void Store::LearnClock(Origin origin, std::uint64_t now_ms, Time now) {
  if (origin == own_ || now_ms == 0 || now_ms > 1000 * kLongestMs) return;
  const Time began = now - Ms(static_cast<std::int64_t>(now_ms));
  const auto [known, added] = began_.try_emplace(origin, began);
  if (!added) known->second = std::min(known->second, began);
}

const Stream* Store::Of(Origin origin) const {
  const auto found = streams_.find(origin);
  return found == streams_.end() ? nullptr : &found->second;
}

Stream* Store::Open(Origin origin, std::uint64_t owner) {
  const auto found = streams_.find(origin);
  if (found != streams_.end()) {
    if (found->second.owner() == 0) found->second.SetOwner(owner);
    return &found->second;
  }
  if (streams_.size() >= kMostStreams) {
    const auto spare = std::find_if(streams_.begin(), streams_.end(),
                                    [this](const auto& s) { return s.second.empty() && s.first != own_; });
    if (spare == streams_.end()) return ++counts_.streams_refused, nullptr;
    began_.erase(spare->first);
    streams_.erase(spare);
  }
  return &streams_.emplace(origin, Stream(owner)).first->second;
}

std::int64_t Store::BucketOf(Origin origin, std::uint64_t until_ms) const {
  return std::chrono::floor<std::chrono::seconds>(TimeOf(origin, until_ms).time_since_epoch()).count();
}

std::uint64_t Store::FloorOf(Origin origin) const {
  if (floor_ == 0) return 0;
  return NowOf(origin, Time(std::chrono::seconds(floor_ + 1)));
}

bool Store::Add(Origin origin, Stream& stream, const Entry& entry) {
  const std::int64_t bucket = BucketOf(origin, entry.until_ms);
  if (floor_ != 0 && bucket <= floor_) return ++counts_.refused, false;
  std::optional<Entry> displaced;
  if (stream.Merge(entry, &displaced) == Stream::Put::kOld) return false;
  if (displaced) Forget(origin, *displaced);
  ById(entry.subject.id)[entry.subject.id].push_back({origin, entry.seq});
  by_end_[bucket].push_back({origin, entry.seq});
  ++size_;
  MakeRoom();
  return true;
}

// Of an entry that its stream holds no more. Its place by its end is found empty when its time comes.
void Store::Forget(Origin origin, const Entry& entry) {
  --size_;
  auto& by_id = ById(entry.subject.id);
  const auto found = by_id.find(entry.subject.id);
  if (found == by_id.end()) return;
  std::erase(found->second, Dot{origin, entry.seq});
  if (found->second.empty()) by_id.erase(found);
}

void Store::MakeRoom() {
  while (size_ > most_ && !by_end_.empty()) {
    const auto first = by_end_.begin();
    while (size_ > most_ && !first->second.empty()) {
      const Dot dot = first->second.back();
      first->second.pop_back();
      const auto stream = streams_.find(dot.origin);
      if (stream == streams_.end()) continue;
      const auto dropped = stream->second.Drop(dot.seq);
      if (!dropped) continue;
      Forget(dot.origin, *dropped);
      ++counts_.evicted;
      floor_ = std::max(floor_, first->first);
    }
    if (first->second.empty()) by_end_.erase(first);
  }
}

Seq Store::Write(Time now, const Subject& subject, Span keep, std::uint32_t value) {
  Stream& stream = streams_.at(own_);
  Entry entry{++last_, subject, std::min(NowOf(own_, now) + MsOf(keep), NowOf(own_, now) + kLongestMs),
              value};
  if (const Entry* before = stream.Find(subject)) entry.until_ms = std::max(entry.until_ms, before->until_ms);
  ++counts_.written;
  Add(own_, stream, entry);
  stream.Cover(entry.seq - 1, entry.seq);
  return stream.Find(entry.seq) ? entry.seq : 0;
}

void Store::Reorigin(Time now, Origin origin) {
  const Stream before = streams_.at(own_);
  const std::uint64_t then = NowOf(own_, now);
  own_ = origin;
  last_ = 0;
  began_[own_] = now - Ms(1);
  streams_.try_emplace(own_, Stream(owner_));
  for (const auto& [seq, entry] : before.entries()) {
    if (entry.until_ms > then) Write(now, entry.subject, Ms(entry.until_ms - then), entry.value);
  }
}

bool Store::Merge(Time now, const Interval& interval) {
  if (interval.origin == 0 || interval.origin == own_) return false;
  LearnClock(interval.origin, interval.now_ms, now);
  if (!began_.contains(interval.origin)) return false;
  Stream* stream = Open(interval.origin, interval.owner);
  if (!stream) return false;
  const std::uint64_t there = NowOf(interval.origin, now);
  const Seq before = stream->upto();
  bool news = false;
  for (const Entry& entry : interval.entries) {
    if (entry.seq == 0 || entry.until_ms <= there) continue;
    if (entry.until_ms - there > kLongestMs + kLingerMs) {
      ++counts_.refused;
      continue;
    }
    if (!Add(interval.origin, *stream, entry)) continue;
    ++counts_.merged;
    news = true;
  }
  stream->Cover(interval.after, interval.upto);
  return news || stream->upto() > before;
}

Interval Store::Since(Time now, Origin origin, Seq after, std::size_t most) const {
  Interval out;
  out.origin = origin;
  out.now_ms = NowOf(origin, now);
  out.after = out.upto = after;
  const Stream* stream = Of(origin);
  if (!stream) return out;
  out.owner = stream->owner();
  out.upto = std::max(after, stream->upto());
  const auto& all = stream->entries();
  for (auto at = all.upper_bound(after); at != all.end() && at->first <= stream->upto(); ++at) {
    if (at->second.until_ms <= out.now_ms) continue;
    if (out.entries.size() == most) {
      out.upto = out.entries.back().seq;
      break;
    }
    out.entries.push_back(at->second);
  }
  return out;
}

std::vector<Interval> Store::Part(Time now, Origin origin, Seq after, Seq upto) const {
  std::vector<Interval> parts;
  const Stream* stream = Of(origin);
  if (!stream) return parts;
  const Interval empty{origin, stream->owner(), NowOf(origin, now), after, std::min(upto, stream->upto()),
                       {}};
  if (empty.upto > after) parts.push_back(empty);
  const auto& all = stream->entries();
  for (auto at = all.upper_bound(after); at != all.end() && at->first <= upto; ++at) {
    if (at->second.until_ms <= empty.now_ms) continue;
    if (at->first > stream->upto()) {
      parts.push_back(empty);
      parts.back().after = at->first - 1, parts.back().upto = at->first;
    }
    parts.back().entries.push_back(at->second);
  }
  return parts;
}

std::vector<Store::Found> Store::Find(Time now, Table table, std::uint64_t id) const {
  std::vector<Found> found;
  const auto& by_id = by_id_[ShardOf(id)];
  const auto dots = by_id.find(id);
  if (dots == by_id.end()) return found;
  for (const Dot& dot : dots->second) {
    const Entry* entry = streams_.at(dot.origin).Find(dot.seq);
    if (!entry || entry->subject.table != table) continue;
    const Time until = TimeOf(dot.origin, entry->until_ms);
    if (until > now) found.push_back({dot.origin, *entry, until});
  }
  return found;
}

void Store::ForEach(Time now, Table table,
                    const std::function<void(std::uint64_t, const Found&)>& visit) const {
  for (const auto& [origin, stream] : streams_) {
    for (const auto& [seq, entry] : stream.entries()) {
      if (entry.subject.table != table) continue;
      const Time until = TimeOf(origin, entry.until_ms);
      if (until > now) visit(stream.owner(), {origin, entry, until});
    }
  }
}

bool Store::Tick(Time now, const std::function<bool(std::uint64_t owner)>& keeps) {
  const auto over =
      std::chrono::floor<std::chrono::seconds>((now - Ms(kLingerMs)).time_since_epoch()).count();
  std::size_t left = kMostForgotten;
  for (; left > 0 && !by_end_.empty() && by_end_.begin()->first < over; --left) {
    auto& dots = by_end_.begin()->second;
    if (dots.empty()) {
      by_end_.erase(by_end_.begin());
      continue;
    }
    const Dot dot = dots.back();
    dots.pop_back();
    const auto stream = streams_.find(dot.origin);
    if (stream == streams_.end()) continue;
    if (const auto dropped = stream->second.Drop(dot.seq)) Forget(dot.origin, *dropped);
  }
  for (auto at = streams_.begin(); at != streams_.end();) {
    if (at->first != own_ && at->second.empty() && !keeps(at->second.owner())) {
      began_.erase(at->first);
      at = streams_.erase(at);
    } else {
      ++at;
    }
  }
  return left > 0;
}

}  // namespace kestrelline::replica
