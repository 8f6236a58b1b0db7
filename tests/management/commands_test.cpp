// SPDX-License-Identifier: Apache-2.0
//
// The calls of the door, their words, and the text of the figures.
#include "management/commands.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "management/figures.h"

namespace kestrelline::management {
namespace {

struct Process : Operations {
  lifecycle::ProcessLifecycle life;
  Figures figures{{"preview", "a\"b\\c\nd"}};
  lifecycle::State state() const override { return life.state(); }
  lifecycle::CommandResult Drain() override { return life.Drain({}); }
  lifecycle::CommandResult Resume() override { return life.Resume(); }
  std::string FiguresText() const override { return figures.Text({15, 2}); }
};

TEST(Commands, EachHasADefinedAnswerInEachState) {
  Process p;
  EXPECT_EQ(AnswerTo("ready\n", p), "NAK starting\n");
  p.life.BackendListReceived();
  EXPECT_EQ(AnswerTo("ready\r\n", p), "ACK ready\n");
  EXPECT_EQ(AnswerTo("resume\n", p), "ACK was not draining\n");
  EXPECT_EQ(AnswerTo("drain\n", p), "ACK draining\n");
  EXPECT_EQ(AnswerTo("drain\n", p), "ACK draining already\n");
  EXPECT_EQ(AnswerTo("ready\n", p), "NAK draining\n");
  EXPECT_EQ(AnswerTo("resume\n", p), "ACK no longer draining\n");
  EXPECT_EQ(AnswerTo("ready", p), "ACK ready\n");
  p.life.Stop({});
  for (const char* call : {"ready\n", "drain\n", "resume\n"}) EXPECT_EQ(AnswerTo(call, p), "NAK stopping\n");
  EXPECT_NE(AnswerTo("show-stat\n", p).find("\n--\n"), std::string::npos);
}

TEST(Commands, WhatIsNoCallGetsOneLineThatRepeatsNothingOfIt) {
  Process p;
  std::mt19937 random(20261201);
  std::vector<std::string> lines{"",
                                 "\n",
                                 "\r\n",
                                 "READY\n",
                                 " ready\n",
                                 "ready \n",
                                 "drain x\n",
                                 "ready\r",
                                 "GET / HTTP/1.1\r\n",
                                 "show-stat;drain\n"};
  lines.emplace_back("drain\0resume\n", 13);
  for (int i = 0; i < 1000; ++i) {
    std::string line(random() % kMostLine, ' ');
    for (char& c : line) c = static_cast<char>(random());
    lines.push_back(line);
  }
  for (const std::string& line : lines) {
    if (line == "ready\r") continue;  // an end of its own, half of one
    const std::string answer = AnswerTo(line, p);
    EXPECT_EQ(answer.substr(0, 4), "NAK ") << line;
    EXPECT_EQ(std::count(answer.begin(), answer.end(), '\n'), 1) << line;
    EXPECT_LT(answer.size(), 80u);
  }
  EXPECT_EQ(p.life.state(), lifecycle::State::kStarting);  // none of them did anything
  EXPECT_EQ(AnswerToOverlong().substr(0, 4), "NAK ");
}

TEST(Figures, AreOneLineEachWithLabelsThatCannotBreakOut) {
  Process p;
  for (int i = 0; i < 3; ++i) p.figures.OnEnded(0, Ending::kServed);
  p.figures.OnEnded(1, Ending::kRefused);
  p.figures.OnEnded(0, Ending::kFailed);
  p.figures.OnTry(), p.figures.OnTry();
  p.figures.OnTaken(), p.figures.OnTaken(), p.figures.OnOver();
  EXPECT_EQ(p.FiguresText(),
            "proxy_ok{kind=\"preview\"} 3\nproxy_ok{kind=\"a\\\"b\\\\c\\nd\"} 0\n"
            "proxy_shed{kind=\"preview\"} 0\nproxy_shed{kind=\"a\\\"b\\\\c\\nd\"} 1\n"
            "proxy_errors{kind=\"preview\"} 1\nproxy_errors{kind=\"a\\\"b\\\\c\\nd\"} 0\n"
            "proxy_tries 2\nproxy_active 1\nproxy_pool_size 15\nproxy_pool_ejected 2\n");
}

TEST(Figures, AClassThatTheSettingsDoNotHaveAddsNothing) {
  Process p;
  const std::string before = p.FiguresText();
  for (const int c : {-1, 2, 1 << 30}) p.figures.OnEnded(c, Ending::kServed);
  EXPECT_EQ(p.FiguresText(), before);
}

}  // namespace
}  // namespace kestrelline::management
