// SPDX-License-Identifier: Apache-2.0
//
// A small fleet of real processes on loopback, each at an IP address of its own, beside stand-ins of backends
// and of the platform in this process. FLEET_PROGRAM is set by the build.
#ifndef KESTRELLINE_TESTS_ROUTER_FLEET_FLEET_FIXTURE_H_
#define KESTRELLINE_TESTS_ROUTER_FLEET_FLEET_FIXTURE_H_

#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet_soak/process.h"
#include "fleet_soak/relay.h"
#include "fleet_standin/backend.h"
#include "fleet_standin/platform.h"
#include "support/temporary.h"

namespace kestrelline::router_fleet {

using fleet_standin::Backend;
using fleet_standin::Fault;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline constexpr milliseconds kGiveUp{20000};  // far over what anything here takes

// Asks again and again, without a pause longer than the call itself takes; false once the time is over.
inline bool Eventually(const std::function<bool()>& holds, milliseconds at_most = kGiveUp) {
  for (const auto until = Clock::now() + at_most; Clock::now() < until;) {
    if (holds()) return true;
    std::this_thread::yield();
  }
  return holds();
}

struct Answer {
  int status = 0;           // 0: the connection ended without one
  std::string text;         // head and body as they came
  bool ended_well = false;  // the body is whole by its own framing
  bool Has(const std::string& part) const { return text.find(part) != std::string::npos; }
};

// One request on a connection of its own, read until the end of the connection.
inline Answer Ask(const std::string& ip, std::uint16_t port, const std::string& request) {
  namespace asio = boost::asio;
  Answer answer;
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect({asio::ip::make_address(ip), port}, error);
  if (error) return answer;
  const timeval patience{20, 0};
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  asio::write(socket, asio::buffer(request), error);
  char piece[4096];
  while (!error) {
    const ssize_t count = recv(socket.native_handle(), piece, sizeof piece, 0);
    if (count <= 0) break;
    answer.text.append(piece, static_cast<std::size_t>(count));
  }
  if (answer.text.size() > 12) answer.status = std::atoi(answer.text.c_str() + 9);
  const std::size_t body = answer.text.find("\r\n\r\n");
  if (body == std::string::npos) return answer;
  if (answer.Has("chunked")) {
    answer.ended_well = answer.text.ends_with("0\r\n\r\n");
  } else {
    const std::size_t length = answer.text.find("Content-Length: ");
    answer.ended_well = length != std::string::npos &&
                        answer.text.size() - body - 4 == std::stoul(answer.text.substr(length + 16));
  }
  return answer;
}

// A process of the program under test.
class Process {
 public:
  Process(const std::string& role, const std::string& settings, const std::string& log)
      : process_(FLEET_PROGRAM, {role, settings}, log) {}
  void Signal(int signal) const { process_.Signal(signal); }
  // Its exit status, or 1000 and the signal that ended it.
  int End(int signal) {
    process_.Signal(signal);
    return process_.Wait();
  }
  bool Ended() { return process_.Ended().has_value(); }
  // After Ended(): as End() tells it.
  int status() { return process_.Ended().value_or(-1); }

 private:
  fleet_soak::Process process_;
};

class Fleet {
 public:
  static constexpr std::uint16_t kControl = 7101, kFront = 7102, kReady = 7103, kPlatform = 7104,
                                 kInternal = 7110, kLink = 7130;

  struct Options {
    int cores = 3;
    int edges = 2;
    int prefill = 0;  // backends of the service "llm"
    int decode = 0;
    int plain = 1;  // of the service "app"
    int events = 5;
    milliseconds between{2};
    std::size_t padding_bytes = 0;  // of each event
    int max_subscribers = 24;
    bool members_on_edges = false;  // member i runs beside proxy i, at its address
    int gateways = 0;               // control processes without a disk
    int tolerated = 1;
    int min_retries = 200;  // of the retry budget
    // Proxies and gateways reach the members through links that can be cut.
    bool linked = false;
  };
  static Options Plain(int backends) {
    Options options;
    options.plain = backends;
    return options;
  }
  static Options Split(int prefill, int decode) {
    Options options;
    options.prefill = prefill;
    options.decode = decode;
    return options;
  }

