// SPDX-License-Identifier: Apache-2.0
#include "data_plane/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "hashing/mix.h"

namespace kestrelline::data_plane {
namespace {

constexpr double kHintFadesMs = 800;    // what a backend said of others' requests halves within this
constexpr double kReadingGuessMs = 20;  // of another proxy's request, where only its number is known

double Ms(Duration span) { return span.count(); }

bool IsExcluded(const Excluded& excluded, const Backend* backend) {
  return std::find(excluded.begin(), excluded.end(), backend) != excluded.end();
}

// Requests of others that the backend holds, as far as it told lately.
double OthersAt(const Backend& backend, TimePoint now) {
  if (!backend.load.known) return 0;
  const double others = std::max(0, backend.load.running + backend.load.waiting - backend.load.own);
  return others * std::exp2(-Ms(now - backend.load.at) / kHintFadesMs);
}

}  // namespace

// Of the backends in service the one with the least cost; where there is none, of all that are listed.
template <typename Cost>
Pick Placement::Least(const Group* group, const Excluded& excluded, TimePoint now, Cost cost) {
  Pick best;
  if (group == nullptr) return best;
  for (const bool with_avoided : {false, true}) {
    int ties = 0;
    for (const BackendPtr& backend : group->backends) {
      if (!backend->Serves() || IsExcluded(excluded, backend.get())) continue;
      if ((backend->health.ejected || now < backend->avoid_until) && !with_avoided) continue;
      const Pick pick = cost(backend);
      if (best.backend && pick.cost_ms > best.cost_ms) continue;
      if (!best.backend || pick.cost_ms < best.cost_ms) ties = 0;
      if (random_.Below(static_cast<std::uint64_t>(++ties)) == 0) best = pick;
    }
    if (best.backend) return best;
  }
  return best;
}

double Placement::WaitMs(const Backend& backend, TimePoint now) const {
  if (table_.KnowsLoads(now)) return backend.reading_ms + backend.others_reading_ms;
  return backend.reading_ms + OthersAt(backend, now) * kReadingGuessMs;
}

double Placement::Running(const Backend& backend, TimePoint now) const {
  return backend.in_flight + (table_.KnowsLoads(now) ? backend.others_running : OthersAt(backend, now));
}

// The same chain of shared parts prefers the same backend at every proxy, without their asking one another.
const Backend* Placement::Preferred(const Group& group, const Prompt& prompt) const {
  if (prompt.SharedParts() == 0) return nullptr;
  const std::uint64_t chain = prompt.parts[prompt.SharedParts() - 1].chain;
  const Backend* preferred = nullptr;
  std::uint64_t highest = 0;
  for (const BackendPtr& backend : group.backends) {
    if (!backend->Serves() || backend->health.ejected) continue;
    const std::uint64_t rank = hashing::Mixed(chain ^ backend->id_hash);
    if (preferred != nullptr && rank <= highest) continue;
    preferred = backend.get();
    highest = rank;
  }
  return preferred;
}

Placement::Reading Placement::ReadingAt(const Backend& backend, const Prompt& prompt, bool preferred,
                                        const ReadingFigures& figures, TimePoint now) const {
  const TimePoint since = now - Duration(costs_.parts_kept_ms);
  std::int64_t cached = 0;
  std::int64_t again = 0;
  for (std::size_t i = 0; i < prompt.SharedParts(); ++i) {
    const bool kept = again == 0 && (preferred || backend.parts.Has(prompt.parts[i].chain, since));
    (kept ? cached : again) += prompt.parts[i].tokens;
  }
  Reading reading;
  reading.work_ms = figures.WorkMs(static_cast<double>(prompt.tokens), static_cast<double>(cached));
  reading.again_ms = static_cast<double>(again) * costs_.again_ms_per_token;
  return reading;
}

Pick Placement::PickPlain(const std::string& service, const Excluded& excluded, TimePoint now) {
  constexpr double kOtherZone = 0.25;  // of a backend's slots
  return Least(table_.Find(service, Stage::kAny), excluded, now, [&](const BackendPtr& backend) {
    const double slots = std::max(1u, backend->info.slots);
    const double zone = backend->info.zone == zone_ ? 0 : kOtherZone;
    return Pick{backend, Running(*backend, now) / slots + zone, 0, 0, 0};
  });
}

Pick Placement::PickPrefill(const std::string& service, const Prompt& prompt, const Excluded& excluded,
                            TimePoint now) {
  const Group* group = table_.Find(service, Stage::kPrefill);
  const Backend* preferred = group ? Preferred(*group, prompt) : nullptr;
  const ReadingFigures& figures = FiguresOf(service);
  return Least(group, excluded, now, [&](const BackendPtr& backend) {
    const Reading reading = ReadingAt(*backend, prompt, backend.get() == preferred, figures, now);
    const double zone = backend->info.zone == zone_ ? 0 : costs_.other_zone_ms;
    const double wait = WaitMs(*backend, now) + zone;
    const double ready = wait + figures.fixed_ms + reading.work_ms;
    return Pick{backend, ready + reading.again_ms + costs_.hand_over_ms, reading.work_ms, wait, ready};
  });
}

Pick Placement::PickDecode(const std::string& service, const Backend& source, const Excluded& excluded,
                           TimePoint now) {
  return Least(table_.Find(service, Stage::kDecode), excluded, now, [&](const BackendPtr& backend) {
    const double running = Running(*backend, now);
    const double full = running >= backend->info.slots ? costs_.full_ms : 0;
    const double move = backend->info.zone == source.info.zone ? 0 : costs_.move_other_zone_ms;
    const double zone = backend->info.zone == zone_ ? 0 : costs_.other_zone_ms;
    const double ready = WaitMs(*backend, now) * 0.5 + running * costs_.running_ms + full + move + zone;
    return Pick{backend, ready, 0, 0, ready};
  });
}

Pick Placement::PickWhole(const std::string& service, const Prompt& prompt, const Excluded& excluded,
                          TimePoint now) {
  const bool split = table_.IsSplit(service);
  const Group* group = table_.Find(service, split ? Stage::kDecode : Stage::kAny);
  const Backend* preferred = group ? Preferred(*group, prompt) : nullptr;
  const ReadingFigures& figures = FiguresOf(service);
  const double share = split ? costs_.decode_share : 1;
  return Least(group, excluded, now, [&](const BackendPtr& backend) {
    const Reading reading = ReadingAt(*backend, prompt, !split && backend.get() == preferred, figures, now);
    const double work = reading.work_ms / share;
    const double running = Running(*backend, now);
    const double full = running >= backend->info.slots ? costs_.full_ms : 0;
    const double zone = backend->info.zone == zone_ ? 0 : costs_.other_zone_ms;
    const double wait = WaitMs(*backend, now) + running * costs_.running_ms + full + zone;
    const double ready = wait + figures.fixed_ms + work;
    // While it reads, the streams that it generates wait.
    const double held_up = split ? running * work * costs_.stream_share : 0;
    return Pick{backend, ready + reading.again_ms + held_up, work, wait, ready};
  });
}

void Placement::NoteReading(const std::string& service, const Prompt& prompt, const Pick& pick,
                            double elapsed_ms) {
  estimates_[service].Observe(prompt, pick.wait_ms, elapsed_ms);
}

ReadingUnderWay::ReadingUnderWay(BackendPtr backend, const Prompt& prompt, double work_ms, TimePoint now)
    : backend_(std::move(backend)), work_ms_(work_ms) {
  backend_->reading_ms += work_ms_;
  for (std::size_t i = 0; i < prompt.SharedParts(); ++i) backend_->parts.Note(prompt.parts[i].chain, now);
}

void ReadingUnderWay::End() {
  if (!backend_) return;
  backend_->reading_ms = std::max(0.0, backend_->reading_ms - work_ms_);
  backend_ = nullptr;
}

}  // namespace kestrelline::data_plane
