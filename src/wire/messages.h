// SPDX-License-Identifier: Apache-2.0
//
// The messages of the internal protocol as C++ values. fleet.proto says what each field means.
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

// Place of a record in the order of all records: the epoch of the primary that wrote it, then a count.
struct Position {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const Position&) const = default;
};

// 128 bits of XXH3 over an order of the operator.
struct Digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  bool operator==(const Digest&) const = default;
};

// A configuration that was taken; recognises an order that is sent again.
struct AcceptedChange {
  std::uint64_t version = 0;
  Digest digest;
  bool operator==(const AcceptedChange&) const = default;
};

// The whole replicated control state: the electorate, the configuration and the orders taken so far.
struct Record {
  Position position;
  std::vector<std::string> members;
  std::vector<std::string> next_members;  // not empty while the electorate is being exchanged
  std::uint64_t version = 0;
  std::string configuration;  // as the operator sent it; empty before the first
  std::vector<AcceptedChange> history;
};
// Records are immutable and shared: one is held by the store, by messages on their way and by the API at a
// time.
using RecordPtr = std::shared_ptr<const Record>;

struct Hello {
  bool counts_for_quorum = false;
  std::uint64_t incarnation = 0;
};
struct VoteRequest {
  std::uint64_t epoch = 0;
  bool pre_vote = false;  // asks whether a vote would be granted; binds nobody
  Position held;
  bool nobody_leads = false;  // every elector said that it does not lead
};
struct VoteReply {
  std::uint64_t epoch = 0;
  bool pre_vote = false;
  bool granted = false;
  std::uint64_t promised = 0;
  RecordPtr record;               // null unless newer than what the candidate holds
  bool restarted_lately = false;  // the voter may have supported a leader before it restarted
  bool leading = false;
};
struct Heartbeat {
  std::uint64_t epoch = 0;
  std::uint64_t sent_ms = 0;  // steady clock of the leader, returned as it is
  Position held;
  Position committed;
  std::uint32_t proxies = 0;     // that subscribe anywhere in the control plane
  bool leased = false;           // the leader's lease held when it sent this: `committed` was the newest
  bool resigning = false;        // the leader stops; others need not wait for its lease to end
  std::uint64_t echo = 0;        // the newest probe that came from the receiver; 0 if none did
  bool successor_waits = false;  // a member without a vote could take the seat of one that leaves
};
struct HeartbeatReply {
  std::uint64_t epoch = 0;
  std::uint64_t sent_ms = 0;
  std::uint64_t promised = 0;
  Position stored;
  std::uint32_t proxies = 0;  // that subscribe at the sender
  std::uint64_t probe = 0;    // to be echoed: dates the next heartbeat by the sender's own clock
  std::uint64_t disk = 0;     // which disk `stored` is on; another one after a loss
  Position writing;           // the newest record that is handed to the disk, stored or not
  bool leaving = false;       // the sender is to stop and asks for a successor in its seat
};
struct Append {
  std::uint64_t epoch = 0;
  RecordPtr record;
};
struct LearnRequest {
  std::uint64_t nonce = 0;
  bool founding = false;  // asks only whether the system was founded already
};
struct LearnReply {
  std::uint64_t nonce = 0;
  std::uint64_t promised = 0;
  bool voter = false;
  RecordPtr record;
};

// A backend as the platform lists it.
struct Instance {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  std::uint32_t slots = 0;
  bool draining = false;
  bool prefill = false;  // the stage it plays; neither for a service without stages
  bool decode = false;
  std::uint32_t warmup_left_ms = 0;
  std::vector<std::string> models;
  bool operator==(const Instance&) const = default;
};
struct InstanceList {
  std::uint64_t revision = 0;
  std::uint32_t age_ms = 0;
  std::vector<Instance> instances;
};
using InstanceListPtr = std::shared_ptr<const InstanceList>;

