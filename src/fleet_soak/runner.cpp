// SPDX-License-Identifier: Apache-2.0
#include "fleet_soak/runner.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string_view>
#include <utility>

#include "fleet_soak/fleet.h"
#include "fleet_soak/operators.h"
#include "fleet_soak/site.h"
#include "fleet_soak/traffic.h"

namespace kestrelline::fleet_soak {

using namespace http;
using fleet_standin::Fault;

namespace {

constexpr Time kPollInterval{20};
constexpr Time kStartTimeout{20000};
constexpr Time kRecoveryTimeout{10000};
constexpr Time kCoreTurnTimeout{8000};  // a trouble of a member that finds no turn by then is left out
constexpr Time kClientsEndTimeout{15000};
constexpr Time kMinStall{50};
constexpr int kClientsPerProxy = 8;
constexpr int kMinClients = 48;
constexpr int kMaxClients = 240;
constexpr Kind kKinds[] = {Kind::kUnsafe, Kind::kSafe, Kind::kStream, Kind::kResumable};

class Runner {
 public:
  explicit Runner(const RunOptions& options)
      : plan_(options.plan),
        folder_(options.folder),
        ledger_(options.rules),
        site_(options.plan.sizes, options.rules, getpid()),
        fleet_(io_, site_, options.plan.sizes, ledger_, options.program, options.folder),
        traffic_(fleet_, site_, ledger_, options.plan.seed),
        operators_(fleet_, site_, ledger_, options.plan.seed) {}

  RunResult Play() {
    fleet_.StartAll();
    Spawn(operators_.Run());
    Spawn(WatchOneself());
    asio::co_spawn(io_, Main(), [this](std::exception_ptr failure) {
      failure_ = failure;
      io_.stop();
    });
    io_.run();
    if (failure_) std::rethrow_exception(failure_);
    fleet_.RecordArrivals();
    LookForInvariants();
    WriteRequests();
    RunResult result;
    result.judgement = ledger_.Judge(read_back_version_, read_back_, fleet_.Now());
    result.processes = ledger_.lives.size();
    for (const Interval& stall : ledger_.harness_stalls) {
      result.longest_stall = std::max(result.longest_stall, stall.to - stall.from);
    }
    return result;
  }

 private:
  void Spawn(Awaitable<void> work) { asio::co_spawn(io_, std::move(work), asio::detached); }

  Awaitable<bool> Eventually(std::function<bool()> holds, Time within) {
    for (const Time until = fleet_.Now() + within; fleet_.Now() < until;) {
      if (holds()) co_return true;
      co_await fleet_.Sleep(kPollInterval);
    }
    co_return holds();
  }

  void Break(const char* rule, const std::string& process, std::string what) {
    ledger_.Note({fleet_.Now(), rule, process, "", std::move(what)});
  }

  Awaitable<void> Main() {
    operators_.Queue(Trouble::kChange);
    if (!co_await Eventually([this] { return operators_.newest() > 0 && fleet_.AllReady(); },
                             kStartTimeout)) {
      co_return Break("RECOVER", "", "the fleet is not ready after its start");
    }
    for (const auto& gateway : fleet_.gateways) traffic_.StartCaller(*gateway);
    traffic_.Start(std::clamp(plan_.sizes.edges * kClientsPerProxy, kMinClients, kMaxClients));
    co_await PlayPlan();
    co_await Recover();
    traffic_.Stop();
    co_await Eventually([this] { return traffic_.running() == 0; }, kClientsEndTimeout);
    co_await ReadBack();
    co_await EndAll();
  }

  Awaitable<void> PlayPlan() {
    const Time began = fleet_.Now();
    under_way_ = 0;
    for (const Action& action : plan_.actions) {
      const Time wait = began + action.at - fleet_.Now();
      if (wait > Time(0)) co_await fleet_.Sleep(wait);
      ++under_way_;
      Spawn(Bring(action));
    }
    const Time wait = began + plan_.length - fleet_.Now();
    if (wait > Time(0)) co_await fleet_.Sleep(wait);
    co_await Eventually([this] { return under_way_ == 0 && operators_.idle(); }, kForever / 2);
    for (const auto& backend : fleet_.backends) backend->ExpectNoFaults();
  }

