// SPDX-License-Identifier: Apache-2.0
//
// Replays random walks of models/peer.pml against View and Node, which must be in the model's state after
// each step.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <sstream>

#include "peers/node.h"
#include "support/spin_walk.h"

namespace kestrelline::peers {
namespace {

const Time kNow(std::chrono::hours(1));
const Address kAddress{0x7f000001, 7001};

Member StatementOf(unsigned incarnation, unsigned boot, unsigned state) {
  return {"x", boot, incarnation, static_cast<State>(state), kAddress, "", "1", 2};
}
Node NodeOf(unsigned boot) {
  return Node({.name = "x", .version = "1", .boot = boot, .seed = 1, .address = kAddress}, kNow);
}

// The steps up to the first one after which code and model disagree; empty if there is none.
std::string FirstDisagreement(const std::vector<std::string>& walk, std::map<std::string, int>* step_counts) {
  std::vector<View> observers;
  for (int i = 0; i < 3; ++i) {
    observers.emplace_back(Member{"o", 9, 0, State::kAlive, {1, 1}, "", "", 2}, kNow,
                           std::chrono::seconds(1));
    observers.back().Merge(StatementOf(0, 2, 0), Source::kGossip, kNow);
    observers.back().Find("x")->last_heard = {};
  }
  auto member = std::make_unique<Node>(NodeOf(2));
  std::string steps;
  for (const std::string& line : walk) {
    std::istringstream fields(line);
    std::string step;
    unsigned args[4] = {};
    fields >> step >> args[0] >> args[1] >> args[2] >> args[3];
    ++(*step_counts)[step];
    steps += line + "; ";
    View& observer = observers[std::min(args[0], 2u)];
    View::Entry& entry = *observer.Find("x");
    if (step == "answers") {
      observer.Merge(StatementOf(args[1], args[2], 0), Source::kDirect, kNow);
      if (entry.member.boot == args[2]) entry.last_heard = kNow;
    } else if (step == "suspects" || step == "expires") {
      entry.last_heard = {};
      Member statement = entry.member;
      statement.state = step == "suspects" ? State::kSuspect : State::kFaulty;
      observer.Merge(statement, Source::kLocal, kNow);
    } else if (step == "told") {
      observer.Merge(StatementOf(args[1], args[2], args[3]), Source::kGossip, kNow);
    } else if (step == "holds") {
      if (entry.member != StatementOf(args[1], args[2], args[3])) return steps + "the view differs";
    } else if (step == "accused") {
      Message message;
      message.kind = Message::Kind::kAck;
      message.from = {"o", 9, 0, State::kAlive, {1, 1}, "", "", 2};
      message.statements = {{StatementOf(args[0], args[1], args[2]), 0}};
      member->Receive(kNow, message);
    } else if (step == "is") {
      if (member->self().incarnation != args[0]) return steps + "the member differs";
    } else if (step == "starts") {
      member = std::make_unique<Node>(NodeOf(args[0]));
    }
  }
  return "";
}

TEST(PeerBridge, CodeFollowsTheModel) {
  std::map<std::string, int> step_counts;
  for (int seed = 1; seed <= 80; ++seed)
    ASSERT_EQ(FirstDisagreement(testing::Walk("peer.pml", "", seed), &step_counts), "") << "seed " << seed;
  for (const char* kind :
       {"answers", "suspects", "expires", "told", "holds", "accused", "is", "starts", "crashes"})
    EXPECT_GT(step_counts[kind], 0) << kind;
}

TEST(PeerBridge, DetectsModelsThatDiffer) {
  for (const int mutation : {1, 7, 9}) {
    std::map<std::string, int> step_counts;
    int found = 0;
    for (int seed = 1; seed <= 100 && found == 0; ++seed)
      found += !FirstDisagreement(testing::Walk("peer.pml", "-DMUTATION=" + std::to_string(mutation), seed),
                                  &step_counts)
                    .empty();
    EXPECT_GT(found, 0) << mutation;
  }
}

}  // namespace
}  // namespace kestrelline::peers
