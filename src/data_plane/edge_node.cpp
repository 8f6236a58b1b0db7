// SPDX-License-Identifier: Apache-2.0
#include "data_plane/edge_node.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "data_plane/request_flow.h"
#include "http/sockets.h"

namespace kestrelline::data_plane {
namespace {

using namespace http;
using invariants::Invariant;

constexpr milliseconds kTickInterval{50};
constexpr milliseconds kMaxTickGap{75};                 // between two ticks of a process that is not stalled
constexpr milliseconds kLoadReportRepeatInterval{500};  // if unchanged
// Bandwidth limit for load reports in bytes per second: own report, and extra for each proxy relayed for.
constexpr double kReportBytesPerSecond = 10000;
constexpr double kChildReportBytesPerSecond = 2000;
constexpr milliseconds kMaxListAge{1800};
constexpr milliseconds kDirectReadInterval{1000};

// How long a report uses up the bandwidth limit.
milliseconds TimeToSend(const wire::LoadReport& report) {
  const double bytes = distribution::LoadFeed::kMessageBytes +
                       distribution::LoadFeed::kLoadBytes * static_cast<double>(report.loads.size());
  const double children = std::max(1u, report.proxies) - 1.0;
  const double budget = kReportBytesPerSecond + kChildReportBytesPerSecond * children;
  return std::min(kLoadReportRepeatInterval, milliseconds(static_cast<int>(1000 * bytes / budget)));
}

// Keeps a client registered while its connection is served, on every way out of the scope.
class RegisteredClient {
 public:
  RegisteredClient(EdgeNode::Clients clients, ClientConnection& client)
      : clients_(std::move(clients)), client_(client) {
    clients_->insert(&client_);
  }
  ~RegisteredClient() { clients_->erase(&client_); }
  RegisteredClient(const RegisteredClient&) = delete;
  RegisteredClient& operator=(const RegisteredClient&) = delete;

 private:
  EdgeNode::Clients clients_;
  ClientConnection& client_;
};

}  // namespace

EdgeNode::EdgeNode(asio::io_context& io, const node::Settings& settings, std::uint64_t seed)
    : io_(io),
      settings_(settings),
      state_(io, settings_, seed),
      subscriber_(
          io, settings_,
          [this] {
            return Subscriber::HeldState{configuration_.held_version(), list_.newest_revision()};
          },
          [this](const wire::Publication& publication,
                 std::optional<steady_clock::time_point> composed_after) {
            HandlePublication(publication, composed_after);
          },
          [this](const wire::LoadSummary& summary) {
            state_.backends.ApplyLoadSummary(summary, DecisionTime());
            load_mirror_.Apply(summary);
            publisher_.SendToAll(summary);
          },
          traffic_),
      mesh_(io, node::ToText(settings.RelayEndpoint()), settings.RelayEndpoint(), traffic_),
      publisher_(mesh_, settings.max_subscribers),
      ready_server_(io, [this](ApiRequest request) { return Readiness(std::move(request)); }),
      acceptor_(io),
      reader_(io, settings.cloud.value_or(node::Endpoint{})),
      tick_(io),
      started_(steady_clock::now()) {
  const auto max_files = static_cast<std::size_t>(std::max<std::int64_t>(settings.limits.max_fds, 512));
  max_clients_ = (max_files - kReservedDescriptors) / 2;
}

std::error_code EdgeNode::Start() {
  if (settings_.ready) {
    if (const std::error_code error = ready_server_.Listen(*settings_.ready)) return error;
  }
  if (!settings_.front) return std::make_error_code(std::errc::invalid_argument);
  if (const std::error_code error = OpenAcceptor(acceptor_, *settings_.front)) return error;
  const auto on_child = [this](mesh::Connection& connection, wire::Message message) {
    OnChildMessage(connection, std::move(message));
  };
  const auto on_closed = [this](mesh::Connection& connection) { publisher_.Forget(connection); };
  if (const std::error_code error = mesh_.Listen(on_child, on_closed)) return error;
  asio::co_spawn(io_, Accept(), asio::detached);
  subscriber_.Start();
  ScheduleTick();
  return {};
}

bool EdgeNode::Ready() const { return !state_.drain.draining() && state_.routes && backends_known_; }

Awaitable<ApiResponse> EdgeNode::Readiness(ApiRequest request) {
  if (request.target() == "/-/invariants") {
    co_return JsonResponse(bhttp::status::ok, state_.violations.Json());
  }
  if (request.target() == "/-/metrics")
    co_return MetricsResponse(traffic_->MetricsText() + state_.backend_faults.MetricsText());
  if (request.target() != "/-/readyz") co_return ErrorResponse(bhttp::status::not_found, "no such resource");
  if (Ready()) co_return JsonResponse(bhttp::status::ok, "{\"ready\":true}");
  co_return JsonResponse(bhttp::status::service_unavailable, "{\"ready\":false}");
}

Awaitable<void> EdgeNode::Accept() {
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(kTuple);
    if (error) {
      if (!acceptor_.is_open()) co_return;
      asio::steady_timer pause(io_, milliseconds(20));  // possibly out of file descriptors
      co_await pause.async_wait(kTuple);
      continue;
    }
    if (clients_->size() >= max_clients_ && !CloseLongestIdle()) continue;
    asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
  }
}

