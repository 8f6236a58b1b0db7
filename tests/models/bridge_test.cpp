// SPDX-License-Identifier: Apache-2.0
//
// Random walks of the SPIN models, replayed against the real decision module: at each step it must decide
// what the model says. Without this a model proves nothing of the code.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "harness.h"
#include "support/spin_walk.h"

namespace kestrelline {
namespace {

using kestrelline::testing::Walk;
using testing::Entry;
using testing::Rig;
using testing::Usual;

const std::map<std::string, Outcome> kOutcomes{
    {"ok", Outcome::kOk},       {"error", Outcome::kError},
    {"full", Outcome::kFull},   {"timeout", Outcome::kTimeout},
    {"reset", Outcome::kReset}, {"connect_failed", Outcome::kConnectFailed},
    {"moot", Outcome::kMoot},   {"cancelled", Outcome::kCancelled}};

// What the module did that the model has not said yet.
struct Undecided {
  int sends = 0, ends = 0;
  ServerId server = 0;
};

Undecided Of(const Rig& rig) {
  Undecided undecided;
  for (const Action& action : rig.actions) {
    if (const auto* dispatch = std::get_if<Dispatch>(&action))
      ++undecided.sends, undecided.server = dispatch->server;
    undecided.ends += std::holds_alternative<Refuse>(action) || std::holds_alternative<Fail>(action);
  }
  return undecided;
}

// Where the module decided otherwise; empty where it agreed to the end.
std::string Disagreement(const std::vector<std::string>& walk, std::map<std::string, int>* seen) {
  Settings settings = Usual();
  settings.max_attempts = 3;
  Rig rig(settings);
  rig.Servers(2);
  Undecided undecided;
  int attempt = -1;
  ServerId server = 0;
  bool finished = false;
  std::string so_far;
  for (const std::string& line : walk) {
    std::istringstream words(line);
    std::string what, which;
    words >> what >> which;
    const bool known = what == "effect" || what == "send" || what == "end" || what == "gives_up" ||
                       what == "gone" || what == "window" || what == "dies";
    if (!known) continue;  // of spin itself
    ++(*seen)[what + (what == "end" ? " " + which : "")];
    so_far += line + "; ";
    if (what == "send") {
      if (undecided.sends != 1 || undecided.ends != 0) return so_far + "the module does not send";
      ++attempt, server = undecided.server;
      undecided = {};
      continue;
    }
    if (what == "gives_up") {
      if (undecided.ends != 1 || undecided.sends != 0) return so_far + "the module does not give up";
      finished = true;
      undecided = {};
      continue;
    }
    if (undecided.sends != 0 || undecided.ends != 0) return so_far + "the module did more than the model";
    if (what == "dies") return "";
    rig.now += 1;
    rig.actions.clear();
    if (what == "effect") {
      rig.Ask(1, std::stoi(which), 10, 1e6);
    } else if (what == "end") {
      finished = finished || which == "ok";
      rig.End(1, attempt, server, kOutcomes.at(which), 10, finished);
    } else if (what == "gone") {
      finished = true;
      rig.Do(ClientGone{1});
    } else {
      rig.now += 5000;  // ten windows
      rig.Do(TimerFired{});
    }
    undecided = Of(rig);
  }
  return undecided.sends + undecided.ends == 0 ? "" : so_far + "the module did more than the model";
}

TEST(Bridge, TheModuleDecidesAsTheModelOfARequestDoes) {
  std::map<std::string, int> seen;
  for (int effect = 0; effect < 3; ++effect) {
    for (int seed = 1; seed <= 60; ++seed) {
      const auto walk = Walk(
          "request.pml", "-DEFFECT=" + std::to_string(effect) + " -DQUIET=" + std::to_string(seed % 2), seed);
      ASSERT_EQ(Disagreement(walk, &seen), "") << "effect " << effect << ", seed " << seed;
    }
  }
  for (const char* kind : {"end ok", "end error", "end full", "end timeout", "end reset",
                           "end connect_failed", "gives_up", "gone", "window", "dies", "send"})
    EXPECT_GT(seen[kind], 0) << kind;
}

TEST(Bridge, AModelThatDecidesOtherwiseIsFoundOut) {
  // A reset taken for never having run; a key repeated after its window; a timed-out attempt taken for none.
  const std::pair<const char*, const char*> mutations[] = {{"-DEFFECT=2 -DMUTATION=1", "reset"},
                                                           {"-DEFFECT=1 -DMUTATION=4", "window"},
                                                           {"-DEFFECT=2 -DMUTATION=6", "timeout"}};
  for (const auto& [defines, what] : mutations) {
    std::map<std::string, int> seen;
    int found = 0;
    for (int seed = 1; seed <= 200 && found == 0; ++seed)
      found += !Disagreement(Walk("request.pml", std::string(defines) + " -DQUIET=1", seed), &seen).empty();
    EXPECT_GT(found, 0) << what;
  }
}

// Two servers: the model's, and another that is busy, so that it is picked only where the first may not be.
class Listed {
 public:
  explicit Listed(const std::string& kind, int phase) {
    rig_.List({Entry(2)});
    rig_.Ask(++last_, 0, 50, 1e6);
    if (kind != "") Tell(kind, phase);
  }
  void Tell(const std::string& kind, int phase) {
    constexpr ServerState kStates[] = {ServerState::kReady, ServerState::kDraining, ServerState::kGone};
    const ServerEntry one = Entry(1, 0, 0, kStates[phase]);
    if (kind == "delta") return rig_.List({one}, ListKind::kDelta);
    std::vector<ServerEntry> all{Entry(2)};
    if (phase != 2) all.push_back(one);
    rig_.List(all, kind == "full" ? ListKind::kFull : ListKind::kCached);
  }
  bool Sends() {
    rig_.now += 1;
    const auto server = rig_.Ask(++last_, 0, 1, 1e6);
    EXPECT_TRUE(server.has_value());
    if (server) rig_.End(last_, 0, *server, Outcome::kOk, 1);
    return server == ServerId{1};
  }

 private:
  Rig rig_;
  RequestId last_ = 0;
};

TEST(Bridge, TheModuleSendsWhereTheModelOfAListDoes) {
  std::map<std::string, int> seen;
  for (int seed = 1; seed <= 60; ++seed) {
    std::optional<Listed> listed(std::in_place, "", 0);
    for (const auto& line : Walk("list.pml", "", seed)) {
      std::istringstream words(line);
      std::string what;
      int phase = 0;
      words >> what >> phase;
      ++seen[what];
      if (what == "full" || what == "delta") listed->Tell(what, phase);
      if (what == "restart") listed.emplace("cached", phase);
      if (what == "sends" || what == "sends_not") {
        ASSERT_EQ(listed->Sends(), what == "sends") << "seed " << seed << ": " << line;
      }
    }
  }
  for (const char* kind : {"full", "delta", "restart", "sends", "sends_not", "ignored"})
    EXPECT_GT(seen[kind], 0) << kind;
}

}  // namespace
}  // namespace kestrelline