  Awaitable<void> Bring(Action action) {
    co_await BringOne(action);
    --under_way_;
  }

  Awaitable<void> BringOne(const Action& action) {
    const auto target = static_cast<std::size_t>(action.target);
    switch (action.trouble) {
      case Trouble::kTermProxy:
        if (target < fleet_.gateways.size()) Spawn(fleet_.Terminate(*fleet_.gateways[target], action.length));
        co_return co_await fleet_.Terminate(*fleet_.edges.at(target), action.length);
      case Trouble::kHangupProxy:
        // Before it has begun, a process has the signal's default action still.
        if (fleet_.edges.at(target)->was_ready) fleet_.edges.at(target)->process->Signal(SIGHUP);
        co_return;
      case Trouble::kKillProxy:
        co_return co_await fleet_.Kill(*fleet_.edges.at(target), action.length);
      case Trouble::kPauseProxy:
        co_return co_await fleet_.Pause(*fleet_.edges.at(target), action.length);
      case Trouble::kCutClients:
        co_return co_await fleet_.Cut(*fleet_.edges.at(target), action.length);
      case Trouble::kCutOperator:
        co_return co_await fleet_.Cut(*fleet_.cores.at(target), action.length);
      case Trouble::kLoseAnswers:
        co_return fleet_.cores.at(target)->relay->LoseAnswers(action.count);
      case Trouble::kTermCore:
      case Trouble::kKillCore:
      case Trouble::kPauseCore:
        co_return co_await TakeCoreDown(action, *fleet_.cores.at(target));
      case Trouble::kKillAll:
        co_return co_await KillAll(action.length);
      case Trouble::kBackendBreaks:
      case Trouble::kBackendHangs:
      case Trouble::kBackendRefuses:
        co_return Disturb(action);
      case Trouble::kBackendGarbles:
        co_return Spoil(action);
      case Trouble::kChange:
      case Trouble::kRace:
      case Trouble::kInvalid:
      case Trouble::kRepeat:
        co_return operators_.Queue(action.trouble);
    }
  }

  void Disturb(const Action& action) {
    fleet_standin::Backend& backend = *fleet_.backends.at(static_cast<std::size_t>(action.target));
    const wire::Instance instance = backend.instance();
    Fault fault = instance.decode ? Fault::kBreakStream : Fault::kCloseUnanswered;
    if (action.trouble == Trouble::kBackendHangs) fault = Fault::kHang;
    if (action.trouble == Trouble::kBackendRefuses) fault = Fault::kRefuse;
    backend.Expect(std::vector<Fault>(static_cast<std::size_t>(action.count), fault));
  }

  // In the stream of a backend that generates; other answers are spoiled as a whole.
  void Spoil(const Action& action) {
    static const std::vector<fleet_standin::Garbage> kGarbage = fleet_standin::AllGarbage();
    static const std::vector<Fault> kSpoiledAnswers = {Fault::kNoAnswer,     Fault::kContradiction,
                                                       Fault::kFalsePromise, Fault::kTwoIds,
                                                       Fault::kEncoded,      Fault::kBadLoad};
    fleet_standin::Backend& backend = *fleet_.backends.at(static_cast<std::size_t>(action.target));
    const wire::Instance instance = backend.instance();
    for (int i = 0; i < action.count; ++i) {
      const auto variant = static_cast<std::size_t>(action.variant + i);
      if (instance.decode) {
        backend.ExpectGarbage(kGarbage[variant % kGarbage.size()]);
      } else {
        const Fault spoiled = kSpoiledAnswers[variant % kSpoiledAnswers.size()];
        backend.Expect({instance.prefill ? Fault::kBadHandle : spoiled});
      }
    }
  }

