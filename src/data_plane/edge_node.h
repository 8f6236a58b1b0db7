// SPDX-License-Identifier: Apache-2.0
//
// The data plane process: accepts client connections, follows the control plane, and reports its readiness.
#ifndef KESTRELLINE_DATA_PLANE_EDGE_NODE_H_
#define KESTRELLINE_DATA_PLANE_EDGE_NODE_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <system_error>

#include "data_plane/client_connection.h"
#include "data_plane/configuration_follower.h"
#include "data_plane/edge_state.h"
#include "data_plane/list_source.h"
#include "data_plane/subscriber.h"
#include "discovery/list_reader.h"
#include "distribution/load_board.h"
#include "distribution/load_feed.h"
#include "distribution/load_mirror.h"
#include "distribution/publisher.h"
#include "http/api_server.h"
#include "node/settings.h"

namespace kestrelline::data_plane {

class EdgeNode {
 public:
  // Shared with the connection coroutines, which may outlive the node at process exit.
  using Clients = std::shared_ptr<std::set<ClientConnection*>>;
  // File descriptors reserved for everything but clients and backends.
  static constexpr std::size_t kReservedDescriptors = 256;

  EdgeNode(http::asio::io_context& io, const node::Settings& settings, std::uint64_t seed);

  std::error_code Start();
  // Takes over the seeds of changed settings. All other settings apply from the next start on.
  void UpdateSeeds(const node::Settings& settings) { subscriber_.SetSeeds(settings.SeedIps()); }
  // Starts to drain: not ready from now on. Calls `done` when all requests read are answered or the grace
  // period is over.
  void Drain(std::function<void()> done);

 private:
  http::Awaitable<http::ApiResponse> Readiness(http::ApiRequest request);
  Awaitable<void> Accept();
  bool CloseLongestIdle();
  Awaitable<void> Serve(http::Tcp::socket socket);
  void ScheduleTick();
  void ReportLoads();
  // A time before which SIGTERM cannot have arrived, when it is noticed now.
  steady_clock::time_point EarliestSigterm() const;
  void TickDrain();
  void AcceptQueued();
  void FinalizeOpenRequests();
  void LogUnanswered();
  // `composed_after` is a local time after which the sender composed the publication; empty if unknown.
  void HandlePublication(const wire::Publication& publication,
                         std::optional<steady_clock::time_point> composed_after);
  void ApplyConfiguration(const wire::Publication& publication);
  void OnChildMessage(mesh::Connection& connection, wire::Message message);
  distribution::PublishedState CurrentlyPublished();
  void RelayPublication();
  Awaitable<void> ReadListDirectly();
  bool Ready() const;

  http::asio::io_context& io_;
  const node::Settings settings_;
  EdgeState state_;
  const std::shared_ptr<mesh::Traffic> traffic_ = std::make_shared<mesh::Traffic>();
  Subscriber subscriber_;
  mesh::Mesh mesh_;
  distribution::Publisher publisher_;  // to proxies that were referred here by members at capacity
  distribution::LoadBoard children_;
  http::ApiServer ready_server_;
  http::Tcp::acceptor acceptor_;
  discovery::ListReader reader_;
  http::asio::steady_timer tick_;
  const Clients clients_ = std::make_shared<std::set<ClientConnection*>>();
  std::size_t max_clients_ = 0;

  steady_clock::time_point started_;
  steady_clock::time_point last_tick_ = steady_clock::now();
  steady_clock::time_point tick_before_last_ = last_tick_;
  ConfigurationFollower configuration_;
  wire::Publication last_publication_;                           // without its contents
  std::optional<steady_clock::time_point> last_composed_after_;  // earliest time at which it was composed
  ListSource list_;
  steady_clock::time_point next_direct_read_at_{};
  std::vector<wire::BackendLoad> reported_loads_;
  steady_clock::time_point load_report_due_at_{};  // due even if nothing changed
  steady_clock::time_point load_report_allowed_at_{};
  distribution::LoadMirror load_mirror_;
  bool reading_list_ = false;
  bool backends_known_ = false;

  std::function<void()> drained_;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_EDGE_NODE_H_
