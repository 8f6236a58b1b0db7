// SPDX-License-Identifier: Apache-2.0
//
// A stand-in converter on sockets (Boost.Asio, Beast): HTTP/1.1 as the platform's protocol page has backends
// speak, at one address for each proxy, so that it knows who sends. ConverterModel decides how long work
// takes.
//
// Bounds: connections as the site says (one more is taken, and declined), bodies of 64 KiB.
#ifndef KESTRELLINE_STANDIN_CONVERTER_H_
#define KESTRELLINE_STANDIN_CONVERTER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "hashing/mix.h"
#include "load/events.h"
#include "standin/address.h"
#include "standin/converter_model.h"
#include "standin/site.h"

namespace kestrelline::standin {

// What all converters of a site share.
struct Floor {
  // An attempt that is out, and how to learn that its sender has given it up meanwhile.
  struct Out {
    const void* whose = nullptr;
    std::function<void()> end_if_given_up;
  };
  boost::asio::io_context& io;
  const SiteSpec& site;
  load::OnEvent on_event;
  std::map<int, CellMemory> cells;
  std::unordered_multimap<std::string, Out> out;  // by Req-Id
};

class Converter {
 public:
  using Tcp = boost::asio::ip::tcp;

  // Listens at none of `addresses`, which are by proxy, until Start.
  Converter(Floor& floor, ConverterSpec spec, std::vector<std::unique_ptr<HeldAddress>>& addresses);
  ~Converter();
  Converter(const Converter&) = delete;
  Converter& operator=(const Converter&) = delete;

  const ConverterSpec& spec() const { return spec_; }
  bool up() const { return up_; }

  // `id`: its own from now on.
  void Start(const std::string& id, bool cold);
  void Die();  // resets what is open, listens no more
  void SetDraining(bool draining) { draining_ = draining; }

  void SetSlow(double times) { model_.SlowDown(times); }
  void SetStalled(bool stalled);
  void SetBodyPause(Microseconds pause) { body_pause_ = pause; }
  void SetResets(double share) { resets_ = share; }
  void SetLoses(double share) { loses_ = share; }
  void SetMute(double share) { mute_ = share; }
  void SetRefusing(bool refusing);
  void SetVanished(bool vanished);

  std::uint64_t dropped() const { return dropped_; }  // repeats

 private:
  class Connection;
  friend class Connection;
  struct Door {  // of one proxy
    HeldAddress* address = nullptr;
    std::string proxy;
    Tcp::acceptor acceptor;
  };

  Microseconds Now() const;
  void Listen();
  void Shut();
  void Accept(std::size_t door);
  bool Hold(std::function<void()> then);
  bool Chance(double share) { return share > 0 && hashing::Unit(draw_()) < share; }
  void ResetAll();
  void ArmTimer();
  void Sweep();
  void Say(load::Event::Kind kind, const std::string& request, const std::string& proxy, int number,
           Microseconds span, double work);

  Floor& floor_;
  ConverterSpec spec_;
  ConverterModel model_;
  std::vector<Door> doors_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  std::unordered_map<JobId, std::weak_ptr<Connection>> jobs_;
  std::vector<std::function<void()>>
      held_;                          // while it is stalled: at most two of a connection, one of a door
  std::vector<Tcp::socket> fillers_;  // keep the queues of new connections full while it has vanished
  boost::asio::steady_timer timer_, sweep_;
  std::mt19937_64 draw_;
  JobId last_job_ = 0;
  std::uint64_t dropped_ = 0, life_ = 0;
  Microseconds body_pause_{0};
  double resets_ = 0, loses_ = 0, mute_ = 0;  // shares
  bool up_ = false, draining_ = false, stalled_ = false, vanished_ = false;
};

}  // namespace kestrelline::standin

#endif  // KESTRELLINE_STANDIN_CONVERTER_H_
