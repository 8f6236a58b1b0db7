// SPDX-License-Identifier: Apache-2.0
//
// Feeds random events to a Balancer with the limits of random accepted files, and checks that the rules of
// the platform hold and that no request exceeds the limits of its route. Rapidcheck prints the seed of a
// failure.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>

#include "harness.h"
#include "support/routing_site.h"
#include "support/rules_world.h"

namespace kestrelline::testing {
namespace {

// A site with the request classes of harness.h.
routing::Site WorldSite(bool parallel) {
  routing::Site site;
  site.settings = kestrelline::testing::Usual();
  site.settings.parallel_tries = parallel;
  site.settings.tenants.resize(2);
  site.classes = {"preview", "convert", "certify"};
  site.tenants = {"acme", "noble"};
  return site;
}

std::string RandomMs(int min, int max) {
  return "\"" + std::to_string(*rc::gen::inRange(min, max)) + "ms\"\n";
}

std::string RandomLimits(bool copies) {
  std::string text;
  if (*rc::gen::inRange(0, 2)) text += "attempt_timeout = " + RandomMs(5, 300);
  if (*rc::gen::inRange(0, 3) == 0) text += "patience = " + RandomMs(10, 1000);
  if (*rc::gen::inRange(0, 2)) text += "max_attempts = " + std::to_string(*rc::gen::inRange(1, 5)) + "\n";
  if (*rc::gen::inRange(0, 3) == 0) text += "pause = " + RandomMs(0, 120);
  if (copies && *rc::gen::inRange(0, 4)) text += "second_copy_after = " + RandomMs(1, 60);
  if (*rc::gen::inRange(0, 3) == 0)
    text += "max_in_flight = " + std::to_string(*rc::gen::inRange(1, 8)) + "\n";
  if (*rc::gen::inRange(0, 3) == 0) text += "retry_on = [\"refused\", \"connect\"]\n";
  if (*rc::gen::inRange(0, 3) == 0) text += "retry_budgets = [\"some\"]\n";
  return text;
}

std::string RandomFile(bool copies) {
  std::string text = "version = 1\n[budget.some]\nshare = \"" + std::to_string(*rc::gen::inRange(0, 101)) +
                     "%\"\nwindow = " + RandomMs(100, 3000) +
                     "at_least = " + std::to_string(*rc::gen::inRange(0, 3)) + "\n";
  if (*rc::gen::inRange(0, 3) == 0) text += "[defaults]\n" + RandomLimits(false);
  for (const char* class_name : {"preview", "convert", "certify"}) {
    if (*rc::gen::inRange(0, 2))
      text += "[class." + std::string(class_name) + "]\n" +
              RandomLimits(copies && std::string(class_name) == "preview");
  }
  for (const char* class_name : {"certify", "preview", "convert"}) {
    if (*rc::gen::inRange(0, 2))
      text += "[[route]]\nname = \"" + std::string(class_name) + "-acme\"\nmatch = { class = \"" +
              class_name + "\", tenant = \"acme\" }\n" +
              RandomLimits(copies && std::string(class_name) == "preview");
  }
  return text;
}

TEST(RoutesAndRules, AcceptedFilesNeverBreakAPlatformRule) {
  std::size_t attempts = 0, copies = 0, with_limits = 0;
  const bool kept = rc::check("accepted files keep the rules", [&] {
    const bool parallel = *rc::gen::inRange(0, 4) > 0;
    const routing::Site site = WorldSite(parallel);
    const std::string text = RandomFile(parallel);
    const LoadedRoutes built(text, site);
    if (!built.routes) RC_DISCARD("a file that is refused");
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    RC_LOG() << "parallel tries " << parallel << ", seed of the events " << seed << "\n" << text;
    // A reload halfway: requests of both files are in flight together.
    const LoadedRoutes other(RandomFile(parallel), site);
    int lookups = 0;
    kestrelline::testing::World world(site.settings, seed, [&](int request_class, std::mt19937_64& random) {
      const bool reloaded = ++lookups > 600 && other.routes;
      const TestRequest request{request_class, "/" + site.classes[static_cast<std::size_t>(request_class)],
                                static_cast<int>(random() % 2)};
      auto limits = *(reloaded ? other : built).routes->Find(request).limits;
      with_limits += limits != nullptr;
      return limits;
    });
    world.Play();
    attempts += world.attempts;
    copies += world.copies;
    RC_ASSERT(!::testing::Test::HasFailure());
  });
  EXPECT_TRUE(kept);
  // The runs must have exercised limits, attempts and copies.
  EXPECT_GT(with_limits, 5000u);
  EXPECT_GT(attempts, 5000u);
  EXPECT_GT(copies, 10u);
}

// Limits outside the range that a file can set: the decision module must still keep the rules.
TEST(RoutesAndRules, LimitsOutOfRangeNeverBreakAPlatformRule) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    auto settings = kestrelline::testing::Usual();
    settings.parallel_tries = seed % 2;
    kestrelline::testing::World world(settings, seed, [](int, std::mt19937_64& random) {
      auto limits = std::make_shared<kestrelline::RouteLimits>();
      limits->route = random() % 3;
      limits->max_attempts = static_cast<int>(random() % 100) - 20;
      limits->second_copy_after = kestrelline::Duration(static_cast<double>(random() % 50));
      limits->pause = kestrelline::Duration(static_cast<double>(random() % 3000));
      limits->attempt_timeout = kestrelline::Duration(static_cast<double>(random() % 5000));
      limits->retry_on = static_cast<unsigned>(random());
      limits->max_in_flight = static_cast<int>(random() % 30);
      limits->budgets = {{random() % 2, 5.0, kestrelline::Duration(static_cast<double>(random() % 500)), 3}};
      return limits;
    });
    world.Play();
  }
}

}  // namespace
}  // namespace kestrelline::testing
