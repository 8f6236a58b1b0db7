// SPDX-License-Identifier: Apache-2.0
#include "data_plane/answer_durations.h"

#include <algorithm>
#include <bit>

namespace kestrelline::data_plane {

void AnswerDurations::Extremes::Take(const ObservedAnswer& answer) {
  ++answers;
  to_first_event = std::max(to_first_event, answer.to_first_event);
  events = std::max(events, answer.events);
  if (answer.events > 1) per_event = std::max(per_event, answer.streaming / (answer.events - 1));
}

AnswerDurations::Extremes AnswerDurations::Extremes::MergedWith(const Extremes& other) const {
  return {answers + other.answers, std::max(to_first_event, other.to_first_event),
          std::max(per_event, other.per_event), std::max(events, other.events)};
}

void AnswerDurations::Generations::Advance(TimePoint now) {
  if (now < present_since + kGenerationSpan) return;
  const bool previous_is_recent = now < present_since + 2 * kGenerationSpan;
  previous = previous_is_recent ? present : Extremes{};
  present = {};
  present_since = now;
}

AnswerDurations::Key AnswerDurations::KeyOf(const AnswerKind& kind) {
  const auto tokens = static_cast<std::uint64_t>(std::max<std::int64_t>(0, kind.output_tokens));
  return {kind.service, std::bit_width(tokens)};
}

void AnswerDurations::Note(const AnswerKind& kind, const ObservedAnswer& answer, TimePoint now) {
  // Services that are gone leave nothing behind.
  std::erase_if(kinds_,
                [now](const auto& entry) { return now >= entry.second.present_since + 2 * kGenerationSpan; });
  Generations& generations = kinds_.try_emplace(KeyOf(kind), Generations{{}, {}, now}).first->second;
  generations.Advance(now);
  generations.present.Take(answer);
}

std::optional<Duration> AnswerDurations::Longest(const AnswerKind& kind, TimePoint now) const {
  const auto found = kinds_.find(KeyOf(kind));
  if (found == kinds_.end()) return std::nullopt;
  Generations generations = found->second;
  generations.Advance(now);
  const Extremes extremes = generations.present.MergedWith(generations.previous);
  if (extremes.answers < kLeastAnswers) return std::nullopt;
  return (extremes.to_first_event + extremes.events * extremes.per_event) * kMargin;
}

}  // namespace kestrelline::data_plane
