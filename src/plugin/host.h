// SPDX-License-Identifier: Apache-2.0
//
// Runs the plug-ins: carries out the actions of their supervisors, and manages their versions.
//
// A version of a plug-in is its script with its budgets. Old and new versions run concurrently for as long as
// a request uses the old one. A reload that does not change a plug-in keeps its worker, its state and its
// circuit breaker.
#ifndef KESTRELLINE_PLUGIN_HOST_H_
#define KESTRELLINE_PLUGIN_HOST_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "operator/diagnostics.h"
#include "plugin/section.h"
#include "plugin/tagger.h"
#include "plugin/worker_process.h"

namespace kestrelline::plugin {

// Bytes of pending requests of one plug-in; further requests fail at once.
inline constexpr std::size_t kMaxPendingBytes = 2 << 20;

// Must outlive the run of the event loop. A Tagger that it loaded may outlive it.
class Host {
 public:
  struct Options {
    std::string worker;  // path of the worker executable
    std::function<void(const std::string& line)> log;
  };
  struct Problem {
    operator_file::Position at;
    std::string text;
  };
  // Receives null and the problems if any plug-in fails to load.
  using Loaded = std::function<void(std::shared_ptr<Tagger>, const std::vector<Problem>&)>;

  Host(boost::asio::io_context& io, Options options);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  // Starts the plug-ins that are not running yet. Calls `loaded` once, from the event loop, or never if
  // another Load is called before. Sets loaded earlier keep working for as long as they are referenced.
  void Load(std::shared_ptr<const PluginTable> table, Loaded loaded);

  struct Status {
    std::string name;
    Supervisor::State state;
    Supervisor::Counts counts;
    std::size_t pending;  // calls
    pid_t worker;         // -1: none
  };
  std::vector<Status> status() const;
  std::size_t exiting_children() const { return reaper_->waiting(); }

 private:
  class Version;
  class Generation;

  std::shared_ptr<Version> Find(const Plugin& plugin) const;

  boost::asio::io_context& io_;
  Options options_;
  std::shared_ptr<Reaper> reaper_;
  std::shared_ptr<CallId> last_call_ = std::make_shared<CallId>(0);
  std::vector<std::weak_ptr<Version>> versions_;
  std::shared_ptr<Generation> loading_;
};

}  // namespace kestrelline::plugin

#endif  // KESTRELLINE_PLUGIN_HOST_H_
