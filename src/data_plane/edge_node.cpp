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

constexpr milliseconds kTick{50};
constexpr milliseconds kRepeatLoadsEvery{500};  // where they don't change
// What a proxy may send of its work, and more for each that it passes on for; bytes a second.
constexpr double kReportBytesPerSecond = 10000;
constexpr double kChildReportBytesPerSecond = 2000;
constexpr milliseconds kListTooOld{1800};
constexpr milliseconds kBetweenOwnReadings{1000};

// How long the budget of bytes is used up by a report.
milliseconds TimeToSend(const wire::LoadReport& report) {
  const double bytes = distribution::LoadFeed::kMessageBytes +
                       distribution::LoadFeed::kLoadBytes * static_cast<double>(report.loads.size());
  const double children = std::max(1u, report.proxies) - 1.0;
  const double budget = kReportBytesPerSecond + kChildReportBytesPerSecond * children;
  return std::min(kRepeatLoadsEvery, milliseconds(static_cast<int>(1000 * bytes / budget)));
}

// A client is on the list for as long as its connection is served, however that ends.
class ListedClient {
 public:
  ListedClient(EdgeNode::Clients clients, ClientConnection& client)
      : clients_(std::move(clients)), client_(client) {
    clients_->insert(&client_);
  }
  ~ListedClient() { clients_->erase(&client_); }
  ListedClient(const ListedClient&) = delete;
  ListedClient& operator=(const ListedClient&) = delete;

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
            return Subscriber::Have{configuration_.told_version(), list_.told_revision()};
          },
          [this](const wire::Publication& publication,
                 std::optional<steady_clock::time_point> composed_after) {
            Take(publication, composed_after);
          },
          [this](const wire::LoadSummary& summary) {
            state_.backends.TakeLoads(summary, DecisionTime());
            told_loads_.Take(summary);
            publisher_.SendToAll(summary);
          },
          traffic_),
      mesh_(io, node::ToText(settings.RelayEndpoint()), settings.RelayEndpoint(), traffic_),
      publisher_(mesh_, settings.most_subscribers),
      ready_server_(io, [this](ApiRequest request) { return Readiness(std::move(request)); }),
      acceptor_(io),
      reader_(io, settings.cloud.value_or(node::Endpoint{})),
      tick_(io),
      started_(steady_clock::now()) {
  const auto files = static_cast<std::size_t>(std::max<std::int64_t>(settings.limits.max_fds, 512));
  most_clients_ = (files - kFilesKeptBack) / 2;
}

std::error_code EdgeNode::Start() {
  if (settings_.ready) {
    if (const std::error_code error = ready_server_.Listen(*settings_.ready)) return error;
  }
  if (!settings_.front) return std::make_error_code(std::errc::invalid_argument);
  if (const std::error_code error = OpenAcceptor(acceptor_, *settings_.front)) return error;
  const auto on_child = [this](mesh::Connection& connection, wire::Message message) {
    OnChild(connection, std::move(message));
  };
  const auto on_closed = [this](mesh::Connection& connection) { publisher_.Forget(connection); };
  if (const std::error_code error = mesh_.Listen(on_child, on_closed)) return error;
  asio::co_spawn(io_, Accept(), asio::detached);
  subscriber_.Start();
  ScheduleTick();
  return {};
}

bool EdgeNode::Ready() const { return !state_.drain.begun() && state_.routes && know_backends_; }

Awaitable<ApiResponse> EdgeNode::Readiness(ApiRequest request) {
  if (request.target() == "/-/invariants") {
    co_return JsonResponse(bhttp::status::ok, state_.violations.Json());
  }
  if (request.target() == "/-/metrics") co_return MetricsResponse(traffic_->MetricsText());
  if (request.target() != "/-/readyz") co_return ErrorResponse(bhttp::status::not_found, "no such resource");
  if (Ready()) co_return JsonResponse(bhttp::status::ok, "{\"ready\":true}");
  co_return JsonResponse(bhttp::status::service_unavailable, "{\"ready\":false}");
}

Awaitable<void> EdgeNode::Accept() {
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(kTuple);
    if (error) {
      if (!acceptor_.is_open()) co_return;
      asio::steady_timer pause(io_, milliseconds(20));  // out of descriptors, perhaps
      co_await pause.async_wait(kTuple);
      continue;
    }
    if (clients_->size() >= most_clients_ && !CloseLongestIdle()) continue;
    asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
  }
}

