// SPDX-License-Identifier: Apache-2.0
#include "standin/net_faults.h"

#include <algorithm>

#include "hashing/mix.h"

namespace kestrelline::standin {
namespace {

using Microseconds = NetFaults::Microseconds;

constexpr Microseconds kLongestQueue{1000000};
constexpr Microseconds kOvertaken{20000};  // by how much a datagram is late that others are to overtake

}  // namespace

void NetFaults::Part(const std::set<int>& side, int members, bool cut) {
  for (const int a : side) {
    for (int b = 0; b < members; ++b) {
      if (side.contains(b)) continue;
      Link(a, b).cut = cut;
      Link(b, a).cut = cut;
    }
  }
}

void NetFaults::Begin(Pair link, const Fault& fault) {
  LinkState& state = Link(link.first, link.second);
  const auto late = Microseconds(static_cast<std::int64_t>(fault.amount * 1000));
  if (fault.kind == Fault::Kind::kCut) state.cut = true;
  if (fault.kind == Fault::Kind::kNetLoss) state.loss = fault.amount;
  if (fault.kind == Fault::Kind::kNetDelay) state.delay = late, state.jitter = late / 2;
  if (fault.kind == Fault::Kind::kNetTwice) state.duplicate = fault.amount;
  if (fault.kind == Fault::Kind::kNetOrder) state.reorder = fault.amount;
  if (fault.kind == Fault::Kind::kNetSlow) state.bytes_per_s = fault.amount;
}

void NetFaults::End(Pair link, Fault::Kind kind) {
  LinkState& state = Link(link.first, link.second);
  if (kind == Fault::Kind::kCut) state.cut = all_.cut;
  if (kind == Fault::Kind::kNetLoss) state.loss = all_.loss;
  if (kind == Fault::Kind::kNetDelay) state.delay = all_.delay, state.jitter = all_.jitter;
  if (kind == Fault::Kind::kNetTwice) state.duplicate = all_.duplicate;
  if (kind == Fault::Kind::kNetOrder) state.reorder = all_.reorder;
  if (kind == Fault::Kind::kNetSlow) state.bytes_per_s = all_.bytes_per_s;
  if (state == all_) Mend(link.first, link.second);
}

NetFaults::Verdict NetFaults::Judge(Microseconds now, int from, int to, std::size_t bytes) {
  const Pair pair{from, to};
  const LinkState& link = Of(from, to);
  Verdict verdict;
  verdict.number = numbers_[pair]++;
  // One draw after the other, all of this datagram alone.
  std::uint64_t state =
      hashing::Mixed(seed_ ^ hashing::Mixed((static_cast<std::uint64_t>(from) << 32) ^
                                            static_cast<std::uint64_t>(to) ^ (verdict.number << 16)));
  const auto draw = [&] { return hashing::Unit(state = hashing::Mixed(state)); };
  const double lost = draw(), twice = draw(), late = draw();
  const auto copy = [&] {
    const double jitter = draw() * static_cast<double>(link.jitter.count());
    return link.delay + Microseconds(static_cast<std::int64_t>(jitter)) +
           (late < link.reorder ? kOvertaken : Microseconds(0));
  };
  if (const auto known = replayed_.find(pair);
      known != replayed_.end() && verdict.number < known->second.size()) {
    verdict.copies = known->second[verdict.number].copies;
  } else if (!link.cut && lost >= link.loss) {
    Microseconds queued{0};
    if (link.bytes_per_s > 0) {
      Microseconds& busy = busy_until_[pair];
      busy = std::max(busy, now) +
             Microseconds(static_cast<std::int64_t>(static_cast<double>(bytes) / link.bytes_per_s * 1e6));
      queued = busy - now;
    }
    if (queued <= kLongestQueue) {
      verdict.copies.push_back(queued + copy());
      if (twice < link.duplicate) verdict.copies.push_back(queued + copy());
    } else {
      busy_until_[pair] = now + kLongestQueue;
    }
  }
  if (verdict.copies.empty()) ++dropped_;
  if (on_verdict_) on_verdict_(now, pair, verdict);
  return verdict;
}

}  // namespace kestrelline::standin
