// SPDX-License-Identifier: Apache-2.0
//
// One member of the replicated control state, as a deterministic state machine: it does no I/O and reads no
// clock or random device. Time, messages, write completions and a seed are passed in and effects are
// returned, so the daemon, the tests and the simulator run the same code.
//
// Primary-backup replication: the leader of an epoch sends the whole record to the other members, and a
// change is committed once a quorum has stored it on disk. Every member is also a witness: it stores the
// highest epoch that it promised, and an epoch begins when a quorum has promised it. A vote carries the
// voter's record if that is newer than the candidate's, so that a member that lags behind adopts the newest
// record before it leads. docs/design/system.md explains why the positions of records replace a list of
// in-sync backups; docs/design/control-safety.md lists the failures and which rule excludes each.
//
// There is one file per role: replica_learner.cpp, replica_follower.cpp, replica_candidate.cpp and
// replica_leader.cpp. replica_membership.cpp changes the electorate; replica.cpp holds what the roles share.
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

// Not thread-safe. `now` is a time of this member's steady clock and must not decrease between calls.
class Replica {
 public:
  static constexpr std::size_t kMaxPendingProposals = 64;  // further ones fail with kOverloaded
  static constexpr std::size_t kMaxPendingWrites = 8;      // a follower drops further records
  static constexpr std::size_t kMaxKnownNodes = 64;        // nodes of the control plane

  Replica(ReplicaOptions options, PersistentState stored, Time now);

  // Runs timeouts and periodic work; called every few tens of milliseconds.
  void Tick(Time now);
  void Receive(Time now, const std::string& from, const wire::Body& body);
  // Adds members to learn from: seeds of changed settings, or members reported by a gateway (a control
  // process without a disk).
  void AddKnownNodes(const std::vector<std::string>& members);
  // Completes the Persist effect with this ticket; `written` is false if the write failed.
  void Persisted(Time now, std::uint64_t ticket, bool written);
  // Proposes a change and returns its id. A ProposalResult with this id follows.
  std::uint64_t Propose(Time now, Change change);

  // Starts a planned departure: the member keeps its duties until CanStop, so that a successor can take its
  // seat first.
  void Leave(Time now);
  bool CanStop(Time now) const;
  // Gives up leadership just before the process exits, so that the others need not wait for the lease to
  // expire.
  void Resign(Time now);

  std::vector<Effect> TakeEffects();

  // Whether this member leads, holds the lease, and has committed a record in its own epoch.
  bool Leads(Time now) const;
  Role role() const { return role_; }
  std::uint64_t epoch() const { return epoch_; }
  // The last known leader; empty if none is known.
  const std::string& leader() const { return leader_; }
  // The last known leader while its lease holds as far as this member knows, else empty.
  std::string LeaderWithinLease(Time now) const { return now < lease_until_ ? leader_ : std::string(); }
  // The newest record known to be committed; null if none is.
  const wire::RecordPtr& committed() const { return committed_; }
  // A time of the local clock at or after which committed() was the newest committed record; empty if that
  // was never confirmed since the process started.
  std::optional<Time> committed_confirmed_at(Time now) const;
  // The value of the latest probe received from that member, 0 if none. It is echoed in messages to the
  // member other than heartbeats.
  std::uint64_t LatestProbeFrom(const std::string& member) const;
  // When this member sent the probe with that value; empty if the value is unknown.
  std::optional<Time> ProbeSentAt(std::uint64_t value) const { return probes_.SentAt(value); }
  // Nodes of the control plane, to hand to processes that look for members.
  std::vector<std::string> KnownNodes() const;

  // Number of proxies subscribed to this member, and to all members.
  void set_proxies(std::uint32_t local_proxies) { local_proxies_ = local_proxies; }
  std::uint32_t proxies() const { return total_proxies_; }

 private:
  // --- state of the roles; each is reset when its role begins ---

