// SPDX-License-Identifier: Apache-2.0
//
// A proxy of a stand-in site, as a process of its own: started, stopped, killed, paused.
#ifndef KESTRELLINE_STANDIN_PROXY_PROCESS_H_
#define KESTRELLINE_STANDIN_PROXY_PROCESS_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "standin/address.h"

namespace kestrelline::standin {

class ProxyProcess {
 public:
  struct Options {
    std::string name, program;
    std::string config;  // a path: ROUTER_CONFIG
    std::string log;     // a path that its standard error goes to, added to
    std::vector<std::string> arguments;
  };

  ProxyProcess(boost::asio::io_context& io, Options options);
  ~ProxyProcess();  // kills it
  ProxyProcess(const ProxyProcess&) = delete;
  ProxyProcess& operator=(const ProxyProcess&) = delete;

  const HeldAddress& address() const { return address_; }
  const std::string& name() const { return options_.name; }
  pid_t pid() const { return pid_; }

  // Throws std::runtime_error if it cannot be started. `ready`: it has answered GET /ready with 200.
  void Start(std::function<void()> ready);
  void Signal(int signal);
  // True if it has ended since; then `status` is that of waitpid.
  bool Reap(int* status);
  void KillAndWait();

 private:
  enum class State { kDown, kStarting, kReady };

  void AskIfReady();

  boost::asio::io_context& io_;
  Options options_;
  HeldAddress address_;
  boost::asio::steady_timer again_;
  std::function<void()> ready_;
  State state_ = State::kDown;
  pid_t pid_ = -1;
};

}  // namespace kestrelline::standin

#endif  // KESTRELLINE_STANDIN_PROXY_PROCESS_H_