  // No more members at once than may be lost, counted with those that are not back yet.
  Awaitable<void> TakeCoreDown(const Action& action, Node& core) {
    const auto has_turn = [this, &core] {
      return core.ready && !core.owned && cores_taken_ < plan_.sizes.tolerance() &&
             fleet_.CoresNotReady() < plan_.sizes.tolerance();
    };
    if (!co_await Eventually(has_turn, kCoreTurnTimeout)) co_return;
    ++cores_taken_;
    if (action.trouble == Trouble::kTermCore) co_await fleet_.Terminate(core, action.length);
    if (action.trouble == Trouble::kKillCore) co_await fleet_.Kill(core, action.length);
    if (action.trouble == Trouble::kPauseCore) co_await fleet_.Pause(core, action.length);
    core.ready = false;  // until it says so again
    co_await Eventually([&core] { return core.ready; }, kRecoveryTimeout);
    --cores_taken_;
  }

  Awaitable<void> KillAll(Time start_after) {
    int left = 0;
    const auto kill = [&](Node& node) -> Awaitable<void> {
      co_await fleet_.Kill(node, start_after);
      --left;
    };
    for (auto* nodes : fleet_.AllNodes()) {
      for (const auto& node : *nodes) {
        ++left;
        Spawn(kill(*node));
      }
    }
    co_await Eventually([&left] { return left == 0; }, kForever / 2);
  }

  Awaitable<void> Recover() {
    const Time until = fleet_.Now() + kRecoveryTimeout;
    if (!co_await Eventually([this] { return fleet_.AllReady(); }, kRecoveryTimeout)) {
      for (auto* nodes : fleet_.AllNodes()) {
        for (const auto& node : *nodes) {
          if (!node->ready) Break("RECOVER", node->name, "not ready 10 s after the last trouble");
        }
      }
    }
    int left = 0;
    for (const auto& edge : fleet_.edges) {
      ++left;
      Spawn(AskOnEveryRoute(*edge, until, left));
    }
    co_await Eventually([&left] { return left == 0; }, kForever / 2);
  }

  Awaitable<void> AskOnEveryRoute(const Node& edge, Time until, int& left) {
    for (const Kind kind : kKinds) {
      Request last;
      do {
        last = co_await traffic_.AskOnce(edge, kind);
        if (last.status != 200) co_await fleet_.Sleep(kPollInterval);
      } while (last.status != 200 && fleet_.Now() < until);
      if (last.status == 200) continue;
      Break("RECOVER", edge.name,
            "no 200 on " + std::string(PathOf(kind)) + ", at last " + std::to_string(last.status));
    }
    --left;
  }

  // What is in force, at the control plane and at every proxy.
  Awaitable<void> ReadBack() {
    const auto text = co_await operators_.Read();
    if (!text) co_return Break("CONFIG", "", "no configuration can be read at the end");
    read_back_ = *text;
    read_back_version_ = Operators::VersionOf(*text);
    for (const auto& edge : fleet_.edges) co_await LookUpVersion(*edge);
  }
  Awaitable<void> LookUpVersion(const Node& edge) {
    const Time until = fleet_.Now() + kRecoveryTimeout;
    int status = 0;
    while (status != 200 && fleet_.Now() < until) {
      const std::string target = Site::PathOfVersion(read_back_version_) + "x";
      const auto answer =
          co_await AskOnce(io_, site_.Front(edge.index), {bhttp::verb::get, target, 11}, Time(2000));
      status = answer ? static_cast<int>(answer->result_int()) : 0;
    }
    if (status == 200) co_return;
    Break("CONFIG", edge.name,
          "serves without version " + std::to_string(read_back_version_) + ": " + std::to_string(status));
  }

  Awaitable<void> EndAll() {
    for (auto* nodes : fleet_.AllNodes()) {
      for (const auto& node : *nodes) Spawn(fleet_.Terminate(*node, std::nullopt));
    }
    const auto all_ended = [this] {
      const auto ended = [](const auto& node) { return !node->running; };
      const auto all_nodes = fleet_.AllNodes();
      return std::all_of(all_nodes.begin(), all_nodes.end(), [&ended](const auto* nodes) {
        return std::all_of(nodes->begin(), nodes->end(), ended);
      });
    };
    co_await Eventually(all_ended, ledger_.rules().grace * 2);
  }

