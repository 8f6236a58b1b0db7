// SPDX-License-Identifier: Apache-2.0
//
// The network with faults on sockets: a relay on loopback for each member, handed out as the member's own
// address, so that every datagram between two processes passes through here and nothing of them is changed.
//
// Who sends is told by the address that it sends from, whom to by the relay that it comes to. Bounds:
// kMostInFlight datagrams that are late; more are dropped.
#ifndef KESTRELLINE_STANDIN_SWITCHBOARD_H_
#define KESTRELLINE_STANDIN_SWITCHBOARD_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/net_faults.h"

namespace kestrelline::standin {

class Switchboard {
 public:
  static constexpr std::size_t kMostInFlight = 8192;
  static constexpr int kMostMembers = 250;

  Switchboard(boost::asio::io_context& io, int members, std::uint64_t seed);

  // Where a member binds: an address of 127/8 that no other switchboard on this machine gives out.
  std::string listens(int member) const;
  // Where the others write to it.
  std::string advertised(int member) const;

  NetFaults& faults() { return faults_; }

 private:
  using Udp = boost::asio::ip::udp;
  struct Relay {
    Udp::socket socket;
    Udp::endpoint member;
  };

  void Await(int member);
  void Read(int member);
  void Forward(int member, const std::vector<std::uint8_t>& bytes);

  boost::asio::io_context& io_;
  NetFaults faults_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::map<Udp::endpoint, int> senders_;
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  std::shared_ptr<std::size_t> in_flight_ = std::make_shared<std::size_t>(0);
};

}  // namespace kestrelline::standin

#endif  // KESTRELLINE_STANDIN_SWITCHBOARD_H_
