// SPDX-License-Identifier: Apache-2.0
#include "fleet_soak/fleet.h"

#include <signal.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <utility>

#include "http/sockets.h"

namespace kestrelline::fleet_soak {

using namespace http;
using fleet_standin::Backend;
using fleet_standin::Fault;

namespace {

constexpr Time kExitPollInterval{10};
constexpr Time kBetweenProbes{500};
constexpr std::size_t kProbesOfLag = 4;  // two seconds
constexpr Time kProbeTimeout{400};
constexpr Time kEndSlack{250};  // of the end of grace, as a supervisor that looks now and then
constexpr Time kStartAfterFailure{500};
constexpr int kSlots = 16;

// Whether the backend's answer is no whole one, so that none can be expected of the proxy either.
bool BrokeOff(Fault fault) {
  return fault == Fault::kCloseUnanswered || fault == Fault::kBreakStream || fault == Fault::kUnframedReset ||
         fault == Fault::kGarbage;
}

void Write(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << text;
}

}  // namespace

Awaitable<std::optional<Response>> AskOnce(asio::io_context& io, node::Endpoint there, http::Request request,
                                           Time timeout) {
  request.set(bhttp::field::host, "h.example");
  co_return co_await Exchange(io, there, std::move(request), steady_clock::now() + timeout);
}

Fleet::Fleet(asio::io_context& io, const Site& site, const Sizes& sizes, Ledger& ledger, std::string program,
             std::string folder)
    : io_(io),
      site_(site),
      ledger_(ledger),
      program_(std::move(program)),
      folder_(std::move(folder)),
      began_(steady_clock::now()) {
  for (int i = 0; i < sizes.prefill; ++i) AddBackend("llm", "p" + std::to_string(i), true, false);
  for (int i = 0; i < sizes.decode; ++i) AddBackend("llm", "d" + std::to_string(i), false, true);
  for (int i = 0; i < sizes.plain; ++i) AddBackend("app", "a" + std::to_string(i), false, false);
  platform_ = std::make_unique<fleet_standin::Platform>(io_, [this] {
    std::vector<wire::Instance> list;
    for (const auto& backend : backends) list.push_back(backend->instance());
    return list;
  });
  if (const auto error = platform_->Listen(site.Platform())) throw std::system_error(error, "platform");
  for (int i = 0; i < sizes.cores; ++i) AddNode(cores, Role::kMember, i);
  for (int i = 0; i < sizes.edges; ++i) AddNode(edges, Role::kProxy, i);
  for (int i = 0; i < sizes.gateways; ++i) AddNode(gateways, Role::kGateway, i);
}

void Fleet::AddBackend(const std::string& service, const std::string& id, bool prefill, bool decode) {
  fleet_standin::BackendOptions options;
  const node::Endpoint here = site_.Backend(static_cast<int>(backends.size()));
  options.instance.id = id;
  options.instance.service = service;
  options.instance.address = here.ip + ":" + std::to_string(here.port);
  options.instance.zone = "a";
  options.instance.slots = kSlots;
  options.instance.prefill = prefill;
  options.instance.decode = decode;
  backends.push_back(std::make_unique<Backend>(io_, options));
  if (const auto error = backends.back()->Listen()) throw std::system_error(error, "backend");
}

Fleet::Place Fleet::PlaceOf(Role role, int index) const {
  const std::string number = std::to_string(index);
  switch (role) {
    case Role::kProxy:
      return {"edge" + number, "edge", site_.EdgeSettings(index), site_.Front(index),
              site_.FrontRelay(index)};
    case Role::kGateway:
      return {"gateway" + number, "core", site_.GatewaySettings(index), site_.Gateway(index),
              site_.GatewayRelay(index)};
    case Role::kMember:
      break;
  }
  const std::string data = folder_ + "/data-core" + number;
  return {"core" + number, "core", site_.CoreSettings(index, true, data), site_.Control(index),
          site_.ControlRelay(index)};
}

void Fleet::AddNode(std::vector<std::unique_ptr<Node>>& nodes, Role role, int index) {
  const Place place = PlaceOf(role, index);
  auto node = std::make_unique<Node>();
  node->name = place.name;
  node->role = role;
  node->index = index;
  node->relay_number = cores.size() + edges.size() + gateways.size();
  node->relay = std::make_unique<Relay>(io_, place.endpoint);
  if (const auto error = node->relay->Listen(place.relay)) throw std::system_error(error, "relay");
  if (role == Role::kMember) std::filesystem::create_directories(folder_ + "/data-" + place.name);
  Write(folder_ + "/" + place.name + ".toml", place.settings);
  nodes.push_back(std::move(node));
}

Time Fleet::Now() const { return std::chrono::duration_cast<Time>(steady_clock::now() - began_); }

Awaitable<void> Fleet::Sleep(Time length) {
  asio::steady_timer timer(io_, length);
  co_await timer.async_wait(kTuple);
}

void Fleet::StartAll() {
  for (auto* nodes : AllNodes()) {
    for (const auto& node : *nodes) {
      Start(*node);
      asio::co_spawn(io_, Watch(*node), asio::detached);
      asio::co_spawn(io_, WatchReadiness(*node), asio::detached);
    }
  }
}

void Fleet::Start(Node& node) {
  const std::string path = folder_ + "/" + node.name;
  const std::vector<std::string> arguments{PlaceOf(node.role, node.index).subcommand, path + ".toml"};
  node.process = std::make_unique<Process>(program_, arguments, path + ".log");
  node.running = true;
  node.ready = node.was_ready = false;
  node.life = ledger_.lives.size();
  Life life;
  life.name = node.name + "#" + std::to_string(node.life);
  life.started = Now();
  ledger_.lives.push_back(std::move(life));
}

void Fleet::NoteEnd(Node& node, int status) {
  node.running = node.ready = false;
  LifeOf(node).ended = Now();
  LifeOf(node).status = status;
}

// Notes ends; starts again what ended although nobody asked it to.
Awaitable<void> Fleet::Watch(Node& node) {
  while (true) {
    co_await Sleep(kExitPollInterval);
    if (!node.running) continue;
    const auto status = node.process->Ended();
    if (!status) continue;
    NoteEnd(node, *status);
    if (node.owned) continue;
    co_await Sleep(kStartAfterFailure);
    if (!node.running && !node.owned) Start(node);
  }
}

Awaitable<void> Fleet::WatchReadiness(Node& node) {
  while (true) {
    co_await Sleep(kBetweenProbes);
    const std::size_t life = node.life;
    const bool is_proxy = node.role == Role::kProxy;
    const node::Endpoint there = is_proxy ? site_.Ready(node.index) : PlaceOf(node.role, node.index).endpoint;
    const char* const target = is_proxy ? "/-/readyz" : "/-/status";
    const auto answer = co_await AskOnce(io_, there, {bhttp::verb::get, target, 11}, kProbeTimeout);
    node.ready = SaysReady(node.role, answer) && node.running && node.life == life;
    node.was_ready = node.was_ready || node.ready;
    node.history.push_back(node.ready);
    if (node.history.size() > kProbesOfLag) node.history.pop_front();
  }
}

bool Fleet::SaysReady(Role role, const std::optional<Response>& answer) const {
  if (!answer || answer->result() != bhttp::status::ok) return false;
  if (role != Role::kMember) return true;
  const std::string& body = answer->body();
  return body.find("\"role\":\"leader\"") != std::string::npos ||
         body.find("\"role\":\"follower\"") != std::string::npos;
}

bool Fleet::SeemsReady(const Node& node) { return !node.history.empty() && node.history.front(); }

Awaitable<void> Fleet::Terminate(Node& node, std::optional<Time> start_after) {
  if (!node.running || node.owned || !node.was_ready) co_return;
  node.owned = true;
  LifeOf(node).term = Now();
  node.process->Signal(SIGTERM);
  const Time until = Now() + ledger_.rules().grace + kEndSlack;
  while (node.running && Now() < until) co_await Sleep(kExitPollInterval);
  if (node.running) {
    LifeOf(node).overstayed = true;
    node.process->Signal(SIGKILL);
  }
  while (node.running) co_await Sleep(kExitPollInterval);
  if (start_after) {
    co_await Sleep(*start_after);
    Start(node);
  }
  node.owned = !start_after;
}

Awaitable<void> Fleet::Kill(Node& node, Time start_after) {
  if (!node.running) co_return;
  LifeOf(node).troubles.push_back({Now(), kForever});
  node.process->Signal(SIGKILL);
  if (node.owned) co_return;  // whoever waits for its end starts it again
  node.owned = true;
  while (node.running) co_await Sleep(kExitPollInterval);
  co_await Sleep(start_after);
  Start(node);
  node.owned = false;
}

Awaitable<void> Fleet::Pause(Node& node, Time length) {
  if (!node.running) co_return;
  const std::size_t life = node.life;
  const std::size_t trouble = LifeOf(node).troubles.size();
  LifeOf(node).troubles.push_back({Now(), kForever});
  node.process->Signal(SIGSTOP);
  co_await Sleep(length);
  if (node.life != life) co_return;
  node.process->Signal(SIGCONT);
  LifeOf(node).troubles.at(trouble).to = Now();
}

Awaitable<void> Fleet::Cut(Node& node, Time length) {
  std::vector<Interval>& troubles = ledger_.relay_troubles[node.relay_number];
  const bool under_way = !troubles.empty() && troubles.back().to == kForever;
  if (under_way) co_return;
  troubles.push_back({Now(), kForever});
  node.relay->BeginCut();
  co_await Sleep(length);
  node.relay->EndCut();
  co_await Sleep(kExitPollInterval);  // the resets arrive
  ledger_.relay_troubles[node.relay_number].back().to = Now();
}

bool Fleet::AllReady() const {
  const auto ready = [](const auto& node) { return node->ready; };
  return CoresNotReady() == 0 && std::all_of(edges.begin(), edges.end(), ready) &&
         std::all_of(gateways.begin(), gateways.end(), ready);
}

int Fleet::CoresNotReady() const {
  return static_cast<int>(std::count_if(cores.begin(), cores.end(),
                                        [](const auto& node) { return !node->ready || node->owned; }));
}

void Fleet::RecordArrivals() {
  const auto since = [this](steady_clock::time_point at) {
    return std::chrono::duration_cast<Time>(at - began_);
  };
  for (const auto& backend : backends) {
    for (const fleet_standin::Arrival& seen : backend->arrivals()) {
      Arrival arrival;
      arrival.id = seen.request_id;
      arrival.instance = backend->instance().id;
      arrival.began = since(seen.began);
      if (seen.ended) arrival.ended = since(*seen.ended);
      arrival.ran = seen.ran;
      arrival.broke_off = seen.ran && BrokeOff(seen.fault);
      ledger_.arrivals.push_back(std::move(arrival));
    }
  }
}

}  // namespace kestrelline::fleet_soak
