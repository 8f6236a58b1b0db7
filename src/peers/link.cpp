// SPDX-License-Identifier: Apache-2.0
#include "peers/link.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

namespace kestrelline::peers {
namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;

constexpr std::chrono::milliseconds kBindRetryInterval{50};  // while another process holds the address
constexpr double kMaxLogLinesPerSecond = 10, kLogLineBurst = 100;
constexpr std::chrono::milliseconds kReadPause{10};  // once the rate limit is used up
constexpr std::chrono::seconds kDropLogInterval{10};

asio::ip::udp::endpoint EndpointOf(const Address& a) { return {asio::ip::address_v4(a.ip), a.port}; }

Node::Options OptionsOf(const Settings& settings, const Link::Identity& who, std::uint64_t boot) {
  Node::Options o;
  o.name = who.name;
  // Zones come from the platform and may contain characters that must not reach logs and reports.
  for (const char c : who.zone.substr(0, kMaxZoneBytes)) o.zone += IsPlain(c) ? c : '_';
  o.version = who.version.substr(0, kMaxVersionBytes);
  o.boot = boot;
  o.seed = who.seed ^ boot;
  o.address = settings.advertise;
  o.seeds = settings.seeds;
  o.wire = settings.wire;
  o.times = settings.times;
  return o;
}

}  // namespace

std::uint64_t NewBootId() {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  return (static_cast<std::uint64_t>(ms) << 16) | (std::random_device()() & 0xffff) | 1;
}

Link::Link(asio::io_context& io, Settings settings, Identity who, OnLog log)
    : settings_(std::move(settings)),
      log_(std::move(log)),
      authenticator_(settings_.keys, NewBootId()),
      node_(OptionsOf(settings_, who, authenticator_.boot()), Now()),
      socket_(io),
      timer_(io),
      retry_timer_(io),
      read_budget_(kMaxDatagramsPerSecond, kDatagramBurst, Now()),
      log_budget_(kMaxLogLinesPerSecond, kLogLineBurst, Now()) {
  if (who.wait_for_address) {
    BindOrRetry();
  } else {
    socket_.open(Udp::v4());
    socket_.bind(EndpointOf(settings_.listen));
    StartReceiving();
  }
}

void Link::StartReceiving() {
  Error ignored;
  socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  socket_.non_blocking(true, ignored);
  Log("peers: " + node_.self().name + " listens at " + settings_.listen.Text(), Now());
  WaitReadable();
  ArmTimer();
}

// During an upgrade the old process holds the address until it is told to stop.
void Link::BindOrRetry() {
  Error failed;
  socket_.open(Udp::v4(), failed);
  if (!failed) socket_.bind(EndpointOf(settings_.listen), failed);
  if (!failed) {
    StartReceiving();
    return;
  }
  Error ignored;
  socket_.close(ignored);
  retry_timer_.expires_after(kBindRetryInterval);
  retry_timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled) BindOrRetry();
  });
}

void Link::WaitReadable() {
  socket_.async_wait(Udp::socket::wait_read, [this](const Error& failed) {
    if (!failed) ReadSlice();
  });
}

void Link::ReadSlice() {
  const Time now = Now();
  read_budget_.Refill(now);
  std::array<std::uint8_t, wire::kMaxDatagramBytes + 1> bytes;
  int read = 0;
  for (;
       read < kMaxDatagramsPerSlice && read_budget_.HasToken() && (read == 0 || Now() - now < kMaxSliceTime);
       ++read) {
    Udp::endpoint from;
    Error failed;
    const std::size_t size = socket_.receive_from(asio::buffer(bytes), from, 0, failed);
    if (failed == asio::error::would_block) break;
    // An error of an earlier send (ECONNREFUSED); the prober notices dead members by itself.
    if (failed) continue;
    read_budget_.Take();
    ++counts_.received;
    counts_.bytes_received += size;
    const DropReason reason =
        HandleDatagram(now, {from.address().to_v4().to_uint(), from.port()}, {bytes.data(), size});
    ++counts_.dropped[static_cast<std::size_t>(reason)];
    if (reason != DropReason::kNone) LogDrop(reason, from, now);
  }
  Flush();
  if (read_budget_.HasToken()) return WaitReadable();
  retry_timer_.expires_after(kReadPause);
  retry_timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled) WaitReadable();
  });
}

