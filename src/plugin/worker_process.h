// SPDX-License-Identifier: Apache-2.0
//
// A worker as a child process: starts it, exchanges messages over its socket, kills and reaps it.
#ifndef KESTRELLINE_PLUGIN_WORKER_PROCESS_H_
#define KESTRELLINE_PLUGIN_WORKER_PROCESS_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace kestrelline::plugin {

// Reaps killed child processes, so that none remains as a zombie. The destructor waits for the remaining
// ones.
class Reaper {
 public:
  explicit Reaper(boost::asio::io_context& io) : io_(io) {}
  ~Reaper();
  void Add(pid_t pid);
  std::size_t waiting() const { return children_.size(); }

 private:
  struct Child;
  void Watch(const std::shared_ptr<Child>& child);

  boost::asio::io_context& io_;
  std::deque<std::shared_ptr<Child>> children_;
};

class WorkerProcess : public std::enable_shared_from_this<WorkerProcess> {
 public:
  struct Events {
    std::function<void(std::string_view message)> message;
    std::function<void()> end;  // the worker closed its socket; no event follows
  };

  // Returns null and sets `why` if the worker cannot be started.
  static std::shared_ptr<WorkerProcess> Start(boost::asio::io_context& io, Reaper& reaper,
                                              const std::string& program, Events events, std::string* why);
  ~WorkerProcess();

  // Sends messages in order. Queues those that the socket does not accept; the caller bounds the queue by the
  // number of calls that it sends without waiting for replies.
  void Send(std::string message);

  // Handles the messages that have arrived, without blocking.
  void Drain();

  // Kills the worker; no event follows.
  void Kill();

  pid_t pid() const { return pid_; }

 private:
  WorkerProcess(boost::asio::io_context& io, Reaper& reaper, Events events);
  void Read();
  void Write();

  boost::asio::posix::stream_descriptor socket_;
  Reaper& reaper_;
  Events events_;
  pid_t pid_ = -1;
  std::deque<std::string> out_;
  bool writing_ = false;
};

}  // namespace kestrelline::plugin

#endif  // KESTRELLINE_PLUGIN_WORKER_PROCESS_H_
