// SPDX-License-Identifier: Apache-2.0
#include "data_plane/placement.h"

#include <algorithm>
#include <cmath>


namespace kestrelline::data_plane {
namespace {

constexpr double kHintFadesMs = 800;  // what a backend said of others' requests halves within this
constexpr double kMeanGain = 0.05;

double Ms(Duration span) { return span.count(); }

bool IsExcluded(const Excluded& excluded, const Backend* backend) {
  return std::find(excluded.begin(), excluded.end(), backend) != excluded.end();
}

std::uint64_t Mix(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a ^ (b + 0x9e3779b97f4a7c15 + (a << 6) + (a >> 2));
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
  x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

// Requests of others that the backend holds, as far as it told lately.
double OthersAt(const Backend& backend, TimePoint now) {
  if (!backend.load.known) return 0;
  const double others = std::max(0, backend.load.running + backend.load.waiting - backend.load.own);
  return others * std::exp2(-Ms(now - backend.load.at) / kHintFadesMs);
}

}  // namespace

// Of the backends in service the one with the least cost; where all are ejected, of all that are listed.
template <typename Cost>
Pick Placement::Least(const Group* group, const Excluded& excluded, Cost cost) {
  Pick best;
  if (group == nullptr) return best;
  for (const bool with_ejected : {false, true}) {
    int ties = 0;
    for (const BackendPtr& backend : group->backends) {
      if (!backend->Serves() || IsExcluded(excluded, backend.get())) continue;
      if (backend->health.ejected && !with_ejected) continue;
      const Pick pick = cost(backend);
      if (best.backend && pick.cost_ms > best.cost_ms) continue;
      if (!best.backend || pick.cost_ms < best.cost_ms) ties = 0;
      if (random_.Below(static_cast<std::uint64_t>(++ties)) == 0) best = pick;
    }
    if (best.backend) return best;
  }
  return best;
}

double Placement::QueueMs(const Backend& backend, TimePoint now) const {
  const double own = std::max(0.0, Ms(backend.work_until - now));
  return own + OthersAt(backend, now) * mean_work_ms_ * 0.5;
}

double Placement::Running(const Backend& backend, TimePoint now) const {
  return backend.in_flight + OthersAt(backend, now);
}

// The same chain of shared parts prefers the same backend at every proxy, without their asking one another.
const Backend* Placement::Preferred(const Group& group, const Prompt& prompt) const {
  if (prompt.SharedParts() == 0) return nullptr;
  const std::uint64_t chain = prompt.parts[prompt.SharedParts() - 1].chain;
  const Backend* preferred = nullptr;
  std::uint64_t highest = 0;
  for (const BackendPtr& backend : group.backends) {
    if (!backend->Serves() || backend->health.ejected) continue;
    const std::uint64_t rank = Mix(chain, backend->id_hash);
    if (preferred != nullptr && rank <= highest) continue;
    preferred = backend.get();
    highest = rank;
  }
  return preferred;
}

std::int64_t Placement::CachedTokens(const Backend& backend, const Prompt& prompt, bool preferred,
                                     TimePoint now) const {
  const TimePoint since = now - Duration(model_.parts_kept_ms);
  std::int64_t cached = 0;
  for (std::size_t i = 0; i < prompt.SharedParts(); ++i) {
    if (!preferred && !backend.parts.Has(prompt.parts[i].chain, since)) break;
    cached += prompt.parts[i].tokens;
  }
  return cached;
}

Pick Placement::PickPlain(const std::string& service, const Excluded& excluded, TimePoint now) {
  return Least(table_.Find(service, Stage::kAny), excluded, [&](const BackendPtr& backend) {
    const double slots = std::max(1u, backend->info.slots);
    const double load = Running(*backend, now) / slots;
    const double zone = backend->info.zone == zone_ ? 0 : 0.25;
    return Pick{backend, load + zone, 0};
  });
}

Pick Placement::PickPrefill(const std::string& service, const Prompt& prompt, const Excluded& excluded,
                            TimePoint now) {
  const Group* group = table_.Find(service, Stage::kPrefill);
  const Backend* preferred = group ? Preferred(*group, prompt) : nullptr;
  return Least(group, excluded, [&](const BackendPtr& backend) {
    const auto cached = CachedTokens(*backend, prompt, backend.get() == preferred, now);
    const double work = static_cast<double>(prompt.tokens - cached) / model_.prefill_tokens_per_ms;
    const double zone = backend->info.zone == zone_ ? 0 : model_.other_zone_ms;
    return Pick{backend, QueueMs(*backend, now) + work + zone, work};
  });
}

Pick Placement::PickDecode(const std::string& service, const Backend& source, const Excluded& excluded,
                           TimePoint now) {
  return Least(table_.Find(service, Stage::kDecode), excluded, [&](const BackendPtr& backend) {
    const double running = Running(*backend, now);
    const double full = running >= backend->info.slots ? model_.full_ms : 0;
    const double move = backend->info.zone == source.info.zone ? 0 : model_.move_other_zone_ms;
    const double zone = backend->info.zone == zone_ ? 0 : model_.other_zone_ms;
    return Pick{backend, QueueMs(*backend, now) + running * model_.running_ms + full + move + zone, 0};
  });
}

Pick Placement::PickWhole(const std::string& service, const Prompt& prompt, const Excluded& excluded,
                          TimePoint now) {
  const Stage stage = table_.IsSplit(service) ? Stage::kDecode : Stage::kAny;
  const Group* group = table_.Find(service, stage);
  const Backend* preferred = group ? Preferred(*group, prompt) : nullptr;
  const double pace = model_.prefill_tokens_per_ms * (stage == Stage::kDecode ? model_.decode_share : 1);
  return Least(group, excluded, [&](const BackendPtr& backend) {
    const auto cached = CachedTokens(*backend, prompt, backend.get() == preferred, now);
    const double work = static_cast<double>(prompt.tokens - cached) / pace;
    const double running = Running(*backend, now);
    const double full = running >= backend->info.slots ? model_.full_ms : 0;
    const double zone = backend->info.zone == zone_ ? 0 : model_.other_zone_ms;
    const double own_queue = std::max(0.0, Ms(backend->work_until - now));
    return Pick{backend, own_queue + running * model_.running_ms + work + full + zone, work};
  });
}

void Placement::NoteReading(Backend& backend, const Prompt& prompt, double work_ms, TimePoint now) {
  backend.work_until = std::max(backend.work_until, now) + Duration(work_ms);
  mean_work_ms_ += kMeanGain * (work_ms - mean_work_ms_);
  for (std::size_t i = 0; i < prompt.SharedParts(); ++i) backend.parts.Note(prompt.parts[i].chain, now);
}

void Placement::NoteRead(Backend& backend, TimePoint now) {
  if (backend.in_flight == 0) backend.work_until = std::min(backend.work_until, now);
}

}  // namespace kestrelline::data_plane