  struct LearnerState {
    wire::RecordPtr initial_record;  // written when founding; null if the state is learned from others
    std::optional<Time> founding_deadline;
    NodeSet uninitialized_founders;  // founders that have no state either
    struct Reply {
      std::uint64_t promised = 0;
      wire::RecordPtr record;
    };
    std::map<std::string, Reply> replies;
    Time next_request_at{0};
  };
  struct CandidateState {
    bool pre_vote = false;
    bool own_promise_stored = false;  // on disk
    bool no_elector_leads = false;    // each elector reported that it does not lead
    Time round_deadline{0};
    NodeSet votes;
    // Pre-votes of members that restarted within the last lease; they count only if no elector leads.
    NodeSet conditional_votes;
    NodeSet not_leading;            // electors that reported in the pre-vote that they do not lead
    wire::RecordPtr newest_record;  // seen in this round
  };
  struct Peer {
    std::optional<Time> last_reply_at;
    std::optional<Time> last_acked_heartbeat;  // send time of the newest heartbeat that the peer answered
    wire::Position stored_position;
    // Only replies from this disk count; empty: replies from any disk do.
    std::optional<std::uint64_t> disk_id;
    Time disk_id_since{0};               // replies to heartbeats sent later come from the current disk
    std::optional<Time> last_hello_at;   // set only for members without a vote
    std::optional<Time> append_sent_at;  // when the latest record was sent
    wire::Position append_position;
    std::uint64_t latest_probe = 0;
    bool leaving = false;
    std::uint32_t proxies = 0;
  };
  struct Proposal {
    std::uint64_t id = 0;
    Change change;
    Time received_at{0};
  };
  struct LeaderState {
    std::map<std::string, Peer> peers;
    wire::RecordPtr proposed;  // the newest record; equal to committed_ when no change is in flight
    Time leading_since{0};
    Time last_quorum_contact{0};
    Time last_heartbeat_at{0};
    Time next_heartbeat_at{0};
    std::optional<Time> learner_seen_at;  // last request of a new member that has no copy yet
    std::deque<Proposal> proposals;
    std::optional<std::uint64_t> proposal_in_flight;
  };

  // A write that the disk has not completed, and what to do when it has.
  struct PendingWrite {
    enum class Completion {
      kSendVote,
      kAcknowledgeRecord,
      kRequestVotes,
      kTryCommit,
      kReplyToLearner,
      kFinishLearning,
      kFinishFounding
    };
    Completion completion = Completion::kTryCommit;
    wire::RecordPtr record;
    std::string to;           // the member to answer
    std::uint64_t epoch = 0;  // the learner's nonce for kReplyToLearner
    wire::Position candidate_position;
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
  void On(Time, const std::string&, const Other&) {}  // messages of other layers

  // --- shared ---

  void Emit(Effect effect) { effects_.push_back(std::move(effect)); }
  void SendTo(const std::string& to, wire::Body body) { Emit(Send{to, std::move(body)}); }
  // Emits a Persist effect; Persisted runs the completion.
  void Write(PendingWrite write);
  // At the limit the new node replaces one without a vote.
  void AddKnownNode(const std::string& node);
  wire::Position StoredPosition() const { return record_ ? record_->position : wire::Position{}; }
  bool IsElector() const { return record_ && Electors(*record_).contains(options_.self); }
  // Sets election_at_ to a random time after the lease has expired.
  void ScheduleElection(Time now);

  // --- learner ---

  void TickLearner(Time now);
  // Asks the other founders whether the system exists, and founds it if it does not.
  void TickFounder(Time now);
  bool CanFoundSystem(Time now) const;
  void ReplyToLearner(const std::string& to, std::uint64_t nonce);
  // Adopts the newest record and the highest promise once a quorum has replied.
  void TryFinishLearning();

  // --- follower ---

  void TickFollower(Time now);
  void Follow(Time now, const std::string& leader, std::uint64_t epoch);
  // Reports to a leader what is stored here; `sent_ms` is that of the answered heartbeat, or 0.
  void SendHeartbeatReply(Time now, const std::string& to, std::uint64_t epoch, std::uint64_t sent_ms);
  bool CanGrantVote(Time now, const std::string& candidate, std::uint64_t epoch) const;
  void GrantVote(Time now, const std::string& to, const wire::VoteRequest& request);