// Makes room for a new connection; false if all that are open have a request under way.
bool EdgeNode::CloseLongestIdle() {
  ClientConnection* longest = nullptr;
  for (ClientConnection* client : *clients_) {
    const auto since = client->idle_since();
    if (since && (longest == nullptr || *since < *longest->idle_since())) longest = client;
  }
  if (longest == nullptr) return false;
  longest->CloseIfIdle();
  return true;
}

Awaitable<void> EdgeNode::Serve(Tcp::socket socket) {
  ClientConnection client(std::move(socket));
  const ListedClient listed(clients_, client);
  while (true) {
    const configuration::Limits limits =
        state_.routes ? state_.routes->configuration().limits : configuration::Limits{};
    const auto result = co_await client.ReadRequest(limits);
    if (result.end == ClientConnection::ReadEnd::kClosed) break;
    if (result.end == ClientConnection::ReadEnd::kMalformed) {
      client.set_last(true);
      const auto status = static_cast<unsigned>(result.status);
      std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
      head += std::string_view(bhttp::obsolete_reason(result.status));
      co_await client.WriteWhole(head + "\r\n", "");
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
    if (client.last()) break;
  }
  co_await client.CloseGracefully();
}

void EdgeNode::ScheduleTick() {
  tick_.expires_after(kTick);
  tick_.async_wait([this](const error_code& cancelled) {
    if (cancelled) return;
    tick_before_last_ = std::exchange(last_tick_, steady_clock::now());
    state_.backends.Tick(DecisionTime());
    state_.pool.Tick();
    state_.open_requests.Tick();
    subscriber_.Tick();
    ReportLoads();
    if (state_.drain.begun()) TickDrain();
    const auto now = steady_clock::now();
    if (settings_.cloud && !reading_ && now - std::max(list_.read_at(), started_) > kListTooOld &&
        now >= next_own_reading_) {
      reading_ = true;
      asio::co_spawn(io_, ReadListIfForgotten(), asio::detached);
    }
    ScheduleTick();
  });
}

// Its own work, and that of the proxies which this one passes on to.
void EdgeNode::ReportLoads() {
  const auto now = steady_clock::now();
  if (now < may_report_loads_) return;
  const auto now_ms = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
  children_.ReportFromMember(now_ms, settings_.ip,
                             {state_.backends.ReportLoads(), state_.demand.Demands(DecisionTime(now)), 1});
  children_.Forget(now_ms);
  wire::LoadReport report = children_.Everywhere();
  if (report.loads == reported_loads_ && now < next_load_report_) return;
  next_load_report_ = now + kRepeatLoadsEvery;
  may_report_loads_ = now + TimeToSend(report);
  subscriber_.Report(report);
  reported_loads_ = std::move(report.loads);
}

void EdgeNode::OnChild(mesh::Connection& connection, wire::Message message) {
  if (const auto* subscribe = std::get_if<wire::Subscribe>(&message.body)) {
    if (publisher_.Subscribe(connection, message.sender, *subscribe, CurrentlyPublished()))
      connection.Send(mesh_.Encode(told_loads_.Whole()));
  } else if (const auto* probe = std::get_if<wire::Probe>(&message.body)) {
    publisher_.NoteProbe(connection, *probe);
  } else if (auto* report = std::get_if<wire::LoadReport>(&message.body)) {
    const auto now = std::chrono::duration_cast<milliseconds>(steady_clock::now().time_since_epoch());
    children_.ReportFromProxy(now, message.sender, std::move(*report));
  }
}

distribution::Published EdgeNode::CurrentlyPublished() {
  const auto since = std::chrono::duration_cast<milliseconds>(
      steady_clock::now() - told_after_.value_or(steady_clock::time_point()));
  distribution::Published published;
  published.version = configuration_.version_in_force();
  if (published.version > 0) published.configuration = [this] { return configuration_.Text(); };
  published.configurations = &configuration_.history();
  if (told_.certain && told_after_) published.age = milliseconds(told_.age_ms) + since;
  published.instances = list_.told();
  published.lists = &list_.history();
  published.instances_age = milliseconds(told_.instances_age_ms) + since;
  published.proxies = told_.proxies;
  published.control_peers = told_.control_peers;
  published.hops = told_.hops + 1;
  return published;
}

// To the proxies that found no room at a member. Far from the members nothing is passed on: a ring of proxies
// that tell each other old news would count its hops up to this.
void EdgeNode::PassOn() {
  constexpr std::uint32_t kMostHops = 8;
  if (told_.hops < kMostHops) publisher_.Publish(CurrentlyPublished());
}

// Nobody passes the list on: this proxy reads it itself, at times that differ from other proxies'.
Awaitable<void> EdgeNode::ReadListIfForgotten() {
  const auto spread = milliseconds(static_cast<std::int64_t>(state_.random.Below(400)));
  next_own_reading_ = steady_clock::now() + kBetweenOwnReadings + spread;
  auto instances = co_await reader_.Read();
  reading_ = false;
  if (!instances) co_return;
  wire::InstanceList list;
  list.instances = std::move(*instances);
  state_.backends.Update(list);
  know_backends_ = true;
  list_.TakeOwnReading(steady_clock::now());
}

void EdgeNode::Take(const wire::Publication& publication,
                    std::optional<steady_clock::time_point> composed_after) {
  told_ = publication;
  told_.configuration.clear();
  told_.configuration_patches.clear();
  told_.instances = nullptr;
  told_.list_changes.reset();
  told_after_ = composed_after;
  if (publication.proxies > 0)
    state_.budget.set_proxies(static_cast<int>(publication.proxies), DecisionTime());
  TakeConfiguration(publication);
  if (const auto list = list_.Take(publication, composed_after)) {
    state_.backends.Update(*list);
    know_backends_ = true;
  }
  const bool lacks_list = list_.TakeLacksBase();
  if (configuration_.lacks_base() || lacks_list) return subscriber_.Renew();
  PassOn();
}

void EdgeNode::TakeConfiguration(const wire::Publication& publication) {
  const auto next = configuration_.Take(publication, subscriber_.fresh());
  if (!configuration_.error().empty()) {
    spdlog::error("configuration version={} refused: {}", publication.version, configuration_.error());
  }
  if (!next) return;
  state_.routes = std::make_shared<const configuration::RouteTable>(next);
  spdlog::info("configuration version={} routes={}", next->version, next->routes.size());
}

void EdgeNode::Drain(std::function<void()> done) {
  if (state_.drain.begun()) return;
  state_.drain.Begin(tick_before_last_);  // the signal came after that, however late it is noticed
  drained_ = std::move(done);
  spdlog::info("draining connections={} open_requests={}", clients_->size(),
               state_.open_requests.Entries().size());
}

void EdgeNode::TickDrain() {
  const auto now = steady_clock::now();
  if (state_.drain.ServesOn(now)) return;
  if (acceptor_.is_open()) {
    AcceptQueued();
    acceptor_.close();
    return;  // those that were accepted begin to be served before this process may end
  }
  for (ClientConnection* client : std::set<ClientConnection*>(*clients_)) client->CloseIfIdle();
  if (state_.drain.Concludes(now)) ConcludeOpenRequests();
  if ((!clients_->empty() && !state_.drain.Exits(now)) || !drained_) return;
  LogUnanswered();
  spdlog::info("drained requests={} answered={} refused={} failed={} cut={} unanswered={} violations={}",
               state_.counters.requests, state_.counters.answered, state_.counters.refused,
               state_.counters.failed, state_.counters.cut, state_.open_requests.Entries().size(),
               state_.violations.total());
  std::exchange(drained_, nullptr)();
}

// The connections that the kernel has taken and this process has not: their clients have sent their requests.
void EdgeNode::AcceptQueued() {
  error_code none_left;
  acceptor_.non_blocking(true, none_left);
  while (!none_left && clients_->size() < most_clients_) {
    Tcp::socket socket = acceptor_.accept(none_left);
    if (!none_left) asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
  }
}

void EdgeNode::ConcludeOpenRequests() {
  state_.drain.NoteConclusion(steady_clock::now());
  for (const OpenRequests::Handle& request : state_.open_requests.Entries()) request->conclude();
}

// What the end of this process takes from clients: when each such request was read, and on which connection.
void EdgeNode::LogUnanswered() {
  for (const OpenRequests::Handle& request : state_.open_requests.Entries()) {
    spdlog::warn("unanswered at exit {}", LogFields(*request, steady_clock::now(), state_.drain.began()));
    const bool may_outlast =
        request->stage == RequestStage::kAnswerBegun && state_.drain.ServesOn(request->read_at);
    if (!may_outlast) {
      state_.violations.Report(Invariant::kAnsweredBeforeExit,
                               "request_id=" + request->id + " stage=" + Name(request->stage));
    }
  }
}

}  // namespace kestrelline::data_plane
