// SPDX-License-Identifier: Apache-2.0
//
// The program as a child of the test, its files and its address. PROXY_PATH is set by the build.
#ifndef KESTRELLINE_TESTS_SUPPORT_PROCESS_H_
#define KESTRELLINE_TESTS_SUPPORT_PROCESS_H_

#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "standin/address.h"
#include "support/loopback.h"
#include "support/sanitized.h"

namespace kestrelline::testing {

// The program as a child, with what it writes to standard error.
class Child {
 public:
  explicit Child(const std::map<std::string, std::string>& env, rlim_t descriptors = 0,
                 std::vector<std::string> arguments = {}, int inherited = -1) {
    std::vector<char*> argv{const_cast<char*>(PROXY_PATH)};
    for (std::string& argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    int pipe_ends[2];
    if (pipe(pipe_ends) != 0) throw std::runtime_error("no pipe");
    pid_ = fork();
    if (pid_ == 0) {
      dup2(pipe_ends[1], STDERR_FILENO);
      close(pipe_ends[0]);
      close(pipe_ends[1]);
      // What this process has open is none of the child's: a limit of descriptors means the same everywhere.
      // One may be handed on, as descriptor 7.
      const bool kept = inherited < 0 || dup2(inherited, kInherited) == kInherited;
      if (!kept || close_range(STDERR_FILENO + 1, kInherited - 1, 0) != 0 ||
          close_range(inherited < 0 ? kInherited : kInherited + 1, ~0U, 0) != 0)
        _exit(126);
      for (const auto& [name, value] : env) setenv(name.c_str(), value.c_str(), 1);
      if (descriptors > 0) LimitDescriptors(descriptors);
      execv(PROXY_PATH, argv.data());
      _exit(127);
    }
    close(pipe_ends[1]);
    stderr_ = pipe_ends[0];
  }
  ~Child() {
    if (pid_ > 0) kill(pid_, SIGKILL), Wait();
    close(stderr_);
  }
  static constexpr int kInherited = 7;

  pid_t pid() const { return pid_; }
  void Signal(int signal) { kill(pid_, signal); }
  // The exit status, or 1000 and the signal that ended it.
  int Wait() {
    int status = 0;
    waitpid(std::exchange(pid_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
  }
  std::string StderrLine() {
    std::string line;
    for (char c; (line.empty() || line.back() != '\n') && read(stderr_, &c, 1) == 1;) line += c;
    return line;
  }
  std::string Stderr() {
    std::string text;
    char piece[4096];
    for (ssize_t n; (n = read(stderr_, piece, sizeof piece)) > 0;)
      text.append(piece, static_cast<std::size_t>(n));
    return text;
  }

 private:
  // In the child, before it executes the program. The sanitizers get a pipe of their own
  // (pipe_above_limit.cpp).
  static void LimitDescriptors(rlim_t descriptors) {
    constexpr rlim_t kEndsOfAPipe = 2;
    const rlimit limit{descriptors, kSanitized ? descriptors + kEndsOfAPipe : descriptors};
    setrlimit(RLIMIT_NOFILE, &limit);
    if (!kSanitized) return;
    setenv("LD_PRELOAD", PIPE_ABOVE_LIMIT_PATH, 1);
    setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
  }

  pid_t pid_ = -1;
  int stderr_ = -1;
};

class ConfigFile {
 public:
  explicit ConfigFile(const std::string& text) {
    char name[] = "/tmp/kestrelline-test-XXXXXX";
    close(mkstemp(name));
    path = name;
    std::ofstream(path) << text;
  }
  ~ConfigFile() { std::filesystem::remove(path); }
  std::string path;
};

// For the child to listen at, held until this process ends.
inline Tcp::endpoint FreePort() {
  static asio::io_context io;
  static std::deque<kestrelline::standin::HeldAddress> held;
  return held.emplace_back(io).endpoint();
}

inline unsigned ReadyStatus(const Tcp::endpoint& address) {
  try {
    Client client(address);
    return client.Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int();
  } catch (const std::exception&) {
    return 0;
  }
}
inline bool WaitUntilReady(const Tcp::endpoint& address) {
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (ReadyStatus(address) != 200) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::yield();
  }
  return true;
}

inline void Replace(const ConfigFile& file, const std::string& text) {
  std::ofstream(file.path + ".new") << text;
  std::filesystem::rename(file.path + ".new", file.path);
}

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_PROCESS_H_
