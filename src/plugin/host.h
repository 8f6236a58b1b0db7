// SPDX-License-Identifier: Apache-2.0
//
// Plug-ins in this process: carries out what their supervisors decide, and keeps versions apart.
//
// A version of a plug-in is its script with its budgets; versions run side by side for as long as a request
// holds one, and a reload that leaves a plug-in as it is keeps its worker, its state and its breaker.
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

// Bytes of requests that one plug-in may have waiting; what comes beyond fails at once.
inline constexpr std::size_t kMostHeldBytes = 2 << 20;

// Outlives the event loop's run; what it loaded may outlive it.
class Host {
 public:
  struct Options {
    std::string worker;  // the program
    std::function<void(const std::string& line)> log;
  };
  struct Problem {
    operator_file::Position at;
    std::string text;
  };
  // Null, and why, if any plug-in does not load.
  using Loaded = std::function<void(std::shared_ptr<Tagger>, const std::vector<Problem>&)>;

  Host(boost::asio::io_context& io, Options options);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  // Starts what is not running yet; `loaded` is called once, from the event loop, unless another Load comes
  // first: then never. What was loaded before serves on for as long as it is held.
  void Load(std::shared_ptr<const PluginTable> table, Loaded loaded);

  struct Status {
    std::string name;
    Supervisor::State state;
    Supervisor::Counts counts;
    std::size_t open;
    pid_t worker;  // -1: none
  };
  std::vector<Status> status() const;
  std::size_t children_ending() const { return reaper_->waiting(); }

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