  explicit Fleet(Options options) : options_(options), work_(boost::asio::make_work_guard(io_)) {
    network_ =
        "127." + std::to_string(20 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".";
    for (int i = 0; i < options.prefill; ++i) AddBackend("llm", "p" + std::to_string(i), true, false);
    for (int i = 0; i < options.decode; ++i) AddBackend("llm", "d" + std::to_string(i), false, true);
    for (int i = 0; i < options.plain; ++i) AddBackend("app", "a" + std::to_string(i), false, false);
    platform_ = std::make_unique<fleet_standin::Platform>(io_, [this] { return List(); });
    platform_->Listen({Ip(200), kPlatform});
    if (options.linked) AddLinks();
    thread_ = std::thread([this] { io_.run(); });
    for (int i = 0; i < options.cores; ++i) StartCore(i, true);
    for (int i = 0; i < options.gateways; ++i) StartGateway(i);
    for (int i = 0; i < options.edges; ++i) StartEdge(i);
  }
  ~Fleet() {
    edges_.clear();
    gateways_.clear();
    cores_.clear();
    io_.stop();
    thread_.join();
    const std::string log = Log();
    const std::size_t violation = log.find("invariant violated");
    if (violation != std::string::npos)
      ADD_FAILURE() << log.substr(violation, log.find('\n', violation) - violation);
  }

  std::string Ip(int last) const { return network_ + std::to_string(last); }
  std::string CoreIp(int i) const { return Ip(1 + i); }
  std::string EdgeIp(int i) const {
    return options_.members_on_edges && i < options_.cores ? CoreIp(i) : Ip(50 + i);
  }
  std::string GatewayIp(int i) const { return Ip(80 + i); }

  // `counts`: for the quorum.
  void StartCore(int i, bool bootstrap = false, bool counts = true) {
    const std::string data = folder_ / ("data" + std::to_string(i));
    std::filesystem::create_directories(data);
    cores_[i] = std::make_unique<Process>(
        "core", WriteSettings("core" + std::to_string(i), CoreIp(i), bootstrap, true, data, counts),
        folder_ / "log");
  }
  void StartEdge(int i) {
    edges_[i] = std::make_unique<Process>(
        "edge", WriteSettings("edge" + std::to_string(i), EdgeIp(i), false, false, ""), folder_ / "log");
  }
  // A control process without a disk.
  void StartGateway(int i) {
    gateways_[i] = std::make_unique<Process>(
        "core", WriteSettings("gateway" + std::to_string(i), GatewayIp(i), false, true, ""), folder_ / "log");
  }
  // Replaces the seeds of settings that are written from now on.
  void SetSeeds(std::vector<std::string> ips) { seeds_ = std::move(ips); }
  // Writes the settings of a running process anew.
  void RewriteEdge(int i) const { WriteSettings("edge" + std::to_string(i), EdgeIp(i), false, false, ""); }
  void RewriteGateway(int i) const {
    WriteSettings("gateway" + std::to_string(i), GatewayIp(i), false, true, "");
  }
  void RewriteCore(int i) const {
    WriteSettings("core" + std::to_string(i), CoreIp(i), false, true, folder_ / ("data" + std::to_string(i)));
  }
  // Cuts all links, or ends the cut.
  void SetCut(bool cut) {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      for (const auto& link : links_) cut ? link->BeginCut() : link->EndCut();
      done.set_value();
    });
    done.get_future().wait();
  }
  Process& gateway(int i) { return *gateways_.at(i); }
  // Processes that start from now on are told of gateways alone.
  void SeedGatewaysAlone() { seed_gateways_alone_ = true; }
  Process& core(int i) { return *cores_.at(i); }
  Process& edge(int i) { return *edges_.at(i); }
  void LoseDisk(int i) const { std::filesystem::remove_all(folder_ / ("data" + std::to_string(i))); }
  Backend& backend(const std::string& id) { return *backends_.at(id); }
  void SetDraining(const std::string& id) {
    const std::lock_guard lock(mutex_);
    draining_.insert(id);
  }

