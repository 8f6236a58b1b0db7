// SPDX-License-Identifier: Apache-2.0
//
// Routes over loopback sockets: backends that are slow, reset or refuse, three classes, three patiences.
// Attempts are counted where they arrive.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/loopback.h"

namespace kestrelline::testing {
namespace {

enum class Trouble { kSlow, kResets, kRefuses };

// Two backends in the same trouble; silent ones are let go when this ends.
class Troubled {
 public:
  explicit Troubled(Trouble trouble) {
    for (int i = 0; i < 2; ++i) {
      backends_.push_back(
          std::make_unique<Backend>([this, trouble](Tcp::socket& s, const HttpRequest& request) {
            attempts_.Do([&](int& n) { n += request["Req-Id"] != "probe"; });
            if (trouble == Trouble::kSlow) over_.WaitFor([](bool over) { return over; });
            if (trouble == Trouble::kRefuses) SendRaw(s, kDeclined);
            return trouble == Trouble::kRefuses;
          }));
    }
  }
  ~Troubled() {
    over_.Do([](bool& over) { over = true; });
  }
  std::vector<nlohmann::json> members() const {
    return Members(MemberJson("s-1", backends_[0]->address()), MemberJson("s-2", backends_[1]->address()));
  }
  int attempts() { return attempts_.Get(); }

 private:
  Watched<int> attempts_;
  Watched<bool> over_;
  std::vector<std::unique_ptr<Backend>> backends_;
};

// A previews' patience, a conversions' and a certified copies'.
constexpr char kPatiences[] = R"(version = 1
[class.look]
max_attempts = 3
attempt_timeout = "60ms"
[class.change]
max_attempts = 2
attempt_timeout = "120ms"
pause = "20ms"
[class.book]
max_attempts = 4
attempt_timeout = "200ms"
retry_on = ["refused", "connect"]
)";

struct Case {
  const char* name;
  Trouble trouble;
  std::string request;
  int attempts;
  unsigned status;  // 503: refused, another try is harmless; 502: failed
};

void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }

class Patiences : public ::testing::TestWithParam<Case> {};

