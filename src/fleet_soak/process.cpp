// SPDX-License-Identifier: Apache-2.0
#include "fleet_soak/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace kestrelline::fleet_soak {
namespace {

constexpr int kBySignal = 1000;
constexpr int kCannotStart = 127;
constexpr int kUnknown = -1;  // somebody else has waited for it

int StatusOf(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : kBySignal + WTERMSIG(status); }

}  // namespace

Process::Process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& log) {
  std::vector<char*> values{const_cast<char*>(program.c_str())};
  for (const std::string& argument : arguments) values.push_back(const_cast<char*>(argument.c_str()));
  values.push_back(nullptr);
  const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  pid_ = fork();
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(file, STDERR_FILENO);
    // A copy of one of the harness's connections would hold it open after the harness has closed it.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(program.c_str(), values.data());
    _exit(kCannotStart);
  }
  close(file);
}

Process::~Process() {
  Signal(SIGKILL);
  Wait();
}

void Process::Signal(int signal) const {
  if (!status_) kill(pid_, signal);
}

std::optional<int> Process::Ended() {
  Reap(WNOHANG);
  return status_;
}

int Process::Wait() {
  while (!status_ && (Reap(0) == pid_ || errno == EINTR)) continue;
  return status_.value_or(kUnknown);
}

pid_t Process::Reap(int options) {
  int status = 0;
  if (status_) return pid_;
  const pid_t reaped = waitpid(pid_, &status, options);
  if (reaped == pid_) status_ = StatusOf(status);
  return reaped;
}

}  // namespace kestrelline::fleet_soak
