// SPDX-License-Identifier: Apache-2.0
#include "app/plugins.h"

#include <filesystem>
#include <system_error>

namespace kestrelline::app {

std::string DefaultPluginWorker() {
  std::error_code failed;
  const auto executable = std::filesystem::read_symlink("/proc/self/exe", failed);
  return (failed ? std::filesystem::path() : executable.parent_path() / "kestrelline-plugin-worker").string();
}

void Report(const std::vector<plugin::Host::Problem>& problems, operator_file::Diagnostics* diagnostics) {
  for (const auto& problem : problems) diagnostics->Add(problem.at, "plugin-load", problem.text);
}

std::shared_ptr<plugin::Tagger> LoadAndWait(boost::asio::io_context& io, plugin::Host& host,
                                            const OperatorConfig& config,
                                            operator_file::Diagnostics* diagnostics) {
  std::shared_ptr<plugin::Tagger> tagger;
  bool finished = false;
  host.Load(config.plugins, [&](std::shared_ptr<plugin::Tagger> loaded, const auto& problems) {
    tagger = std::move(loaded);
    Report(problems, diagnostics);
    finished = true;
  });
  while (!finished) io.run_one();
  io.restart();
  return tagger;
}

bool TryPlugins(const OperatorConfig& config, const std::string& worker,
                operator_file::Diagnostics* diagnostics) {
  if (config.plugins->plugins().empty()) return true;
  boost::asio::io_context io(1);
  plugin::Host host(io, {worker, nullptr});
  return LoadAndWait(io, host, config, diagnostics) != nullptr;
}

}  // namespace kestrelline::app
