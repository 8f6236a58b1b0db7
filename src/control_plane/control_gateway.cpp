// SPDX-License-Identifier: Apache-2.0
#include "control_plane/control_gateway.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "http/sockets.h"

namespace kestrelline::control_plane {
namespace {

using namespace http;

constexpr milliseconds kMemberPatience{250};  // for the answer of one member
constexpr milliseconds kCallPatience{900};    // callers go on elsewhere after a second
constexpr milliseconds kRefreshEvery{5000};   // members come and go
constexpr milliseconds kExitMargin{500};      // before `grace_s` is over

milliseconds Now() {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now().time_since_epoch());
}

std::vector<std::string> SeedsOf(const node::Settings& settings) {
  std::vector<std::string> seeds;
  for (const node::Endpoint& seed : settings.seeds) {
    if (seed.ip != settings.ip) seeds.push_back(seed.ip);
  }
  return seeds;
}

}  // namespace

ControlGateway::ControlGateway(asio::io_context& io, const node::Settings& settings)
    : io_(io),
      settings_(settings),
      control_port_(settings.control ? settings.control->port : 0),
      directory_(SeedsOf(settings)),
      server_(io, [this](ApiRequest request) { return Handle(std::move(request)); }),
      refresh_(io) {}

std::error_code ControlGateway::Start() {
  if (!settings_.control) return std::make_error_code(std::errc::invalid_argument);
  if (const std::error_code error = server_.Listen(*settings_.control)) return error;
  asio::co_spawn(io_, KeepDirectory(), asio::detached);
  return {};
}

void ControlGateway::Leave(std::function<void()> done) {
  if (std::exchange(stopping_, true)) return;
  refresh_.cancel();
  asio::co_spawn(io_, Stop(std::move(done)), asio::detached);
}

Awaitable<void> ControlGateway::Stop(std::function<void()> done) {
  co_await server_.Drain(steady_clock::now() + settings_.bounds.grace - kExitMargin);
  done();
}

Awaitable<ApiResponse> ControlGateway::Handle(ApiRequest request) {
  const std::string target(request.target());
  if (target == "/-/status") {
    co_return JsonResponse(bhttp::status::ok,
                           R"({"node":")" + settings_.node_name + R"(","role":"gateway"})");
  }
  const std::string member = co_await FindMember();
  if (member.empty()) {
    co_return ErrorResponse(bhttp::status::service_unavailable, "no member of the control plane answers");
  }
  ApiResponse response = ErrorResponse(bhttp::status::temporary_redirect, "this process is no member");
  response.set(bhttp::field::location, "http://" + member + ":" + std::to_string(control_port_) + target);
  co_return response;
}

Awaitable<std::string> ControlGateway::FindMember() {
  const auto until = steady_clock::now() + kCallPatience;
  while (steady_clock::now() < until) {
    if (const auto leader = directory_.Leader(Now())) co_return *leader;
    const std::string member = directory_.NextToAsk();
    if (member.empty()) break;
    const auto report = co_await AskMember(member);
    if (!report) continue;
    directory_.Take(Now(), *report);
    if (report->leader.empty()) co_return member;  // it waits for a leader itself
  }
  co_return std::string();
}

Awaitable<std::optional<MembersReport>> ControlGateway::AskMember(std::string member) {
  Request request(bhttp::verb::get, "/-/members", 11);
  request.set(bhttp::field::host, member);
  const auto until = steady_clock::now() + kMemberPatience;
  const node::Endpoint place{member, control_port_};  // GCC 12 frees such a temporary of a co_await twice
  const auto response = co_await Exchange(io_, place, std::move(request), until);
  if (!response || response->result() != bhttp::status::ok) co_return std::nullopt;
  co_return ParseMembersReport(response->body());
}

Awaitable<void> ControlGateway::KeepDirectory() {
  while (!stopping_) {
    refresh_.expires_after(kRefreshEvery);
    co_await refresh_.async_wait(kTuple);
    if (stopping_) co_return;
    const std::string member = directory_.NextToAsk();
    if (member.empty()) continue;
    if (const auto report = co_await AskMember(member)) directory_.Take(Now(), *report);
  }
}

}  // namespace kestrelline::control_plane
