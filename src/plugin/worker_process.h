// SPDX-License-Identifier: Apache-2.0
//
// A worker as a child process: its socket, its end. Decides nothing.
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

// Waits for children that were killed, so that none stays behind. At its end it waits for the rest.
class Reaper {
 public:
  explicit Reaper(boost::asio::io_context& io) : io_(io) {}
  ~Reaper();
  void Take(pid_t pid);
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
    std::function<void()> end;  // nothing comes any more
  };

  // Null, and why, if it cannot be started.
  static std::shared_ptr<WorkerProcess> Start(boost::asio::io_context& io, Reaper& reaper,
                                              const std::string& program, Events events, std::string* why);
  ~WorkerProcess();

  // In order; what the socket does not take waits here: at most what the caller sends ahead of replies.
  void Send(std::string message);

  // Takes what has come, without waiting.
  void Drain();

  // No event comes after this.
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
