// SPDX-License-Identifier: Apache-2.0
//
// Runs the membership node on a UDP socket: datagrams, timers, log lines, metrics and the JSON report. All
// calls are on the thread of the event loop.
//
// Datagrams must not delay the proxy's requests. So at most kMaxDatagramsPerSlice datagrams are read, for no
// longer than about kMaxSliceTime, before the event loop turns to other work, and at most
// kMaxDatagramsPerSecond on average (kDatagramBurst at once). The rest waits in the socket's buffer of
// kReceiveBufferBytes; what doesn't fit is lost, as on any network. A datagram that the kernel doesn't accept
// at once (full buffer, ENOBUFS) is dropped and counted: there is no send queue.
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

#include "peers/authenticator.h"
#include "peers/node.h"
#include "peers/settings.h"

namespace kestrelline::peers {

// See the head of this file.
class Link {
 public:
  static constexpr int kDescriptors = 1;  // file descriptors that a link holds
  static constexpr int kMaxDatagramsPerSlice = 32;
  static constexpr std::chrono::microseconds kMaxSliceTime{200};
  static constexpr double kMaxDatagramsPerSecond = 2000, kDatagramBurst = 2000;
  static constexpr int kReceiveBufferBytes = 256 * 1024;

  // How this proxy presents itself to the others.
  struct Identity {
    std::string name, zone, version;
    std::uint64_t seed = 0;
    // Retry to bind while another process of this proxy still holds the address, as it does during an
    // upgrade.
    bool wait_for_address = false;
  };
  using OnLog = std::function<void(const std::string&)>;

  // Throws boost::system::system_error if the address cannot be bound and wait_for_address is false.
  Link(boost::asio::io_context& io, Settings settings, Identity who, OnLog log);
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void SetKeys(Keys keys) { authenticator_.SetKeys(std::move(keys)); }
  // See the calls of the same names of Node.
  void Leave();
  void CancelLeave();
  void AnnounceLeft();
  // Closes the socket, so that a new process of this proxy can bind the address. Nothing is announced, since
  // the member has not gone. Datagrams of other protocols continue on an ephemeral port.
  void HandOver();

  // `call` receives every event, in order, after it has been logged. There may be several.
  void OnEvent(std::function<void(const Event&)> call) { on_event_.push_back(std::move(call)); }

  // Other protocols between members share this socket, its keys and its rate limit. The handler receives the
  // sender's boot, address and the body, and returns false if the body is malformed. Datagrams without a
  // handler are dropped.
  using OnProtocolDatagram =
      std::function<bool(std::uint64_t boot, const Address& from, std::span<const std::uint8_t> body)>;
  // `protocol`: the letter that marks its datagrams. The rate limit for all datagrams becomes at least
  // `per_second`.
  void CarryProtocol(char protocol, double per_second, OnProtocolDatagram call);
  // Seals `body` once and sends it to each of `to`. What the kernel does not accept at once is dropped.
  void SendProtocol(char protocol, std::span<const Address> to, std::span<const std::uint8_t> body);

  const Node& node() const { return node_; }
  const Address& listen_address() const { return settings_.listen; }
  bool listens() const { return socket_.is_open() && !handed_over_; }  // false while it waits for the address
  // The view as a JSON object, and the metrics in the Prometheus text format.
  std::string Report() const;
  std::string MetricsText() const;

 private:
  struct Counts {
    std::uint64_t received = 0, sent = 0, bytes_received = 0, bytes_sent = 0, send_failed = 0;
    std::array<std::uint64_t, kDropReasons> dropped{};
    std::array<std::uint64_t, Event::kKinds> events{};
  };
  // Token bucket: `per_second` on average, and `burst` at once.
  class TokenBucket {
   public:
    TokenBucket(double per_second, double burst, Time now)
        : per_second_(per_second), burst_(burst), tokens_(burst), refilled_(now) {}
    void Refill(Time now) {
      tokens_ =
          std::min(burst_, tokens_ + per_second_ * std::chrono::duration<double>(now - refilled_).count());
      refilled_ = now;
    }
    bool HasToken() const { return tokens_ >= 1; }
    void Take() { tokens_ -= 1; }

   private:
    double per_second_, burst_, tokens_;
    Time refilled_;
  };
  using Udp = boost::asio::ip::udp;

  DropReason HandleDatagram(Time now, const Address& from, std::span<const std::uint8_t> datagram);
  void SendTo(const Address& to, const wire::Bytes& datagram);
  void StartReceiving();
  void BindOrRetry();
  void WaitReadable();
  void ReadSlice();
  void Flush();
  void ArmTimer();
  void Log(const std::string& line, Time now);
  void LogDrop(DropReason reason, const Udp::endpoint& from, Time now);
  static Time Now() { return std::chrono::steady_clock::now(); }

  Settings settings_;
  OnLog log_;
  Authenticator authenticator_;
  Node node_;
  Udp::socket socket_;
  boost::asio::steady_timer timer_, retry_timer_;
  Counts counts_;
  TokenBucket read_budget_, log_budget_;
  std::uint64_t suppressed_lines_ = 0, logged_drops_ = 0;
  Time last_drop_log_{};
  bool handed_over_ = false;
  std::vector<std::function<void(const Event&)>> on_event_;
  std::map<char, OnProtocolDatagram> protocol_handlers_;
  double per_second_ = kMaxDatagramsPerSecond;
};

// A new boot id: milliseconds since 1970, and 16 random bits of which the lowest is set.
std::uint64_t NewBootId();

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_LINK_H_
