// SPDX-License-Identifier: Apache-2.0
//
// What goes into a replica and comes out of it: options, what is on disk, orders, effects.
#ifndef KESTRELLINE_CONTROL_PLANE_REPLICA_TYPES_H_
#define KESTRELLINE_CONTROL_PLANE_REPLICA_TYPES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "wire/messages.h"

namespace kestrelline::control_plane {

using Duration = std::chrono::milliseconds;
using Time = std::chrono::milliseconds;  // of a steady clock, since any origin

struct ReplicaOptions {
  std::string self;
  bool bootstrap = false;  // the first start of the whole system
  bool counts_for_quorum = true;
  int max_lost_members = 1;        // members that may be lost with their disks
  std::vector<std::string> seeds;  // the first electorate; later whom to ask
  std::uint64_t random_seed = 1;

  Duration lease{1000};        // a heartbeat keeps others from standing for this long
  Duration lease_margin{100};  // the leader stops this much earlier
  Duration heartbeat{200};
  Duration election_jitter{250};  // candidates stand at random within this after a lease ended
  Duration vote_patience{400};    // for the answers of one round
  Duration resend{400};           // of a record that was lost on its way
  Duration learn_interval{250};
  Duration founding_interval{50};  // between questions whether the system was founded already
  Duration founding_wait{1000};    // for the other founders' answers
  Duration hello_interval{300};
  Duration lost_after{1500};           // a member silent for this long may be replaced by one that waits
  Duration leave_patience{5000};       // for a successor, of a member that is to stop
  Duration leave_least{400};           // for the news of a successor that has just started
  Duration leaderless_patience{2500};  // for a leader, of a member that is to stop
  Duration resign_patience{800};       // for the other copies, of a leader that is to stop
};

// What a member has on disk.
struct PersistentState {
  std::uint64_t promised = 0;
  std::uint64_t disk = 0;     // identity of this disk's contents; 0 on those of founders
  bool ever_written = false;  // something was stored there once, readable or not
  wire::RecordPtr record;     // null: none
};

// An order of the operator, checked for form.
struct Change {
  std::uint64_t version = 0;
  std::uint64_t builds_on = 0;
  wire::Digest digest;
  std::string configuration;
  // It could not be applied, since another version than `builds_on` was in place: it is acknowledged if it
  // was taken before, and never taken anew.
  bool only_if_known = false;
};

enum class Outcome {
  kCommitted,       // now or earlier
  kConflict,        // another version is current
  kOldVersion,      // the version is not above the current one
  kNotLeader,       // not decided here; it may have been taken if it was already under way
  kOverloaded,      // too many orders wait
  kHistoryExpired,  // so old that nobody knows any more whether it was taken
};

// What becomes of a change on top of `current`; kCommitted also for one that was taken before. Nothing if it
// is to be replicated.
std::optional<Outcome> EvaluateChange(const wire::Record& current, const Change& change);
// The record with that change on top.
wire::Record Apply(const wire::Record& current, Change change);

inline constexpr std::size_t kMaxHistory = 2048;  // orders recognised when they are sent again

struct Send {
  std::string to;
  wire::Body body;
};
// To be written and synced in this order; Persisted is called with the ticket afterwards.
struct Persist {
  std::uint64_t ticket = 0;
  std::uint64_t promised = 0;
  std::uint64_t disk = 0;
  wire::RecordPtr record;  // null: as before
};
struct ProposalResult {
  std::uint64_t proposal_id = 0;
  Outcome outcome = Outcome::kNotLeader;
};
using Effect = std::variant<Send, Persist, ProposalResult>;

enum class Role { kLearner, kFollower, kCandidate, kLeader };
const char* NameOf(Role role);

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_REPLICA_TYPES_H_
