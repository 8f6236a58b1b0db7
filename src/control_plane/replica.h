// SPDX-License-Identifier: Apache-2.0
//
// One member of the replicated control state. No I/O, no clock, no randomness of its own: time, messages,
// completions and a seed come in, effects go out, so that the daemon, tests and a simulated fleet run the
// same code.
//
// Primary-backup replication: the leader of an epoch sends the whole record to the others, and a change is
// committed once a quorum has it on disk. Every member is also a witness: it keeps the highest epoch that it
// promised, and an epoch begins when a quorum has promised it. A promise carries the member's record wherever
// it is newer than the candidate's, so a member that fell behind takes the newest over before it leads.
// docs/design/system.md says why positions of records stand in for a list of backups in step.
//
// A member whose disk is empty, and that did not start the system, neither votes nor acknowledges until it
// has learned promises and records from a quorum of the others.
#ifndef KESTRELLINE_CONTROL_PLANE_REPLICA_H_
#define KESTRELLINE_CONTROL_PLANE_REPLICA_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "control_plane/electorate.h"
#include "wire/messages.h"

namespace kestrelline::control_plane {

using Span = std::chrono::milliseconds;
using Time = std::chrono::milliseconds;  // of a steady clock, since any origin

struct ReplicaOptions {
  std::string self;
  bool bootstrap = false;  // the first start of the whole system
  bool counts_for_quorum = true;
  int tolerated = 1;               // members that may be lost with their disks
  std::vector<std::string> seeds;  // the first electorate; later whom to ask
  std::uint64_t random_seed = 1;

  Span lease{1000};        // a heartbeat keeps others from standing for this long
  Span lease_margin{100};  // the leader stops this much earlier
  Span heartbeat{200};
  Span election_jitter{250};  // candidates stand at random within this after a lease ended
  Span vote_patience{400};    // for the answers of one round
  Span resend{400};           // of a record that was not acknowledged
  Span learn_interval{250};
  Span hello_interval{500};
  Span lost_after{1500};  // a member silent for this long may be exchanged for one that waits
};

// What a member has on disk.
struct Stored {
  std::uint64_t promised = 0;
  wire::RecordPtr record;  // null: nothing was ever stored
};

// An order of the operator, checked for form.
struct Change {
  std::uint64_t version = 0;
  std::uint64_t builds_on = 0;
  wire::Digest digest;
  std::string configuration;
};

enum class Outcome {
  kTaken,       // committed, now or before
  kConflict,    // another version is current
  kOldVersion,  // the version is not above the current one
  kNotLeader,   // not decided here; it may have been taken if it was already under way
  kOverloaded,  // too many orders wait
};

struct Send {
  std::string to;
  wire::Body body;
};
// To be written and synced in this order; Persisted is called with the ticket afterwards.
struct Persist {
  std::uint64_t ticket = 0;
  std::uint64_t promised = 0;
  wire::RecordPtr record;  // null: as before
};
struct Decided {
  std::uint64_t order = 0;
  Outcome outcome = Outcome::kNotLeader;
};
using Effect = std::variant<Send, Persist, Decided>;

enum class Role { kLearning, kFollower, kCandidate, kLeader };
const char* NameOf(Role role);

class Replica {
 public:
  static constexpr std::size_t kMostOrders = 64;      // waiting; more are refused
  static constexpr std::size_t kMostPersists = 8;     // under way at a follower; more records are dropped
  static constexpr std::size_t kMostHistory = 2048;   // orders recognised when they are sent again
  static constexpr std::size_t kMostKnownNodes = 64;  // of the control plane

  Replica(ReplicaOptions options, Stored stored, Time now);

  void Tick(Time now);
  void Receive(Time now, const std::string& from, const wire::Body& body);
  void Persisted(Time now, std::uint64_t ticket, bool written);
  // Decided follows with the number returned.
  std::uint64_t Propose(Time now, Change change);
  // The process is about to stop: others need not wait for the lease to end.
  void Resign(Time now);

  std::vector<Effect> TakeEffects();

  // Whether this member leads, its lease holds and everything before its epoch is committed.
  bool Leads(Time now) const;
  Role role() const { return role_; }
  std::uint64_t epoch() const { return epoch_; }
  // The member that led when last heard of; empty if none is known.
  const std::string& leader() const { return leader_; }
  // The same, while its lease holds as far as this member knows.
  std::string LiveLeader(Time now) const { return now < lease_until_ ? leader_ : std::string(); }
  // The newest record known to be committed; null if none is.
  const wire::RecordPtr& committed() const { return committed_; }
  // When `committed` was last known to be the newest; nothing if never in this life.
  std::optional<Time> certain_at(Time now) const;
  // Members of the control plane, for those who need to find them.
  std::vector<std::string> KnownNodes() const;

  void set_proxies(std::uint32_t here) { proxies_here_ = here; }
  std::uint32_t proxies() const { return proxies_everywhere_; }

