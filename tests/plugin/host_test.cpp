// SPDX-License-Identifier: Apache-2.0
//
// The host with real worker processes that fail in every way: each request gets exactly one verdict, other
// plug-ins keep working, and no process, descriptor or memory is leaked.
#include "plugin/host.h"

#include <dirent.h>
#include <gtest/gtest.h>
#include <malloc.h>
#include <signal.h>
#include <sys/wait.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <string>

#include "plugin/faulty_script.h"
#include "support/plugin_file.h"
#include "support/sockets.h"

namespace kestrelline::plugin {
namespace {

using testing::FaultyScript;
using testing::kCertify;
using testing::kConvert;
using testing::kPreview;

constexpr char kHealthy[] = "return { api = 1, tag = function(r) return { route = 'healthy' } end }";

std::size_t OpenDescriptors() {
  std::size_t count = 0;
  DIR* folder = opendir("/proc/self/fd");
  while (readdir(folder)) ++count;
  closedir(folder);
  return count;
}

class HostTest : public ::testing::Test {
 protected:
  HostTest() {
    Host::Options options;
    options.worker = FAULTY_WORKER_PATH;
    options.log = [this](const std::string& line) { log += line + '\n'; };
    host = std::make_unique<Host>(io, std::move(options));
  }

  static std::string Plugin(const std::string& name, const std::string& more = "") {
    return "[[plugin]]\nname = \"" + name + "\"\nfile = \"" + name +
           "\"\nsets = [\"class\", \"key\", \"route\"]\nclasses = [\"certify\"]\non_failure = \"refuse\"\n"
           "faults = 100\nfuel = 100000000\n" +
           more;
  }

  std::shared_ptr<const PluginTable> TableOf(const std::string& text,
                                             const std::map<std::string, std::string>& scripts) {
    const testing::PluginFile file(text, scripts);
    EXPECT_TRUE(file.built) << file.DiagnosticsText();
    return file.built;
  }

  template <typename F>
  bool RunUntil(F done) {
    const auto deadline = std::chrono::steady_clock::now() + kestrelline::testing::kGiveUp;
    while (!done()) {
      if (std::chrono::steady_clock::now() > deadline) return false;
      io.restart();
      io.run_one_for(std::chrono::milliseconds(10));
    }
    return true;
  }

  // Returns null and sets `problems` if a plug-in fails to load.
  std::shared_ptr<Tagger> Load(const std::shared_ptr<const PluginTable>& table) {
    std::shared_ptr<Tagger> tagger;
    bool finished = false;
    host->Load(table, [&](auto loaded, const auto& load_problems) {
      tagger = std::move(loaded);
      problems = load_problems;
      finished = true;
    });
    EXPECT_TRUE(RunUntil([&] { return finished; }));
    return tagger;
  }

  struct PendingRequest {
    int verdicts = 0;
    Verdict verdict;
    Tagger::Ticket ticket;
  };
  std::shared_ptr<PendingRequest> Ask(const std::shared_ptr<Tagger>& tagger, const std::string& fault = "",
                                      int request_class = kConvert) {
    auto pending = std::make_shared<PendingRequest>();
    RequestView view;
    view.method = "POST", view.target = "/convert", view.request_class = "convert";
    view.headers = {{"Req-Id", "a"}};
    if (!fault.empty()) view.headers.emplace_back("X-Fault", fault);
    auto ticket = tagger->Tag(view, request_class, routing::RouteTable::kNone, Duration(1000),
                              [request = pending.get()](const Verdict& verdict) {
                                ++request->verdicts;
                                request->verdict = verdict;
                              });
    pending->ticket = std::move(ticket);
    return pending;
  }
  Verdict WaitFor(const std::shared_ptr<PendingRequest>& pending) {
    EXPECT_TRUE(RunUntil([&] { return pending->verdicts > 0; }));
    return pending->verdict;
  }
  // How often the log says that the plug-in, or its worker, had this fault.
  std::size_t LoggedFaults(const std::string& name, Fault fault) const {
    const std::string line = "plug-in " + name + ": " + std::string(Name(fault)) + ": ";
    std::size_t count = 0;
    for (std::size_t at = log.find(line); at != std::string::npos; at = log.find(line, at + 1)) ++count;
    return count;
  }
  bool IsServing(const std::string& name) const {
    for (const auto& status : host->status())
      if (status.name == name) return status.state == Supervisor::State::kServing;
    return false;
  }
  // Expects one of 50 requests to be tagged, each sent when the plug-in serves: on a slow machine a request
  // may exceed its time, and the ones that follow would only wait for the next worker.
  void ExpectServed(const std::shared_ptr<Tagger>& tagger, const std::string& name) {
    for (int i = 0; i < 50; ++i) {
      ASSERT_TRUE(RunUntil([&] { return IsServing(name); }));
      const Verdict verdict = WaitFor(Ask(tagger));
      if (verdict.key == "tagged" && !verdict.refuse)
        return;  // on a slow machine some may exceed the wall time of 4 ms
    }
    ADD_FAILURE() << name << " does not serve:\n" << log;
  }

