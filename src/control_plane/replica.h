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
// docs/design/system.md says why positions of records stand in for a list of backups in step,
// docs/design/control-safety.md what excludes each thing that could go wrong.
//
// One file a role: replica_learner.cpp, replica_follower.cpp, replica_candidate.cpp, replica_leader.cpp;
// replica_membership.cpp changes who votes. replica.cpp holds what the roles share.
#ifndef KESTRELLINE_CONTROL_PLANE_REPLICA_H_
#define KESTRELLINE_CONTROL_PLANE_REPLICA_H_

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "control_plane/electorate.h"
#include "control_plane/replica_types.h"
#include "freshness/probe_clock.h"

namespace kestrelline::control_plane {

class Replica {
 public:
  static constexpr std::size_t kMaxPendingProposals = 64;  // waiting; more are refused
  static constexpr std::size_t kMostPersists = 8;     // under way at a follower; more records are dropped
  static constexpr std::size_t kMostKnownNodes = 64;  // of the control plane

  Replica(ReplicaOptions options, PersistentState stored, Time now);

  void Tick(Time now);
  void Receive(Time now, const std::string& from, const wire::Body& body);
  // These are members, as a process without a disk told: whom to learn from.
  void Introduce(const std::vector<std::string>& members);
  void Persisted(Time now, std::uint64_t ticket, bool written);
  // Decided follows with the number returned.
  std::uint64_t Propose(Time now, Change change);

  // The process is to stop. It goes on as a member until CanStop: a member that waits takes its seat first.
  void Leave(Time now);
  bool CanStop(Time now) const;
  // The process stops at once: others need not wait for the lease to end.
  void Resign(Time now);

  std::vector<Effect> TakeEffects();

  // Whether this member leads, its lease holds and everything before its epoch is committed.
  bool Leads(Time now) const;
  Role role() const { return role_; }
  std::uint64_t epoch() const { return epoch_; }
  // The member that led when last heard of; empty if none is known.
  const std::string& leader() const { return leader_; }
  // The same, while its lease holds as far as this member knows.
  std::string LeaderWithinLease(Time now) const { return now < lease_until_ ? leader_ : std::string(); }
  // The newest record known to be committed; null if none is.
  const wire::RecordPtr& committed() const { return committed_; }
  // A time by the own clock at or after which `committed` was the newest; nothing if never in this life.
  std::optional<Time> committed_confirmed_at(Time now) const;
  // The newest probe that came from that member; 0 if none did. For what is sent to it beside heartbeats.
  std::uint64_t EchoFor(const std::string& member) const;
  // When this member sent the probe of that value; nothing if it is unknown.
  std::optional<Time> ProbeSentAt(std::uint64_t value) const { return probes_.SentAt(value); }
  // Members of the control plane, for those who need to find them.
  std::vector<std::string> KnownNodes() const;

  void set_proxies(std::uint32_t here) { proxies_here_ = here; }
  std::uint32_t proxies() const { return proxies_everywhere_; }

 private:
  // --- state of the roles; each is made anew when its role begins ---

  struct Learner {
    wire::RecordPtr founding;  // the first record; null where the system is to be learned
    std::optional<Time> founding_until;
    NodeSet not_founded;  // founders that have nothing yet either
    struct Answer {
      std::uint64_t promised = 0;
      wire::RecordPtr record;
    };
    std::map<std::string, Answer> answers;
    Time next_request{0};
  };
  struct Candidate {
    bool pre_vote = false;
    bool on_disk = false;       // the own promise is stored
    bool nobody_leads = false;  // every elector said so of itself
    Time round_until{0};
    NodeSet votes;
    NodeSet held_votes;    // of a pre-vote: granted once the time after the voter's restart is over
    NodeSet not_leading;   // of a pre-vote
    wire::RecordPtr best;  // the newest record seen in this round
  };
  struct Peer {
    std::optional<Time> last_reply;
    std::optional<Time> acked;  // when the newest heartbeat that it answered was sent
    wire::Position stored;
    std::optional<std::uint64_t> disk;  // only replies from this one count; nothing: from any
    Time disk_since{0};                 // replies to later heartbeats are from the present disk
    std::optional<Time> last_hello;     // only from those without a vote
    std::optional<Time> append_sent;    // of the newest record
    wire::Position append_position;
    std::uint64_t probe = 0;
    bool leaving = false;
    std::uint32_t proxies = 0;
  };
  struct Order {
    std::uint64_t number = 0;
    Change change;
    Time arrived{0};
  };
  struct Leader {
    std::map<std::string, Peer> peers;
    wire::RecordPtr current;  // proposed; equal to committed_ when nothing is under way
    Time since{0};
    Time last_contact{0};  // with a quorum
    Time last_heartbeat{0};
    Time next_heartbeat{0};
    std::optional<Time> learner_seen;  // a newcomer that has no copy yet
    std::deque<Order> orders;
    std::optional<std::uint64_t> order_in_flight;
  };

