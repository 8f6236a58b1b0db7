// SPDX-License-Identifier: Apache-2.0
#include "standin/proxy_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <vector>

extern char** environ;

namespace kestrelline::standin {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::chrono::milliseconds kAskAgain{20};
constexpr std::string_view kAsk = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

// Asks once whether a proxy is ready.
class Question : public std::enable_shared_from_this<Question> {
 public:
  Question(asio::io_context& io, std::function<void(bool)> answer)
      : socket_(io), answer_(std::move(answer)) {}
  void Ask(const Tcp::endpoint& address) {
    socket_.async_connect(address, [self = shared_from_this()](const Error& failed) {
      if (failed) return self->answer_(false);
      asio::async_write(self->socket_, asio::buffer(kAsk), [self](const Error& lost, std::size_t) {
        if (lost) return self->answer_(false);
        self->socket_.async_read_some(asio::buffer(self->bytes_), [self](const Error&, std::size_t n) {
          self->answer_(std::string_view(self->bytes_.data(), n).starts_with("HTTP/1.1 200"));
        });
      });
    });
  }

 private:
  Tcp::socket socket_;
  std::function<void(bool)> answer_;
  std::array<char, 256> bytes_{};
};

}  // namespace

ProxyProcess::ProxyProcess(asio::io_context& io, Options options)
    : io_(io), options_(std::move(options)), address_(io), again_(io) {}

ProxyProcess::~ProxyProcess() { KillAndWait(); }

void ProxyProcess::Start(std::function<void()> ready) {
  std::vector<std::string> environment;
  for (char** entry = environ; *entry; ++entry)
    if (std::strncmp(*entry, "ROUTER_", 7) != 0) environment.emplace_back(*entry);
  environment.push_back("ROUTER_CONFIG=" + options_.config);
  std::vector<char*> env;
  for (std::string& entry : environment) env.push_back(entry.data());
  env.push_back(nullptr);
  std::vector<char*> argv{options_.program.data()};
  for (std::string& argument : options_.arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, options_.log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  // Asio's signal handling in this process blocks nothing; the child starts with a clean set all the same.
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  pid_t pid = -1;
  const int failed =
      posix_spawn(&pid, options_.program.c_str(), &actions, &attributes, argv.data(), env.data());
  posix_spawn_file_actions_destroy(&actions);
  posix_spawnattr_destroy(&attributes);
  if (failed != 0) throw std::runtime_error(options_.program + ": " + std::strerror(failed));
  pid_ = pid;
  state_ = State::kStarting;
  ready_ = std::move(ready);
  AskIfReady();
}

void ProxyProcess::AskIfReady() {
  std::make_shared<Question>(io_, [this, of = pid_](bool yes) {
    if (of != pid_ || state_ != State::kStarting) return;
    if (yes) {
      state_ = State::kReady;
      if (ready_) ready_();
      return;
    }
    again_.expires_after(kAskAgain);
    again_.async_wait([this, of](const Error& cancelled) {
      if (!cancelled && of == pid_) AskIfReady();
    });
  })->Ask(address_.endpoint());
}

void ProxyProcess::Signal(int signal) {
  if (pid_ > 0) kill(pid_, signal);
}

bool ProxyProcess::Reap(int* status) {
  if (pid_ <= 0 || waitpid(pid_, status, WNOHANG) != pid_) return false;
  pid_ = -1;
  state_ = State::kDown;
  return true;
}

void ProxyProcess::KillAndWait() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
  state_ = State::kDown;
}

}  // namespace kestrelline::standin
