// SPDX-License-Identifier: Apache-2.0
//
// A small fleet on loopback: the project's own programs as processes, and stand-ins for the platform, plain
// backends and the operator that do what PROTOCOL.md says. Processes end with the object.
#ifndef KESTRELLINE_REVIEW_COMMON_FLEET_H_
#define KESTRELLINE_REVIEW_COMMON_FLEET_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

#include "http.h"

namespace review {

inline double Seconds(Clock::time_point since) {
  return std::chrono::duration<double>(Clock::now() - since).count();
}
inline void Sleep(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path), began_(Clock::now()) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", Seconds(began_));
    file_ << time << text << '\n' << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const Clock::time_point began_;
};

struct Arrival {
  std::string request;
  double at = 0;  // seconds
  bool ran = false;
};

// A backend of a plain service. It works on `slots` requests, queues `queue` more and rejects the rest.
class Backend {
 public:
  Backend(std::string id, std::string service, std::string zone, Address address, int slots, int queue,
          int work_ms, Clock::time_point began)
      : id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        address_(std::move(address)),
        slots_(slots),
        queue_(queue),
        work_ms_(work_ms),
        began_(began) {}

  bool Start() {
    return Serve(address_, [this](int fd) {
      Reader reader(fd);
      while (const auto request = reader.Read(Clock::now() + milliseconds(15000))) {
        if (!WriteAll(fd, Handle(*request))) return;
      }
    });
  }
  std::string Listed() const {
    return "{\"id\":\"" + id_ + "\",\"cluster\":\"" + service_ + "\",\"address\":\"" + address_.text() +
           "\",\"zone\":\"" + zone_ + "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) +
           ",\"state\":\"ready\",\"warmup_left_ms\":0}";
  }
  std::vector<Arrival> arrivals() {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }

 private:
  std::string Handle(const Message& request) {
    const std::string id = request.field("request-id");
    const std::string echo = "Request-Id: " + id + "\r\nInstance-Id: " + id_ + "\r\n";
    if (request.method() == "GET" && request.target() == "/healthz") {
      return Answer(200, "OK", "Instance-Id: " + id_ + "\r\n" + Load(), "");
    }
    const std::string expected = request.field("expect-instance");
    if (!expected.empty() && expected != id_) {
      return Answer(421, "Misdirected Request", echo + "Not-Executed: 1\r\n", "");
    }
    if (id.empty()) return Answer(400, "Bad Request", "Not-Executed: 1\r\n", "");
    if (!Enter(id, request.field("deadline-ms"))) {
      return Answer(503, "Service Unavailable", echo + Load() + "Not-Executed: 1\r\n", "");
    }
    Sleep(work_ms_);
    Leave();
    const std::string body = id_ + " read " + std::to_string(request.body.size()) + " bytes of " + id;
    return Answer(200, "OK", echo + Load() + "Server-Stamp: " + id_ + "." + id + "\r\n", body);
  }
  // Waits for a slot. False if the backend is full, or the deadline passed in its queue.
  bool Enter(const std::string& request, const std::string& deadline) {
    std::unique_lock lock(mutex_);
    const std::size_t index = arrivals_.size();
    arrivals_.push_back({request, Seconds(began_), false});
    if (running_ >= slots_) {
      if (waiting_ >= queue_) return false;
      ++waiting_;
      const int wait_ms = deadline.empty() ? 60000 : std::atoi(deadline.c_str());
      const bool free = changed_.wait_for(lock, milliseconds(wait_ms), [this] { return running_ < slots_; });
      --waiting_;
      if (!free) return false;
    }
    ++running_;
    arrivals_[index].ran = true;
    return true;
  }
  void Leave() {
    {
      const std::lock_guard lock(mutex_);
      --running_;
    }
    changed_.notify_one();
  }
  std::string Load() {
    const std::lock_guard lock(mutex_);
    return "Backend-Load: " + std::to_string(running_) + "," + std::to_string(waiting_) + "," +
           std::to_string(slots_) + "\r\n";
  }

  const std::string id_, service_, zone_;
  const Address address_;
  const int slots_, queue_, work_ms_;
  const Clock::time_point began_;
  std::mutex mutex_;
  std::condition_variable changed_;
  int running_ = 0, waiting_ = 0;
  std::vector<Arrival> arrivals_;
};

struct Sizes {
  int cores = 3;
  int edges = 4;
};

