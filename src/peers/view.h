// SPDX-License-Identifier: Apache-2.0
//
// What one proxy believes of the others: one statement a name, merged as they come. No I/O, no clock.
//
// Bounds: kMostMembers names. Where there is no room, the one that has left or failed longest ago makes way;
// a new name that finds nobody to make way is not taken in, and counted.
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

// How a statement came, which says how far it is believed.
enum class Source {
  kItself,    // from the member, by its own datagram
  kNews,      // passed on as something that has just happened
  kExchange,  // a copy of what another holds, which may be old
  kOwn        // found out here
};

class View {
 public:
  struct Entry {
    Member member;
    Time changed{};              // its state
    Time heard{};                // last, from itself, under the boot that is held
    std::uint64_t its_view = 0;  // the hash that it showed then; 0: it says none
    // Round trips, in seconds (RFC 6298); 0 deviation: none measured yet.
    double round_trip = 0, deviation = 0;
    std::vector<std::uint32_t> accusers;  // who suspects it independently, at most kConfirmations and one

    std::uint32_t accuser() const { return accusers.empty() ? 0 : accusers.front(); }  // the first; 0: none
    std::size_t confirmations() const { return accusers.empty() ? 0 : accusers.size() - 1; }
  };
  enum class Merged {
    kOld,      // nothing new
    kStored,   // holds from now on
    kDoubted,  // said to be faulty, but it was heard or the word may be old: held as a suspicion
    kUnknown,  // of the end of somebody never heard of: not kept
    kFull      // no room
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  // `fresh`: somebody heard within it is not taken for dead on another's word.
  View(Member self, Time now, Span fresh);

  // Of others; the own one is set by SetSelf alone. `learning`: the ends of strangers are taken in too.
  Merged Merge(const Member& statement, Source source, Time now, bool learning = false);
  void SetSelf(const Member& self, Time now) { Store(self_name_, self, now); }

  const Member& self() const { return entries_.at(self_name_).member; }
  Entry* Find(std::string_view name);
  const Entry* Find(std::string_view name) const { return const_cast<View*>(this)->Find(name); }
  const Entries& entries() const { return entries_; }

  // Who has left is forgotten after `left`, who has failed after `failed`. Returns how many.
  std::size_t Forget(Time now, Span left, Span failed);

  std::size_t present() const { return present_; }  // this one included
  std::size_t faulty() const { return faulty_; }
  std::uint64_t refused() const { return refused_; }

  // Of who is present and where; equal at two proxies whose views agree.
  std::uint64_t hash() const { return hash_; }
  // Of the statements that hold about those present, by bucket.
  const std::array<std::uint32_t, kBuckets>& digest() const { return digest_; }

 private:
  void Store(std::string_view name, const Member& member, Time now);
  void Account(const Member& member, bool add);
  bool MakeRoom();

  std::string self_name_;
  Span fresh_;
  Entries entries_;
  std::size_t present_ = 0, faulty_ = 0;
  std::uint64_t hash_ = 0, refused_ = 0;
  std::array<std::uint32_t, kBuckets> digest_{};
};

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_VIEW_H_
