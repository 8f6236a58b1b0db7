// SPDX-License-Identifier: Apache-2.0
//
// Who is in the fleet: the servers that lists name, each with a dense number, on rings and in groups. A list
// is read in slices, and takes effect whole or not at all: until its last entry is read the one before holds.
// What an event does is bounded by the slice, and by the change that takes effect.
//
// A server that goes keeps its number for `forget_after`, and longer while it is in use; then another may
// have it.
//
// Bounds: 8,192 servers that have gone, and those of the last minute; 72 bytes for each server known, 8 for
// its number, 8 to 16 on rings, 8 in groups. Of lists that wait, a whole one takes the place of those before
// it; when more than 64 wait, all are read at once.
#ifndef KESTRELLINE_FLEET_ROSTER_H_
#define KESTRELLINE_FLEET_ROSTER_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

#include "fleet/groups.h"
#include "fleet/ring.h"
#include "fleet/table.h"
#include "kestrelline/balancer.h"
#include "measures.h"

namespace kestrelline::fleet {

// What is kept of an entry: what decisions are made of.
struct Seat {
  ServerId server = 0;
  int zone = 0, cell = 0;
  ServerState state = ServerState::kGone;
  TimePoint up_since{};
};

class Roster {
 public:
  struct Options {
    int zone = 0;        // the own one
    bool apart = false;  // home() and away() are kept
    kestrelline::Duration forget_after{600000};
    // Of many that have gone those are forgotten sooner, though none within a minute.
    std::size_t most_gone = 8192;
  };
  // What an entry of a list that has taken effect changed, in the order of the entries; servers that a whole
  // list leaves out come last.
  struct Change {
    Member member = kNobody;
    bool placed = false;   // the number is new, or was another server's: nothing is known of it
    bool started = false;  // new, or it started again
    ServerState before = ServerState::kGone, after = ServerState::kGone;
    Groups::Number zone_group = 0, cell_group = 0;
  };
  using InUse = std::function<bool(Member)>;

  explicit Roster(Options options) : options_(options) {}

  // A list to be read; not one that failed.
  void Take(const ListUpdate& list);
  bool Waiting() const { return !waiting_.empty(); }
  // Reads entries, at most `*left`, which it counts down. True if a list took effect: see changes(). There
  // may be more to read.
  bool Read(TimePoint now, const InUse& in_use, std::size_t* left);
  // Of the list that took effect, until more is read.
  const std::vector<Change>& changes() const { return changes_; }
  // Gives the memory of a large one back.
  void DropChanges();

  std::size_t size() const { return known_.size(); }  // numbers given, those of servers gone included
  const Seat& operator[](Member member) const { return known_[member].entry; }
  bool Ready(Member member) const { return known_[member].entry.state == ServerState::kReady; }

  // Those ready: all, those of the own zone, those of others.
  const Ring& all() const { return rings_[0]; }
  const Ring& home() const { return rings_[kHomeSide]; }
  const Ring& away() const { return rings_[kAwaySide]; }
  // Those ready of a zone, and of a cell of it.
  const std::vector<Member>& InZone(int zone) const { return zones_.At(ZoneKey(zone)); }
  const std::vector<Member>& InCell(const kestrelline::Location& place) const {
    return cells_.At(CellKey(place));
  }

 private:
  enum Side : std::uint8_t { kNoSide, kHomeSide, kAwaySide };
  static constexpr std::size_t kMostWaiting = 64;

  struct Known {
    Seat entry;
    TimePoint gone_since{};
    std::uint32_t place = 0;    // on the rings: a hash of its id
    std::uint32_t in_list = 0;  // the last list that named it, by its number
    Groups::Number zone_group = 0, cell_group = 0;
    Side side = kNoSide;   // of the rings that it stands on
    bool grouped = false;  // it stands in its groups
    bool joins = false;    // it has to come to the rings of its side
  };
  struct List {
    ListKind kind;
    std::vector<ServerEntry> entries;
    std::size_t read = 0;
  };
  static Groups::Key ZoneKey(int zone) { return static_cast<std::uint32_t>(zone); }
  static Groups::Key CellKey(const kestrelline::Location& place) {
    return ZoneKey(place.zone) << 32 | static_cast<std::uint32_t>(place.cell);
  }
  void Stage(TimePoint now, const ServerEntry& entry, const InUse& in_use);
  Member NewNumber(TimePoint now, const InUse& in_use);
  void TakeEffect(TimePoint now, const List& list);
  void Move(Member member);
  void ChangeRings();
  void Ungroup(Member member);
  void NoteGone(TimePoint now, Member member);
  bool StillGone(const std::pair<TimePoint, Member>& gone) const;
  Side SideOf(const Known& known) const;

  Options options_;
  std::deque<List> waiting_;  // the first is being read
  std::vector<Change>
      changes_;  // of the list that is read; what is not known before it takes effect is set then
  std::vector<Spot> leaving_[3];  // rings, at the end of the list that takes effect
  bool some_join_ = false;
  std::vector<Spot> staged_spots_;  // of those that the list names as ready, in the order of the ring

  boost::unordered_flat_map<ServerId, Member> numbers_;
  Table<Known> known_;
  std::uint32_t list_ = 0;                         // the number of the list that is read
  std::deque<std::pair<TimePoint, Member>> gone_;  // by since when
  Ring rings_[3];
  Groups zones_, cells_;
};

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_ROSTER_H_