DropReason Link::HandleDatagram(Time now, const Address& from, std::span<const std::uint8_t> datagram) {
  if (const auto handler = protocol_handlers_.find(Authenticator::ProtocolOf(datagram));
      handler != protocol_handlers_.end()) {
    std::uint64_t boot = 0;
    std::span<const std::uint8_t> body;
    const DropReason reason = authenticator_.OpenProtocol(datagram, &boot, &body);
    return reason == DropReason::kNone && !handler->second(boot, from, body) ? DropReason::kBody : reason;
  }
  Message message;
  const DropReason reason = authenticator_.Open(datagram, &message);
  if (reason == DropReason::kNone && !handed_over_) node_.Receive(now, message);
  return reason;
}

void Link::CarryProtocol(char protocol, double per_second, OnProtocolDatagram call) {
  per_second_ = std::max(per_second_, per_second);
  read_budget_ = TokenBucket(per_second_, per_second_, Now());
  protocol_handlers_[protocol] = std::move(call);
}

void Link::SendProtocol(char protocol, std::span<const Address> to, std::span<const std::uint8_t> body) {
  if (!socket_.is_open() || to.empty()) return;
  const auto datagram = authenticator_.SealProtocol(protocol, body);
  for (const Address& address : to) SendTo(address, datagram);
}

void Link::SendTo(const Address& to, const wire::Bytes& datagram) {
  Error failed;
  socket_.send_to(asio::buffer(datagram), EndpointOf(to), 0, failed);
  ++(failed ? counts_.send_failed : counts_.sent);
  if (!failed) counts_.bytes_sent += datagram.size();
}

void Link::Flush() {
  if (handed_over_) return;
  const Time now = Now();
  for (const Outgoing& out : node_.TakeOutgoing())
    if (socket_.is_open()) SendTo(out.to, authenticator_.Seal(out.message, out.wire));
  for (const Event& event : node_.TakeEvents()) {
    ++counts_.events[static_cast<std::size_t>(event.kind)];
    const Member& m = event.member;
    std::string line = "peers: ";
    if (event.kind == Event::Kind::kWhole || event.kind == Event::Kind::kPart ||
        event.kind == Event::Kind::kAlone) {
      const std::size_t present = node_.view().present(), faulty = node_.view().faulty();
      line += std::string(NameOf(event.kind)) + " (" + std::to_string(present) + " of " +
              std::to_string(present + faulty) + ")";
      std::map<std::string, std::size_t> zones;
      for (const auto& [name, entry] : node_.view().entries())
        if (entry.member.state == State::kFaulty) ++zones[entry.member.zone];
      for (const auto& [zone, missing] : zones)
        line += ", " + std::to_string(missing) + " missing in " + (zone.empty() ? "no zone" : zone);
    } else {
      line += m.name + " " + NameOf(event.kind) + ": " + m.address.Text() +
              (m.zone.empty() ? "" : " in " + m.zone) + ", incarnation " + std::to_string(m.incarnation);
    }
    Log(line, now);
    for (const auto& call : on_event_) call(event);
  }
  ArmTimer();
}

void Link::ArmTimer() {
  if (!socket_.is_open()) return;
  const Time due = node_.NextDue();
  if (due == Time::max()) return;
  timer_.expires_at(due);
  timer_.async_wait([this](const Error& cancelled) {
    if (cancelled) return;
    node_.Tick(Now());
    Flush();
  });
}

void Link::Log(const std::string& line, Time now) {
  if (!log_) return;
  log_budget_.Refill(now);
  if (!log_budget_.HasToken()) {
    ++suppressed_lines_;
    return;
  }
  log_budget_.Take();
  if (suppressed_lines_ > 0) log_("peers: " + std::to_string(suppressed_lines_) + " log lines suppressed");
  suppressed_lines_ = 0;
  log_(line);
}

