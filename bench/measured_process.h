// SPDX-License-Identifier: Apache-2.0
//
// A program as a child whose costs are read: its CPU time, or its instructions under callgrind.
#ifndef KESTRELLINE_BENCH_MEASURED_PROCESS_H_
#define KESTRELLINE_BENCH_MEASURED_PROCESS_H_

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

extern char** environ;

namespace kestrelline::bench {

// What is written for a run and goes with it.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    char name[] = "/tmp/kestrelline-bench-XXXXXX";
    close(mkstemp(name));
    path = name;
    std::ofstream(path) << text;
  }
  ~TemporaryFile() { unlink(path.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  std::string path;
};

// Of a process of one thread, in microseconds.
inline double CpuUs(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
  double ns = 0;
  file >> ns;
  return ns / 1000;
}

class MeasuredProcess {
 public:
  // `environment`: "NAME=value", on top of this process's own.
  MeasuredProcess(std::vector<std::string> command, const std::vector<std::string>& environment) : log_("") {
    std::vector<std::string> all(environment);
    for (char** entry = environ; *entry; ++entry) all.emplace_back(*entry);
    std::vector<char*> argv, env;
    for (auto& word : command) argv.push_back(word.data());
    for (auto& entry : all) env.push_back(entry.data());
    argv.push_back(nullptr), env.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_.path.c_str(), O_WRONLY | O_TRUNC, 0600);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    if (posix_spawnp(&pid_, argv[0], &actions, nullptr, argv.data(), env.data()) != 0) {
      std::fprintf(stderr, "%s cannot be started\n", argv[0]);
      std::exit(1);
    }
    posix_spawn_file_actions_destroy(&actions);
  }
  ~MeasuredProcess() { End(); }
  MeasuredProcess(const MeasuredProcess&) = delete;
  MeasuredProcess& operator=(const MeasuredProcess&) = delete;

  void End() {
    if (pid_ <= 0) return;
    kill(pid_, SIGTERM);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  pid_t pid() const { return pid_; }
  double CpuUs() const { return bench::CpuUs(pid_); }
  // What it has written to standard error.
  std::string Log() const {
    std::ifstream file(log_.path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

 private:
  pid_t pid_ = -1;
  TemporaryFile log_;
};

// Instructions of user space that `command` spends on one request: `play` has it serve so many, 1,000 and
// then 5,000 of them, and the difference is divided, so that start and end cancel out. Needs valgrind.
inline double InstructionsARequest(const std::vector<std::string>& command,
                                   const std::vector<std::string>& environment,
                                   const std::function<void(int requests)>& play) {
  constexpr int kFew = 1000, kMany = 5000;
  const auto collected = [&](int requests) {
    std::vector<std::string> under{"valgrind", "--tool=callgrind", "--callgrind-out-file=/dev/null"};
    under.insert(under.end(), command.begin(), command.end());
    MeasuredProcess process(under, environment);
    play(requests);
    process.End();
    const std::string log = process.Log();
    constexpr const char* kFigure = "Collected : ";
    const auto at = log.find(kFigure);
    if (at == std::string::npos) {
      std::fprintf(stderr, "%s\n", log.c_str());
      std::exit(1);
    }
    return std::strtod(log.c_str() + at + std::strlen(kFigure), nullptr);
  };
  const double few = collected(kFew);
  return (collected(kMany) - few) / (kMany - kFew);
}

}  // namespace kestrelline::bench

#endif  // KESTRELLINE_BENCH_MEASURED_PROCESS_H_
