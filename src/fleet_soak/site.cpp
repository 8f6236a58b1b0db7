// SPDX-License-Identifier: Apache-2.0
#include "fleet_soak/site.h"

#include <utility>

namespace kestrelline::fleet_soak {
namespace {

constexpr int kNetworks = 200;  // 127.20.x to 127.219.x
constexpr int kFirstNetwork = 20;
constexpr int kSubnets = 250;
constexpr int kMillisecondsPerSecond = 1000;

std::string Text(const node::Endpoint& endpoint) { return endpoint.ip + ":" + std::to_string(endpoint.port); }

std::string Line(const std::string& key, const node::Endpoint& endpoint) {
  return key + " = \"" + Text(endpoint) + "\"\n";
}

std::string Route(const std::string& name, const std::string& path, const std::string& type,
                  const std::string& service, const std::string& rest) {
  return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path_prefix\":\"" + path + "\",\"type\":\"" +
         type + "\",\"cluster\":\"" + service + "\"," + rest + "}";
}

}  // namespace

Site::Site(Sizes sizes, Rules rules, int number) : sizes_(sizes), rules_(rules) {
  network_ = "127." + std::to_string(kFirstNetwork + number % kNetworks) + "." +
             std::to_string(number / kNetworks % kSubnets) + ".";
}

std::string Site::CommonSettings(const std::string& name, const std::string& ip, bool bootstrap) const {
  std::string seeds;
  for (int i = 0; i < sizes_.cores; ++i) seeds += (i ? ",\"" : "\"") + Text(Control(i)) + "\"";
  return "node_name = \"" + name + "\"\nip = \"" + ip + "\"\nzone = \"a\"\nephemeral_ports = [" +
         std::to_string(kInternal) + "," + std::to_string(kInternal + 9) + "]\nseeds = [" + seeds +
         "]\nbootstrap = " + (bootstrap ? "true" : "false") + "\n";
}

std::string Site::RestOfSettings() const {
  return "[limits]\nmax_fds = 1000\n[fault_tolerance]\nmachines = " + std::to_string(sizes_.tolerance()) +
         "\n[bounds]\ngrace_s = " + std::to_string(rules_.grace.count() / kMillisecondsPerSecond) +
         "\nloss_slack_ms = " + std::to_string(rules_.loss_slack.count()) +
         "\nmin_retries = 200\nlease_ms = 300\n" + "[cloud]\n" + Line("address", Platform()) +
         "rate_per_s = 50\n";
}

std::string Site::CoreSettings(int core, bool bootstrap, const std::string& data) const {
  return CommonSettings("core" + std::to_string(core), Control(core).ip, bootstrap) +
         "counts_for_quorum = true\ndata_dir = \"" + data + "\"\n[listen]\n" +
         Line("control", Control(core)) + RestOfSettings();
}

std::string Site::EdgeSettings(int edge) const {
  return CommonSettings("edge" + std::to_string(edge), Front(edge).ip, false) +
         "counts_for_quorum = false\n[listen]\n" + Line("front", Front(edge)) + Line("ready", Ready(edge)) +
         RestOfSettings();
}

std::string Site::GatewaySettings(int edge) const {
  return CommonSettings("gateway" + std::to_string(edge), Gateway(edge).ip, false) +
         "counts_for_quorum = false\n[listen]\n" + Line("control", Gateway(edge)) + RestOfSettings();
}

std::string Site::Configuration(std::uint64_t version, int salt) const {
  const std::string times = "\"timeout_ms\":" + std::to_string(rules_.route_timeout.count() + salt % 1000) +
                            ",\"target_latency_ms\":" + std::to_string(500 + salt) + ",";
  const std::string tries = times + "\"max_attempts\":" + std::to_string(rules_.max_attempts);
  const std::string stream = tries + ",\"gap_aim_ms\":300,\"resumable\":";
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
         Route("stream", PathOf(Kind::kStream), "streaming", "llm", stream + "false") + "," +
         Route("resumable", PathOf(Kind::kResumable), "streaming", "llm", stream + "true") + "," +
         Route("unsafe", PathOf(Kind::kUnsafe), "unsafe", "app", times + "\"max_attempts\":1") + "," +
         Route("safe", PathOf(Kind::kSafe), "safe", "app", tries) + "," +
         Route("version", PathOfVersion(version), "safe", "app", tries) +
         "],\"services\":[{\"name\":\"llm\",\"max_connections\":50,\"engine\":{\"slots\":16,\"switch_s\":1}},"
         "{\"name\":\"app\",\"max_connections\":50}]}";
}

const char* PathOf(Kind kind) {
  switch (kind) {
    case Kind::kUnsafe:
      return "/unsafe/";
    case Kind::kSafe:
      return "/safe/";
    case Kind::kStream:
      return "/stream/";
    case Kind::kResumable:
      break;
  }
  return "/resumable/";
}

}  // namespace kestrelline::fleet_soak