void Link::LogDrop(DropReason reason, const Udp::endpoint& from, Time now) {
  if (last_drop_log_ != Time() && now - last_drop_log_ < kDropLogInterval) return;
  last_drop_log_ = now;
  std::uint64_t all = 0;
  for (std::size_t i = 1; i < kDropReasons; ++i) all += counts_.dropped[i];
  Log("peers: a datagram from " + from.address().to_string() + ":" + std::to_string(from.port()) +
          " dropped (" + NameOf(reason) + "), " + std::to_string(all - logged_drops_) +
          " since the last message",
      now);
  logged_drops_ = all;
}

void Link::Leave() {
  node_.Leave(Now());
  Flush();
}
void Link::CancelLeave() {
  node_.CancelLeave(Now());
  Flush();
}
void Link::AnnounceLeft() {
  node_.AnnounceLeft(Now());
  Flush();
}

void Link::HandOver() {
  Error failed;
  socket_.close(failed);
  timer_.cancel();
  retry_timer_.cancel();
  handed_over_ = true;
  Log("peers: " + node_.self().name + " hands its address over to another process of this proxy", Now());
  if (protocol_handlers_.empty()) return;
  socket_.open(Udp::v4(), failed);
  if (!failed) socket_.bind({EndpointOf(settings_.listen).address(), 0}, failed);
  if (!failed) socket_.non_blocking(true, failed);
  if (failed) {
    socket_.close(failed);
  } else {
    WaitReadable();
  }
}

std::string Link::Report() const {
  using nlohmann::json;
  json members = json::array();
  char boot[20];
  for (const auto& [name, entry] : node_.view().entries()) {
    const Member& m = entry.member;
    std::snprintf(boot, sizeof boot, "%016llx", static_cast<unsigned long long>(m.boot));
    members.push_back({{"name", m.name},
                       {"boot", boot},
                       {"incarnation", m.incarnation},
                       {"address", m.address.Text()},
                       {"zone", m.zone},
                       {"version", m.version},
                       {"state", NameOf(m.state)}});
  }
  char view[20];
  std::snprintf(view, sizeof view, "%016llx", static_cast<unsigned long long>(node_.view().hash()));
  return json{{"name", node_.self().name},       {"view", view},
              {"settled", node_.Settled(Now())}, {"reading", NameOf(node_.connectivity())},
              {"displaced", node_.displaced()},  {"members", std::move(members)}}
      .dump();
}

std::string Link::MetricsText() const {
  std::string text;
  const auto line = [&](const std::string& name, std::uint64_t value) {
    text += "proxy_peers" + name + " " + std::to_string(value) + "\n";
  };
  std::array<std::uint64_t, kStates> states{};
  for (const auto& [name, entry] : node_.view().entries())
    ++states[static_cast<std::size_t>(entry.member.state)];
  for (std::size_t i = 0; i < kStates; ++i)
    line(std::string("{state=\"") + NameOf(static_cast<State>(i)) + "\"}", states[i]);
  for (std::size_t i = 0; i < counts_.events.size(); ++i)
    line(std::string("_events{kind=\"") + NameOf(static_cast<Event::Kind>(i)) + "\"}", counts_.events[i]);
  for (std::size_t i = 1; i < kDropReasons; ++i)
    line(std::string("_dropped{why=\"") + NameOf(static_cast<DropReason>(i)) + "\"}", counts_.dropped[i]);
  line("_dropped{why=\"send\"}", counts_.send_failed);
  line("_datagrams{way=\"in\"}", counts_.received);
  line("_datagrams{way=\"out\"}", counts_.sent);
  line("_bytes{way=\"in\"}", counts_.bytes_received);
  line("_bytes{way=\"out\"}", counts_.bytes_sent);
  line("_settled", node_.Settled(Now()) ? 1 : 0);
  return text;
}

}  // namespace kestrelline::peers
