// SPDX-License-Identifier: Apache-2.0
#include "node/settings_watcher.h"

#include <spdlog/spdlog.h>

#include <csignal>
#include <utility>

namespace kestrelline::node {

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
  std::optional<std::string> text = ReadSettingsText(path_);
  if (text == text_) return;
  text_ = std::move(text);
  if (!text_) return spdlog::warn("settings not taken over: {} cannot be read", path_);
  const SettingsResult result = ParseSettings(*text_, path_);
  if (!result.settings) return spdlog::warn("settings not taken over: {}", result.error);
  // The file may still be being written, or the site may have no seeds.
  if (result.settings->seeds.empty()) return spdlog::warn("settings not taken over: {} has no seeds", path_);
  on_change_(*result.settings);
}

}  // namespace kestrelline::node
