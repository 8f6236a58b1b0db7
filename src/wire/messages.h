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
  bool trial = false;  // asks whether a vote would be granted; binds nobody
  Position held;
  bool waive_silence = false;  // every elector said that it does not lead
};
struct VoteReply {
  std::uint64_t epoch = 0;
  bool trial = false;
  bool granted = false;
  std::uint64_t promised = 0;
  RecordPtr record;     // null unless newer than what the candidate holds
  bool silent = false;  // the voter restarted lately and may have supported a leader before
  bool leading = false;
};
struct Heartbeat {
  std::uint64_t epoch = 0;
  std::uint64_t sent_ms = 0;  // steady clock of the leader, returned as it is
  Position held;
  Position committed;
  std::uint32_t proxies = 0;  // that subscribe anywhere in the control plane
  bool leased = false;        // the leader's lease held when it sent this: `committed` was the newest
  bool resigning = false;     // the leader stops; others need not wait for its lease to end
};
struct HeartbeatReply {
  std::uint64_t epoch = 0;
  std::uint64_t sent_ms = 0;
  std::uint64_t promised = 0;
  Position stored;
  std::uint32_t proxies = 0;  // that subscribe at the sender
};
struct Append {
  std::uint64_t epoch = 0;
  RecordPtr record;
};
struct LearnRequest {
  std::uint64_t nonce = 0;
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

struct Subscribe {
  std::uint64_t version = 0;
  std::uint64_t instances_revision = 0;
  std::string zone;
};
struct Publication {
  std::uint32_t age_ms = 0;
  bool certain = false;  // the sender was in contact with the leader's quorum age_ms ago
  std::uint64_t version = 0;
  std::string configuration;  // empty: the one of `version` is known to the receiver
  InstanceListPtr instances;  // null: no newer one
  std::uint32_t proxies = 0;
  std::vector<std::string> control_peers;  // internal addresses (IP) of the control plane's members
  std::uint64_t instances_revision = 0;    // of the newest list that the sender has
  std::uint32_t instances_age_ms = 0;      // since that list was read
  std::uint32_t hops = 0;                  // of proxies between a member and the receiver
};

// Work that proxies have sent to a backend and that is not done yet.
struct BackendLoad {
  std::uint64_t backend = 0;  // hash of its id
  std::uint32_t reading_ms = 0;
  std::uint32_t running = 0;
  bool operator==(const BackendLoad&) const = default;
};
// What clients ask of a service with engines, as a rate.
struct Demand {
  std::string service;
  std::uint32_t reading_ms_per_s = 0;  // of a prefill backend's time
  std::uint32_t output_tokens_per_s = 0;
  bool operator==(const Demand&) const = default;
};
struct LoadReport {
  std::vector<BackendLoad> loads;
  std::vector<Demand> demands;
  std::uint32_t proxies = 0;  // whose work this is
};
// There is no room for another subscriber; these proxies pass on what they are told.
struct Referral {
  std::vector<std::string> proxies;
};
struct LoadSummary {
  std::vector<BackendLoad> loads;
  bool whole = false;  // backends that are not named have no work; else they are as they were
};

using Body = std::variant<std::monostate, Hello, VoteRequest, VoteReply, Heartbeat, HeartbeatReply, Append,
                          LearnRequest, LearnReply, InstanceList, Subscribe, Publication, LoadReport,
                          LoadSummary, Referral>;

struct Message {
  std::string sender;  // the sender's IP address, its name within the fleet
  Body body;
};

}  // namespace kestrelline::wire

#endif  // KESTRELLINE_WIRE_MESSAGES_H_
