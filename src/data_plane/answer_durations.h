// SPDX-License-Identifier: Apache-2.0
//
// How long answers take at the most, learned from this proxy's own answers of the last minute. No I/O, no
// clock.
//
// A stream's length is not told by its request, which announces the most tokens that may come. So the longest
// one that may still come is put together from the extremes of streams that announced about as much: the
// longest wait for the first event, the most events, and the longest time per event.
#ifndef KESTRELLINE_DATA_PLANE_ANSWER_DURATIONS_H_
#define KESTRELLINE_DATA_PLANE_ANSWER_DURATIONS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "data_plane/backend.h"

namespace kestrelline::data_plane {

// Answers that are compared with one another.
struct AnswerKind {
  std::string service;
  std::int64_t output_tokens = 0;  // announced; 0 for what is no generation
};

struct ObservedAnswer {
  Duration to_first_event{};  // of a whole answer: all of its time
  Duration streaming{};       // from the first event to the last
  int events = 0;             // 0: a whole answer
};

class AnswerDurations {
 public:
  // Fewer answers tell nothing of the longest.
  static constexpr int kLeastAnswers = 30;
  // Each extreme may be exceeded by those that come.
  static constexpr double kMargin = 1.25;
  static constexpr Duration kGenerationSpan{30000};

  void Note(const AnswerKind& kind, const ObservedAnswer& answer, TimePoint now);
  // From the request's last byte to the answer's; nothing where too few answers have been seen lately.
  std::optional<Duration> Longest(const AnswerKind& kind, TimePoint now) const;

 private:
  struct Extremes {
    int answers = 0;
    Duration to_first_event{};
    Duration per_event{};
    int events = 0;

    void Take(const ObservedAnswer& answer);
    Extremes MergedWith(const Extremes& other) const;
  };
  // Extremes are forgotten by generation: the present one and the one before it are in use.
  struct Generations {
    Extremes present;
    Extremes previous;
    TimePoint present_since{};

    void Advance(TimePoint now);
  };
  // Streams that announce up to twice as many tokens count as of one kind.
  using Key = std::pair<std::string, int>;
  static Key KeyOf(const AnswerKind& kind);

  std::map<Key, Generations> kinds_;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_ANSWER_DURATIONS_H_