TEST_P(Patiences, TheBackendsSeeAsManyAttemptsAsTheRouteAllowsAndTheClientOneAnswer) {
  const Case& c = GetParam();
  Troubled fleet(c.trouble);
  Site site(fleet.members());
  site.operator_text = kPatiences;
  site.Start();
  Client client(site.proxy->address);
  EXPECT_EQ(client.Ask(c.request).result_int(), c.status);
  EXPECT_TRUE(site.proxy->WaitUntilNothingIsHeld());
  EXPECT_EQ(fleet.attempts(), c.attempts);
  // One answer and nothing behind it: the next on this connection is that of the next request.
  EXPECT_EQ(client.Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").body(), "ready\n");
}

INSTANTIATE_TEST_SUITE_P(Backends, Patiences,
                         ::testing::Values(Case{"SlowLook", Trouble::kSlow, Look(), 3, 503},
                                           Case{"SlowChange", Trouble::kSlow, Change(), 2, 502},
                                           Case{"SlowBook", Trouble::kSlow, Book(), 1, 502},
                                           Case{"ResetLook", Trouble::kResets, Look(), 3, 503},
                                           Case{"ResetChange", Trouble::kResets, Change(), 2, 502},
                                           Case{"ResetBook", Trouble::kResets, Book(), 1, 502},
                                           Case{"RefusedLook", Trouble::kRefuses, Look(), 3, 503},
                                           Case{"RefusedChange", Trouble::kRefuses, Change(), 2, 503},
                                           Case{"RefusedBook", Trouble::kRefuses, Book(), 4, 503}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(Routes, ARouteIsChosenByPathTenantAndHeaderAsTheyComeOverTheSocket) {
  Troubled fleet(Trouble::kRefuses);
  Site site(fleet.members());
  site.config["settings"]["tenants"] = {{{"name", "acme"}, {"quotaPerS", 100.0}},
                                        {{"name", "noble"}, {"quotaPerS", 100.0}}};
  site.operator_text = R"(version = 1
[defaults]
max_attempts = 1
[[route]]
name = "two"
match = { path_prefix = "/look/it", tenant = "noble", header = { X-Job = "7" } }
max_attempts = 2
)";
  site.Start();
  Client client(site.proxy->address);
  const auto attempts = [&](const std::string& headers) {
    const int before = fleet.attempts();
    EXPECT_EQ(client.Ask(Look(headers)).result_int(), 503u);
    return fleet.attempts() - before;
  };
  EXPECT_EQ(attempts("Req-Owner: noble\r\nx-job: 7\r\n"), 2);
  EXPECT_EQ(attempts("Req-Owner: acme\r\nX-Job: 7\r\n"), 1);
  EXPECT_EQ(attempts("Req-Owner: noble\r\nX-Job: 8\r\n"), 1);
  EXPECT_EQ(attempts("Req-Owner: noble\r\n"), 1);
  EXPECT_EQ(attempts("Req-Owner: noble\r\nX-Job: 7\r\nX-Job: 7\r\n"), 1) << "twice is no one value";
}

TEST(Routes, WhatIsOverARoutesPlacesIsRefusedAtOnceAndOthersGoOn) {
  Watched<bool> go;
  Backend backend([&](Tcp::socket& s, const HttpRequest& request) {
    if (request["Req-Id"].starts_with("held")) go.WaitFor([](bool g) { return g; });
    SendRaw(s, OkAnswer("served"));
    return true;
  });
  Site site(Members(MemberJson("s-1", backend.address())));
  site.operator_text = "version = 1\n[class.book]\nmax_in_flight = 2\n";
  site.Start();
  Client one(site.proxy->address), two(site.proxy->address), three(site.proxy->address);
  one.Send(WithId(Book(), "held1"));
  two.Send(WithId(Book(), "held2"));
  ASSERT_TRUE(backend.WaitForRequests(2));
  EXPECT_EQ(three.Ask(WithId(Book(), "third")).result_int(), 503u);
  EXPECT_EQ(three.Ask(WithId(Look(), "other")).result_int(), 200u);
  go.Do([](bool& g) { g = true; });
  EXPECT_EQ(one.Read().result_int(), 200u);
  EXPECT_EQ(two.Read().result_int(), 200u);
  EXPECT_EQ(three.Ask(WithId(Book(), "again")).result_int(), 200u);
  EXPECT_EQ(backend.seen.Get().requests.size(), 4u);
}

// The first attempt stays away; its copy is answered at the other backend. Only where the platform allows
// copies.
TEST(Routes, ASecondCopyIsServedByTheOtherBackendAndTheClientHasOneAnswer) {
  Watched<int> arrived;
  Watched<bool> over;
  const auto answer = [&](Tcp::socket& s, const HttpRequest&) {
    int place = 0;
    arrived.Do([&](int& n) { place = ++n; });
    if (place == 1) over.WaitFor([](bool o) { return o; });
    SendRaw(s, OkAnswer(place == 1 ? "late" : "copy"));
    return true;
  };
  Backend one(answer), two(answer);
  Site site(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
  site.config["settings"]["permissions"]["parallelTries"] = true;
  site.operator_text = "version = 1\n[class.look]\nsecond_copy_after = \"30ms\"\n";
  site.Start();
  Client client(site.proxy->address);
  EXPECT_EQ(client.Ask(Look()).body(), "copy");
  over.Do([](bool& o) { o = true; });
  EXPECT_TRUE(site.proxy->WaitUntilNothingIsHeld());
  EXPECT_EQ(one.seen.Get().requests.size(), 1u);
  EXPECT_EQ(two.seen.Get().requests.size(), 1u);
  EXPECT_EQ(client.Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").body(), "ready\n")
      << "the late answer went nowhere";
}

TEST(Routes, RequestsHeldOverAReloadEndUnderTheOldRoutes) {
  Watched<bool> go;
  Watched<int> attempts;
  const auto answer = [&](Tcp::socket& s, const HttpRequest&) {
    attempts.Do([](int& n) { ++n; });
    go.WaitFor([](bool g) { return g; });
    SendRaw(s, kDeclined);
    return true;
  };
  Backend one(answer), two(answer);
  Site site(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
  site.operator_text = "version = 1\n[[route]]\nname = \"old\"\nmatch.class = \"book\"\nmax_attempts = 3\n";
  site.Start();
  Client client(site.proxy->address), next(site.proxy->address);
  client.Send(WithId(Book(), "old"));
  ASSERT_TRUE(attempts.WaitFor([](int n) { return n == 1; }));
  // The route, and what the class inherited from it, are gone.
  const auto routes = site.Routes("version = 1\n[defaults]\nmax_attempts = 1\n");
  site.proxy->Ask([&](proxy::Proxy& p) { return p.SetRoutes(routes), true; });
  go.Do([](bool& g) { g = true; });
  EXPECT_EQ(client.Read().result_int(), 503u);
  EXPECT_EQ(attempts.Get(), 3);
  EXPECT_EQ(next.Ask(WithId(Book(), "new")).result_int(), 503u);
  EXPECT_EQ(attempts.Get(), 4);
}

}  // namespace
}  // namespace kestrelline::testing