  // What is waiting for the disk, and what follows.
  struct Writing {
    enum class Then { kVote, kStored, kStand, kOwnCopy, kAnswerLearner, kLearned, kFounded };
    Then then = Then::kOwnCopy;
    wire::RecordPtr record;
    std::string to;
    std::uint64_t epoch = 0;  // or a learner's nonce
    wire::Position candidate_held;
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

  // --- shared ---

  void Emit(Effect effect) { effects_.push_back(std::move(effect)); }
  void SendTo(const std::string& to, wire::Body body) { Emit(Send{to, std::move(body)}); }
  void Write(Writing writing);
  void Know(const std::string& node);
  wire::Position StoredPosition() const { return record_ ? record_->position : wire::Position{}; }
  bool IsElector() const { return record_ && Electors(*record_).contains(options_.self); }
  void RollElection(Time now);

  // --- learner ---

  void TickLearner(Time now);
  void TickFounder(Time now);
  bool MayFound(Time now) const;
  void AnswerLearner(const std::string& to, std::uint64_t nonce);
  void TakeLearned();

  // --- follower ---

  void TickFollower(Time now);
  void Follow(Time now, const std::string& leader, std::uint64_t epoch);
  // Tells a leader what is stored here; `sent_ms` of the heartbeat that is answered, or 0.
  void Reply(Time now, const std::string& to, std::uint64_t epoch, std::uint64_t sent_ms);
  bool MayGrant(Time now, const std::string& candidate, std::uint64_t epoch) const;
  void GrantVote(Time now, const std::string& to, const wire::VoteRequest& request);

  // --- candidate ---

  void TickCandidate(Time now);
  void BeginPreVote(Time now);
  void StandForEpoch(Time now);
  void AskForVotes();
  void CountVotes(Time now);
  bool NobodyLeads() const;
  void StepDown(Time now);

  // --- leader ---

  void TickLeader(Time now);
  void Lead(Time now);
  // Electors that answered a heartbeat sent after `since`.
  bool HasContactSince(Time since) const;
  void SendHeartbeats(Time now, bool resigning);
  void SendRecord(Time now, const std::string& to, Peer& peer);
  void BringUpToDate(Time now, const std::string& to, Peer& peer, const wire::HeartbeatReply& reply);
  NodeSet Audience(Time now) const;  // who gets records and heartbeats
  void Replicate(Time now, wire::Record record);
  void TryCommit(Time now);
  void NextWork(Time now);
  bool DecideFront(Time now);
  void FailOrders();

  // --- membership ---

  // Ends a joint electorate that is committed on both sides, or begins one. True if the record changed.
  bool ChangeMembership(Time now);
  std::vector<std::string> Successors(Time now) const;
  bool SuccessorInSight(Time now) const;
  bool IsLeaving(const std::string& member) const;
  bool IsLost(Time now, const std::string& member) const;
  std::size_t CopiesElsewhere() const;
  bool EnoughCopiesElsewhere(Duration since_leaving) const;

  ReplicaOptions options_;
  std::mt19937_64 random_;
  std::vector<Effect> effects_;

  Role role_ = Role::kLearner;
  bool voter_ = false;  // has what it needs to promise and to acknowledge
  std::optional<Time> leaving_since_;
  bool stopping_ = false;
  std::uint64_t promised_ = 0;       // may run ahead of the disk
  std::uint64_t disk_ = 0;           // identity of the disk's contents
  wire::RecordPtr record_;           // on disk
  wire::Position pending_position_;  // of the newest record handed to the disk
  std::uint64_t highest_seen_ = 0;   // epoch
  std::map<std::uint64_t, Writing> writings_;
  std::uint64_t next_ticket_ = 1;
  std::uint64_t epoch_ = 0;  // that this member stands for or leads, or follows
  std::uint64_t nonce_ = 0;  // of this life
  NodeSet known_;
  std::map<std::string, std::uint64_t> answered_learners_;  // the nonce of each that learned from here

  // --- as a follower, whatever the role ---
  std::string leader_;
  std::string lease_holder_;
  Time lease_until_{0};
  Time quiet_until_{0};  // what was granted before a restart is forgotten, and may hold until then
  Time election_at_{0};
  Time next_hello_{0};
  freshness::ProbeClock probes_;
  std::optional<Time> heard_certain_;
  bool successor_waits_ = true;  // as the leader told since this member began to leave
  wire::RecordPtr committed_;

  Learner learner_;
  Candidate candidate_;
  Leader lead_;
  std::uint64_t next_order_ = 1;
  std::uint32_t proxies_here_ = 0;
  std::uint32_t proxies_everywhere_ = 0;
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_REPLICA_H_
