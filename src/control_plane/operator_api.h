// SPDX-License-Identifier: Apache-2.0
//
// The operator's API: puts and gets the configuration. What the orders mean is decided by the replica.
#ifndef KESTRELLINE_CONTROL_PLANE_OPERATOR_API_H_
#define KESTRELLINE_CONTROL_PLANE_OPERATOR_API_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "control_plane/replica.h"
#include "http/api_server.h"

namespace kestrelline::control_plane {

// What the API needs of the node that it runs in.
class ControlState {
 public:
  virtual ~ControlState() = default;
  virtual bool Leads() const = 0;
  // The IP address of another member that leads now; empty if none is known.
  virtual std::string OtherLeader() const = 0;
  virtual wire::RecordPtr Committed() const = 0;
  virtual std::string Status() const = 0;
  // Who votes, and what this member knows of the leader, as JSON.
  virtual std::string Members() const = 0;
  // In the Prometheus text format.
  virtual std::string Metrics() const = 0;
  // This process is to stop, as by SIGTERM.
  virtual void RequestLeave() = 0;
  // Calls back once the order is decided, at once or later.
  virtual void Propose(Change change, std::function<void(Outcome)> decided) = 0;
};

class OperatorApi {
 public:
  OperatorApi(http::asio::io_context& io, ControlState& state, std::uint16_t control_port);

  http::Awaitable<http::ApiResponse> Handle(http::ApiRequest request);

 private:
  // Waits a little for a leader; nothing if this member leads, else the answer that sends the caller on.
  http::Awaitable<std::optional<http::ApiResponse>> RedirectUnlessLeader(std::string target);
  http::Awaitable<http::ApiResponse> ReplaceConfiguration(http::ApiRequest request);
  // Alters named items of the configuration, on the terms of ReplaceConfiguration.
  http::Awaitable<http::ApiResponse> PatchConfiguration(http::ApiRequest request);
  http::Awaitable<http::ApiResponse> GetConfiguration(std::string target);
  // The versions that were taken, the oldest first.
  http::Awaitable<http::ApiResponse> GetHistory(std::string target);
  http::Awaitable<Outcome> AwaitDecision(Change change);

  http::asio::io_context& io_;
  ControlState& state_;
  std::uint16_t control_port_;
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_OPERATOR_API_H_
