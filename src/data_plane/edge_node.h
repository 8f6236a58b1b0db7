// SPDX-License-Identifier: Apache-2.0
//
// A process of the data plane: takes clients' connections, follows the control plane, says whether it is
// ready.
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
  // Shared with the connections, which may outlive the node when the process ends.
  using Clients = std::shared_ptr<std::set<ClientConnection*>>;
  static constexpr std::size_t kFilesKeptBack = 256;  // of the descriptors, for all but clients and backends

  EdgeNode(http::asio::io_context& io, const node::Settings& settings, std::uint64_t seed);

  std::error_code Start();
  // Not ready from now on; `done` is called once all that was read is answered, or the time for it is over.
  void Drain(std::function<void()> done);

 private:
  http::Awaitable<http::ApiResponse> Readiness(http::ApiRequest request);
  Awaitable<void> Accept();
  bool CloseLongestIdle();
  Awaitable<void> Serve(http::Tcp::socket socket);
  void ScheduleTick();
  void ReportLoads();
  void TickDrain();
  void AcceptQueued();
  void ConcludeOpenRequests();
  void LogUnanswered();
  // `composed_after`: a time after which the sender composed it, by the own clock; nothing if that is
  // unknown.
  void Take(const wire::Publication& publication, std::optional<steady_clock::time_point> composed_after);
  void TakeConfiguration(const wire::Publication& publication);
  void OnChild(mesh::Connection& connection, wire::Message message);
  distribution::Published CurrentlyPublished();
  void PassOn();
  Awaitable<void> ReadListIfForgotten();
  bool Ready() const;

  http::asio::io_context& io_;
  const node::Settings settings_;
  EdgeState state_;
  const std::shared_ptr<mesh::Traffic> traffic_ = std::make_shared<mesh::Traffic>();
  Subscriber subscriber_;
  mesh::Mesh mesh_;
  distribution::Publisher publisher_;  // to proxies that found no room at a member
  distribution::LoadBoard children_;
  http::ApiServer ready_server_;
  http::Tcp::acceptor acceptor_;
  discovery::ListReader reader_;
  http::asio::steady_timer tick_;
  const Clients clients_ = std::make_shared<std::set<ClientConnection*>>();
  std::size_t most_clients_ = 0;

  steady_clock::time_point started_;
  steady_clock::time_point last_tick_ = steady_clock::now();
  steady_clock::time_point tick_before_last_ = last_tick_;
  ConfigurationFollower configuration_;
  wire::Publication told_;                              // the latest, without its contents
  std::optional<steady_clock::time_point> told_after_;  // when it can have been composed at the earliest
  ListSource list_;
  steady_clock::time_point next_own_reading_{};
  std::vector<wire::BackendLoad> reported_loads_;
  steady_clock::time_point next_load_report_{};  // though nothing changed
  steady_clock::time_point may_report_loads_{};
  distribution::LoadMirror told_loads_;
  bool reading_ = false;
  bool know_backends_ = false;

  std::function<void()> drained_;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_EDGE_NODE_H_
