// SPDX-License-Identifier: Apache-2.0
//
// The servers that this proxy uses, and the index of them where they are many. Which these are is decided by
// fleet/subset.h and by how many this proxy's traffic can judge; here they are kept, in step with the list
// and with what is in service.
#ifndef KESTRELLINE_SRC_POLICY_USED_SERVERS_H_
#define KESTRELLINE_SRC_POLICY_USED_SERVERS_H_

#include <utility>
#include <vector>

#include "fleet/pick_index.h"
#include "policy/state.h"

namespace kestrelline {

// Large fleets: docs/design/scale.md.
constexpr std::size_t kLookedAt = 64;  // servers that are looked at one by one; of more, this many by chance
constexpr std::size_t kSlice = 512;  // entries of a list that one event reads, and servers that join an index

class UsedServers {
 public:
  using PickIndex = kestrelline::fleet::PickIndex;

  explicit UsedServers(State& state) : state_(state) {}

  // All of them, in the order of the ring; empty while the index has them.
  const std::vector<ServerIndex>& list() const { return list_; }
  bool indexed() const { return indexed_; }  // they are more than are looked at one by one
  PickIndex& index() { return index_; }
  std::size_t size() const { return indexed_ ? index_.size() + entering_.size() : list_.size(); }
  std::size_t in_service() const { return in_service_; }
  std::size_t judged() const { return judged_; }

  // What the index goes by.
  void Refresh() {
    if (indexed_) index_.Refresh(state_.now, state_.request_work.mean);
  }
  void Reindex(const Server& s) {
    if (!indexed_) return;
    if (s.health.ejected || s.asleep || !state_.Usable(s)) return index_.Hide(s.index);
    index_.Set(s.index, s.own_work, s.excess * state_.fade, state_.now);
  }

  // Over its budget until WakeAll: it is not asked again before.
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

  // After changes of the list: what each did to the index, then all of them.
  void Changed(const Server& s) {
    const bool usable = state_.Usable(s);
    if (indexed_ && (!usable || index_.Differs(s.index, SideOf(s.index)))) index_.Leave(s.index);
    if (has_all_ && usable && !index_.Has(s.index))
      state_.servers[s.index].subset = number_, entering_.push_back(s.index);
  }
  void ListBegins() { has_all_ = indexes_all_ && AimsAtAll(); }
  void ListTookEffect() {
    // Where the index has all servers it is the changes alone that move in and out.
    if (!has_all_ || state_.ring.size() <= kLookedAt) BuildSubset();
  }
  // After a change of what is in service.
  void HealthChanged() {
    if (!indexes_all_ || !AimsAtAll()) return BuildSubset();
    in_service_ = static_cast<std::size_t>(state_.fleet.hosts - state_.fleet.ejected);
  }
  // So many can be judged from now on.
  void Rebuild(std::size_t judged) {
    judged_ = judged;
    BuildSubset();
  }
  // Servers that have come to the subset join the index in slices.
  bool Entering() const { return !entering_.empty(); }
  void EnterSome() {
    for (std::size_t left = kSlice; left > 0 && !entering_.empty(); --left, entering_.pop_back()) {
      const ServerIndex i = entering_.back();
      if (state_.servers[i].subset != number_ || !state_.roster.Ready(i) || index_.Has(i)) continue;
      index_.Enter(i, SideOf(i));
      Reindex(state_.servers[i]);
    }
  }

 private:
  void BuildSubset() {
    const std::vector<ServerIndex> before = Now();
    ++number_;
    list_.clear(), entering_.clear();
    in_service_ = 0;
    if (state_.zones_apart) AddArc(state_.roster.home());
    AddArc(state_.zones_apart ? state_.roster.away() : state_.ring);
    const bool index = list_.size() > kLookedAt;
    if (index && !indexed_) index_.Refresh(state_.now, state_.request_work.mean);
    for (const ServerIndex i : before) {
      const bool stays = state_.servers[i].subset == number_;
      if (!index || !stays) index_.Leave(i);
      if (!stays && state_.roster.Ready(i)) state_.out->push_back(CloseIdle{state_.roster[i].server});
    }
    indexed_ = index, indexes_all_ = index && AimsAtAll();
    if (!index) return;
    for (const ServerIndex i : list_) {
      if (!index_.Has(i)) entering_.push_back(i);
    }
    list_.clear();
    EnterSome();
  }

  PickIndex::Side SideOf(ServerIndex i) const {
    const bool crosses =
        state_.settings.price_cross_zone > 0 && state_.roster[i].zone != state_.settings.zone;
    return crosses ? PickIndex::kAway : PickIndex::kHome;
  }

  std::vector<ServerIndex> Now() const {
    if (!indexed_) return list_;
    std::vector<ServerIndex> now;
    now.reserve(index_.size());
    index_.ForEach([&](ServerIndex i) { now.push_back(i); });
    return now;
  }

  std::size_t Aim() const {
    return kestrelline::fleet::SubsetSize(state_.ring.size(), state_.settings.balancers, judged_);
  }
  bool AimsAtAll() const { return Aim() >= state_.ring.size(); }

  void AddArc(const kestrelline::fleet::Ring& ring) {
    const Settings& settings = state_.settings;
    const std::size_t size = Aim(),
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
  bool indexes_all_ = false;  // the index has all servers ready, or they are about to join it
  bool has_all_ = false;      // and it had them before the list in hand
  PickIndex index_{kSlownessMemory};
  std::vector<ServerIndex> entering_;  // not in the index yet
  std::vector<ServerIndex> asleep_;    // until the next sample
  std::size_t in_service_ = 0;
  std::uint32_t number_ = 0;  // of times they were built
  std::size_t judged_ = 0;    // servers that this proxy's traffic can judge
};

}  // namespace kestrelline

#endif  // KESTRELLINE_SRC_POLICY_USED_SERVERS_H_
