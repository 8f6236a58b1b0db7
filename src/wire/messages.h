// SPDX-License-Identifier: Apache-2.0
//
// The messages of the internal protocol as C++ values. fleet.proto is the schema, codec.h encodes them.
#ifndef KESTRELLINE_WIRE_MESSAGES_H_
#define KESTRELLINE_WIRE_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kestrelline::wire {

// Position of a record in the order of all records: the epoch of the primary that wrote it, then a count.
struct Position {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const Position&) const = default;
};

// 128-bit XXH3 hash of a change that the operator submitted.
struct Digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  bool operator==(const Digest&) const = default;
};

// An accepted configuration change, by which a resubmission of the same change is recognised.
struct AcceptedChange {
  std::uint64_t version = 0;
  Digest digest;
  bool operator==(const AcceptedChange&) const = default;
};

// The whole replicated control state: electorate, configuration and history of accepted changes.
struct Record {
  Position position;
  std::vector<std::string> members;
  std::vector<std::string> next_members;  // not empty during a membership change
  std::uint64_t version = 0;
  std::string configuration;  // as the operator sent it; empty before the first
  std::vector<AcceptedChange> history;
};
// Records are immutable, and shared by the store, messages in flight and the API.
using RecordPtr = std::shared_ptr<const Record>;

// Announces a node to the nodes that it knows.
struct Hello {
  bool counts_for_quorum = false;
  std::uint64_t incarnation = 0;
};
// Raft-style election with pre-votes.
struct VoteRequest {
  std::uint64_t epoch = 0;
  bool pre_vote = false;  // asks whether a vote would be granted; binds nobody
  Position held;
  bool nobody_leads = false;  // every elector has reported that it does not lead
};
struct VoteReply {
  std::uint64_t epoch = 0;
  bool pre_vote = false;
  bool granted = false;
  std::uint64_t promised = 0;
  RecordPtr record;               // null unless newer than the candidate's
  bool restarted_lately = false;  // the voter may have supported a leader before it restarted
  bool leading = false;
};
struct Heartbeat {
  std::uint64_t epoch = 0;
  std::uint64_t sent_ms = 0;  // the leader's steady clock; replies return it unchanged
  Position held;
  Position committed;
  std::uint32_t proxies = 0;  // subscribed anywhere in the control plane
  bool leased = false;     // the leader held its lease when it sent this, so that `committed` was the newest
  bool resigning = false;  // the leader is stopping; others need not wait for its lease to expire
  std::uint64_t echo = 0;  // the newest probe received from the addressee; 0: none
  bool successor_waits = false;  // a non-voting member can replace one that leaves
};
struct HeartbeatReply {
  std::uint64_t epoch = 0;
  std::uint64_t sent_ms = 0;
  std::uint64_t promised = 0;
  Position stored;
  std::uint32_t proxies = 0;  // subscribed at the sender
  std::uint64_t probe = 0;    // to be echoed; dates the next heartbeat on the sender's own clock
  std::uint64_t disk = 0;     // identifies the disk that holds `stored`; changes when data was lost
  Position writing;           // the newest record whose write has started, stored or not
  bool leaving = false;       // the sender is to stop and asks to be replaced
};
// Replicates a record.
struct Append {
  std::uint64_t epoch = 0;
  RecordPtr record;
};
// Asks another node for what it has promised and stored.
struct LearnRequest {
  std::uint64_t nonce = 0;
  bool founding = false;  // asks only whether the cluster has been bootstrapped already
};
struct LearnReply {
  std::uint64_t nonce = 0;
  std::uint64_t promised = 0;
  bool voter = false;
  RecordPtr record;
};

// A backend as listed by the platform.
struct Instance {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  std::uint32_t slots = 0;
  bool draining = false;
  bool prefill = false;  // its stages; neither for a service without stages
  bool decode = false;
  std::uint32_t warmup_left_ms = 0;
  std::vector<std::string> models;
  bool operator==(const Instance&) const = default;
};
// All backends; revisions increase.
struct InstanceList {
  std::uint64_t revision = 0;
  std::uint32_t age_ms = 0;
  std::vector<Instance> instances;
};
using InstanceListPtr = std::shared_ptr<const InstanceList>;