  // --- candidate ---

  void TickCandidate(Time now);
  void StartPreVote(Time now);
  void StartElection(Time now);
  void RequestVotes();
  void CountVotes(Time now);
  bool NoElectorLeads() const;
  void StepDown(Time now);

  // --- leader ---

  void TickLeader(Time now);
  void BecomeLeader(Time now);
  // Whether a quorum answered a heartbeat sent after `since`.
  bool HasQuorumContactSince(Time since) const;
  void SendHeartbeats(Time now, bool resigning);
  void SendRecord(Time now, const std::string& to, Peer& peer);
  // Sends the newest record unless an earlier one is still in transit.
  void CatchUpPeer(Time now, const std::string& to, Peer& peer, const wire::HeartbeatReply& reply);
  // The entry of a member. At the limit it takes the place of one without a vote that has been silent for
  // forget_timeout; null if there is none.
  Peer* FindOrAddPeer(Time now, const std::string& node);
  // Electors, waiting members and leaving members: all that get records and heartbeats.
  NodeSet ReplicationTargets(Time now) const;
  // Assigns the next position to the record, stores it and sends it out.
  void Replicate(Time now, wire::Record record);
  void TryCommit(Time now);
  // Starts the next change of the record if the last one is committed.
  void StartNextChange(Time now);
  // Decides the front proposal or replicates it. Returns false if it has to wait for a quorum's contact.
  bool ProcessFrontProposal(Time now);
  // Fails all proposals with kNotLeader.
  void FailProposals();

  // --- membership ---

  // Completes a joint electorate that both sides committed, or starts one. Returns true if the record
  // changed.
  bool ChangeMembership(Time now);
  std::vector<std::string> Successors(Time now) const;
  bool ExpectsSuccessor(Time now) const;
  bool IsLeaving(const std::string& member) const;
  bool IsLost(Time now, const std::string& member) const;
  std::size_t CountOtherCopies() const;
  bool HasEnoughOtherCopies(Duration since_leaving) const;

  ReplicaOptions options_;
  std::mt19937_64 random_;
  std::vector<Effect> effects_;

  Role role_ = Role::kLearner;
  bool can_vote_ = false;  // has the state needed to make promises and to acknowledge records
  std::optional<Time> leaving_since_;
  bool stopping_ = false;
  std::uint64_t promised_ = 0;       // may be ahead of the disk
  std::uint64_t disk_id_ = 0;        // identity of the disk's contents
  wire::RecordPtr record_;           // stored on disk
  wire::Position pending_position_;  // of the newest record whose write was started
  std::uint64_t highest_seen_epoch_ = 0;
  std::map<std::uint64_t, PendingWrite> pending_writes_;
  std::uint64_t next_ticket_ = 1;
  std::uint64_t epoch_ = 0;  // in which this member is a candidate, leader or follower
  std::uint64_t nonce_ = 0;  // chosen at random when the process starts
  NodeSet known_nodes_;
  std::map<std::string, std::uint64_t> answered_learners_;  // nonces of the learners answered

  // --- what is known of the leader, in every role ---

  std::string leader_;
  std::string lease_holder_;
  Time lease_until_{0};
  // A restart loses the record of leases granted before it; one may still hold until this time.
  Time restart_quiet_until_{0};
  Time election_at_{0};
  Time next_hello_{0};
  freshness::ProbeClock probes_;
  std::optional<Time> confirmed_at_;  // see committed_confirmed_at; as a follower
  bool successor_expected_ = true;    // latest report of the leader since this member began to leave
  wire::RecordPtr committed_;

  LearnerState learner_state_;
  CandidateState candidate_state_;
  LeaderState leader_state_;
  std::uint64_t next_proposal_id_ = 1;
  std::uint32_t local_proxies_ = 0;
  std::uint32_t total_proxies_ = 0;
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_REPLICA_H_
