// SPDX-License-Identifier: Apache-2.0
//
// The membership view of one proxy: one statement per name, merged as statements arrive. No I/O, no clock.
//
// Bounds: kMaxMembers names. When full, a new name evicts the member that left or failed longest ago. If
// there is none, the new name is rejected and counted.
#ifndef KESTRELLINE_PEERS_VIEW_H_
#define KESTRELLINE_PEERS_VIEW_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "peers/member.h"

namespace kestrelline::peers {

// How a statement arrived, which decides how far it is trusted.
enum class Source {
  kDirect,    // from the member itself
  kGossip,    // a recent update, passed on by another member
  kExchange,  // a copy from another member's view, which may be old
  kLocal      // detected by this proxy
};

// See the head of this file.
class View {
 public:
  struct Entry {
    Member member;
    Time changed{};                        // when its state or boot last changed
    Time last_heard{};                     // last datagram from itself under this boot; zero: none
    std::uint64_t reported_view_hash = 0;  // in that datagram; 0: none
    // Smoothed round trip and deviation in seconds (RFC 6298). Deviation 0: not measured yet.
    double round_trip = 0, deviation = 0;
    std::vector<std::uint32_t> accusers;  // independent suspecters, at most kMaxConfirmations + 1

    std::uint32_t accuser() const { return accusers.empty() ? 0 : accusers.front(); }  // the first; 0: none
    std::size_t confirmations() const { return accusers.empty() ? 0 : accusers.size() - 1; }
  };
  enum class MergeResult {
    kUnchanged,        // not newer than what is held
    kStored,           // replaced what was held
    kStoredAsSuspect,  // faulty by an untrusted source: stored as a suspicion
    kUnknown,          // about an unknown member that is gone, or without its address: dropped
    kFull              // dropped for lack of room
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  // A member heard from within `fresh` isn't declared faulty by gossip alone, but becomes a suspect.
  View(Member self, Time now, Span fresh);

  // Merges a statement about another member; this proxy's own is set by SetSelf alone. `learning`: also
  // stores unknown members that have failed or left.
  MergeResult Merge(const Member& statement, Source source, Time now, bool learning = false);
  void SetSelf(const Member& self, Time now) { Store(self_name_, self, now); }

  const Member& self() const { return entries_.at(self_name_).member; }
  Entry* Find(std::string_view name);
  const Entry* Find(std::string_view name) const { return const_cast<View*>(this)->Find(name); }
  const Entries& entries() const { return entries_; }

  // Removes members that left more than `left` ago or failed more than `failed` ago. Returns their number.
  std::size_t Forget(Time now, Span left, Span failed);

  std::size_t present() const { return present_; }  // including this proxy
  std::size_t faulty() const { return faulty_; }
  // New names rejected for lack of room.
  std::uint64_t rejected() const { return rejected_; }

  // Hash of the identities of the present members; equal at two proxies whose views agree.
  std::uint64_t hash() const { return hash_; }
  // Hashes of the statements about present members, by bucket.
  const std::array<std::uint32_t, kBuckets>& digest() const { return digest_; }

 private:
  void Store(std::string_view name, const Member& member, Time now);
  void UpdateTotals(const Member& member, bool add);
  // Removes the member that left or failed longest ago, those that left first. False if there is none.
  bool EvictOldest();

  std::string self_name_;
  Span fresh_;
  Entries entries_;
  std::size_t present_ = 0, faulty_ = 0;
  std::uint64_t hash_ = 0, rejected_ = 0;
  std::array<std::uint32_t, kBuckets> digest_{};
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_VIEW_H_
