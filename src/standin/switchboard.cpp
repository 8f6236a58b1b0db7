// SPDX-License-Identifier: Apache-2.0
#include "standin/switchboard.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace kestrelline::standin {
namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;
using Microseconds = NetFaults::Microseconds;

constexpr std::uint16_t kMemberPort = 7000;

std::string Text(const asio::ip::udp::endpoint& at) {
  return at.address().to_string() + ':' + std::to_string(at.port());
}

}  // namespace

Switchboard::Switchboard(asio::io_context& io, int members, std::uint64_t seed) : io_(io), faults_(seed) {
  for (int i = 0; i < members; ++i) {
    auto relay = std::make_unique<Relay>(
        Relay{Udp::socket(io, Udp::endpoint(asio::ip::address_v4::loopback(), 0)), {}});
    relay->socket.non_blocking(true);
    relays_.push_back(std::move(relay));
  }
  // The first relay's port is this one's alone for as long as it is bound: so are the addresses made of it.
  const std::uint32_t own = relays_.front()->socket.local_endpoint().port();
  for (int i = 0; i < members; ++i) {
    const asio::ip::address_v4 address((127u << 24) | (own << 8) | static_cast<std::uint32_t>(i + 1));
    relays_[static_cast<std::size_t>(i)]->member = {address, kMemberPort};
    senders_[relays_[static_cast<std::size_t>(i)]->member] = i;
    Await(i);
  }
}

std::string Switchboard::listens(int member) const {
  return Text(relays_[static_cast<std::size_t>(member)]->member);
}
std::string Switchboard::advertised(int member) const {
  return Text(relays_[static_cast<std::size_t>(member)]->socket.local_endpoint());
}

void Switchboard::Await(int member) {
  relays_[static_cast<std::size_t>(member)]->socket.async_wait(Udp::socket::wait_read,
                                                               [this, member](const Error& failed) {
                                                                 if (!failed) Read(member);
                                                               });
}

void Switchboard::Read(int member) {
  std::array<std::uint8_t, 2048> bytes;
  for (;;) {
    Udp::endpoint from;
    Error failed;
    const std::size_t n =
        relays_[static_cast<std::size_t>(member)]->socket.receive_from(asio::buffer(bytes), from, 0, failed);
    if (failed == asio::error::would_block) break;
    if (failed) continue;  // the member is down: of an earlier datagram to it
    const auto sender = senders_.find(from);
    if (sender == senders_.end()) continue;  // nobody that is known
    const auto now = std::chrono::duration_cast<Microseconds>(std::chrono::steady_clock::now() - start_);
    const std::vector<std::uint8_t> datagram(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(n));
    for (const Microseconds late : faults_.Judge(now, sender->second, member, n).copies) {
      if (late.count() == 0) {
        Forward(member, datagram);
        continue;
      }
      if (*in_flight_ >= kMostInFlight) continue;
      ++*in_flight_;
      const auto timer = std::make_shared<asio::steady_timer>(io_, late);
      timer->async_wait([this, timer, member, datagram, counted = in_flight_](const Error& cancelled) {
        --*counted;
        if (!cancelled) Forward(member, datagram);
      });
    }
  }
  Await(member);
}

void Switchboard::Forward(int member, const std::vector<std::uint8_t>& bytes) {
  Relay& relay = *relays_[static_cast<std::size_t>(member)];
  Error ignored;
  relay.socket.send_to(asio::buffer(bytes), relay.member, 0, ignored);
}

}  // namespace kestrelline::standin