  boost::asio::io_context io{1};
  std::unique_ptr<Host> host;
  std::vector<Host::Problem> problems;
  std::string log;
};

class WorkerFault : public HostTest, public ::testing::WithParamInterface<const char*> {};
INSTANTIATE_TEST_SUITE_P(Kinds, WorkerFault,
                         ::testing::Values("loop", "backtrack", "throw", "recurse", "memory", "widen",
                                           "unknown", "chatter", "number", "segv", "abort", "kill", "exit",
                                           "block", "silent", "double", "nonsense", "long", "half", "other",
                                           "ready", "late"),
                         [](const auto& info) { return info.param; });

TEST_P(WorkerFault, RefusesOneRequestAndThePluginRecovers) {
  const auto tagger = Load(TableOf(Plugin("faulty"), {{"faulty", FaultyScript()}}));
  ASSERT_TRUE(tagger) << (problems.empty() ? "" : problems[0].text);
  ExpectServed(tagger, "faulty");
  const auto faulty_request = Ask(tagger, GetParam());
  const Verdict verdict = WaitFor(faulty_request);
  // With "double" the first reply may be valid.
  if (GetParam() != std::string("double")) {
    EXPECT_TRUE(verdict.refuse);
    EXPECT_FALSE(verdict.key);
  }
  ExpectServed(tagger, "faulty");
  ASSERT_TRUE(RunUntil([&] { return host->exiting_children() == 0; }));
  EXPECT_EQ(faulty_request->verdicts, 1);
}

TEST_F(HostTest, AFaultyPluginDoesNotAffectAnother) {
  const auto table =
      TableOf(Plugin("faulty", "[plugin.on_failure_of]\ncertify = \"pass\"\n") + Plugin("healthy"),
              {{"faulty", FaultyScript()}, {"healthy", kHealthy}});
  const auto tagger = Load(table);
  ASSERT_TRUE(tagger);
  std::uint64_t healthy = 0, requests = 0;
  for (const char* fault : {"loop", "segv", "block", "nonsense", "kill", "silent", "throw", "exit"}) {
    for (int i = 0; i < 5; ++i, ++requests)
      healthy += WaitFor(Ask(tagger, fault, kCertify)).route_tag == "healthy";
  }
  for (const auto& status : host->status()) {
    if (status.name != "healthy") continue;
    const auto faults = [&](Fault fault) { return status.counts.faults[static_cast<std::size_t>(fault)]; };
    // Each restart of its worker followed a timeout, which a slow machine can cause, never the other's
    // faults. The log has each timeout of the worker, also if its call had been counted as late before.
    EXPECT_EQ(status.counts.workers, 1 + LoggedFaults("healthy", Fault::kTimeout)) << log;
    EXPECT_EQ(faults(Fault::kCrash) + faults(Fault::kProtocol), 0u);
    EXPECT_EQ(LoggedFaults("healthy", Fault::kCrash) + LoggedFaults("healthy", Fault::kProtocol), 0u) << log;
    EXPECT_EQ(healthy + faults(Fault::kLate) + faults(Fault::kTimeout) + faults(Fault::kSuspended), requests);
  }
}

TEST_F(HostTest, LoadFailuresAreReportedWithTheirLine) {
  const auto load = [&](const std::string& script, const std::string& more = "") {
    EXPECT_FALSE(Load(TableOf(Plugin("bad", more) + Plugin("good"), {{"bad", script}, {"good", kHealthy}})));
    EXPECT_EQ(problems.size(), 1u);
    if (problems.empty()) return std::string();
    EXPECT_EQ(problems[0].at.line, 2u);
    return problems[0].text;
  };
  EXPECT_EQ(load("error('not today')"), "plug-in 'bad' does not load: bad:1: not today");
  EXPECT_EQ(load("while true do end"), "plug-in 'bad' does not load: out of fuel");
  EXPECT_EQ(load("fault('block')", "load = \"50ms\"\n"),
            "plug-in 'bad' does not load: did not load in its time");
  EXPECT_EQ(load("fault('segv')"), "plug-in 'bad' does not load: ended while it was loaded");
}

TEST_F(HostTest, AWorkerThatCannotBeStartedIsReported) {
  host = std::make_unique<Host>(io, Host::Options{"/nowhere/worker", nullptr});
  EXPECT_FALSE(Load(TableOf(Plugin("a"), {{"a", kHealthy}})));
  ASSERT_EQ(problems.size(), 1u);
  EXPECT_NE(problems[0].text.find("/nowhere/worker cannot be started"), std::string::npos)
      << problems[0].text;
}

TEST_F(HostTest, RequestsFinishWithTheVersionTheyStartedWith) {
  const auto script = [](const std::string& key) {
    return "return { api = 1, tag = function(r) return { key = '" + key + "' } end }";
  };
  auto old_version = Load(TableOf(Plugin("a"), {{"a", script("old")}}));
  ASSERT_TRUE(old_version);
  std::vector<std::shared_ptr<PendingRequest>> waiting;
  for (int i = 0; i < 1000; ++i) waiting.push_back(Ask(old_version));
  std::shared_ptr<Tagger> new_version;
  host->Load(TableOf(Plugin("a"), {{"a", script("new")}}),
             [&](auto t, const auto&) { new_version = std::move(t); });
  ASSERT_TRUE(RunUntil([&] { return new_version != nullptr; }));
  const auto later = Ask(new_version);
  old_version.reset();  // the pending requests keep it alive
  EXPECT_EQ(WaitFor(later).key, "new");
  for (const auto& request : waiting) {
    const Verdict verdict = WaitFor(request);
    // Refused if late on a slow machine, but never tagged by the other version.
    EXPECT_TRUE(verdict.key == "old" || verdict.refuse);
    EXPECT_EQ(request->verdicts, 1);
  }
  waiting.clear();
  ASSERT_TRUE(RunUntil([&] { return host->status().size() == 1 && host->exiting_children() == 0; }));
}

TEST_F(HostTest, AReloadKeepsTheWorkerAndStateOfAnUnchangedPlugin) {
  const auto counting = "return { api = 1, tag = function(r, s) return { key = tostring(s:add('n')) } end }";
  const auto table = [&](const std::string& other_script) {
    return TableOf(Plugin("same") + Plugin("other"), {{"same", counting}, {"other", other_script}});
  };
  const auto same = [&] {
    for (const auto& status : host->status())
      if (status.name == "same") return status;
    return Host::Status();
  };
  auto tagger = Load(table(kHealthy));
  ASSERT_TRUE(tagger);
  // On a slow machine a timeout may replace the worker. The counter is checked only if that did not happen.
  std::string last = "";
  for (int i = 0; i < 3; ++i) last = WaitFor(Ask(tagger)).key.value_or(last);
  ASSERT_TRUE(RunUntil([&] { return IsServing("same"); }));
  const Host::Status before = same();
  tagger = Load(table(std::string(kHealthy) + " -- changed"));
  ASSERT_TRUE(tagger);
  const Host::Status after = same();
  EXPECT_EQ(after.worker, before.worker);
  EXPECT_EQ(after.counts.workers, before.counts.workers);
  const auto next = WaitFor(Ask(tagger)).key;
  if (next && before.counts.workers == 1 && same().counts.workers == 1) {
    EXPECT_GT(std::stod(*next), std::stod(last.empty() ? "0" : last));
  }
}

TEST_F(HostTest, ASupersededLoadIsNeverReported) {
  const std::string slow = "local n = 0 for i = 1, 2000000 do n = n + i end " + std::string(kHealthy);
  int first = 0;
  bool second = false;
  host->Load(TableOf(Plugin("slow"), {{"slow", slow}}), [&](auto, const auto&) { ++first; });
  host->Load(TableOf("", {}), [&](auto tagger, const auto&) { second = tagger != nullptr; });
  ASSERT_TRUE(RunUntil([&] { return second; }));
  // Nothing references the first load, so its worker is killed.
  ASSERT_TRUE(RunUntil([&] { return host->status().empty() && host->exiting_children() == 0; }));
  EXPECT_EQ(first, 0);
}

TEST_F(HostTest, AFailedReloadKeepsTheOldVersion) {
  const auto tagger = Load(TableOf(Plugin("faulty"), {{"faulty", FaultyScript()}}));
  ASSERT_TRUE(tagger);
  EXPECT_FALSE(Load(TableOf(Plugin("faulty"), {{"faulty", "error('no')"}})));
  ExpectServed(tagger, "faulty");
}

TEST_F(HostTest, ACancelledRequestGetsNoVerdict) {
  const auto tagger = Load(TableOf(Plugin("faulty"), {{"faulty", FaultyScript()}}));
  ASSERT_TRUE(tagger);
  const auto hanging = Ask(tagger, "loop"), queued = Ask(tagger);
  hanging->ticket.reset(), queued->ticket.reset();
  ExpectServed(tagger, "faulty");
  EXPECT_EQ(hanging->verdicts + queued->verdicts, 0);
}

TEST_F(HostTest, TheOpenBreakerRefusesAtOnceAndLogLinesAreBounded) {
  const auto tagger = Load(TableOf(Plugin("faulty", ""), {{"faulty", FaultyScript()}}));
  ASSERT_TRUE(tagger);
  for (int i = 0; i < 130; ++i) WaitFor(Ask(tagger, "throw"));
  EXPECT_FALSE(IsServing("faulty"));
  // The faults and the suspension; and two changes of state for each timeout, which a slow machine can cause.
  const auto lines = static_cast<std::size_t>(std::count(log.begin(), log.end(), '\n'));
  EXPECT_GE(lines, 100u);
  EXPECT_LE(lines, 101 + 2 * LoggedFaults("faulty", Fault::kTimeout)) << log;
  const auto request = Ask(tagger);
  EXPECT_EQ(request->verdicts, 1);  // called back before Tag returned
  EXPECT_TRUE(request->verdict.refuse);
}

TEST_F(HostTest, AThousandFaultsLeakNothing) {
  const auto before = OpenDescriptors();
  std::size_t memory_during = 0;
  {
    auto table = TableOf(Plugin("faulty"), {{"faulty", FaultyScript()}});
    std::shared_ptr<Tagger> tagger;
    int faults = 0;
    std::size_t descriptors_during = 0;
    while (faults < 1000) {
      if (!tagger || !IsServing("faulty")) {
        // Releasing the version also resets its circuit breaker.
        tagger.reset();
        ASSERT_TRUE(RunUntil([&] { return host->status().empty(); }));
        tagger = Load(table);
        ASSERT_TRUE(tagger);
      }
      const char* kinds[] = {"segv", "kill", "nonsense", "exit"};
      WaitFor(Ask(tagger, kinds[faults++ % 4]));
      ASSERT_TRUE(RunUntil(
          [&] { return IsServing("faulty") || host->status()[0].state == Supervisor::State::kSuspended; }));
      if (faults == 100) {
        ASSERT_TRUE(RunUntil([&] { return host->exiting_children() == 0; }));
        descriptors_during = OpenDescriptors();
        memory_during = mallinfo2().uordblks;
      }
    }
    ASSERT_TRUE(RunUntil([&] { return host->exiting_children() == 0; }));
    EXPECT_LE(OpenDescriptors(), descriptors_during + 1);
    // Memory leaked by the last 900 faults, except for this test's log. With sanitizers mallinfo2 counts
    // nothing.
    EXPECT_LE(mallinfo2().uordblks, memory_during + 2 * log.capacity() + 64 * 1024);
  }
  host.reset();
  io.restart();
  io.poll();
  EXPECT_LE(OpenDescriptors(), before + 3);  // of the event loop
  EXPECT_EQ(waitpid(-1, nullptr, WNOHANG), -1);
  EXPECT_EQ(errno, ECHILD);
}

}  // namespace
}  // namespace kestrelline::plugin
