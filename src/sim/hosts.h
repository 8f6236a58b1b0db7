// SPDX-License-Identifier: Apache-2.0
//
// The servers of a simulation: the stand-in site's model of a converter, its cells' memories and its faults,
// in virtual time. What a socket would do to an attempt (refused, reset, silent, declined) is done to it
// here.
#ifndef KESTRELLINE_SIM_HOSTS_H_
#define KESTRELLINE_SIM_HOSTS_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "hashing/mix.h"
#include "kestrelline/balancer.h"
#include "load/events.h"
#include "sim/kernel.h"
#include "sim/scenario.h"
#include "sim/wire.h"
#include "standin/converter_model.h"

namespace kestrelline::sim {

class Hosts {
 public:
  struct Hooks {
    std::function<void(const AttemptPtr&, kestrelline::Outcome)> ended;  // at the proxy
    std::function<Microseconds(std::uint32_t node, std::uint32_t host)>
        delay;  // one way, of a message of now
    load::OnEvent on_event;
  };

  Hosts(Kernel& kernel, const Scenario& scenario, Hooks hooks);

  std::size_t size() const { return hosts_.size(); }
  const std::string& id(std::uint32_t host) const { return hosts_[host].id; }
  bool up(std::uint32_t host) const { return hosts_[host].up; }

  void Start(std::uint32_t host, const std::string& id, bool cold);
  void Die(std::uint32_t host);
  void SetDraining(std::uint32_t host, bool draining) { hosts_[host].draining = draining; }
  void SetSlow(std::uint32_t host, double times) { hosts_[host].model.SlowDown(times); }
  void SetStalled(std::uint32_t host, bool stalled);
  void SetBodyPause(std::uint32_t host, Microseconds pause) { hosts_[host].body_pause = pause; }
  void SetResets(std::uint32_t host, double share) { hosts_[host].resets = share; }
  void SetLoses(std::uint32_t host, double share) { hosts_[host].loses = share; }
  void SetMute(std::uint32_t host, double share) { hosts_[host].mute = share; }
  void SetRefusing(std::uint32_t host, bool refusing);
  void SetVanished(std::uint32_t host, bool vanished);

  // An attempt leaves its proxy for `attempt->host`.
  void Send(const AttemptPtr& attempt);
  // The proxy closes its connection: what waits at the server is dropped, what runs there runs on.
  void GiveUp(const AttemptPtr& attempt);
  // The proxy is no more, and all its connections.
  void NodeDied(std::uint32_t node);
  void CloseIdle(std::uint32_t node, std::uint32_t host);

  // Attempts between their first byte and their end; those of them that are worked on, and that wait for it.
  std::size_t there(std::uint32_t host) const { return hosts_[host].there.size(); }
  int running(std::uint32_t host) const { return hosts_[host].model.running(); }
  int queued(std::uint32_t host) const { return hosts_[host].model.queued(); }

  std::uint64_t opened() const { return opened_; }    // connections
  std::uint64_t dropped() const { return dropped_; }  // repeats of a key

 private:
  struct Host {
    std::string id;
    const standin::ConverterSpec* spec = nullptr;
    standin::ConverterModel model;
    bool up = false, draining = false, stalled = false, refusing = false, vanished = false;
    double resets = 0, loses = 0, mute = 0;  // shares
    Microseconds body_pause{0}, wakes{-1};
    std::uint64_t life = 0;  // of its connections
    std::unordered_map<standin::JobId, AttemptPtr> jobs;
    std::vector<AttemptPtr> there;            // between their first byte and their end
    std::vector<std::function<void()>> held;  // while it is stalled
  };
  struct Idle {
    std::uint64_t life = 0;
    int connections = 0;
  };
  static std::uint64_t Pair(std::uint32_t node, std::uint32_t host) {
    return std::uint64_t{node} << 32 | host;
  }

  void Arrive(const AttemptPtr& attempt);
  void ArriveWhole(const AttemptPtr& attempt);
  bool Chance(double share) { return share > 0 && hashing::Unit(draw_()) < share; }
  void Work(const AttemptPtr& attempt, Host& host);
  void Reply(const AttemptPtr& attempt, kestrelline::Outcome outcome, Microseconds pause);
  void ResetAll(Host& host);
  void Wake(std::uint32_t host);
  void Finish(const AttemptPtr& attempt, bool ran);
  void Say(load::Event::Kind kind, const Attempt& attempt, int number, double work);
  void Tell(const AttemptPtr& attempt, kestrelline::Outcome outcome, Microseconds after);
  Microseconds Delay(const Attempt& a) { return hooks_.delay(a.node, a.host); }

  Kernel& kernel_;
  const Scenario& scenario_;
  Hooks hooks_;
  std::vector<Host> hosts_;
  std::map<int, standin::CellMemory> cells_;
  boost::unordered_flat_map<std::uint64_t, Idle> idle_;   // by proxy and server
  std::unordered_multimap<std::string, AttemptPtr> out_;  // attempts at servers, by Req-Id
  std::mt19937_64 draw_;
  standin::JobId last_job_ = 0;
  std::uint64_t opened_ = 0, dropped_ = 0;
};

}  // namespace kestrelline::sim

#endif  // KESTRELLINE_SIM_HOSTS_H_
