// SPDX-License-Identifier: Apache-2.0
//
// Notices changes of the settings file while the process runs: on SIGHUP at once, and otherwise by reading
// the file every kInterval, since it may change without a signal.
#ifndef KESTRELLINE_NODE_SETTINGS_WATCHER_H_
#define KESTRELLINE_NODE_SETTINGS_WATCHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "node/settings.h"

namespace kestrelline::node {

class SettingsWatcher {
 public:
  static constexpr std::chrono::milliseconds kInterval{2000};

  using OnChange = std::function<void(const Settings&)>;

  // Calls `on_change` with the settings of the file at `path` whenever its text differs from the last one,
  // which is `text` at first. A file that cannot be read, is invalid or names no seeds is logged and
  // otherwise ignored.
  SettingsWatcher(boost::asio::io_context& io, std::string path, std::string text, OnChange on_change);

  void Start();

 private:
  void AwaitSignal();
  void AwaitTimer();
  void Check();

  const std::string path_;
  const OnChange on_change_;
  boost::asio::signal_set reload_;
  boost::asio::steady_timer timer_;
  std::optional<std::string> text_;  // as last read; nothing if that failed
};

}  // namespace kestrelline::node

#endif  // KESTRELLINE_NODE_SETTINGS_WATCHER_H_
