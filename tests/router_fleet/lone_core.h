// SPDX-License-Identifier: Apache-2.0
//
// A single control plane process with its own settings. The other members named in them never run.
#ifndef KESTRELLINE_TESTS_ROUTER_FLEET_LONE_CORE_H_
#define KESTRELLINE_TESTS_ROUTER_FLEET_LONE_CORE_H_

#include <string>

#include "router_fleet/fleet_fixture.h"

namespace kestrelline::router_fleet {

class LoneCore {
 public:
  // `absent`: number of further founders that never answer.
  LoneCore(int grace_s, int absent) {
    network_ =
        "127." + std::to_string(20 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".";
    const std::string data = folder_ / "data";
    std::filesystem::create_directories(data);
    folder_.Write("core.toml", Settings(grace_s, absent, data));
    process_ = std::make_unique<Process>("core", folder_ / "core.toml", folder_ / "log");
  }

  std::string Ip() const { return network_ + "240"; }
  Process& process() { return *process_; }
  std::string Log() const { return folder_.Read("log"); }
  Answer Status() const {
    return Ask(Ip(), Fleet::kControl, "GET /-/status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  }

 private:
  std::string Settings(int grace_s, int absent, const std::string& data) const {
    const std::string port = ":" + std::to_string(Fleet::kControl);
    std::string seeds = "\"" + Ip() + port + "\"";
    for (int i = 1; i <= absent; ++i) seeds += ",\"" + network_ + std::to_string(240 + i) + port + "\"";
    return "node_name = \"lone\"\nip = \"" + Ip() + "\"\nzone = \"a\"\nephemeral_ports = [" +
           std::to_string(Fleet::kInternal) + "," + std::to_string(Fleet::kInternal + 9) + "]\nseeds = [" +
           seeds + "]\nbootstrap = true\ncounts_for_quorum = true\ndata_dir = \"" + data +
           "\"\n[listen]\ncontrol = \"" + Ip() + port + "\"\n[limits]\nmax_fds = 1000\n[fault_tolerance]\n" +
           "machines = " + std::to_string(absent / 2) + "\n[bounds]\ngrace_s = " + std::to_string(grace_s) +
           "\nlease_ms = 300\n";
  }

  std::string network_;
  testing::TemporaryFolder folder_;
  std::unique_ptr<Process> process_;
};

}  // namespace kestrelline::router_fleet

#endif  // KESTRELLINE_TESTS_ROUTER_FLEET_LONE_CORE_H_