  // A harness that is not run measures nothing.
  Awaitable<void> WatchOneself() {
    while (true) {
      const Time before = fleet_.Now();
      co_await fleet_.Sleep(kPollInterval);
      const Time late = fleet_.Now() - before - kPollInterval;
      if (late > kMinStall) ledger_.harness_stalls.push_back({before + kPollInterval, fleet_.Now()});
    }
  }

  void LookForInvariants() {
    for (const auto& entry : std::filesystem::directory_iterator(folder_)) {
      if (entry.path().extension() != ".log") continue;
      std::ifstream log(entry.path());
      for (std::string line; std::getline(log, line);) {
        if (line.find("invariant violated") == std::string::npos) continue;
        Break("INVARIANT", entry.path().stem().string(), line);
      }
    }
  }

  // For whoever traces a violation: every request, beside the logs.
  void WriteRequests() const {
    std::ofstream out(folder_ + "/requests.tsv");
    out << "id\tprocess\trelay\tsent_ms\tended_ms\tdeadline_ms\tending\tstatus\tbody_bytes\n";
    for (const Request& request : ledger_.requests) {
      out << request.id << '\t' << ledger_.lives.at(request.life).name << '\t' << request.relay.has_value()
          << '\t' << request.sent.count() << '\t' << request.ended.count() << '\t' << request.deadline.count()
          << '\t' << NameOf(request.ending) << '\t' << request.status << '\t' << request.body.size() << '\n';
    }
    std::ofstream lives(folder_ + "/processes.tsv");
    lives << "process\tstarted_ms\tterm_ms\tended_ms\tstatus\n";
    for (const Life& life : ledger_.lives) {
      lives << life.name << '\t' << life.started.count() << '\t' << life.term.value_or(Time(-1)).count()
            << '\t' << life.ended.value_or(Time(-1)).count() << '\t' << life.status << '\n';
    }
  }

  Plan plan_;
  std::string folder_;
  asio::io_context io_{1};
  Ledger ledger_;
  Site site_;
  Fleet fleet_;
  Traffic traffic_;
  Operators operators_;
  std::exception_ptr failure_;
  int under_way_ = 0;
  int cores_taken_ = 0;
  std::uint64_t read_back_version_ = 0;
  std::string read_back_;
};

// Bodies have several lines, and may hold bytes that are no text; a violation is one line of text.
std::string OnOneLine(std::string text) {
  const auto is_shown = [](char c) { return c >= ' ' && c <= '~'; };
  std::replace_if(text.begin(), text.end(), std::not_fn(is_shown), ' ');
  return text;
}

std::string Seconds(Time time) {
  std::string text = std::to_string(static_cast<double>(time.count()) / 1000);
  return text.substr(0, text.find('.') + 4);
}

}  // namespace

RunResult RunSoak(const RunOptions& options) { return Runner(options).Play(); }

void Print(const RunOptions& options, const RunResult& result, std::ostream& out) {
  const Tally& tally = result.judgement.tally;
  for (const Violation& violation : result.judgement.violations) {
    out << violation.rule << " at " << Seconds(violation.at) << " s " << violation.process << ' '
        << violation.request << ": " << OnOneLine(violation.what) << '\n';
  }
  out << "not counted: " << tally.not_sent << " not sent, " << tally.crossed << " crossed a close, "
      << tally.late << " after the deadline, " << tally.broken_off << " broken off by a backend, "
      << tally.disturbed << " disturbed, " << tally.at_end_of_grace << " at the end of grace, "
      << tally.given_up << " given up; harness stalled " << result.longest_stall.count() << " ms at most\n";
  out << "seed " << options.plan.seed << " processes " << result.processes << " requests " << tally.requests
      << " answered " << tally.answered << " sent on " << tally.sent_on << " refused " << tally.refused
      << " failed " << tally.failed << " violations " << result.judgement.violations.size() << std::endl;
}

}  // namespace kestrelline::fleet_soak
