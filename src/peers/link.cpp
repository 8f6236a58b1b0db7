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

constexpr std::chrono::milliseconds kTryAgain{50};   // for an address that another process still has
constexpr double kMostLines = 10, kLineBurst = 100;  // of the log: a second, and at once
constexpr std::chrono::seconds kRefusalsEvery{10};

asio::ip::udp::endpoint EndpointOf(const Address& a) { return {asio::ip::address_v4(a.ip), a.port}; }

Node::Options OptionsOf(const Settings& settings, const Link::Who& who, std::uint64_t boot) {
  Node::Options o;
  o.name = who.name;
  // Zones come from the platform and may hold what has no place in a report.
  for (const char c : who.zone.substr(0, kMostZone)) o.zone += IsPlain(c) ? c : '_';
  o.version = who.version.substr(0, kMostVersion);
  o.boot = boot;
  o.seed = who.seed ^ boot;
  o.address = settings.advertise;
  o.seeds = settings.seeds;
  o.wire = settings.wire;
  o.times = settings.times;
  return o;
}

}  // namespace

std::uint64_t DrawBoot() {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  return (static_cast<std::uint64_t>(ms) << 16) | (std::random_device()() & 0xffff) | 1;
}

Link::Link(asio::io_context& io, Settings settings, Who who, OnLog log)
    : settings_(std::move(settings)),
      log_(std::move(log)),
      gate_(settings_.keys, DrawBoot()),
      node_(OptionsOf(settings_, who, gate_.boot()), Now()),
      socket_(io),
      timer_(io),
      again_(io),
      datagrams_(kMostPerSecond, kBurst, Now()),
      lines_(kMostLines, kLineBurst, Now()) {
  if (who.may_wait) {
    OpenOrWait();
  } else {
    socket_.open(Udp::v4());
    socket_.bind(EndpointOf(settings_.listen));
    Open();
  }
}

void Link::Open() {
  Error ignored;
  socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer), ignored);
  socket_.non_blocking(true, ignored);
  Log("peers: " + node_.self().name + " listens at " + settings_.listen.Text(), Now());
  Await();
  Arm();
}

// An upgrade: the old process closes its socket once it is told to stop.
void Link::OpenOrWait() {
  Error failed;
  socket_.open(Udp::v4(), failed);
  if (!failed) socket_.bind(EndpointOf(settings_.listen), failed);
  if (!failed) {
    Open();
    return;
  }
  Error ignored;
  socket_.close(ignored);
  again_.expires_after(kTryAgain);
  again_.async_wait([this](const Error& cancelled) {
    if (!cancelled) OpenOrWait();
  });
}

void Link::Await() {
  socket_.async_wait(Udp::socket::wait_read, [this](const Error& failed) {
    if (!failed) ReadSlice();
  });
}

void Link::ReadSlice() {
  const Time now = Now();
  datagrams_.Refill(now);
  std::array<std::uint8_t, wire::kMostDatagram + 1> bytes;
  int read = 0;
  for (; read < kSlice && datagrams_.Has() && (read == 0 || Now() - now < kSliceTime); ++read) {
    Udp::endpoint from;
    Error failed;
    const std::size_t n = socket_.receive_from(asio::buffer(bytes), from, 0, failed);
    if (failed == asio::error::would_block) break;
    if (failed) continue;  // of an earlier send (ECONNREFUSED): says nothing that the node would not find out
    datagrams_.Take();
    ++counts_.received;
    counts_.bytes_received += n;
    const Refusal refusal = Take(now, {from.address().to_v4().to_uint(), from.port()}, {bytes.data(), n});
    ++counts_.refused[static_cast<std::size_t>(refusal)];
    if (refusal != Refusal::kNone) LogRefusal(refusal, from, now);
  }
  Flush();
  if (datagrams_.Has()) return Await();
  again_.expires_after(std::chrono::milliseconds(10));
  again_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Await();
  });
}

