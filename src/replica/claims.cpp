// SPDX-License-Identifier: Apache-2.0
#include "replica/claims.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "hashing/fnv.h"
#include "routing/limits.h"

namespace kestrelline::replica {
namespace {

Span InSpan(kestrelline::Duration ms) { return std::chrono::duration_cast<Span>(ms); }

// A claim holds until the servers have forgotten the last attempt that may rely on it. An attempt that is
// sent now may arrive as late as the deadline of its request.
Span LifetimeOf(const ClassSettings& request_class) {
  return InSpan(request_class.window + request_class.deadline);
}
// The end part of a claim's lifetime, in which the request isn't sent again.
Span NoRetryMargin(const ClassSettings& request_class) {
  return InSpan(request_class.deadline + request_class.window * (1 - routing::kWindowMargin));
}

}  // namespace

std::uint64_t KeyHash(std::string_view request_class, std::string_view key) {
  return XXH3_64bits_withSeed(key.data(), key.size(), hashing::Fnv1a(request_class));
}

std::uint64_t Groups::IdOf(Group kind, int zone, int cell) const {
  const std::uint32_t name =
      zone >= 0 && zone < static_cast<int>(zones_.size())
          ? static_cast<std::uint32_t>(hashing::Fnv1a(zones_[static_cast<std::size_t>(zone)])) & kZoneMask
          : static_cast<std::uint32_t>(zone - kUnknownZoneBase) & kZoneMask;
  return std::uint64_t{name} << 32 | (kind == Group::kCell ? static_cast<std::uint32_t>(cell) : 0);
}

kestrelline::KeyClaim Groups::Claim(std::uint64_t group) const {
  const auto name = static_cast<std::uint32_t>(group >> 32);
  kestrelline::KeyClaim claim;
  claim.cell = static_cast<int>(group & 0xffffffff);
  const auto known = std::find_if(zones_.begin(), zones_.end(), [name](const std::string& zone) {
    return (static_cast<std::uint32_t>(hashing::Fnv1a(zone)) & kZoneMask) == name;
  });
  claim.zone = known != zones_.end() ? static_cast<int>(known - zones_.begin())
                                     : kUnknownZoneBase + static_cast<int>(name);
  return claim;
}

int Claims::ModeOf(const ClassSettings& request_class, const kestrelline::RouteLimits* limits) const {
  // If all servers drop repeats of a key, the request may be sent to any group.
  if (request_class.effect != Effect::kKeyed || request_class.group == Group::kAll) return -1;
  return limits && limits->claim ? *limits->claim : settings_.claim;
}

std::vector<kestrelline::KeyClaim> Claims::KnownClaims(const Key& key, const ToModule& to_module) const {
  std::vector<kestrelline::KeyClaim> known;
  for (const ClaimRegistry::ActiveClaim& held : registry_.ClaimsOn(key.hash)) {
    known.push_back(groups_.Claim(held.group));
    known.back().until = to_module(held.until - NoRetryMargin(*key.request_class));
  }
  return known;
}

bool Claims::HeldByOtherGroup(std::uint64_t key, std::uint64_t group) const {
  const auto held = registry_.ClaimsOn(key);
  return std::any_of(held.begin(), held.end(), [group](const auto& h) { return h.group != group; });
}

void Claims::BeforeAttempt(const Key& key, std::uint64_t group, std::function<void(Decision)> done) {
  if (HeldByOtherGroup(key.hash, group)) {
    ++counts_.elsewhere;
    return done(Decision::kOtherGroup);
  }
  const UseKey use_key{key.hash, group};
  const auto [found, added] = uses_.try_emplace(use_key);
  ActiveUse& use = found->second;
  ++use.attempts;
  if (added) {
    // A request with an earlier claim that was not released may have run.
    use.may_have_run = !registry_.ClaimsOn(key.hash).empty();
    ++counts_.claimed;
  }
  // Each attempt renews the claim, because it may arrive later than those before it. A claim that is already
  // confirmed for this k isn't waited for again.
  const int k = key.mode > use.known ? key.mode : 0;
  if (k == 0) {
    registry_.Claim(use_key.first, group, LifetimeOf(*key.request_class), 0, Span(0), [](bool) {});
    return done(Decision::kSend);
  }
  registry_.Claim(
      use_key.first, group, LifetimeOf(*key.request_class), k, settings_.within,
      [this, use_key, k, done = std::move(done)](bool held) { done(OnVerdict(use_key, k, held)); });
}

// Called with the verdict on the claim of one attempt. If the decision isn't kSend, the attempt was never
// sent.
Claims::Decision Claims::OnVerdict(const UseKey& use_key, int requested, bool held) {
  Decision decision = Decision::kSend;
  if (!held) {
    ++counts_.unmet;
    if (!settings_.send_unmet) decision = Decision::kUnconfirmed;
  }
  if (HeldByOtherGroup(use_key.first, use_key.second)) {
    decision = Decision::kOtherGroup;
    ++counts_.elsewhere;
  }
  if (const auto use = uses_.find(use_key); held && use != uses_.end())
    use->second.known = std::max(use->second.known, requested);
  if (decision != Decision::kSend) ReleaseUse(use_key);
  return decision;
}

void Claims::AfterAttempt(const Key& key, std::uint64_t group, bool may_have_run) {
  const UseKey use_key{key.hash, group};
  const auto found = uses_.find(use_key);
  if (found == uses_.end()) return;
  found->second.may_have_run |= may_have_run;
  ReleaseUse(use_key);
}

void Claims::ReleaseUse(const UseKey& use_key) {
  const auto found = uses_.find(use_key);
  if (found == uses_.end() || --found->second.attempts > 0) return;
  const bool ran = found->second.may_have_run;
  uses_.erase(found);
  if (ran) return;
  ++counts_.released;
  registry_.Release(use_key.first, use_key.second);
}

}  // namespace kestrelline::replica
