// SPDX-License-Identifier: Apache-2.0
//
// The ledger against a whole run on sockets: clients of the load generator, stand-in converters, and between
// them a proxy that keeps the rules or breaks one on purpose.
#include <atomic>

#include "load/engine.h"
#include "support/audited_load.h"
#include "support/running_fleet.h"

namespace kestrelline::testing {
namespace {

using Kind = Event::Kind;
using load::Rule;

enum class Sin {
  kNone,
  kClosesWithoutAnAnswer,
  kNeverAnswers,
  kServesTheAnswerBefore,
  kSendsServedWorkAgain,
  kSendsTwoAtOnce,
  kRefusesWhatHasRun,
  kRepeatsInAnotherCell,
  kSendsFiveTimes,
  kIgnoresDrains,
  kLoadsAColdOneAlone,
};

// Forwards each request to one of two converters, on a connection of its own.
class RogueProxy {
 public:
  RogueProxy(Sin sin, std::vector<Tcp::endpoint> converters)
      : sin_(sin), converters_(std::move(converters)), listener_([this](Tcp::socket& s) { Serve(s); }) {}
  Tcp::endpoint address() const { return listener_.address; }

 private:
  // An attempt that is out.
  struct Attempt {
    explicit Attempt(const Tcp::endpoint& converter) : client(converter) {}
    Client client;
  };

  void Serve(Tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    std::string before;
    for (;;) {
      http::request<http::string_body> request;
      error_code failed;
      http::read(socket, buffer, request, failed);
      if (failed) return;
      std::ostringstream text;
      text << request;
      const auto first = [&] { return Whole(text.str(), converters_[0]); };
      HttpResponse answer;
      switch (sin_) {
        case Sin::kNone:
          answer = Whole(text.str(), converters_[turn_++ % converters_.size()]);
          break;
        case Sin::kClosesWithoutAnAnswer:
          return void(first());
        case Sin::kNeverAnswers: {
          first();
          char byte;
          asio::read(socket, asio::buffer(&byte, 1), failed);
          return;
        }
        case Sin::kServesTheAnswerBefore:
          answer = first();
          std::swap(before, answer.body());
          break;
        case Sin::kSendsServedWorkAgain:
          first();
          answer = first();
          break;
        case Sin::kSendsTwoAtOnce: {
          Attempt one(converters_[0]), other(converters_[1]);
          one.client.Send(text.str());
          other.client.Send(text.str());
          answer = one.client.Read();
          other.client.Read();
          break;
        }
        case Sin::kRefusesWhatHasRun:
          first();
          answer.result(http::status::service_unavailable);
          break;
        case Sin::kRepeatsInAnotherCell:
          first();
          answer = Whole(text.str(), converters_[1]);
          break;
        case Sin::kSendsFiveTimes:
          for (int i = 0; i < 5; ++i) answer = first();
          break;
        case Sin::kIgnoresDrains:
        case Sin::kLoadsAColdOneAlone:
          answer = first();
          break;
      }
      answer.prepare_payload();
      std::ostringstream back;
      back << answer;
      SendRaw(socket, back.str());
    }
  }

  static HttpResponse Whole(const std::string& request, const Tcp::endpoint& converter) {
    Attempt attempt(converter);
    return attempt.client.Ask(request);
  }