class Fleet {
 public:
  // `program`: the program of deploy/system.toml; `folder`: a folder for settings, disks and logs.
  Fleet(std::string program, std::string folder, Sizes sizes)
      : program_(std::move(program)), folder_(std::move(folder)), sizes_(sizes) {}
  ~Fleet() { Stop(); }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Chooses two networks of loopback addresses on which every port that is needed is free.
  bool ChooseNetwork() {
    for (int attempt = 0; attempt < 50; ++attempt) {
      const std::string first = "127." + std::to_string(20 + (getpid() + attempt * 7) % 200) + ".";
      const int second = 2 * ((getpid() / 200 + attempt) % 120);
      network_ = first + std::to_string(second) + ".";
      edge_network_ = first + std::to_string(second + 1) + ".";
      bool free = true;
      for (int host = 1; host <= 60 && free; ++host)
        free = AreFree(network_ + std::to_string(host), {kControl, kPlatform, kBackend, kInternal});
      for (int edge = 0; edge < sizes_.edges && free; ++edge)
        free = AreFree(Front(edge).ip, {kFront, kReady, kInternal, kRelay});
      if (free) return true;
    }
    return false;
  }
  Address Control(int core) const { return {network_ + std::to_string(1 + core), kControl}; }
  Address Front(int edge) const { return {edge_network_ + std::to_string(1 + edge), kFront}; }
  Address Ready(int edge) const { return {edge_network_ + std::to_string(1 + edge), kReady}; }
  Address BackendAddress(int index) const { return {network_ + std::to_string(31 + index), kBackend}; }
  const Sizes& sizes() const { return sizes_; }

  // `list` gives the entries of the platform's list.
  bool StartPlatform(std::function<std::string()> list) {
    return Serve({network_ + "60", kPlatform}, [list](int fd) {
      Reader reader(fd);
      while (reader.Read(Clock::now() + milliseconds(60000))) {
        const std::string body = "{\"instances\":[" + list() + "],\"next_page_token\":null}";
        if (!WriteAll(fd, Answer(200, "OK", "Content-Type: application/json\r\n", body))) return;
      }
    });
  }

  void StartProcesses() {
    for (int i = 0; i < sizes_.cores; ++i) Spawn("core" + std::to_string(i), "core", CoreSettings(i));
    for (int i = 0; i < sizes_.edges; ++i) Spawn("edge" + std::to_string(i), "edge", EdgeSettings(i));
  }
  pid_t EdgePid(int edge) const { return pids_[static_cast<std::size_t>(sizes_.cores + edge)]; }
  // Kills a proxy and starts it again with its settings. Called by the thread that called StartProcesses.
  void RestartEdge(int edge, int pause_ms) {
    pid_t& pid = pids_[static_cast<std::size_t>(sizes_.cores + edge)];
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    Sleep(pause_ms);
    Spawn("edge" + std::to_string(edge), "edge", EdgeSettings(edge));
    pid = pids_.back();
    pids_.pop_back();
  }
  void Stop() {
    for (const pid_t pid : pids_) kill(pid, SIGKILL);
    for (const pid_t pid : pids_) waitpid(pid, nullptr, 0);
    pids_.clear();
  }

  // Ends the processes, then this one. The stand-ins' threads still run, so nothing is destroyed.
  [[noreturn]] void End(int code) {
    Stop();
    std::fflush(nullptr);
    std::_Exit(code);
  }

  // One call on a new connection.
  static std::optional<Message> Call(const Address& address, const std::string& bytes, int timeout_ms) {
    const int fd = Connect(address);
    if (fd < 0) return std::nullopt;
    std::optional<Message> answer;
    if (WriteAll(fd, bytes)) answer = Reader(fd).Read(Clock::now() + milliseconds(timeout_ms));
    close(fd);
    return answer;
  }
  // Sends a configuration until it is acknowledged, as the operator does. False if it never is, or refused.
  bool PutConfiguration(const std::string& text, int base) {
    const auto until = Clock::now() + std::chrono::seconds(20);
    for (int next = 0; Clock::now() < until; ++next) {
      Address member = Control(next % sizes_.cores);
      for (int redirects = 0; redirects <= 2; ++redirects) {
        const std::string call =
            "PUT /-/config HTTP/1.1\r\nHost: " + member.ip + "\r\nIf-Match: " + std::to_string(base) +
            "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
            "\r\n\r\n" + text;
        const auto answer = Call(member, call, 1000);
        if (!answer) break;
        if (answer->status() == 200) return true;
        if (answer->status() / 100 == 4) return false;
        if (answer->status() != 307) break;
        std::string there = answer->field("location").substr(7);
        member.ip = there.substr(0, there.find(':'));
      }
      Sleep(200);
    }
    return false;
  }
  // Waits until every proxy calls itself ready.
  bool AwaitReady(int seconds) {
    const auto until = Clock::now() + std::chrono::seconds(seconds);
    for (int edge = 0; edge < sizes_.edges;) {
      const auto answer = Call(Ready(edge), "GET /-/readyz HTTP/1.1\r\nHost: p\r\n\r\n", 500);
      if (answer && answer->status() == 200) {
        ++edge;
        continue;
      }
      if (Clock::now() >= until) return false;
      Sleep(100);
    }
    return true;
  }

