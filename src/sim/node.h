// SPDX-License-Identifier: Apache-2.0
//
// A proxy of a simulation: the daemon's own decision module, and round it in virtual time what src/proxy is
// on sockets, by the same rules: one answer a request, one attempt out, attempts that cannot go out are moot.
#ifndef KESTRELLINE_SIM_NODE_H_
#define KESTRELLINE_SIM_NODE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "handover/last_byte.h"
#include "kestrelline/balancer.h"
#include "sim/wire.h"

namespace kestrelline::sim {

class Node {
 public:
  struct Hooks {
    std::function<void(std::shared_ptr<const Try>, Answer)> answer;
    std::function<void(AttemptPtr)> send;     // puts it on its way
    std::function<void(AttemptPtr)> give_up;  // closes its connection
    std::function<void(brackenspoke::ServerId)> close_idle;
    std::function<void(Microseconds at, std::function<void(Microseconds now)>)> at;
    std::function<void(brackenspoke::Event*)> tamper_with_event;  // these two for tests; may be empty
    std::function<void(std::vector<brackenspoke::Action>*)> tamper_with_actions;
    // For explanations; may be empty.
    std::function<void(const brackenspoke::Event&, const std::vector<brackenspoke::Action>&)> decided;
  };

  // `hold`: whether last bytes are held back at all. `survives`: what it has learned outlives it, which no
  // process does: the most that could be had by sharing it.
  Node(std::uint32_t number, brackenspoke::Settings settings, bool hold, Hooks hooks, bool survives = false);

  bool up() const { return up_; }
  std::uint64_t life() const { return life_; }
  std::uint32_t number() const { return number_; }
  std::size_t held() const { return pending_.size(); }

  void Start(std::uint64_t seed);
  void Die(Microseconds now);

  void Listed(brackenspoke::ListUpdate list, Microseconds now);
  void Shared(const brackenspoke::Share& share, Microseconds now);
  void Arrived(std::shared_ptr<const Try> of, Microseconds now);
  void ClientGone(const Try& of, Microseconds now);
  void Ended(const AttemptPtr& attempt, brackenspoke::Outcome outcome, Microseconds now);

  // The module's clock. It begins far from zero, which means "long ago" there.
  static brackenspoke::TimePoint TimeOf(Microseconds at) {
    return brackenspoke::TimePoint(brackenspoke::Duration(1e7 + static_cast<double>(at.count()) / 1000));
  }
  static Microseconds MomentOf(brackenspoke::TimePoint at);

 private:
  struct Pending {
    std::shared_ptr<const Try> of;
    bool answered = false;
    int attempts = 0, out = 0;
    AttemptPtr last;
  };

  void Feed(brackenspoke::Event event, Microseconds now);
  void Do(const brackenspoke::Dispatch& action, Microseconds now);
  void Do(const brackenspoke::Refuse& action, Microseconds now);
  void Do(const brackenspoke::Fail& action, Microseconds now);
  void Do(const brackenspoke::SetTimer& action, Microseconds now);
  void Do(const brackenspoke::CloseIdle& action, Microseconds now);
  void Do(const brackenspoke::Subscribe&, Microseconds) {}  // lists are pushed
  void Do(const brackenspoke::Log&, Microseconds) {}
  bool Conclude(brackenspoke::RequestId request, Answer answer);
  void ForgetIfOver(brackenspoke::RequestId request);

  std::uint32_t number_;
  brackenspoke::Settings settings_;
  bool hold_, survives_, up_ = false;
  Hooks hooks_;
  std::unique_ptr<brackenspoke::Balancer> balancer_;
  handover::LastByte last_byte_;
  std::uint64_t life_ = 0;
  brackenspoke::RequestId last_request_ = 0;
  std::unordered_map<brackenspoke::RequestId, Pending> pending_;
  std::unordered_map<std::string, brackenspoke::RequestId> by_id_;
  std::deque<brackenspoke::Event> events_;
  bool handling_ = false;
};

}  // namespace kestrelline::sim

#endif  // KESTRELLINE_SIM_NODE_H_
