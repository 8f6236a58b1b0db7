// SPDX-License-Identifier: Apache-2.0
//
// The retry rules hold for requests with random tags: in random simulated runs, tags pass through Tagging
// into the decision module, and the rules are checked against the original class of each request.
#include <gtest/gtest.h>

#include "harness.h"
#include "plugin/tagging.h"
#include "support/rules_world.h"

namespace kestrelline::plugin {
namespace {

routing::Site SiteOf() {
  routing::Site site;
  site.settings = kestrelline::testing::Usual();
  site.settings.parallel_tries = true;
  site.settings.tenants.resize(2);
  site.classes = {"preview", "convert", "certify"};
  site.tenants = {"acme", "noble"};
  return site;
}

Outcome RandomOutcome(const routing::Site& site, std::mt19937_64& random) {
  const auto one_in = [&](unsigned n) { return random() % n == 0; };
  Outcome outcome;
  if (one_in(8)) {
    outcome.fault = Fault::kTimeout;
    return outcome;
  }
  if (one_in(2))
    outcome.tags.request_class = one_in(9) ? "copies" : site.classes[random() % site.classes.size()];
  if (one_in(3)) outcome.tags.tenant = one_in(9) ? "nobody" : site.tenants[random() % 2];
  if (one_in(3)) outcome.tags.key = "job:" + std::to_string(random() % 5);
  if (one_in(3)) outcome.tags.cost_ms = one_in(5) ? 1e300 : static_cast<double>(random() % 2000);
  return outcome;
}

TEST(PluginsAndRules, RandomTagsNeverBreakARule) {
  const auto site = SiteOf();
  std::size_t attempts = 0, narrowed = 0, withheld = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 draw(static_cast<std::uint32_t>(seed));
    std::vector<Grants> plugins(2);
    for (Grants& grants : plugins) {
      grants.classes = {0, 1, 2};
      grants.tenant = grants.key = grants.cost = true;
      for (int c = 0; c < 3; ++c) grants.refuse_on_failure.push_back(draw() % 2 == 0);
    }
    kestrelline::testing::World world(site.settings, seed, nullptr, [&](Submit* submit, auto& random) {
      Tagging tagging(site, submit->request_class, {&plugins[0], &plugins[1]});
      for (std::size_t slot = 0; slot < 2; ++slot) tagging.Record(slot, RandomOutcome(site, random));
      const Verdict verdict = tagging.Decide();
      submit->withheld = verdict.refuse;
      narrowed += verdict.request_class && *verdict.request_class != submit->request_class;
      submit->request_class = verdict.request_class.value_or(submit->request_class);
      submit->tenant = verdict.tenant.value_or(submit->tenant);
      if (verdict.key) submit->key = std::hash<std::string>()(*verdict.key);
      if (verdict.cost_ms) submit->has_hint = true, submit->work_ms = *verdict.cost_ms;
    });
    world.Play();
    attempts += world.attempts;
    withheld += world.withheld;
    ASSERT_FALSE(HasFailure());
  }
  // Enough attempts, narrowed classes and refusals occurred for the test to be meaningful.
  EXPECT_GT(attempts, 5000u);
  EXPECT_GT(narrowed, 1000u);
  EXPECT_GT(withheld, 1000u);
}

}  // namespace
}  // namespace kestrelline::plugin
