// SPDX-License-Identifier: Apache-2.0
//
// The node on a UDP socket of the proxy's one thread: datagrams, timers, the log, the figures, the report.
//
// Requests go first: at most kSlice datagrams, or as many as kSliceTime is enough for, are read before the
// event loop turns to others, and at most kMostPerSecond a second in the mean (kBurst at once). What comes
// beyond that waits in the socket's buffer of kReceiveBuffer bytes; what that has no room for is lost, as on
// any network. A datagram that the kernel does not take at once (a full buffer, ENOBUFS) is dropped and
// counted: nothing is ever queued here.
#ifndef KESTRELLINE_PEERS_LINK_H_
#define KESTRELLINE_PEERS_LINK_H_

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "peers/node.h"
#include "peers/seal.h"
#include "peers/settings.h"

namespace kestrelline::peers {

class Link {
 public:
  static constexpr int kDescriptors = 1;
  static constexpr int kSlice = 32;
  static constexpr std::chrono::microseconds kSliceTime{200};
  static constexpr double kMostPerSecond = 2000, kBurst = 2000;
  static constexpr int kReceiveBuffer = 256 * 1024;

  struct Who {
    std::string name, zone, version;
    std::uint64_t seed = 0;
    // Another process of this proxy may still hold the address, and will let go of it.
    bool may_wait = false;
  };
  using OnLog = std::function<void(const std::string&)>;

  // Throws boost::system::system_error if the address cannot be had.
  Link(boost::asio::io_context& io, Settings settings, Who who, OnLog log);
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void SetKeys(Keys keys) { gate_.SetKeys(std::move(keys)); }
  void Leave();
  void Stay();
  void Gone();
  // To another process of this name, which takes up the address: nobody is told, since nobody has gone.
  // Others' datagrams go on, from an address of the moment.
  void HandOver();

  // Each is called with each event, in order, after it has been logged.
  void OnEvent(std::function<void(const Event&)> call) { on_event_.push_back(std::move(call)); }

  // Others' datagrams between members, under the same key and in the same budget: `call` gets the boot of who
  // sent one, and false back means that it could not be read. Without a call they are dropped. `per_second`
  // is then what may come of all datagrams.
  using OnOther =
      std::function<bool(std::uint64_t boot, const Address& from, std::span<const std::uint8_t> body)>;
  // `whose`: the letter by which they are told apart.
  void CarryOthers(char whose, double per_second, OnOther call);
  // Sealed once, to each of `to`. What the kernel does not take at once is dropped.
  void SendOther(char whose, std::span<const Address> to, std::span<const std::uint8_t> body);

  const Node& node() const { return node_; }
  const Address& listens_at() const { return settings_.listen; }
  bool listens() const { return socket_.is_open() && !handed_over_; }  // not while it waits for the address
  // One JSON object, and the figures' lines in the text form of Prometheus.
  std::string Report() const;
  std::string MetricsText() const;

 private:
  struct Counts {
    std::uint64_t received = 0, sent = 0, bytes_received = 0, bytes_sent = 0, send_failed = 0;
    std::array<std::uint64_t, kRefusals> refused{};
    std::array<std::uint64_t, Event::kKinds> events{};
  };
  // So many a second in the mean, and `burst` at once.
  class Allowance {
   public:
    Allowance(double per_second, double burst, Time now)
        : per_second_(per_second), burst_(burst), left_(burst), refilled_(now) {}
    void Refill(Time now) {
      left_ = std::min(burst_, left_ + per_second_ * std::chrono::duration<double>(now - refilled_).count());
      refilled_ = now;
    }
    bool Has() const { return left_ >= 1; }
    void Take() { left_ -= 1; }

   private:
    double per_second_, burst_, left_;
    Time refilled_;
  };
  using Udp = boost::asio::ip::udp;

  Refusal Take(Time now, const Address& from, std::span<const std::uint8_t> datagram);
  void Put(const Address& to, const wire::Bytes& datagram);
  void Open();
  void OpenOrWait();
  void Await();
  void ReadSlice();
  void Flush();
  void Arm();
  void Log(const std::string& line, Time now);
  void LogRefusal(Refusal refusal, const Udp::endpoint& from, Time now);
  static Time Now() { return std::chrono::steady_clock::now(); }

  Settings settings_;
  OnLog log_;
  Gate gate_;
  Node node_;
  Udp::socket socket_;
  boost::asio::steady_timer timer_, again_;
  Counts counts_;
  Allowance datagrams_, lines_;
  std::uint64_t lines_left_out_ = 0, refused_said_ = 0;
  Time refusal_logged_{};
  bool handed_over_ = false;
  std::vector<std::function<void(const Event&)>> on_event_;
  std::map<char, OnOther> on_other_;
  double per_second_ = kMostPerSecond;
};

// A number for this start: its milliseconds since 1970 and 16 bits by chance.
std::uint64_t DrawBoot();

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_LINK_H_
