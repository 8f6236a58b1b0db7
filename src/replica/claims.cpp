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

// A claim holds until the last attempt that may stand behind it is forgotten: one that leaves now may arrive
// as late as its client waits.
Span KeepOf(const ClassSettings& c) { return InSpan(c.window + c.deadline); }
// Of what is left of that, after which nothing is sent again.
Span BeyondOf(const ClassSettings& c) { return InSpan(c.deadline + c.window * (1 - routing::kWindowMargin)); }

}  // namespace

std::uint64_t KeyHash(std::string_view request_class, std::string_view key) {
  return XXH3_64bits_withSeed(key.data(), key.size(), hashing::Fnv1a(request_class));
}

std::uint64_t Groups::Of(Group kind, int zone, int cell) const {
  const std::uint32_t name =
      zone >= 0 && zone < static_cast<int>(zones_.size())
          ? static_cast<std::uint32_t>(hashing::Fnv1a(zones_[static_cast<std::size_t>(zone)])) & kZoneMask
          : static_cast<std::uint32_t>(zone - kUnknown) & kZoneMask;
  return std::uint64_t{name} << 32 | (kind == Group::kCell ? static_cast<std::uint32_t>(cell) : 0);
}

kestrelline::KeyClaim Groups::Claim(std::uint64_t group) const {
  const auto name = static_cast<std::uint32_t>(group >> 32);
  kestrelline::KeyClaim claim;
  claim.cell = static_cast<int>(group & 0xffffffff);
  const auto known = std::find_if(zones_.begin(), zones_.end(), [name](const std::string& zone) {
    return (static_cast<std::uint32_t>(hashing::Fnv1a(zone)) & kZoneMask) == name;
  });
  claim.zone =
      known != zones_.end() ? static_cast<int>(known - zones_.begin()) : kUnknown + static_cast<int>(name);
  return claim;
}

int Claims::ModeOf(const ClassSettings& of, const kestrelline::RouteLimits* limits) const {
  // Where all servers drop a repeat it may go anywhere.
  if (of.effect != Effect::kKeyed || of.group == Group::kAll) return -1;
  return limits && limits->claim ? *limits->claim : settings_.claim;
}

std::vector<kestrelline::KeyClaim> Claims::KnownClaims(const Key& key, const ToModule& to_module) const {
  std::vector<kestrelline::KeyClaim> known;
  for (const ClaimBook::Held& held : book_.HeldOf(key.hash)) {
    known.push_back(groups_.Claim(held.group));
    known.back().until = to_module(held.until - BeyondOf(*key.of));
  }
  return known;
}

bool Claims::OtherGroup(std::uint64_t key, std::uint64_t group) const {
  const auto held = book_.HeldOf(key);
  return std::any_of(held.begin(), held.end(), [group](const auto& h) { return h.group != group; });
}

void Claims::BeforeAttempt(const Key& key, std::uint64_t group, std::function<void(Decision)> then) {
  if (OtherGroup(key.hash, group)) {
    ++counts_.elsewhere;
    return then(Decision::kOtherGroup);
  }
  const UseKey at{key.hash, group};
  const auto [found, added] = uses_.try_emplace(at);
  Use& use = found->second;
  ++use.attempts;
  if (added) {
    // What was claimed before, and let stand, may have run.
    use.may_have_run = !book_.HeldOf(key.hash).empty();
    ++counts_.claimed;
  }
  // Each attempt claims anew: it may arrive later than those before it. What stands already as far as this
  // one asks is not waited for again.
  const int k = key.mode > use.known ? key.mode : 0;
  if (k == 0) {
    book_.Claim(at.first, group, KeepOf(*key.of), 0, Span(0), [](bool) {});
    return then(Decision::kSend);
  }
  book_.Claim(at.first, group, KeepOf(*key.of), k, settings_.within,
              [this, at, k, then = std::move(then)](bool held) { then(OnVerdict(at, k, held)); });
}

// Of one attempt; if it may not leave, nothing of it did.
Claims::Decision Claims::OnVerdict(const UseKey& at, int asked, bool held) {
  Decision go = Decision::kSend;
  if (!held) {
    ++counts_.unmet;
    if (!settings_.send_unmet) go = Decision::kUnconfirmed;
  }
  if (OtherGroup(at.first, at.second)) {
    go = Decision::kOtherGroup;
    ++counts_.elsewhere;
  }
  if (const auto use = uses_.find(at); held && use != uses_.end())
    use->second.known = std::max(use->second.known, asked);
  if (go != Decision::kSend) Leave(at);
  return go;
}

void Claims::AfterAttempt(const Key& key, std::uint64_t group, bool may_have_run) {
  const UseKey at{key.hash, group};
  const auto found = uses_.find(at);
  if (found == uses_.end()) return;
  found->second.may_have_run |= may_have_run;
  Leave(at);
}

void Claims::Leave(const UseKey& at) {
  const auto found = uses_.find(at);
  if (found == uses_.end() || --found->second.attempts > 0) return;
  const bool ran = found->second.may_have_run;
  uses_.erase(found);
  if (ran) return;
  ++counts_.released;
  book_.Release(at.first, at.second);
}

}  // namespace kestrelline::replica
