// SPDX-License-Identifier: Apache-2.0
#include "node/settings_watcher.h"

#include <spdlog/spdlog.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <utility>

namespace kestrelline::node {
namespace {

// The text of the file; empty if it cannot be read.
std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
}

}  // namespace

SettingsWatcher::SettingsWatcher(boost::asio::io_context& io, std::string path, std::string text,
                                 OnChange on_change)
    : path_(std::move(path)),
      on_change_(std::move(on_change)),
      reload_(io, SIGHUP),
      timer_(io),
      text_(std::move(text)) {}

void SettingsWatcher::Start() {
  AwaitSignal();
  AwaitTimer();
}

void SettingsWatcher::AwaitSignal() {
  reload_.async_wait([this](const boost::system::error_code& error, int) {
    if (error) return;
    Check();
    AwaitSignal();
  });
}

void SettingsWatcher::AwaitTimer() {
  timer_.expires_after(kInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    Check();
    AwaitTimer();
  });
}

void SettingsWatcher::Check() {
  const std::string text = ReadFile(path_);
  if (text == text_) return;
  text_ = text;
  const SettingsResult result = ParseSettings(text, path_);
  if (!result.settings) return spdlog::warn("settings not taken over: {}", result.error);
  if (result.settings->seeds.empty()) return;  // a file that is still being written, or a site without seeds
  on_change_(*result.settings);
}

}  // namespace kestrelline::node
