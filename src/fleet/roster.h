// SPDX-License-Identifier: Apache-2.0
//
// The servers of the fleet as listed by discovery, each with a dense number, on rings and in groups. A list
// is read in slices and takes effect atomically: until its last entry is read, the previous state holds. The
// cost of an event is bounded by the slice and by the change that takes effect.
//
// A server that is gone keeps its number for `forget_after`, and for as long as it is in use; then the number
// may be reused.
//
// Limits: records of 8,192 servers that are gone, plus those of the last minute; 72 bytes for each server
// known, 8 for its number, 8 to 16 on rings, 8 in groups. A full list supersedes the lists waiting before it;
// when more than 64 lists wait, they are read without slicing.
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

// The part of a ServerEntry that decisions use.
struct ServerRecord {
  ServerId server = 0;
  int zone = 0, cell = 0;
  ServerState state = ServerState::kGone;
  TimePoint up_since{};
};

class Roster {
 public:
  struct Options {
    int zone = 0;                 // the home zone
    bool separate_zones = false;  // maintain home() and away()
    kestrelline::Duration forget_after{600000};
    // Above this number, servers that are gone are forgotten sooner, but not within a minute.
    std::size_t max_gone = 8192;
  };
  // The effect of one entry of a list, in the order of the entries; servers missing from a full list come
  // last.
  struct Change {
    Member member = kNoMember;
    bool placed = false;   // the number is new, or belonged to another server
    bool started = false;  // the server is new or has restarted
    ServerState before = ServerState::kGone, after = ServerState::kGone;
    Groups::Number zone_group = 0, cell_group = 0;
  };
  using InUse = std::function<bool(Member)>;

  explicit Roster(Options options) : options_(options) {}

  // Queues a list to be read; not one of kind kFailed.
  void Take(const ListUpdate& list);
  bool Waiting() const { return !waiting_.empty(); }
  // Reads up to `*left` entries of the first list, and subtracts their number from `*left`. True if that list
  // took effect; see changes(). More lists may be waiting.
  bool Read(TimePoint now, const InUse& in_use, std::size_t* left);
  // Changes made by the list that took effect; valid until the next Read.
  const std::vector<Change>& changes() const { return changes_; }
  // Frees the memory of a large list of changes.
  void DropChanges();

  std::size_t size() const { return members_.size(); }  // numbers given, including servers that are gone
  const ServerRecord& operator[](Member member) const { return members_[member].entry; }
  bool Ready(Member member) const { return members_[member].entry.state == ServerState::kReady; }

  // Ready servers: all, of the home zone, and of the other zones.
  const Ring& all() const { return rings_[0]; }
  const Ring& home() const { return rings_[kHomeSide]; }
  const Ring& away() const { return rings_[kAwaySide]; }
  // Ready servers of a zone, and of a cell.
  const std::vector<Member>& InZone(int zone) const { return zones_.At(ZoneKey(zone)); }
  const std::vector<Member>& InCell(const kestrelline::Location& place) const {
    return cells_.At(CellKey(place));
  }

 private:
  enum Side : std::uint8_t { kNoSide, kHomeSide, kAwaySide };
  static constexpr std::size_t kMaxWaiting = 64;

  struct MemberRecord {
    ServerRecord entry;
    TimePoint gone_since{};
    std::uint32_t place = 0;    // place on the rings: hash of its id
    std::uint32_t in_list = 0;  // number of the last list that contained it
    Groups::Number zone_group = 0, cell_group = 0;
    Side side = kNoSide;   // of the ring that it is on
    bool grouped = false;  // it is in its groups
    bool joins = false;    // scheduled to join the rings of its side
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
  void RecordGone(TimePoint now, Member member);
  bool StillGone(const std::pair<TimePoint, Member>& gone) const;
  Side SideOf(const MemberRecord& record) const;

  Options options_;
  std::deque<List> waiting_;  // the first is being read
  // Of the list being read; the fields that are known only when it takes effect are set then.
  std::vector<Change> changes_;
  std::vector<RingPoint> leaving_[3];  // by ring: removed once the list has been applied
  bool some_join_ = false;
  std::vector<RingPoint> staged_points_;  // ready servers of the list being read, in ring order

  boost::unordered_flat_map<ServerId, Member> numbers_;
  Table<MemberRecord> members_;
  std::uint32_t list_ = 0;                         // number of the list being read
  std::deque<std::pair<TimePoint, Member>> gone_;  // by time; may hold stale entries
  Ring rings_[3];
  Groups zones_, cells_;
};

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_ROSTER_H_
