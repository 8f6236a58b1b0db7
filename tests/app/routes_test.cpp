// SPDX-License-Identifier: Apache-2.0
//
// Routes over loopback sockets: backends that are slow, reset connections or refuse requests, and three
// request classes with different limits. Attempts are counted at the backends.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/loopback.h"

namespace kestrelline::testing {
namespace {

enum class Fault { kSlow, kResets, kRefuses };

// Two backends with the same fault. Slow ones do not answer before the destructor releases them.
class FaultyBackends {
 public:
  explicit FaultyBackends(Fault fault) {
    for (int i = 0; i < 2; ++i) {
      backends_.push_back(
          std::make_unique<Backend>([this, fault](Tcp::socket& s, const HttpRequest& request) {
            attempts_.Do([&](int& n) { n += request["Req-Id"] != "probe"; });
            if (fault == Fault::kSlow) release_.WaitFor([](bool released) { return released; });
            if (fault == Fault::kRefuses) SendRaw(s, kDeclined);
            return fault == Fault::kRefuses;
          }));
    }
  }
  ~FaultyBackends() {
    release_.Do([](bool& released) { released = true; });
  }
  std::vector<nlohmann::json> members() const {
    return Members(MemberJson("s-1", backends_[0]->address()), MemberJson("s-2", backends_[1]->address()));
  }
  int attempts() { return attempts_.Get(); }

 private:
  Watched<int> attempts_;
  Watched<bool> release_;
  std::vector<std::unique_ptr<Backend>> backends_;
};

// Limits as for previews, for conversions and for certified copies.
constexpr char kLimitsFile[] = R"(version = 1
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
  Fault fault;
  std::string request;
  int attempts;
  unsigned status;  // 503: refused, a retry is safe; 502: failed
};

void PrintTo(const Case& test_case, std::ostream* out) { *out << test_case.name; }

class RouteLimits : public ::testing::TestWithParam<Case> {};

TEST_P(RouteLimits, BackendsSeeTheAllowedAttemptsAndTheClientOneResponse) {
  const Case& test_case = GetParam();
  FaultyBackends backends(test_case.fault);
  Site site(backends.members());
  site.operator_text = kLimitsFile;
  site.Start();
  Client client(site.proxy->address);
  EXPECT_EQ(client.Ask(test_case.request).result_int(), test_case.status);
  EXPECT_TRUE(site.proxy->WaitUntilNothingIsHeld());
  EXPECT_EQ(backends.attempts(), test_case.attempts);
  // No second response follows: the next one on this connection belongs to the next request.
  EXPECT_EQ(client.Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").body(), "ready\n");
}

INSTANTIATE_TEST_SUITE_P(Backends, RouteLimits,
                         ::testing::Values(Case{"SlowLook", Fault::kSlow, Look(), 3, 503},
                                           Case{"SlowChange", Fault::kSlow, Change(), 2, 502},
                                           Case{"SlowBook", Fault::kSlow, Book(), 1, 502},
                                           Case{"ResetLook", Fault::kResets, Look(), 3, 503},
                                           Case{"ResetChange", Fault::kResets, Change(), 2, 502},
                                           Case{"ResetBook", Fault::kResets, Book(), 1, 502},
                                           Case{"RefusedLook", Fault::kRefuses, Look(), 3, 503},
                                           Case{"RefusedChange", Fault::kRefuses, Change(), 2, 503},
                                           Case{"RefusedBook", Fault::kRefuses, Book(), 4, 503}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(Routes, ARouteIsSelectedByPathTenantAndHeaderOfTheRequest) {
  FaultyBackends backends(Fault::kRefuses);
  Site site(backends.members());
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
    const int before = backends.attempts();
    EXPECT_EQ(client.Ask(Look(headers)).result_int(), 503u);
    return backends.attempts() - before;
  };
  EXPECT_EQ(attempts("Req-Owner: noble\r\nx-job: 7\r\n"), 2);
  EXPECT_EQ(attempts("Req-Owner: acme\r\nX-Job: 7\r\n"), 1);
  EXPECT_EQ(attempts("Req-Owner: noble\r\nX-Job: 8\r\n"), 1);
  EXPECT_EQ(attempts("Req-Owner: noble\r\n"), 1);
  EXPECT_EQ(attempts("Req-Owner: noble\r\nX-Job: 7\r\nX-Job: 7\r\n"), 1)
      << "a repeated header does not match";
}

TEST(Routes, RequestsOverMaxInFlightAreRefusedAtOnceAndOtherClassesAreServed) {
  Watched<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest& request) {
    if (request["Req-Id"].starts_with("held")) release.WaitFor([](bool released) { return released; });
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
  release.Do([](bool& released) { released = true; });
  EXPECT_EQ(one.Read().result_int(), 200u);
  EXPECT_EQ(two.Read().result_int(), 200u);
  EXPECT_EQ(three.Ask(WithId(Book(), "again")).result_int(), 200u);
  EXPECT_EQ(backend.seen.Get().requests.size(), 4u);
}

// The first attempt hangs and its hedged copy is answered by the other backend. The platform has to permit
// hedging (parallelTries).
TEST(Routes, ASecondCopyIsServedByTheOtherBackendAndTheClientGetsOneResponse) {
  Watched<int> arrived;
  Watched<bool> release;
  const auto answer = [&](Tcp::socket& s, const HttpRequest&) {
    int number = 0;
    arrived.Do([&](int& n) { number = ++n; });
    if (number == 1) release.WaitFor([](bool released) { return released; });
    SendRaw(s, OkAnswer(number == 1 ? "late" : "copy"));
    return true;
  };
  Backend one(answer), two(answer);
  Site site(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
  site.config["settings"]["permissions"]["parallelTries"] = true;
  site.operator_text = "version = 1\n[class.look]\nsecond_copy_after = \"30ms\"\n";
  site.Start();
  Client client(site.proxy->address);
  EXPECT_EQ(client.Ask(Look()).body(), "copy");
  release.Do([](bool& released) { released = true; });
  EXPECT_TRUE(site.proxy->WaitUntilNothingIsHeld());
  EXPECT_EQ(one.seen.Get().requests.size(), 1u);
  EXPECT_EQ(two.seen.Get().requests.size(), 1u);
  EXPECT_EQ(client.Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").body(), "ready\n")
      << "the late response was discarded";
}

TEST(Routes, RequestsInFlightDuringAReloadKeepTheOldRoutes) {
  Watched<bool> release;
  Watched<int> attempts;
  const auto answer = [&](Tcp::socket& s, const HttpRequest&) {
    attempts.Do([](int& n) { ++n; });
    release.WaitFor([](bool released) { return released; });
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
  // Removes the route, and with it the limits of its class.
  const auto routes = site.Routes("version = 1\n[defaults]\nmax_attempts = 1\n");
  site.proxy->Ask([&](proxy::Proxy& p) { return p.SetRoutes(routes), true; });
  release.Do([](bool& released) { released = true; });
  EXPECT_EQ(client.Read().result_int(), 503u);
  EXPECT_EQ(attempts.Get(), 3);
  EXPECT_EQ(next.Ask(WithId(Book(), "new")).result_int(), 503u);
  EXPECT_EQ(attempts.Get(), 4);
}

}  // namespace
}  // namespace kestrelline::testing
