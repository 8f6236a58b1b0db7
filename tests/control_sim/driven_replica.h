// SPDX-License-Identifier: Apache-2.0
//
// One replica whose peers are played by a test, message by message: its disk is done at once, unless held.
#ifndef KESTRELLINE_TESTS_CONTROL_SIM_DRIVEN_REPLICA_H_
#define KESTRELLINE_TESTS_CONTROL_SIM_DRIVEN_REPLICA_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "control_plane/replica.h"

namespace kestrelline::control_plane {

inline const std::string kSelf = "10.0.0.1", kSecond = "10.0.0.2", kThird = "10.0.0.3";

inline wire::RecordPtr RecordAt(wire::Position position, std::uint64_t version = 0) {
  wire::Record record;
  record.position = position;
  record.members = {kSelf, kSecond, kThird};
  record.version = version;
  record.configuration = version > 0 ? "v" + std::to_string(version) : "";
  return std::make_shared<const wire::Record>(std::move(record));
}

class DrivenReplica {
 public:
  explicit DrivenReplica(PersistentState stored, Time start = Time(10000))
      : now(start), replica_(Options(), std::move(stored), start) {}

  Replica& replica() { return replica_; }
  void Receive(const std::string& from, const wire::Body& body) {
    replica_.Receive(now, from, body);
    Pump();
  }
  void Tick() {
    replica_.Tick(now);
    Pump();
  }
  std::uint64_t Propose(Change change) {
    const std::uint64_t number = replica_.Propose(now, std::move(change));
    Pump();
    return number;
  }
  // The newest message of that kind to that member; null if none was sent since the last Forget.
  template <typename Message>
  const Message* Sent(const std::string& to) const {
    for (auto send = sent_.rbegin(); send != sent_.rend(); ++send) {
      if (send->to == to && std::holds_alternative<Message>(send->body))
        return &std::get<Message>(send->body);
    }
    return nullptr;
  }
  void Forget() {
    sent_.clear();
    decided.clear();
  }
  // Elected by the second member, in calm times.
  void Elect() {
    now += Duration(3000);
    Tick();
    VoteFor(true);
    VoteFor(false);
    Answer(kSecond, replica_.epoch());
  }
  // That member answers the newest heartbeat and holds the newest record that was sent to it.
  void Answer(const std::string& member, std::uint64_t epoch) {
    const auto* beat = Sent<wire::Heartbeat>(member);
    const auto* append = Sent<wire::Append>(member);
    wire::HeartbeatReply reply;
    reply.epoch = epoch;
    reply.sent_ms = beat ? beat->sent_ms : 0;
    reply.promised = epoch;
    reply.stored = append ? append->record->position : wire::Position{};
    reply.writing = reply.stored;
    reply.probe = 1;
    Receive(member, reply);
  }

  Time now;
  std::vector<ProposalResult> decided;

 private:
  static ReplicaOptions Options() {
    ReplicaOptions options;
    options.self = kSelf;
    options.seeds = {kSelf, kSecond, kThird};
    return options;
  }
  void VoteFor(bool pre_vote) {
    wire::VoteReply vote;
    vote.epoch = replica_.epoch();
    vote.pre_vote = pre_vote;
    vote.granted = true;
    vote.promised = pre_vote ? vote.epoch - 1 : vote.epoch;
    Receive(kSecond, vote);
  }
  void Pump() {
    for (auto effects = replica_.TakeEffects(); !effects.empty(); effects = replica_.TakeEffects()) {
      for (Effect& effect : effects) {
        if (auto* send = std::get_if<Send>(&effect)) sent_.push_back(std::move(*send));
        if (const auto* done = std::get_if<ProposalResult>(&effect)) decided.push_back(*done);
        if (const auto* persist = std::get_if<Persist>(&effect))
          replica_.Persisted(now, persist->ticket, true);
      }
    }
  }

  Replica replica_;
  std::vector<Send> sent_;
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_TESTS_CONTROL_SIM_DRIVEN_REPLICA_H_
