// SPDX-License-Identifier: Apache-2.0
#include "fleet_main/operator_client.h"

#include <array>
#include <string_view>

#include "http/asio.h"
#include "http/sockets.h"
#include "json/owned.h"
#include "node/settings.h"

namespace kestrelline::fleet_main {
namespace {

using namespace http;

constexpr milliseconds kRequestTimeout{5000};
constexpr int kMaxRedirects = 2;
constexpr int kFailure = 1;
constexpr int kUsage = 2;

struct CommandTarget {
  std::string_view name;
  MemberCommand command;
  std::string_view target;
};
constexpr std::array<CommandTarget, 5> kCommands = {{
    {"members", MemberCommand::kMembers, "/-/members"},
    {"leader", MemberCommand::kLeader, "/-/members"},
    {"history", MemberCommand::kHistory, "/-/history"},
    {"config-show", MemberCommand::kConfiguration, "/-/config"},
    {"leave", MemberCommand::kLeave, "/-/leave"},
}};

std::string_view TargetOf(MemberCommand command) {
  for (const CommandTarget& known : kCommands) {
    if (known.command == command) return known.target;
  }
  return "/-/status";
}

Request RequestFor(const node::Endpoint& endpoint, MemberCommand command) {
  const bhttp::verb verb = command == MemberCommand::kLeave ? bhttp::verb::post : bhttp::verb::get;
  Request request(verb, std::string(TargetOf(command)), 11);
  request.set(bhttp::field::host, endpoint.ip);
  return request;
}

std::optional<Response> SendRequest(const node::Endpoint& endpoint, MemberCommand command) {
  asio::io_context io(1);
  std::optional<Response> response;
  const auto exchange = [&]() -> Awaitable<void> {
    response =
        co_await Exchange(io, endpoint, RequestFor(endpoint, command), steady_clock::now() + kRequestTimeout);
  };
  asio::co_spawn(io, exchange(), asio::detached);
  io.run();
  return response;
}

// Parses the Location of a redirect: `http://IP:PORT/path`.
std::optional<node::Endpoint> ParseLocation(std::string_view location) {
  constexpr std::string_view kScheme = "http://";
  if (!location.starts_with(kScheme)) return std::nullopt;
  location.remove_prefix(kScheme.size());
  return node::ParseEndpoint(std::string(location.substr(0, location.find('/'))));
}

void PrintList(const json_t* list, std::ostream& out) {
  std::size_t index = 0;
  const json_t* item = nullptr;
  json_array_foreach(list, index, item) {
    if (json_is_string(item)) out << json_string_value(item) << '\n';
    if (json_is_integer(item)) out << json_integer_value(item) << '\n';
  }
}

void Print(MemberCommand command, const std::string& body, std::ostream& out) {
  const json::Owned root = json::Load(body);
  switch (command) {
    case MemberCommand::kMembers:
      return PrintList(json_object_get(root.get(), "members"), out);
    case MemberCommand::kHistory:
      return PrintList(json_object_get(root.get(), "versions"), out);
    case MemberCommand::kLeader: {
      const json_t* leader = json_object_get(root.get(), "leader");
      const std::string name = json_is_string(leader) ? json_string_value(leader) : "";
      out << (name.empty() ? "none is known" : name) << '\n';
      return;
    }
    case MemberCommand::kConfiguration:
    case MemberCommand::kLeave:
      out << body << '\n';
      return;
  }
}

}  // namespace

std::optional<MemberCommand> ParseMemberCommand(const std::string& name) {
  for (const CommandTarget& known : kCommands) {
    if (known.name == name) return known.command;
  }
  return std::nullopt;
}

int RunMemberCommand(MemberCommand command, const std::string& address, bool json, std::ostream& out,
                     std::ostream& errors) {
  auto endpoint = node::ParseEndpoint(address);
  if (!endpoint) {
    errors << "no address of a member: IP:PORT of its control interface\n";
    return kUsage;
  }
  std::optional<Response> response;
  for (int redirects = 0; endpoint && redirects <= kMaxRedirects; ++redirects) {
    response = SendRequest(*endpoint, command);
    if (!response || response->result() != bhttp::status::temporary_redirect) break;
    endpoint = ParseLocation(std::string_view((*response)[bhttp::field::location]));
  }
  if (!response) {
    errors << address << " does not answer\n";
    return kFailure;
  }
  if (response->result_int() / 100 != 2) {
    errors << response->result_int() << ' ' << response->body() << '\n';
    return kFailure;
  }
  if (json) {
    out << response->body() << '\n';
  } else {
    Print(command, response->body(), out);
  }
  return 0;
}

}  // namespace kestrelline::fleet_main