  std::string Configuration(int version, int timeout_ms = 5000, bool resumable = false) const {
    const std::string common = "\"timeout_ms\":" + std::to_string(timeout_ms) + ",\"target_latency_ms\":500,";
    return "{\"version\":" + std::to_string(version) +
           ",\"routes\":[{\"name\":\"llm\",\"host\":\"h.example\",\"path_prefix\":\"/llm/"
           "\",\"type\":\"streaming\"," +
           common + "\"cluster\":\"llm\",\"max_attempts\":2,\"resumable\":" + (resumable ? "true" : "false") +
           ",\"gap_aim_ms\":300},{\"name\":\"app\",\"host\":\"h.example\",\"path_prefix\":\"/app/"
           "\",\"type\":\"unsafe\"," +
           common +
           "\"cluster\":\"app\",\"max_attempts\":1},{\"name\":\"safe\",\"host\":\"h.example\",\"path_"
           "prefix\":"
           "\"/safe/\",\"type\":\"safe\"," +
           common +
           "\"cluster\":\"app\",\"max_attempts\":2}],\"services\":[{\"name\":\"llm\",\"max_connections\":50,"
           "\"engine\":"
           "{\"slots\":16,\"switch_s\":1}},{\"name\":\"app\",\"max_connections\":50}]}";
  }
  Answer PutAt(int core, const std::string& body, int if_match) const {
    return Ask(
        CoreIp(core), kControl,
        "PUT /-/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIf-Match: " + std::to_string(if_match) +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  // An order of the operator at any address; `method` PUT or PATCH.
  static Answer Order(const std::string& ip, const std::string& method, const std::string& body,
                      int if_match) {
    return Ask(ip, kControl,
               method + " /-/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIf-Match: " +
                   std::to_string(if_match) + "\r\nContent-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
  }
  // To any member, until one answers 200, or refuses.
  int Patch(const std::string& body, int if_match) const {
    int status = 0;
    Eventually([&] {
      for (int i = 0; i < options_.cores; ++i) {
        status = Order(CoreIp(i), "PATCH", body, if_match).status;
        if (status == 200 || status / 100 == 4) return true;
      }
      return false;
    });
    return status;
  }
  // To any member, until one answers 200, or refuses.
  int Put(const std::string& body, int if_match) const {
    int status = 0;
    Eventually([&] {
      for (int i = 0; i < options_.cores; ++i) {
        const Answer answer = PutAt(i, body, if_match);
        status = answer.status;
        if (status == 200 || status / 100 == 4) return true;
      }
      return false;
    });
    return status;
  }
  std::string GetConfiguration() const {
    std::string body;
    Eventually([&] {
      for (int i = 0; i < options_.cores; ++i) {
        const Answer answer =
            Ask(CoreIp(i), kControl, "GET /-/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        if (answer.status != 200) continue;
        body = answer.text.substr(answer.text.find("\r\n\r\n") + 4);
        return true;
      }
      return false;
    });
    return body;
  }
  int Leader() const {
    for (int i = 0; i < options_.cores; ++i) {
      if (Ask(CoreIp(i), kControl, "GET /-/status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
              .Has("\"leads\":true"))
        return i;
    }
    return -1;
  }
  bool Ready(int edge) const {
    return Ask(EdgeIp(edge), kReady, "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
               .status == 200;
  }
  bool AllReady() const {
    for (int i = 0; i < options_.edges; ++i) {
      if (!Ready(i)) return false;
    }
    return true;
  }
  // Takes a first configuration and waits for the proxies.
  bool Begin(bool resumable = false) const {
    return Put(Configuration(1, 5000, resumable), 0) == 200 && Eventually([this] { return AllReady(); });
  }
  Answer Send(int edge, const std::string& path, const std::string& id, const std::string& fields = "",
              const std::string& body = "hello") const {
    return Ask(EdgeIp(edge), kFront,
               "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
                   "\r\nDeadline-Ms: 4000\r\nConnection: close\r\n" + fields +
                   "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  // A generation; `tokens` of prompt, most of them shared.
  Answer Generate(int edge, const std::string& id, int tokens = 9000) const {
    return Send(edge, "/llm/x", id,
                "Model-Name: m\r\nToken-Count: " + std::to_string(tokens) +
                    ",50\r\nPrompt-Prefix: aa:" + std::to_string(tokens - 100) + "," + id + ":100\r\n");
  }
  int Runs(const std::string& request_id) const {
    int runs = 0;
    for (const auto& [id, backend] : backends_) runs += backend->Runs(request_id);
    return runs;
  }
  std::string Log() const { return folder_.Read("log"); }
  const fleet_standin::Platform& platform() const { return *platform_; }

 private:
  // Links from kLink to kInternal at each address where a member may run, and to gateways.
  void AddLinks() {
    const auto add = [this](const std::string& ip, std::uint16_t from, std::uint16_t to) {
      links_.push_back(std::make_unique<fleet_soak::Relay>(io_, node::Endpoint{ip, to}));
      EXPECT_FALSE(links_.back()->Listen({ip, from}));
    };
    for (int i = 0; i < 2 * options_.cores; ++i) add(CoreIp(i), kLink, kInternal);
    for (int i = 0; i < options_.gateways; ++i) add(GatewayIp(i), kInternal, kLink);
  }
  std::vector<std::string> Seeds() const {
    constexpr int kMaxSeeds = 3;  // of a settings file
    if (!seeds_.empty()) return seeds_;
    const int count = std::min(kMaxSeeds, seed_gateways_alone_ ? options_.gateways : options_.cores);
    std::vector<std::string> seeds;
    for (int i = 0; i < count; ++i) seeds.push_back(seed_gateways_alone_ ? GatewayIp(i) : CoreIp(i));
    return seeds;
  }
  void AddBackend(const std::string& service, const std::string& id, bool prefill, bool decode) {
    fleet_standin::BackendOptions options;
    options.instance.id = id;
    options.instance.service = service;
    options.instance.address = Ip(100 + static_cast<int>(backends_.size())) + ":8000";
    options.instance.zone = "a";
    options.instance.slots = 16;
    options.instance.prefill = prefill;
    options.instance.decode = decode;
    options.events = options_.events;
    options.between = options_.between;
    options.padding_bytes = options_.padding_bytes;
    backends_[id] = std::make_unique<Backend>(io_, options);
    backends_[id]->Listen();
  }
  std::vector<wire::Instance> List() {
    const std::lock_guard lock(mutex_);
    std::vector<wire::Instance> list;
    for (const auto& [id, backend] : backends_) {
      list.push_back(backend->instance());
      list.back().draining = draining_.contains(id);
    }
    return list;
  }
  std::string WriteSettings(const std::string& name, const std::string& ip, bool bootstrap, bool core,
                            const std::string& data, bool counts = true) const {
    std::string seeds;
    for (const std::string& seed : Seeds()) {
      seeds += (seeds.empty() ? "\"" : ",\"") + seed + ":" + std::to_string(kControl) + "\"";
    }
    const bool through_links = options_.linked && data.empty();
    const int first_port = through_links ? kLink : kInternal;
    const auto listen = [&](const char* key, std::uint16_t port) {
      return std::string(key) + " = \"" + ip + ":" + std::to_string(port) + "\"\n";
    };
    std::string text = "node_name = \"" + name + "\"\nip = \"" + ip +
                       "\"\nzone = \"a\"\nephemeral_ports = [" + std::to_string(first_port) + "," +
                       std::to_string(first_port + 9) + "]\nseeds = [" + seeds +
                       "]\nbootstrap = " + (bootstrap ? "true" : "false") +
                       "\ncounts_for_quorum = " + (core && counts ? "true" : "false") + "\n";
    if (!data.empty()) text += "data_dir = \"" + data + "\"\n";
    text += "[listen]\n";
    text += core ? listen("control", kControl) : listen("front", kFront) + listen("ready", kReady);
    text += "[limits]\nmax_fds = 1000\n[fault_tolerance]\nmachines = " + std::to_string(options_.tolerated) +
            "\n[bounds]\ngrace_s = 6\nmin_retries = " + std::to_string(options_.min_retries) + "\n";
    text += "lease_ms = 300\n[relay]\nmost_subscribers = " + std::to_string(options_.max_subscribers) +
            "\n[cloud]\naddress = \"" + Ip(200) + ":" + std::to_string(kPlatform) + "\"\nrate_per_s = 50\n";
    folder_.Write(name + ".toml", text);
    return folder_ / (name + ".toml");
  }

  Options options_;
  std::string network_;
  testing::TemporaryFolder folder_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::mutex mutex_;
  std::set<std::string> draining_;
  std::map<std::string, std::unique_ptr<Backend>> backends_;
  std::unique_ptr<fleet_standin::Platform> platform_;
  std::map<int, std::unique_ptr<Process>> cores_;
  std::map<int, std::unique_ptr<Process>> edges_;
  std::map<int, std::unique_ptr<Process>> gateways_;
  bool seed_gateways_alone_ = false;
  std::vector<std::string> seeds_;  // empty: the first members, or gateways alone
  std::vector<std::unique_ptr<fleet_soak::Relay>> links_;
  std::thread thread_;
};

}  // namespace kestrelline::router_fleet

#endif  // KESTRELLINE_TESTS_ROUTER_FLEET_FLEET_FIXTURE_H_