Refusal Link::Take(Time now, const Address& from, std::span<const std::uint8_t> datagram) {
  if (const auto other = on_other_.find(Gate::WhoseOther(datagram)); other != on_other_.end()) {
    std::uint64_t boot = 0;
    std::span<const std::uint8_t> body;
    const Refusal refusal = gate_.OpenOther(datagram, &boot, &body);
    return refusal == Refusal::kNone && !other->second(boot, from, body) ? Refusal::kBody : refusal;
  }
  Message message;
  const Refusal refusal = gate_.Open(datagram, &message);
  if (refusal == Refusal::kNone && !handed_over_) node_.Receive(now, message);
  return refusal;
}

void Link::CarryOthers(char whose, double per_second, OnOther call) {
  per_second_ = std::max(per_second_, per_second);
  datagrams_ = Allowance(per_second_, per_second_, Now());
  on_other_[whose] = std::move(call);
}

void Link::SendOther(char whose, std::span<const Address> to, std::span<const std::uint8_t> body) {
  if (!socket_.is_open() || to.empty()) return;
  const auto datagram = gate_.SealOther(whose, body);
  for (const Address& address : to) Put(address, datagram);
}

void Link::Put(const Address& to, const wire::Bytes& datagram) {
  Error failed;
  socket_.send_to(asio::buffer(datagram), EndpointOf(to), 0, failed);
  ++(failed ? counts_.send_failed : counts_.sent);
  if (!failed) counts_.bytes_sent += datagram.size();
}

void Link::Flush() {
  if (handed_over_) return;
  const Time now = Now();
  for (const Outgoing& out : node_.TakeOutgoing())
    if (socket_.is_open()) Put(out.to, gate_.Seal(out.message, out.wire));
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
  Arm();
}

void Link::Arm() {
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
  lines_.Refill(now);
  if (!lines_.Has()) {
    ++lines_left_out_;
    return;
  }
  lines_.Take();
  if (lines_left_out_ > 0) log_("peers: " + std::to_string(lines_left_out_) + " lines left out");
  lines_left_out_ = 0;
  log_(line);
}

void Link::LogRefusal(Refusal refusal, const Udp::endpoint& from, Time now) {
  if (refusal_logged_ != Time() && now - refusal_logged_ < kRefusalsEvery) return;
  refusal_logged_ = now;
  std::uint64_t all = 0;
  for (std::size_t i = 1; i < kRefusals; ++i) all += counts_.refused[i];
  Log("peers: a datagram from " + from.address().to_string() + ":" + std::to_string(from.port()) +
          " is not read (" + NameOf(refusal) + "), " + std::to_string(all - refused_said_) +
          " since the last time",
      now);
  refused_said_ = all;
}

void Link::Leave() {
  node_.Leave(Now());
  Flush();
}
void Link::Stay() {
  node_.Stay(Now());
  Flush();
}
void Link::Gone() {
  node_.Gone(Now());
  Flush();
}

void Link::HandOver() {
  Error failed;
  socket_.close(failed);
  timer_.cancel();
  again_.cancel();
  handed_over_ = true;
  Log("peers: " + node_.self().name + " leaves its address to another process of this proxy", Now());
  if (on_other_.empty()) return;
  socket_.open(Udp::v4(), failed);
  if (!failed) socket_.bind({EndpointOf(settings_.listen).address(), 0}, failed);
  if (!failed) socket_.non_blocking(true, failed);
  if (failed) {
    socket_.close(failed);
  } else {
    Await();
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
              {"settled", node_.Settled(Now())}, {"reading", NameOf(node_.reading())},
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
  for (std::size_t i = 1; i < kRefusals; ++i)
    line(std::string("_dropped{why=\"") + NameOf(static_cast<Refusal>(i)) + "\"}", counts_.refused[i]);
  line("_dropped{why=\"send\"}", counts_.send_failed);
  line("_datagrams{way=\"in\"}", counts_.received);
  line("_datagrams{way=\"out\"}", counts_.sent);
  line("_bytes{way=\"in\"}", counts_.bytes_received);
  line("_bytes{way=\"out\"}", counts_.bytes_sent);
  line("_settled", node_.Settled(Now()) ? 1 : 0);
  return text;
}

}  // namespace kestrelline::peers