// Makes room for a new connection. Returns false if every open connection is serving a request.
bool EdgeNode::CloseLongestIdle() {
  ClientConnection* longest_idle = nullptr;
  for (ClientConnection* client : *clients_) {
    const auto since = client->idle_since();
    if (since && (longest_idle == nullptr || *since < *longest_idle->idle_since())) longest_idle = client;
  }
  if (longest_idle == nullptr) return false;
  longest_idle->CloseIfIdle();
  return true;
}

Awaitable<void> EdgeNode::Serve(Tcp::socket socket) {
  ClientConnection client(std::move(socket));
  const RegisteredClient registration(clients_, client);
  const ClientConnection::CurrentLimits current_limits = [this] {
    return state_.routes ? state_.routes->configuration().limits : configuration::Limits{};
  };
  while (true) {
    const auto result = co_await client.ReadRequest(current_limits);
    if (result.outcome == ClientConnection::ReadOutcome::kClosed) break;
    if (result.outcome == ClientConnection::ReadOutcome::kMalformed) {
      client.set_close_after_response(true);
      const auto status = static_cast<unsigned>(result.status);
      std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
      head += std::string_view(bhttp::obsolete_reason(result.status));
      co_await client.WriteResponse(head + "\r\n", "");
      break;
    }
    {
      RequestFlow flow(state_, client);
      co_await flow.Run();
      if (!flow.ended()) {
        state_.violations.Report(Invariant::kEveryRequestEnds,
                                 "request_id=" + std::string(client.request()["Request-Id"]));
      }
    }
    if (client.closes_after_response()) break;
  }
  co_await client.CloseGracefully();
}

void EdgeNode::ScheduleTick() {
  tick_.expires_after(kTickInterval);
  tick_.async_wait([this](const error_code& cancelled) {
    if (cancelled) return;
    tick_before_last_ = std::exchange(last_tick_, steady_clock::now());
    state_.backends.Tick(DecisionTime());
    state_.pool.Tick();
    state_.open_requests.Tick();
    subscriber_.Tick();
    ReportLoads();
    if (state_.drain.draining()) TickDrain();
    const auto now = steady_clock::now();
    if (settings_.cloud && !reading_list_ && now - std::max(list_.read_at(), started_) > kMaxListAge &&
        now >= next_direct_read_at_) {
      reading_list_ = true;
      asio::co_spawn(io_, ReadListDirectly(), asio::detached);
    }
    ScheduleTick();
  });
}

// Reports the load of this proxy and of the proxies that it relays for.
void EdgeNode::ReportLoads() {
  const auto now = steady_clock::now();
  if (now < load_report_allowed_at_) return;
  const auto now_ms = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
  children_.ReportFromMember(now_ms, settings_.ip,
                             {state_.backends.ReportLoads(), state_.demand.Demands(DecisionTime(now)), 1});
  children_.DropTimedOut(now_ms);
  wire::LoadReport report = children_.TotalReport();
  if (report.loads == reported_loads_ && now < load_report_due_at_) return;
  load_report_due_at_ = now + kLoadReportRepeatInterval;
  load_report_allowed_at_ = now + TimeToSend(report);
  subscriber_.Report(report);
  reported_loads_ = std::move(report.loads);
}

void EdgeNode::OnChildMessage(mesh::Connection& connection, wire::Message message) {
  if (const auto* subscribe = std::get_if<wire::Subscribe>(&message.body)) {
    if (publisher_.Subscribe(connection, message.sender, *subscribe, CurrentlyPublished()))
      connection.Send(mesh_.Encode(load_mirror_.FullSummary()));
  } else if (const auto* probe = std::get_if<wire::Probe>(&message.body)) {
    publisher_.NoteProbe(connection, *probe);
  } else if (auto* report = std::get_if<wire::LoadReport>(&message.body)) {
    const auto now = std::chrono::duration_cast<milliseconds>(steady_clock::now().time_since_epoch());
    children_.ReportFromProxy(now, message.sender, std::move(*report));
  }
}

distribution::PublishedState EdgeNode::CurrentlyPublished() {
  const auto since = std::chrono::duration_cast<milliseconds>(
      steady_clock::now() - last_composed_after_.value_or(steady_clock::time_point()));
  distribution::PublishedState published;
  published.version = configuration_.version_in_force();
  if (published.version > 0) published.configuration = [this] { return configuration_.Text(); };
  published.configurations = &configuration_.history();
  if (last_publication_.certain && last_composed_after_)
    published.age = milliseconds(last_publication_.age_ms) + since;
  published.instances = list_.newest_list();
  published.lists = &list_.history();
  published.instances_age = milliseconds(last_publication_.instances_age_ms) + since;
  published.proxies = last_publication_.proxies;
  published.control_peers = last_publication_.control_peers;
  published.hops = last_publication_.hops + 1;
  return published;
}

