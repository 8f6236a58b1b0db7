// SPDX-License-Identifier: Apache-2.0
#include "plugin/worker_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <utility>
#include <vector>

#include "plugin/wire.h"

namespace kestrelline::plugin {
namespace {

using boost::asio::posix::descriptor_base;
using Error = boost::system::error_code;

constexpr std::chrono::milliseconds kReapInterval{2};

}  // namespace

// ---- Reaper ---------------------------------------------------------------------------------------------
// Waits on a pidfd. Polls with a timer if the kernel has no pidfds or the process is out of descriptors.
struct Reaper::Child {
  explicit Child(boost::asio::io_context& io) : pidfd(io), timer(io) {}
  pid_t pid = -1;
  boost::asio::posix::stream_descriptor pidfd;
  boost::asio::steady_timer timer;
};

Reaper::~Reaper() {
  for (const auto& child : children_) {
    Error ignored;
    child->pidfd.close(ignored);
    child->timer.cancel();
    while (waitpid(child->pid, nullptr, 0) < 0 && errno == EINTR) {
    }
  }
}

void Reaper::Add(pid_t pid) {
  if (waitpid(pid, nullptr, WNOHANG) != 0) return;
  const auto child = std::make_shared<Child>(io_);
  child->pid = pid;
  const int descriptor = static_cast<int>(syscall(SYS_pidfd_open, pid, 0));
  if (descriptor >= 0) child->pidfd.assign(descriptor);
  children_.push_back(child);
  Watch(child);
}

void Reaper::Watch(const std::shared_ptr<Child>& child) {
  const auto reap = [this, weak = std::weak_ptr(child)](const Error& failed) {
    const auto watched = weak.lock();
    if (failed || !watched) return;
    if (waitpid(watched->pid, nullptr, WNOHANG) == 0) return Watch(watched);
    std::erase(children_, watched);
  };
  if (child->pidfd.is_open()) return child->pidfd.async_wait(descriptor_base::wait_read, reap);
  child->timer.expires_after(kReapInterval);
  child->timer.async_wait(reap);
}

// ---- WorkerProcess --------------------------------------------------------------------------------------
WorkerProcess::WorkerProcess(boost::asio::io_context& io, Reaper& reaper, Events events)
    : socket_(io), reaper_(reaper), events_(std::move(events)) {}

std::shared_ptr<WorkerProcess> WorkerProcess::Start(boost::asio::io_context& io, Reaper& reaper,
                                                    const std::string& program, Events events,
                                                    std::string* why) {
  int sockets[2];
  if (socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, sockets) != 0) {
    *why = std::string("no socket: ") + std::strerror(errno);
    return nullptr;
  }
  std::shared_ptr<WorkerProcess> worker(new WorkerProcess(io, reaper, std::move(events)));
  worker->socket_.assign(sockets[0]);
  fcntl(sockets[1], F_SETFL, 0);  // the worker uses blocking reads and writes

  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  posix_spawn_file_actions_addopen(&file_actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&file_actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
  posix_spawn_file_actions_adddup2(&file_actions, sockets[1], wire::kWorkerSocket);
  posix_spawn_file_actions_addclosefrom_np(&file_actions, wire::kWorkerSocket + 1);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  // The worker does not inherit the signal mask and handlers of the proxy.
  sigset_t none, all;
  sigemptyset(&none);
  sigfillset(&all);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setsigdefault(&attributes, &all);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  std::string name = program;
  char* const arguments[] = {name.data(), nullptr};
  char* const environment[] = {nullptr};
  const int failed =
      posix_spawn(&worker->pid_, program.c_str(), &file_actions, &attributes, arguments, environment);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&file_actions);
  close(sockets[1]);
  if (failed != 0) {
    worker->pid_ = -1;
    *why = program + " cannot be started: " + std::strerror(failed);
    return nullptr;
  }
  worker->Read();
  return worker;
}

WorkerProcess::~WorkerProcess() { Kill(); }

void WorkerProcess::Kill() {
  if (pid_ <= 0) return;
  Error ignored;
  socket_.close(ignored);
  events_ = {};
  kill(pid_, SIGKILL);
  reaper_.Add(std::exchange(pid_, -1));
}

void WorkerProcess::Read() {
  socket_.async_wait(descriptor_base::wait_read, [weak = weak_from_this()](const Error& failed) {
    const auto self = weak.lock();
    if (failed || !self || self->pid_ <= 0) return;
    self->Drain();
    if (self->pid_ > 0 && self->socket_.is_open()) self->Read();
  });
}

// MSG_TRUNC makes recv return the full length of a message, so that one that exceeds the buffer is detected.
void WorkerProcess::Drain() {
  const auto self = shared_from_this();
  std::array<char, 8192> buffer;
  while (pid_ > 0 && socket_.is_open()) {
    const ssize_t size =
        recv(socket_.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT | MSG_TRUNC);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (size <= 0) {
      Error ignored;
      socket_.close(ignored);
      if (const auto end = events_.end) end();
      return;
    }
    // A message longer than any valid reply is passed on as an empty one, which is rejected.
    const auto length = static_cast<std::size_t>(size) > buffer.size() ? 0 : static_cast<std::size_t>(size);
    if (const auto message = events_.message) message({buffer.data(), length});
  }
}

void WorkerProcess::Send(std::string message) {
  if (pid_ <= 0 || !socket_.is_open()) return;
  out_.push_back(std::move(message));
  if (!writing_) Write();
}

void WorkerProcess::Write() {
  writing_ = false;
  while (!out_.empty() && socket_.is_open()) {
    const std::string& next = out_.front();
    const ssize_t sent = send(socket_.native_handle(), next.data(), next.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0 && (errno == EAGAIN || errno == ENOBUFS)) {
      writing_ = true;
      return socket_.async_wait(descriptor_base::wait_write, [weak = weak_from_this()](const Error& failed) {
        const auto self = weak.lock();
        if (!failed && self && self->pid_ > 0) self->Write();
      });
    }
    if (sent < 0) return out_.clear();  // the worker exited, which Drain() detects
    out_.pop_front();
  }
}

}  // namespace kestrelline::plugin