 private:
  struct Peer {
    std::optional<Time> last_reply;
    std::optional<Time> acked;  // when the newest heartbeat that it answered was sent
    wire::Position stored;
    std::optional<Time> last_hello;  // only from those without a vote
    std::optional<Time> append_sent;
    wire::Position append_position;
    std::uint32_t proxies = 0;
  };
  struct Order {
    std::uint64_t number = 0;
    Change change;
  };
  // What is waiting for the disk.
  struct Writing {
    enum class Then {
      kVote,
      kStored,
      kStand,
      kOwnCopy,
      kTaught,
      kLearned,
      kBootstrapped
    } then = Then::kOwnCopy;
    wire::RecordPtr record;
    std::string to;
    std::uint64_t epoch = 0;
    wire::Position candidate_held;
  };
  struct Lesson {
    std::uint64_t promised = 0;
    wire::RecordPtr record;
  };

  void On(Time now, const std::string& from, const wire::Hello& hello);
  void On(Time now, const std::string& from, const wire::VoteRequest& request);
  void On(Time now, const std::string& from, const wire::VoteReply& reply);
  void On(Time now, const std::string& from, const wire::Heartbeat& beat);
  void On(Time now, const std::string& from, const wire::HeartbeatReply& reply);
  void On(Time now, const std::string& from, const wire::Append& append);
  void On(Time now, const std::string& from, const wire::LearnRequest& request);
  void On(Time now, const std::string& from, const wire::LearnReply& reply);
  template <typename Other>
  void On(Time, const std::string&, const Other&) {}  // of other layers

  void Emit(Effect effect) { effects_.push_back(std::move(effect)); }
  void SendTo(const std::string& to, wire::Body body) { Emit(Send{to, std::move(body)}); }
  void Write(Writing writing);
  void Know(const std::string& node);
  // Tells a leader what is stored here; `sent_ms` of the heartbeat that is answered, or 0.
  void Reply(const std::string& to, std::uint64_t epoch, std::uint64_t sent_ms);
  wire::Position StoredPosition() const { return record_ ? record_->position : wire::Position{}; }

  void TickLearning(Time now);
  void TickFollower(Time now);
  void TickCandidate(Time now);
  void TickLeader(Time now);

  bool MayGrant(Time now, const std::string& candidate, std::uint64_t epoch) const;
  bool NobodyLeads() const;
  void Follow(Time now, const std::string& leader, std::uint64_t epoch);
  void RollElection(Time now);
  void StandTrial(Time now);
  void StandForEpoch(Time now);
  void AskForVotes();
  void CountVotes(Time now);
  void Lead(Time now);
  void StepDown(Time now);
  void FailOrders();

  void SendHeartbeats(Time now, bool resigning);
  void SendRecord(Time now, const std::string& to, Peer& peer);
  NodeSet Audience() const;  // who gets records and heartbeats
  void Replicate(Time now, wire::Record record);
  void TryCommit(Time now);
  void NextWork(Time now);
  bool ExchangeMembers(Time now);
  // What becomes of a change right away; nothing if it is to be replicated.
  std::optional<Outcome> Judge(const Change& change) const;

  ReplicaOptions options_;
  std::mt19937_64 random_;
  std::vector<Effect> effects_;

  Role role_ = Role::kLearning;
  bool voter_ = false;  // has what it needs to promise and to acknowledge
  bool stopping_ = false;
  std::uint64_t promised_ = 0;       // may run ahead of the disk
  wire::RecordPtr record_;           // on disk
  wire::Position pending_position_;  // of the newest record handed to the disk
  std::uint64_t highest_seen_ = 0;   // epoch
  std::map<std::uint64_t, Writing> writings_;
  std::uint64_t next_ticket_ = 1;

  std::string leader_;
  std::string lease_holder_;
  Time lease_until_{0};
  Time silent_until_{0};  // what was granted before a restart is forgotten, and may hold until then
  Time election_at_{0};
  std::optional<Time> heard_certain_;
  wire::RecordPtr committed_;
  NodeSet known_;

  std::uint64_t epoch_ = 0;  // that this member stands for or leads, or follows
  bool trial_ = false;
  bool standing_on_disk_ = false;
  bool waive_silence_ = false;
  Time round_until_{0};
  NodeSet votes_;
  NodeSet silent_votes_;  // in a trial: would be granted once the voter's silence is over
  NodeSet not_leading_;   // in a trial
  wire::RecordPtr best_;  // the newest record seen in this round

  std::map<std::string, Peer> peers_;
  wire::RecordPtr current_;  // proposed; equal to committed_ when nothing is under way
  Time led_since_{0};
  Time next_heartbeat_{0};
  std::deque<Order> orders_;
  std::optional<std::uint64_t> order_in_flight_;
  std::uint64_t next_order_ = 1;

  wire::RecordPtr founding_;  // the first record, until it is on disk
  std::uint64_t nonce_ = 0;
  std::map<std::string, Lesson> lessons_;
  std::map<std::string, std::uint64_t> taught_;  // the nonce of each that this member has answered
  Time next_learn_{0};
  Time next_hello_{0};

  std::uint32_t proxies_here_ = 0;
  std::uint32_t proxies_everywhere_ = 0;
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_REPLICA_H_
