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
    std::function<void(kestrelline::ServerId)> close_idle;
    std::function<void(Microseconds at, std::function<void(Microseconds now)>)> at;
    std::function<void(kestrelline::Event*)> tamper_with_event;  // these two for tests; may be empty
    std::function<void(std::vector<kestrelline::Action>*)> tamper_with_actions;
    // For explanations; may be empty.
    std::function<void(const kestrelline::Event&, const std::vector<kestrelline::Action>&)> decided;
  };

  // `hold`: whether last bytes are held back at all. `survives`: what it has learned outlives it, which no
  // process does: the most that could be had by sharing it.
  Node(std::uint32_t number, kestrelline::Settings settings, bool hold, Hooks hooks, bool survives = false);

  bool up() const { return up_; }
  std::uint64_t life() const { return life_; }
  std::uint32_t number() const { return number_; }
  std::size_t held() const { return pending_.size(); }

  void Start(std::uint64_t seed);
  void Die(Microseconds now);

  void Listed(kestrelline::ListUpdate list, Microseconds now);
  void Shared(const kestrelline::Share& share, Microseconds now);
  void Arrived(std::shared_ptr<const Try> of, Microseconds now);
  void ClientGone(const Try& of, Microseconds now);
  void Ended(const AttemptPtr& attempt, kestrelline::Outcome outcome, Microseconds now);

  // The module's clock. It begins far from zero, which means "long ago" there.
  static kestrelline::TimePoint TimeOf(Microseconds at) {
    return kestrelline::TimePoint(kestrelline::Duration(1e7 + static_cast<double>(at.count()) / 1000));
  }
  static Microseconds MomentOf(kestrelline::TimePoint at);

 private:
  struct Pending {
    std::shared_ptr<const Try> of;
    bool answered = false;
    int attempts = 0, out = 0;
    AttemptPtr last;
  };

  void Feed(kestrelline::Event event, Microseconds now);
  void Do(const kestrelline::Dispatch& action, Microseconds now);
  void Do(const kestrelline::Refuse& action, Microseconds now);
  void Do(const kestrelline::Fail& action, Microseconds now);
  void Do(const kestrelline::SetTimer& action, Microseconds now);
  void Do(const kestrelline::CloseIdle& action, Microseconds now);
  void Do(const kestrelline::Subscribe&, Microseconds) {}  // lists are pushed
  void Do(const kestrelline::Log&, Microseconds) {}
  bool Conclude(kestrelline::RequestId request, Answer answer);
  void ForgetIfOver(kestrelline::RequestId request);

  std::uint32_t number_;
  kestrelline::Settings settings_;
  bool hold_, survives_, up_ = false;
  Hooks hooks_;
  std::unique_ptr<kestrelline::Balancer> balancer_;
  handover::LastByte last_byte_;
  std::uint64_t life_ = 0;
  kestrelline::RequestId last_request_ = 0;
  std::unordered_map<kestrelline::RequestId, Pending> pending_;
  std::unordered_map<std::string, kestrelline::RequestId> by_id_;
  std::deque<kestrelline::Event> events_;
  bool handling_ = false;
};

}  // namespace kestrelline::sim

#endif  // KESTRELLINE_SIM_NODE_H_
