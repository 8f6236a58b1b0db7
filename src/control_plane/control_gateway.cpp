// SPDX-License-Identifier: Apache-2.0
#include "control_plane/control_gateway.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "http/sockets.h"
#include "json/list.h"

namespace kestrelline::control_plane {
namespace {

using namespace http;

constexpr milliseconds kMemberTimeout{250};      // for the response of one member
constexpr milliseconds kCallTimeout{900};        // callers retry elsewhere after a second
constexpr milliseconds kAnnounceInterval{1000};  // announces itself to members
constexpr milliseconds kDrainTime{250};          // for responses in progress at the end
constexpr milliseconds kExitMargin{350};         // before `grace_s` ends, as in a proxy

milliseconds Now() {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now().time_since_epoch());
}

std::vector<std::string> OtherSeeds(const node::Settings& settings) {
  std::vector<std::string> seeds = settings.SeedIps();
  std::erase(seeds, settings.ip);
  return seeds;
}

}  // namespace

ControlGateway::ControlGateway(asio::io_context& io, const node::Settings& settings)
    : io_(io),
      settings_(settings),
      control_port_(settings.control ? settings.control->port : 0),
      directory_(OtherSeeds(settings)),
      mesh_(io, settings.ip, settings.MemberEndpoint(), nullptr),
      server_(io, [this](ApiRequest request) { return Handle(std::move(request)); }),
      refresh_(io) {}

std::error_code ControlGateway::Start() {
  if (!settings_.control) return std::make_error_code(std::errc::invalid_argument);
  if (const std::error_code error = server_.Listen(*settings_.control)) return error;
  const auto on_message = [this](mesh::Connection& connection, wire::Message message) {
    OnMessage(connection, std::move(message));
  };
  if (const std::error_code error = mesh_.Listen(on_message, nullptr)) return error;
  asio::co_spawn(io_, AnnounceToMembers(), asio::detached);
  return {};
}

void ControlGateway::UpdateSeeds(const node::Settings& settings) {
  directory_.SetSeeds(OtherSeeds(settings));
}

wire::Referral ControlGateway::KnownMembers() const {
  return {{}, directory_.members(), directory_.Leader(Now()).value_or("")};
}

// Proxies get the members on their own connection. A member that looks for the others identifies itself by
// its IP address, and is answered at the members' port.
void ControlGateway::OnMessage(mesh::Connection& connection, wire::Message message) {
  if (const auto* referral = std::get_if<wire::Referral>(&message.body)) {
    return directory_.Update(Now(), {referral->members, referral->leader});
  }
  if (std::holds_alternative<wire::Subscribe>(message.body)) {
    return connection.Send(mesh_.Encode(KnownMembers()));
  }
  const bool looks_for_members = std::holds_alternative<wire::LearnRequest>(message.body) ||
                                 std::holds_alternative<wire::Hello>(message.body);
  if (looks_for_members) mesh_.Send(message.sender, mesh_.Encode(KnownMembers()));
}

void ControlGateway::Leave(std::function<void()> done) {
  if (std::exchange(leaving_, true)) return;
  server_.AnnounceClose();
  asio::co_spawn(io_, Stop(std::move(done)), asio::detached);
}

// The proxy on the same machine drains for the whole grace period, and callers arrive until the platform has
// noticed the departure. The gateway holds no state, so it has no reason to stop earlier.
Awaitable<void> ControlGateway::Stop(std::function<void()> done) {
  const auto exit_at = steady_clock::now() + settings_.bounds.grace - kExitMargin;
  answer_deadline_ = exit_at - kDrainTime;
  asio::steady_timer serving_timer(io_, answer_deadline_);
  co_await serving_timer.async_wait(kTuple);
  stopping_ = true;
  refresh_.cancel();
  co_await server_.Drain(exit_at);
  done();
}

Awaitable<ApiResponse> ControlGateway::Handle(ApiRequest request) {
  const std::string target(request.target());
  if (target == "/-/status") {
    co_return JsonResponse(bhttp::status::ok,
                           R"({"node":")" + settings_.node_name + R"(","role":"gateway"})");
  }
  if (target == "/-/members") co_return Members();
  const std::string member = co_await FindMember();
  if (member.empty()) {
    co_return ErrorResponse(bhttp::status::service_unavailable, "no member of the control plane answers");
  }
  ApiResponse response = ErrorResponse(bhttp::status::temporary_redirect, "this process is no member");
  response.set(bhttp::field::location, "http://" + member + ":" + std::to_string(control_port_) + target);
  co_return response;
}

// In the format of a member, since gateways also ask each other.
ApiResponse ControlGateway::Members() const {
  return JsonResponse(bhttp::status::ok, R"({"members":)" + json::List(directory_.members()) +
                                             R"(,"leader":")" + directory_.Leader(Now()).value_or("") +
                                             R"("})");
}

Awaitable<std::string> ControlGateway::FindMember() {
  const auto deadline = std::min(answer_deadline_, steady_clock::now() + kCallTimeout);
  while (steady_clock::now() < deadline) {
    if (const auto leader = directory_.Leader(Now())) co_return *leader;
    const std::string member = directory_.NextNode();
    if (member.empty()) break;
    const auto report = co_await AskMember(member);
    if (!report) continue;
    directory_.Update(Now(), *report);
    const auto& members = report->members;
    const bool is_member = std::find(members.begin(), members.end(), member) != members.end();
    if (is_member && report->leader.empty()) co_return member;  // it will wait for a leader itself
  }
  co_return std::string();
}

Awaitable<std::optional<MembersReport>> ControlGateway::AskMember(std::string member) {
  Request request(bhttp::verb::get, "/-/members", 11);
  request.set(bhttp::field::host, member);
  const auto deadline = std::min(answer_deadline_, steady_clock::now() + kMemberTimeout);
  const node::Endpoint endpoint{
      member, control_port_};  // named, since GCC 12 destroys such a temporary in a co_await twice
  const auto response = co_await Exchange(io_, endpoint, std::move(request), deadline);
  if (!response || response->result() != bhttp::status::ok) co_return std::nullopt;
  co_return ParseMembersReport(response->body());
}

Awaitable<void> ControlGateway::AnnounceToMembers() {
  while (!stopping_) {
    const mesh::Frame frame = mesh_.Encode(KnownMembers());
    for (const std::string& node : AnnouncementRecipients()) mesh_.Send(node, frame);
    refresh_.expires_after(kAnnounceInterval);
    co_await refresh_.async_wait(kTuple);
  }
}

// The members; and the seeds while no member reports a leader, since all members known here may be gone.
std::vector<std::string> ControlGateway::AnnouncementRecipients() const {
  std::vector<std::string> recipients = directory_.members();
  if (directory_.Leader(Now())) return recipients;
  for (const std::string& seed : directory_.seeds()) {
    if (std::find(recipients.begin(), recipients.end(), seed) == recipients.end()) recipients.push_back(seed);
  }
  return recipients;
}

}  // namespace kestrelline::control_plane