// Relays publications to proxies that were referred here. The hop limit stops a cycle of proxies that relay
// outdated publications to one another.
void EdgeNode::RelayPublication() {
  constexpr std::uint32_t kMaxHops = 8;
  if (last_publication_.hops < kMaxHops) publisher_.Publish(CurrentlyPublished());
}

// Reads the list directly from the platform while no control plane member sends it. A random delay spreads
// the reads of different proxies.
Awaitable<void> EdgeNode::ReadListDirectly() {
  const auto random_delay = milliseconds(static_cast<std::int64_t>(state_.random.Below(400)));
  next_direct_read_at_ = steady_clock::now() + kDirectReadInterval + random_delay;
  auto instances = co_await reader_.Read();
  reading_list_ = false;
  if (!instances) co_return;
  wire::InstanceList list;
  list.instances = std::move(*instances);
  state_.backends.Update(list);
  backends_known_ = true;
  list_.UseDirectRead(steady_clock::now());
}

void EdgeNode::HandlePublication(const wire::Publication& publication,
                                 std::optional<steady_clock::time_point> composed_after) {
  last_publication_ = publication;
  last_publication_.configuration.clear();
  last_publication_.configuration_patches.clear();
  last_publication_.instances = nullptr;
  last_publication_.list_changes.reset();
  last_composed_after_ = composed_after;
  if (publication.proxies > 0)
    state_.budget.set_proxies(static_cast<int>(publication.proxies), DecisionTime());
  ApplyConfiguration(publication);
  if (const auto list = list_.Apply(publication, composed_after)) {
    state_.backends.Update(*list);
    backends_known_ = true;
  }
  const bool missing_list = list_.ConsumeMissingBase();
  if (configuration_.missing_base() || missing_list) return subscriber_.Renew();
  RelayPublication();
}

void EdgeNode::ApplyConfiguration(const wire::Publication& publication) {
  const auto next = configuration_.Apply(publication, subscriber_.fresh());
  if (!configuration_.error().empty()) {
    spdlog::error("configuration version={} refused: {}", publication.version, configuration_.error());
  }
  if (!next) return;
  state_.routes = std::make_shared<const configuration::RouteTable>(next);
  spdlog::info("configuration version={} routes={}", next->version, next->routes.size());
}

// However late SIGTERM is noticed, it arrived after the last tick; or after the one before, if the process
// was stalled between the two, since both may be handled in any order then.
steady_clock::time_point EdgeNode::EarliestSigterm() const {
  return last_tick_ - tick_before_last_ > kMaxTickGap ? tick_before_last_ : last_tick_;
}

void EdgeNode::Drain(std::function<void()> done) {
  if (state_.drain.draining()) return;
  state_.drain.Begin(EarliestSigterm());
  drained_ = std::move(done);
  spdlog::info("draining connections={} open_requests={}", clients_->size(),
               state_.open_requests.Entries().size());
}

void EdgeNode::TickDrain() {
  const auto now = steady_clock::now();
  if (state_.drain.AcceptsConnections(now)) return;
  if (acceptor_.is_open()) {
    AcceptQueued();
    acceptor_.close();
    return;  // connections accepted above must start being served before the process may exit
  }
  for (ClientConnection* client : std::set<ClientConnection*>(*clients_)) client->CloseIfIdle();
  if (state_.drain.ShouldFinalize(now)) FinalizeOpenRequests();
  if ((!clients_->empty() && !state_.drain.ShouldExit(now)) || !drained_) return;
  LogUnanswered();
  spdlog::info("drained requests={} answered={} refused={} failed={} cut={} unanswered={} violations={}",
               state_.counters.requests, state_.counters.answered, state_.counters.refused,
               state_.counters.failed, state_.counters.truncated, state_.open_requests.Entries().size(),
               state_.violations.total());
  std::exchange(drained_, nullptr)();
}

// Accepts connections still queued in the kernel: their clients have already sent requests.
void EdgeNode::AcceptQueued() {
  error_code none_left;
  acceptor_.non_blocking(true, none_left);
  while (!none_left && clients_->size() < max_clients_) {
    Tcp::socket socket = acceptor_.accept(none_left);
    if (!none_left) asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
  }
}

void EdgeNode::FinalizeOpenRequests() {
  state_.drain.RecordFinalization(steady_clock::now());
  for (const OpenRequests::Handle& request : state_.open_requests.Entries()) request->finalize();
}

// Logs the requests lost at exit, with the time of reading and their position on the connection.
void EdgeNode::LogUnanswered() {
  for (const OpenRequests::Handle& request : state_.open_requests.Entries()) {
    spdlog::warn("unanswered at exit {}",
                 LogFields(*request, steady_clock::now(), state_.drain.sigterm_at()));
    const bool excused =
        request->stage == RequestStage::kResponseBegun && state_.drain.AcceptsConnections(request->read_at);
    if (!excused) {
      state_.violations.Report(Invariant::kAnsweredBeforeExit,
                               "request_id=" + request->id + " stage=" + Name(request->stage));
    }
  }
}

}  // namespace kestrelline::data_plane
