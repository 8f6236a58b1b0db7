// SPDX-License-Identifier: Apache-2.0
//
// A control process on a machine without a disk: it can't be a member, so it sends whoever calls it on,
// callers of the operator's API to the leader, proxies and members that start to the members. Seeds may name
// it. It makes itself known to the members, which tell it who they are; it holds no other state.
#ifndef KESTRELLINE_CONTROL_PLANE_CONTROL_GATEWAY_H_
#define KESTRELLINE_CONTROL_PLANE_CONTROL_GATEWAY_H_

#include <functional>
#include <optional>
#include <string>
#include <system_error>

#include "control_plane/member_directory.h"
#include "http/api_server.h"
#include "mesh/mesh.h"
#include "node/settings.h"

namespace kestrelline::control_plane {

class ControlGateway {
 public:
  ControlGateway(http::asio::io_context& io, const node::Settings& settings);

  std::error_code Start();
  // Sends callers on until the grace is nearly over, answers what was read, and calls `done`.
  void Leave(std::function<void()> done);

 private:
  void OnMessage(mesh::Connection& connection, wire::Message message);
  wire::Referral KnownMembers() const;
  http::Awaitable<http::ApiResponse> Handle(http::ApiRequest request);
  http::ApiResponse Members() const;
  // A member to send callers to: the leader where one is known. Empty: no member answers.
  http::Awaitable<std::string> FindMember();
  http::Awaitable<std::optional<MembersReport>> AskMember(std::string member);
  http::Awaitable<void> AnnounceToMembers();
  http::Awaitable<void> Stop(std::function<void()> done);

  http::asio::io_context& io_;
  const node::Settings settings_;
  const std::uint16_t control_port_;
  MemberDirectory directory_;
  mesh::Mesh mesh_;
  http::ApiServer server_;
  http::asio::steady_timer refresh_;
  bool leaving_ = false;   // SIGTERM came
  bool stopping_ = false;  // and the grace is nearly over
  http::steady_clock::time_point answer_deadline_ = http::steady_clock::time_point::max();
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_CONTROL_GATEWAY_H_
