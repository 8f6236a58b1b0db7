// SPDX-License-Identifier: Apache-2.0
//
// Inputs and outputs of a replica: options, persistent state, proposed changes and effects.
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
using Time = std::chrono::milliseconds;  // of a steady clock with an arbitrary origin

struct ReplicaOptions {
  std::string self;        // the IP address of this member
  bool bootstrap = false;  // this is the first start of the whole system; seeds found it
  bool counts_for_quorum = true;
  int max_lost_members = 1;        // members that may be lost with their disks
  std::vector<std::string> seeds;  // the first electorate; later the nodes to contact first
  std::uint64_t random_seed = 1;

  Duration lease{1000};        // a heartbeat prevents elections for this long
  Duration lease_margin{100};  // the leader stops serving this much earlier
  Duration heartbeat{200};
  Duration election_jitter{250};  // elections start at a random time within this after a lease expired
  Duration vote_timeout{400};     // for the replies of one round
  Duration resend_interval{400};  // before a record that seems lost is sent again
  Duration learn_interval{250};
  Duration founding_interval{50};  // between requests whether the system was founded already
  Duration founding_wait{1000};    // for the other founders' replies
  Duration hello_interval{300};
  Duration failure_timeout{1500};     // a member silent for this long may be replaced by a waiting one
  Duration forget_timeout{60000};     // a member without a vote that is silent for this long may be forgotten
  Duration leave_timeout{5000};       // a leaving member waits at most this long for a successor
  Duration min_leave_time{400};       // and at least this long, to hear of a successor that has just started
  Duration leaderless_timeout{2500};  // a leaving member waits this long for a leader to be elected
  Duration resign_timeout{800};       // a leaving leader waits this long for all other copies
};

// The state that a member keeps on disk.
struct PersistentState {
  std::uint64_t promised = 0;
  std::uint64_t disk = 0;     // identity of the disk's contents; 0 for founders
  bool ever_written = false;  // the disk once held state, readable or not
  wire::RecordPtr record;     // null: none
};

// A configuration change proposed by the operator, already checked for syntax.
struct Change {
  std::uint64_t version = 0;
  std::uint64_t base_version = 0;  // the version that must be current
  wire::Digest digest;
  std::string configuration;
  // Set if the patch could not be applied because the current version differs from `base_version`: the change
  // is acknowledged if it was committed before, and otherwise rejected.
  bool only_if_accepted_before = false;
};

enum class Outcome {
  kCommitted,       // now or earlier
  kConflict,        // the current version is not the base version
  kOldVersion,      // the version is not above the current one
  kNotLeader,       // not decided here; it may have been committed if it was already in flight
  kOverloaded,      // too many proposals are pending
  kHistoryExpired,  // too old to tell whether it was committed: its version is below the kept history
};

// The outcome of a change against the record `current`; kCommitted if it was committed before. Empty if the
// change has to be replicated.
std::optional<Outcome> EvaluateChange(const wire::Record& current, const Change& change);
// Returns the record with the change applied.
wire::Record ApplyChange(const wire::Record& current, Change change);

inline constexpr std::size_t kMaxHistory = 2048;  // changes recognised when they are sent again

struct Send {
  std::string to;
  wire::Body body;
};
// State to write and sync, in the order of emission; Replica::Persisted is called with the ticket afterwards.
struct Persist {
  std::uint64_t ticket = 0;
  std::uint64_t promised = 0;
  std::uint64_t disk = 0;
  wire::RecordPtr record;  // null: the stored record stays
};
// Reports the outcome of a proposal to its caller.
struct ProposalResult {
  std::uint64_t proposal_id = 0;
  Outcome outcome = Outcome::kNotLeader;
};
using Effect = std::variant<Send, Persist, ProposalResult>;

// A learner has no state yet and neither votes nor acknowledges.
enum class Role { kLearner, kFollower, kCandidate, kLeader };
const char* NameOf(Role role);

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_REPLICA_TYPES_H_
