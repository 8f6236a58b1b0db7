// SPDX-License-Identifier: Apache-2.0
//
// A control process on a machine without a disk. It cannot be a member, so it redirects callers of the
// operator's API to the leader, and refers proxies and starting members to the members. Seeds may name it. It
// announces itself to the members, which send it the current members; it holds no other state.
#ifndef KESTRELLINE_CONTROL_PLANE_CONTROL_GATEWAY_H_
#define KESTRELLINE_CONTROL_PLANE_CONTROL_GATEWAY_H_

#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "control_plane/member_directory.h"
#include "http/api_server.h"
#include "mesh/mesh.h"
#include "node/settings.h"

namespace kestrelline::control_plane {

class ControlGateway {
 public:
  ControlGateway(http::asio::io_context& io, const node::Settings& settings);

  std::error_code Start();
  // Takes over the seeds of changed settings. All other settings apply from the next start on.
  void UpdateSeeds(const node::Settings& settings);
  // Keeps redirecting until the grace period is nearly over, answers the requests that were read, then calls
  // `done`.
  void Leave(std::function<void()> done);

 private:
  void OnMessage(mesh::Connection& connection, wire::Message message);
  wire::Referral KnownMembers() const;
  http::Awaitable<http::ApiResponse> Handle(http::ApiRequest request);
  http::ApiResponse Members() const;
  // A member to redirect callers to, preferably the leader; empty if no member answers.
  http::Awaitable<std::string> FindMember();
  http::Awaitable<std::optional<MembersReport>> AskMember(std::string member);
  http::Awaitable<void> AnnounceToMembers();
  std::vector<std::string> AnnouncementRecipients() const;
  http::Awaitable<void> Stop(std::function<void()> done);

  http::asio::io_context& io_;
  const node::Settings settings_;
  const std::uint16_t control_port_;
  MemberDirectory directory_;
  mesh::Mesh mesh_;
  http::ApiServer server_;
  http::asio::steady_timer refresh_;
  bool leaving_ = false;   // Leave was called
  bool stopping_ = false;  // the grace period is nearly over
  http::steady_clock::time_point answer_deadline_ = http::steady_clock::time_point::max();
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_CONTROL_GATEWAY_H_