 private:
  static bool AreFree(const std::string& ip, const std::vector<std::uint16_t>& ports) {
    for (const std::uint16_t port : ports) {
      const int fd = Listen({ip, port});
      if (fd < 0) return false;
      close(fd);
    }
    return true;
  }

  static constexpr std::uint16_t kFront = 8161, kControl = 8166, kReady = 8167, kPlatform = 8169,
                                 kBackend = 8080, kInternal = 7720, kRelay = 7721;

  // The settings of benammar-quotes' machines (fleetbench wire), with loopback addresses.
  std::string Common(const std::string& name, const std::string& ip, const std::string& kind) const {
    std::string seeds;
    for (int i = 0; i < sizes_.cores; ++i) seeds += (i ? ",\"" : "\"") + Control(i).text() + "\"";
    return "node_name = \"" + name + "\"\nrole = \"" + kind + "\"\nmachine_class = \"" + kind +
           "\"\nip = \"" + ip +
           "\"\nzone = \"sfax-a\"\nregion = \"tn-sahel\"\nephemeral_ports = [7720,7735]\nseeds = [" + seeds +
           "]\nbootstrap = true\ndiscovery = \"cloud_api\"\nentry = \"vip\"\nheartbeat_ms = 1200\n" +
           "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\"," +
           "\"stream\",\"engine\"]\n";
  }
  std::string Rest() const {
    return "[zones]\nsfax-a = \"tn-sahel\"\n[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n" +
           std::string("[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n") +
           "catch_up_s = 4\ndrain_ms = 3000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n" +
           "rollback_slack_ms = 250\nmax_skew_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n" +
           "min_retries = 56\nrecovery_s = 12\ntransit_ms = 120\nagain_s = 7.5\nfencing = true\n" +
           "lease_ms = 3000\nthaw_ms = 300\n[cloud]\naddress = \"" + network_ +
           "60:8169\"\nrate_per_s = 44.0\nduties = []\nmax_lag_ms = 800\n";
  }
  std::string CoreSettings(int core) const {
    const std::string data = folder_ + "/disk" + std::to_string(core);
    mkdir(data.c_str(), 0755);
    return Common("core-" + std::to_string(core), Control(core).ip, "core") +
           "serves = [\"control\"]\ncounts_for_quorum = true\ndata_dir = \"" + data +
           "\"\n[listen]\ncontrol = \"" + Control(core).text() +
           "\"\n[limits]\ncpu_share = 0.6\ncores = 1\nmemory_mb = 256\nmax_fds = 4096\ndisk_mb = 128\n" +
           Rest();
  }
  std::string EdgeSettings(int edge) const {
    return Common("edge-" + std::to_string(edge), Front(edge).ip, "edge") +
           "serves = [\"edge\"]\ncounts_for_quorum = false\n[listen]\nfront = \"" + Front(edge).text() +
           "\"\nready = \"" + Ready(edge).text() +
           "\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\ndisk_mb = 0\n" +
           Rest();
  }
  void Spawn(const std::string& name, const std::string& command, const std::string& settings) {
    const std::string path = folder_ + "/" + name + ".toml";
    std::ofstream(path) << settings;
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid > 0) {
      pids_.push_back(pid);
      return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    const int log = open((folder_ + "/" + name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    setenv("KESTRELLINE_NODE_FILE", path.c_str(), 1);
    execl(program_.c_str(), program_.c_str(), command.c_str(), nullptr);
    _exit(127);
  }

  const std::string program_, folder_;
  const Sizes sizes_;
  std::string network_, edge_network_;
  std::vector<pid_t> pids_;
};

}  // namespace review

#endif  // KESTRELLINE_REVIEW_COMMON_FLEET_H_