// What turns the list of revision `base` into that of `revision`.
struct ListChanges {
  std::uint64_t base = 0;
  std::uint64_t revision = 0;
  std::vector<Instance> changed;     // and those that were not there
  std::vector<std::string> removed;  // ids
};

struct Subscribe {
  std::uint64_t version = 0;
  std::uint64_t instances_revision = 0;
  std::string zone;
  std::uint64_t probe = 0;  // the first one, echoed before the first publication
  bool takes_list_changes = false;
  bool takes_configuration_patches = false;
};
// Asks for an echo of a value that means something to its sender alone (freshness/probe_clock.h).
struct Probe {
  std::uint64_t value = 0;
};
// What follows on this connection was composed after the probe of that value had come.
struct Echo {
  std::uint64_t value = 0;
};
struct Publication {
  std::uint32_t age_ms = 0;
  bool certain = false;  // the sender was in contact with the leader's quorum age_ms ago
  std::uint64_t version = 0;
  std::string configuration;  // empty: the one of `version` is known to the receiver
  InstanceListPtr instances;  // null: no newer one
  std::uint32_t proxies = 0;
  std::vector<std::string> control_peers;   // internal addresses (IP) of the control plane's members
  std::uint64_t instances_revision = 0;     // of the newest list that the sender has
  std::uint32_t instances_age_ms = 0;       // since that list was read
  std::uint32_t hops = 0;                   // of proxies between a member and the receiver
  std::optional<ListChanges> list_changes;  // in place of `instances`
  // In place of `configuration`: the version that the receiver has, and the patches that lead from it on.
  std::uint64_t configuration_base = 0;
  std::vector<std::string> configuration_patches;
};

// Work that proxies have sent to a backend and that is not done yet.
struct BackendLoad {
  std::uint64_t backend = 0;  // hash of its id
  std::uint32_t prefill_ms = 0;
  std::uint32_t running = 0;
  bool operator==(const BackendLoad&) const = default;
  bool idle() const { return prefill_ms == 0 && running == 0; }
};
// What clients ask of a service with engines, as a rate.
struct Demand {
  std::string service;
  std::uint32_t prefill_ms_per_s = 0;  // of a prefill backend's time
  std::uint32_t decode_ms_per_s = 0;   // of a decode backend's slots
  bool operator==(const Demand&) const = default;
};
struct LoadReport {
  std::vector<BackendLoad> loads;
  std::vector<Demand> demands;
  std::uint32_t proxies = 0;  // whose work this is
};
// From a member to other members: what changed of its LoadReport, and some of what did not.
struct LoadChanges {
  std::vector<BackendLoad> loads;  // 0: the sender's proxies have no work there
  std::vector<Demand> demands;     // empty: as they were
  std::uint32_t proxies = 0;
};
// From the leader to members, where its list of backends has not changed.
struct ListAge {
  std::uint64_t revision = 0;
  std::uint32_t age_ms = 0;
};
// Asks the leader for its list of backends, whole.
struct ListRequest {
  std::uint64_t held_revision = 0;
};
// To a subscriber that finds no room: these proxies pass on what they are told. And between members and
// gateways, which are no members and send whoever asks them on: who the members are, and who leads.
struct Referral {
  std::vector<std::string> proxies;  // IP:PORT
  std::vector<std::string> members;  // IP
  std::string leader;                // empty: none is known
};
struct LoadSummary {
  std::vector<BackendLoad> loads;
  bool whole = false;  // backends that are not named have no work; else they are as they were
};

using Body = std::variant<std::monostate, Hello, VoteRequest, VoteReply, Heartbeat, HeartbeatReply, Append,
                          LearnRequest, LearnReply, InstanceList, Subscribe, Publication, LoadReport,
                          LoadSummary, Referral, Probe, Echo, LoadChanges, ListAge, ListRequest, ListChanges>;

struct Message {
  std::string sender;  // the sender's IP address, its name within the fleet
  Body body;
};

}  // namespace kestrelline::wire

#endif  // KESTRELLINE_WIRE_MESSAGES_H_