// Difference between the lists of revisions `base` and `revision`.
struct ListChanges {
  std::uint64_t base = 0;
  std::uint64_t revision = 0;
  std::vector<Instance> changed;     // changed or added
  std::vector<std::string> removed;  // ids
};

// A proxy asks for everything newer than what it has, and for all later changes.
struct Subscribe {
  std::uint64_t version = 0;
  std::uint64_t instances_revision = 0;
  std::string zone;
  std::uint64_t probe = 0;  // echoed before the first publication
  bool takes_list_changes = false;
  bool takes_configuration_patches = false;
};
// Asks for an echo of a value that only its sender interprets (freshness/probe_clock.h).
struct Probe {
  std::uint64_t value = 0;
};
// All that follows on this connection was composed after the probe with this value had arrived.
struct Echo {
  std::uint64_t value = 0;
};
// The state in force, or the part of it that the subscriber lacks.
struct Publication {
  std::uint32_t age_ms = 0;
  bool certain = false;  // the sender was in contact with the leader's quorum age_ms ago
  std::uint64_t version = 0;
  std::string configuration;  // empty: the receiver has that of `version` already
  InstanceListPtr instances;  // null: nothing newer
  std::uint32_t proxies = 0;
  std::vector<std::string> control_peers;   // internal IP addresses of the control plane's members
  std::uint64_t instances_revision = 0;     // of the sender's newest list
  std::uint32_t instances_age_ms = 0;       // since that list was read
  std::uint32_t hops = 0;                   // proxies between a member and the receiver
  std::optional<ListChanges> list_changes;  // instead of `instances`
  // Instead of `configuration`: the version that the receiver has, and the patches that lead to `version`.
  std::uint64_t configuration_base = 0;
  std::vector<std::string> configuration_patches;
};

// Unfinished work that proxies have sent to a backend.
struct BackendLoad {
  std::uint64_t backend = 0;  // hash of its id
  std::uint32_t prefill_ms = 0;
  std::uint32_t running = 0;
  bool operator==(const BackendLoad&) const = default;
  bool idle() const { return prefill_ms == 0 && running == 0; }
};
// Demand of the clients of a service with engines, as a rate.
struct Demand {
  std::string service;
  std::uint32_t prefill_ms_per_s = 0;  // of a prefill backend's time
  std::uint32_t decode_ms_per_s = 0;   // of a decode backend's slots
  bool operator==(const Demand&) const = default;
};
struct LoadReport {
  std::vector<BackendLoad> loads;
  std::vector<Demand> demands;
  std::uint32_t proxies = 0;  // number of proxies that this covers
};
// From a member to other members: what has changed in its LoadReport, and a part of the rest, so that lost
// messages are made up for.
struct LoadChanges {
  std::vector<BackendLoad> loads;  // 0: the sender's proxies have no work there
  std::vector<Demand> demands;     // empty: unchanged
  std::uint32_t proxies = 0;
};
// From the leader to members while its list of backends is unchanged.
struct ListAge {
  std::uint64_t revision = 0;
  std::uint32_t age_ms = 0;
};
// Asks the leader for its complete list of backends.
struct ListRequest {
  std::uint64_t held_revision = 0;
};
// To a subscriber that a full publisher rejects: proxies that relay publications. Also between members and
// gateways, which aren't members and redirect requests: the members, and the leader.
struct Referral {
  std::vector<std::string> proxies;  // IP:PORT
  std::vector<std::string> members;  // IP
  std::string leader;                // empty: unknown
};
// To a proxy: the work of all proxies, its own included.
struct LoadSummary {
  std::vector<BackendLoad> loads;
  bool whole = false;  // backends not listed have no work; otherwise they are unchanged
};

using Body = std::variant<std::monostate, Hello, VoteRequest, VoteReply, Heartbeat, HeartbeatReply, Append,
                          LearnRequest, LearnReply, InstanceList, Subscribe, Publication, LoadReport,
                          LoadSummary, Referral, Probe, Echo, LoadChanges, ListAge, ListRequest, ListChanges>;

struct Message {
  std::string sender;  // the sender's name: its IP address, or IP:PORT for a proxy
  Body body;
};

}  // namespace kestrelline::wire

#endif  // KESTRELLINE_WIRE_MESSAGES_H_
