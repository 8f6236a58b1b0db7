// SPDX-License-Identifier: Apache-2.0
//
// The subset of servers that this proxy uses, and an index of it where it is large. Its size is decided by
// fleet/subset.h and by how many servers this proxy's traffic can judge; this class keeps the subset in step
// with the server list and with ejections.
#ifndef KESTRELLINE_SRC_POLICY_USED_SERVERS_H_
#define KESTRELLINE_SRC_POLICY_USED_SERVERS_H_

#include <utility>
#include <vector>

#include "fleet/pick_index.h"
#include "policy/state.h"

namespace kestrelline {

// Large fleets: docs/design/scale.md.
constexpr std::size_t kScanLimit = 64;   // servers that a pick scans; of a larger set, the size of the sample
constexpr std::size_t kListSlice = 512;  // list entries read, or servers added to the index, during one event

class UsedServers {
 public:
  using PickIndex = kestrelline::fleet::PickIndex;

  explicit UsedServers(State& state) : state_(state) {}

  // The subset in ring order; empty while it is indexed.
  const std::vector<ServerIndex>& list() const { return list_; }
  bool indexed() const { return indexed_; }  // the subset is too large to scan
  PickIndex& index() { return index_; }
  std::size_t size() const { return indexed_ ? index_.size() + entering_.size() : list_.size(); }
  std::size_t in_service() const { return in_service_; }
  std::size_t judged() const { return judged_; }

  // Brings the index up to date with the current time.
  void Refresh() {
    if (indexed_) index_.Refresh(state_.now, state_.request_work.mean);
  }
  void Reindex(const Server& s) {
    if (!indexed_) return;
    if (s.health.ejected || s.asleep || !state_.Usable(s)) return index_.Hide(s.index);
    index_.Set(s.index, s.own_work, s.excess * state_.slowness_decay, state_.now);
  }

  // Hides a cold server that is over its budget until WakeAll.
  void Sleep(Server& s) {
    s.asleep = true, asleep_.push_back(s.index);
    index_.Hide(s.index);
  }
  void WakeAll() {
    for (const ServerIndex i : std::exchange(asleep_, {})) {
      state_.servers[i].asleep = false;
      Reindex(state_.servers[i]);
    }
  }

  // Applies a new list: ListBegins, then Changed for each changed server, then ListTookEffect.
  void Changed(const Server& s) {
    const bool usable = state_.Usable(s);
    if (indexed_ && (!usable || index_.OnOtherSide(s.index, SideOf(s.index)))) index_.Leave(s.index);
    if (had_all_ && usable && !index_.Has(s.index))
      state_.servers[s.index].subset = number_, entering_.push_back(s.index);
  }
  void ListBegins() { had_all_ = indexes_all_ && UsesAllServers(); }
  void ListTookEffect() {
    // If the index holds all servers, Changed has already updated it.
    if (!had_all_ || state_.ring.size() <= kScanLimit) RebuildSubset();
  }
  // Called after servers were ejected or returned.
  void HealthChanged() {
    if (!indexes_all_ || !UsesAllServers()) return RebuildSubset();
    in_service_ = static_cast<std::size_t>(state_.fleet.hosts - state_.fleet.ejected);
  }
  // Sets the number of servers that this proxy's traffic can judge.
  void Rebuild(std::size_t judged) {
    judged_ = judged;
    RebuildSubset();
  }
  // Servers new in the subset are added to the index in slices.
  bool Entering() const { return !entering_.empty(); }
  void EnterSlice() {
    for (std::size_t left = kListSlice; left > 0 && !entering_.empty(); --left, entering_.pop_back()) {
      const ServerIndex i = entering_.back();
      if (state_.servers[i].subset != number_ || !state_.roster.Ready(i) || index_.Has(i)) continue;
      index_.Enter(i, SideOf(i));
      Reindex(state_.servers[i]);
    }
  }

 private:
  void RebuildSubset() {
    const std::vector<ServerIndex> before = CurrentSubset();
    ++number_;
    list_.clear(), entering_.clear();
    in_service_ = 0;
    if (state_.separate_zones) AddArc(state_.roster.home());
    AddArc(state_.separate_zones ? state_.roster.away() : state_.ring);
    const bool index = list_.size() > kScanLimit;
    if (index && !indexed_) index_.Refresh(state_.now, state_.request_work.mean);
    for (const ServerIndex i : before) {
      const bool stays = state_.servers[i].subset == number_;
      if (!index || !stays) index_.Leave(i);
      if (!stays && state_.roster.Ready(i)) state_.out->push_back(CloseIdle{state_.roster[i].server});
    }
    indexed_ = index, indexes_all_ = index && UsesAllServers();
    if (!index) return;
    for (const ServerIndex i : list_) {
      if (!index_.Has(i)) entering_.push_back(i);
    }
    list_.clear();
    EnterSlice();
  }

  PickIndex::Side SideOf(ServerIndex i) const {
    const bool crosses =
        state_.settings.price_cross_zone > 0 && state_.roster[i].zone != state_.settings.zone;
    return crosses ? PickIndex::kAway : PickIndex::kHome;
  }

  std::vector<ServerIndex> CurrentSubset() const {
    if (!indexed_) return list_;
    std::vector<ServerIndex> subset;
    subset.reserve(index_.size());
    index_.ForEach([&](ServerIndex i) { subset.push_back(i); });
    return subset;
  }

  std::size_t TargetSize() const {
    return kestrelline::fleet::SubsetSize(state_.ring.size(), state_.settings.balancers, judged_);
  }
  bool UsesAllServers() const { return TargetSize() >= state_.ring.size(); }

  void AddArc(const kestrelline::fleet::Ring& ring) {
    const Settings& settings = state_.settings;
    const std::size_t size = TargetSize(),
                      begin = kestrelline::fleet::ArcBegin(ring, settings.me, settings.balancers);
    std::size_t in_service = 0;
    for (std::size_t k = 0; k < ring.size() && in_service < size; ++k) {
      const ServerIndex i = ring[(begin + k) % ring.size()];
      list_.push_back(i);
      state_.servers[i].subset = number_;
      in_service += !state_.servers[i].health.ejected;
    }
    in_service_ += in_service;
  }

  State& state_;
  std::vector<ServerIndex> list_;
  bool indexed_ = false;
  bool indexes_all_ = false;  // the index holds all ready servers, or they are waiting in entering_
  bool had_all_ = false;      // this was so before the list being applied
  PickIndex index_{kSlownessMemory};
  std::vector<ServerIndex> entering_;  // to be added to the index
  std::vector<ServerIndex> asleep_;    // hidden until the next sample
  std::size_t in_service_ = 0;
  std::uint32_t number_ = 0;  // of the current subset; one more at each build
  std::size_t judged_ = 0;    // servers that this proxy's traffic can judge
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_POLICY_USED_SERVERS_H_
