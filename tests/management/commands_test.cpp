// SPDX-License-Identifier: Apache-2.0
//
// Commands of the management endpoint, their answers, and the text format of the metrics.
#include "management/commands.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "management/metrics.h"

namespace kestrelline::management {
namespace {

struct Process : Operations {
  lifecycle::ProcessLifecycle life;
  Metrics metrics{{"preview", "a\"b\\c\nd"}};
  lifecycle::State state() const override { return life.state(); }
  lifecycle::CommandResult Drain() override { return life.Drain({}); }
  lifecycle::CommandResult Resume() override { return life.Resume(); }
  std::string MetricsText() const override { return metrics.Text({15, 2}); }
};

TEST(Commands, EachCommandHasADefinedAnswerInEachState) {
  Process process;
  EXPECT_EQ(HandleCommand("ready\n", process), "NAK starting\n");
  process.life.BackendListReceived();
  EXPECT_EQ(HandleCommand("ready\r\n", process), "ACK ready\n");
  EXPECT_EQ(HandleCommand("resume\n", process), "ACK was not draining\n");
  EXPECT_EQ(HandleCommand("drain\n", process), "ACK draining\n");
  EXPECT_EQ(HandleCommand("drain\n", process), "ACK draining already\n");
  EXPECT_EQ(HandleCommand("ready\n", process), "NAK draining\n");
  EXPECT_EQ(HandleCommand("resume\n", process), "ACK no longer draining\n");
  EXPECT_EQ(HandleCommand("ready", process), "ACK ready\n");
  process.life.Stop({});
  for (const char* command : {"ready\n", "drain\n", "resume\n"})
    EXPECT_EQ(HandleCommand(command, process), "NAK stopping\n");
  EXPECT_NE(HandleCommand("show-stat\n", process).find("\n--\n"), std::string::npos);
}

TEST(Commands, InvalidInputGetsAOneLineNakThatDoesNotEchoIt) {
  Process process;
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
    std::string line(random() % kMaxLineBytes, ' ');
    for (char& c : line) c = static_cast<char>(random());
    lines.push_back(line);
  }
  for (const std::string& line : lines) {
    if (line == "ready\r") continue;  // a valid command: CR is stripped also without LF
    const std::string answer = HandleCommand(line, process);
    EXPECT_EQ(answer.substr(0, 4), "NAK ") << line;
    EXPECT_EQ(std::count(answer.begin(), answer.end(), '\n'), 1) << line;
    EXPECT_LT(answer.size(), 80u);
  }
  EXPECT_EQ(process.life.state(), lifecycle::State::kStarting);  // no line ran a command
  EXPECT_EQ(OverlongLineAnswer().substr(0, 4), "NAK ");
}

TEST(Metrics, OneLineEachWithEscapedLabels) {
  Process process;
  for (int i = 0; i < 3; ++i) process.metrics.OnRequestOutcome(0, RequestOutcome::kServed);
  process.metrics.OnRequestOutcome(1, RequestOutcome::kRefused);
  process.metrics.OnRequestOutcome(0, RequestOutcome::kFailed);
  process.metrics.OnAttempt(), process.metrics.OnAttempt();
  process.metrics.OnRequestStarted(), process.metrics.OnRequestStarted(), process.metrics.OnRequestClosed();
  EXPECT_EQ(process.MetricsText(),
            "proxy_ok{kind=\"preview\"} 3\nproxy_ok{kind=\"a\\\"b\\\\c\\nd\"} 0\n"
            "proxy_shed{kind=\"preview\"} 0\nproxy_shed{kind=\"a\\\"b\\\\c\\nd\"} 1\n"
            "proxy_errors{kind=\"preview\"} 1\nproxy_errors{kind=\"a\\\"b\\\\c\\nd\"} 0\n"
            "proxy_tries 2\nproxy_active 1\nproxy_pool_size 15\nproxy_pool_ejected 2\n");
}

TEST(Metrics, UnknownRequestClassIsNotCounted) {
  Process process;
  const std::string before = process.MetricsText();
  for (const int request_class : {-1, 2, 1 << 30})
    process.metrics.OnRequestOutcome(request_class, RequestOutcome::kServed);
  EXPECT_EQ(process.MetricsText(), before);
}

}  // namespace
}  // namespace kestrelline::management
