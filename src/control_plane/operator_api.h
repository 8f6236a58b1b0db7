// SPDX-License-Identifier: Apache-2.0
//
// The operator's HTTP API: reads, replaces and patches the configuration. The replica decides each change.
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

// The interface of the control node that the API uses.
class ControlState {
 public:
  virtual ~ControlState() = default;
  virtual bool Leads() const = 0;
  // The IP address of another member that leads now, or empty.
  virtual std::string OtherLeader() const = 0;
  virtual wire::RecordPtr Committed() const = 0;
  // The status of this member, as JSON.
  virtual std::string Status() const = 0;
  // The electorate and the known leader, as JSON.
  virtual std::string Members() const = 0;
  // Metrics in the Prometheus text format.
  virtual std::string Metrics() const = 0;
  // Requests that this process stops, as SIGTERM does.
  virtual void RequestLeave() = 0;
  // Proposes a change; `decided` is called with its outcome, possibly before this returns.
  virtual void Propose(Change change, std::function<void(Outcome)> decided) = 0;
};

class OperatorApi {
 public:
  OperatorApi(http::asio::io_context& io, ControlState& state, std::uint16_t control_port);

  http::Awaitable<http::ApiResponse> Handle(http::ApiRequest request);

 private:
  // Waits up to kLeaderTimeout for a leader. Empty if this member leads, else a redirect or an error
  // response.
  http::Awaitable<std::optional<http::ApiResponse>> RedirectUnlessLeader(std::string target);
  http::Awaitable<http::ApiResponse> ReplaceConfiguration(http::ApiRequest request);
  // Changes named items of the configuration; If-Match applies as in ReplaceConfiguration.
  http::Awaitable<http::ApiResponse> PatchConfiguration(http::ApiRequest request);
  http::Awaitable<http::ApiResponse> GetConfiguration(std::string target);
  // The committed versions, oldest first.
  http::Awaitable<http::ApiResponse> GetHistory(std::string target);
  http::Awaitable<Outcome> AwaitDecision(Change change);

  http::asio::io_context& io_;
  ControlState& state_;
  std::uint16_t control_port_;
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_OPERATOR_API_H_