  Sin sin_;
  std::vector<Tcp::endpoint> converters_;
  std::atomic<std::size_t> turn_{0};
  Listener listener_;
};

struct Scenario {
  Sin sin = Sin::kNone;
  std::string request_class = "look";
  double requests = 10;
  load::Microseconds deadline = Ms(60000);
  standin::SiteSpec site = SmallSite();
  std::function<void(RunningFleet&)> before = [](RunningFleet&) {};
};

load::Ledger::Verdict Judged(const Scenario& run) {
  RunningFleet fleet(run.site);
  RogueProxy proxy(run.sin, {fleet.At("s-00"), fleet.At("s-01")});
  // As a proxy would, it hears of the list: what it does with that is its own matter.
  Client watch(fleet.Discovery());
  watch.Send("GET /v1/endpoints?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(fleet.WaitFor(Kind::kTold, "s-00"));
  run.before(fleet);

  load::Plan plan;
  plan.classes = {{run.request_class, load::Effect::kSafe, run.deadline}};
  for (const auto& c : run.site.classes)
    if (c.name == run.request_class) plan.classes[0].effect = c.effect;
  plan.mixture.shapes = {load::Constant{1000}};
  plan.mixture.spacing = load::Spacing::kEven;
  plan.mixture.classes = {{run.request_class, 1, 0, 0}};
  plan.mixture.seconds = run.requests / 1000;
  load::RuleFigures figures = run.site.Rules();
  figures.drain_grace = figures.slack = Ms(0);
  if (run.deadline >= Ms(10000)) figures.slack = Ms(10000);  // of a slow machine, which is not the matter
  if (run.sin == Sin::kIgnoresDrains) figures.slack = Ms(0);
  return PlayAndJudge(plan, {proxy.address()}, fleet, figures);
}

void ExpectBroken(const Scenario& run, Rule rule, const std::string& text) {
  const auto verdict = Judged(run);
  EXPECT_GT(verdict.broken[static_cast<int>(rule)], 0u) << load::Shown(verdict);
  const auto found = std::find_if(
      verdict.violations.begin(), verdict.violations.end(),
      [&](const load::Violation& v) { return v.rule == rule && v.text.find(text) != std::string::npos; });
  ASSERT_NE(found, verdict.violations.end()) << load::Shown(verdict);
  // Only the rule that was broken.
  for (int i = 0; i < load::kRules; ++i)
    if (i != static_cast<int>(rule)) {
      EXPECT_EQ(verdict.broken[i], 0u) << load::Shown(verdict);
    }
}

TEST(RogueProxy, OneThatKeepsTheRulesIsClean) {
  for (const char* c : {"look", "change", "book"}) {
    Scenario run;
    run.request_class = c;
    run.requests = 200;
    const auto verdict = Judged(run);
    EXPECT_TRUE(verdict.clean()) << load::Shown(verdict);
    EXPECT_EQ(verdict.served, 200u);
    EXPECT_EQ(verdict.attempts, 200u);
  }
}

TEST(RogueProxy, ARequestIsLost) {
  ExpectBroken({Sin::kClosesWithoutAnAnswer}, Rule::kNoneLost, "ended without a whole answer");
  Scenario silent{Sin::kNeverAnswers};
  silent.deadline = Ms(100);
  ExpectBroken(silent, Rule::kNoneLost, "no final answer by the client's time");
  Scenario stale{Sin::kServesTheAnswerBefore};
  ExpectBroken(stale, Rule::kNoneLost, "served with what no converter made for it");
}

TEST(RogueProxy, AnEffectIsThereTwice) {
  ExpectBroken({Sin::kSendsServedWorkAgain, "book"}, Rule::kNoEffectTwice, "must not run twice");
  ExpectBroken({Sin::kSendsTwoAtOnce}, Rule::kNoEffectTwice, "two attempts out at once");
  ExpectBroken({Sin::kRefusesWhatHasRun, "book"}, Rule::kNoEffectTwice, "refused though it may have run");
  ExpectBroken({Sin::kRepeatsInAnotherCell, "change"}, Rule::kNoEffectTwice, "outside the cell");
  ExpectBroken({Sin::kSendsFiveTimes}, Rule::kNoEffectTwice, "more attempts than allowed");
}

TEST(RogueProxy, ADrainIsNotKept) {
  Scenario run{Sin::kIgnoresDrains};
  run.before = [](RunningFleet& fleet) {
    fleet.Apply("drain s-00 10m");
    ASSERT_TRUE(fleet.WaitFor(Kind::kTold, "s-00", 1, 1));
  };
  const auto verdict = Judged(run);
  EXPECT_GT(verdict.broken[static_cast<int>(Rule::kDrainsKept)], 0u) << load::Shown(verdict);
}

TEST(RogueProxy, AColdConverterIsPushedOver) {
  Scenario run{Sin::kLoadsAColdOneAlone};
  run.requests = 30;
  run.site.warm_up = Ms(600000);
  run.site.cold_from = 0.05;
  run.site.classes[0].work_s = 0.02;  // 0.6 s in all, and 0.375 s are allowed in 3 s
  run.site.converters[0].queue = 1;   // the others are declined, so that the test is soon over
  run.before = [](RunningFleet& fleet) {
    fleet.Apply("restart s-00 10ms");
    ASSERT_TRUE(fleet.WaitFor(Kind::kStarted, "s-00", 2));
  };
  run.deadline = Ms(200);
  const auto verdict = Judged(run);
  EXPECT_GT(verdict.broken[static_cast<int>(Rule::kNoneColdPushedOver)], 0u) << load::Shown(verdict);
}

}  // namespace
}  // namespace kestrelline::testing
