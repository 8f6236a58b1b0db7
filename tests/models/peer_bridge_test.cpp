// SPDX-License-Identifier: Apache-2.0
//
// Random walks of models/peer.pml, replayed against the view and the node: after each step they must hold
// what the model says.
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

Member Said(unsigned incarnation, unsigned boot, unsigned state) {
  return {"x", boot, incarnation, static_cast<State>(state), kAddress, "", "1", 2};
}
Node MemberOf(unsigned boot) {
  return Node({.name = "x", .version = "1", .boot = boot, .seed = 1, .address = kAddress}, kNow);
}

// Where the code holds something else; empty if nowhere.
std::string Disagreement(const std::vector<std::string>& walk, std::map<std::string, int>* seen) {
  std::vector<View> observers;
  for (int i = 0; i < 3; ++i) {
    observers.emplace_back(Member{"o", 9, 0, State::kAlive, {1, 1}, "", "", 2}, kNow,
                           std::chrono::seconds(1));
    observers.back().Merge(Said(0, 2, 0), Source::kGossip, kNow);
    observers.back().Find("x")->last_heard = {};
  }
  auto member = std::make_unique<Node>(MemberOf(2));
  std::string so_far;
  for (const std::string& line : walk) {
    std::istringstream words(line);
    std::string what;
    unsigned n[4] = {};
    words >> what >> n[0] >> n[1] >> n[2] >> n[3];
    ++(*seen)[what];
    so_far += line + "; ";
    View& at = observers[std::min(n[0], 2u)];
    View::Entry& held = *at.Find("x");
    if (what == "answers") {
      at.Merge(Said(n[1], n[2], 0), Source::kDirect, kNow);
      if (held.member.boot == n[2]) held.last_heard = kNow;
    } else if (what == "suspects" || what == "expires") {
      held.last_heard = {};
      Member said = held.member;
      said.state = what == "suspects" ? State::kSuspect : State::kFaulty;
      at.Merge(said, Source::kLocal, kNow);
    } else if (what == "told") {
      at.Merge(Said(n[1], n[2], n[3]), Source::kGossip, kNow);
    } else if (what == "holds") {
      if (held.member != Said(n[1], n[2], n[3])) return so_far + "the view holds something else";
    } else if (what == "accused") {
      Message message;
      message.kind = Message::Kind::kAck;
      message.from = {"o", 9, 0, State::kAlive, {1, 1}, "", "", 2};
      message.statements = {{Said(n[0], n[1], n[2]), 0}};
      member->Receive(kNow, message);
    } else if (what == "is") {
      if (member->self().incarnation != n[0]) return so_far + "the member does otherwise";
    } else if (what == "starts") {
      member = std::make_unique<Node>(MemberOf(n[0]));
    }
  }
  return "";
}

TEST(PeerBridge, ViewsAndNodesDoAsTheModelDoes) {
  std::map<std::string, int> seen;
  for (int seed = 1; seed <= 80; ++seed)
    ASSERT_EQ(Disagreement(testing::Walk("peer.pml", "", seed), &seen), "") << "seed " << seed;
  for (const char* kind :
       {"answers", "suspects", "expires", "told", "holds", "accused", "is", "starts", "crashes"})
    EXPECT_GT(seen[kind], 0) << kind;
}

TEST(PeerBridge, AModelThatDoesOtherwiseIsFoundOut) {
  for (const int mutation : {1, 7, 9}) {
    std::map<std::string, int> seen;
    int found = 0;
    for (int seed = 1; seed <= 100 && found == 0; ++seed)
      found += !Disagreement(testing::Walk("peer.pml", "-DMUTATION=" + std::to_string(mutation), seed), &seen)
                    .empty();
    EXPECT_GT(found, 0) << mutation;
  }
}

}  // namespace
}  // namespace kestrelline::peers
