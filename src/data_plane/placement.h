// SPDX-License-Identifier: Apache-2.0
//
// Picks backends: the least cost among those in service, ties at random. Costs are times in milliseconds. No
// I/O, no clock.
#ifndef KESTRELLINE_DATA_PLANE_PLACEMENT_H_
#define KESTRELLINE_DATA_PLANE_PLACEMENT_H_

#include <map>
#include <string>
#include <vector>

#include "data_plane/backend_table.h"
#include "data_plane/engine_estimate.h"
#include "data_plane/prompt.h"

namespace kestrelline::data_plane {

// Backends that this try does without.
using Excluded = std::vector<const Backend*>;

struct Pick {
  BackendPtr backend;   // null: none is in service
  double cost_ms = 0;   // as it compares
  double work_ms = 0;   // the reading itself
  double wait_ms = 0;   // until it should begin
  double ready_ms = 0;  // until the prompt should have been read
};

// What is worth how much, in milliseconds. docs/design/placement.md has the reasons for the figures. How fast
// engines read is learned (EngineEstimate).
struct PlacementCosts {
  double decode_share = 0.5;        // a decode backend reads prompts at this part of the pace
  double running_ms = 0.6;          // what one more running request is worth
  double other_zone_ms = 4;         // request and answer cross between zones
  double move_other_zone_ms = 14;   // the KV cache crosses between zones
  double hand_over_ms = 30;         // reading at one backend and generating at another, against one for both
  double full_ms = 250;             // all slots are taken
  double again_ms_per_token = 0.2;  // shared parts that another backend has are read once more
  double stream_share = 0.3;        // what a delay of each running stream of a backend is worth
  double parts_kept_ms = 20000;     // a part that was used this recently is taken to be cached
};

class Placement {
 public:
  Placement(const BackendTable& table, std::string zone, PlacementCosts costs, std::uint64_t seed)
      : table_(table), zone_(std::move(zone)), costs_(costs), random_(seed) {}

  // For services without engine stages.
  Pick PickPlain(const std::string& service, const Excluded& excluded, TimePoint now);
  // Who reads the prompt.
  Pick PickPrefill(const std::string& service, const Prompt& prompt, const Excluded& excluded, TimePoint now);
  // Who goes on from what `source` has read.
  Pick PickDecode(const std::string& service, const Backend& source, const Excluded& excluded, TimePoint now);
  // Who reads and generates by itself.
  Pick PickWhole(const std::string& service, const Prompt& prompt, const Excluded& excluded, TimePoint now);
  // The prompt of that pick was read apart in this time.
  void NoteReading(const std::string& service, const Prompt& prompt, const Pick& pick, double elapsed_ms);
  // How fast the service's engines read.
  const ReadingFigures& FiguresOf(const std::string& service) { return estimates_[service].figures(); }

 private:
  double WaitMs(const Backend& backend, TimePoint now) const;
  double Running(const Backend& backend, TimePoint now) const;
  // The cost of reading the prompt there.
  struct Reading {
    double work_ms = 0;
    double again_ms = 0;  // the price of shared parts that are cached elsewhere
  };
  Reading ReadingAt(const Backend& backend, const Prompt& prompt, bool preferred,
                    const ReadingFigures& figures, TimePoint now) const;
  const Backend* Preferred(const Group& group, const Prompt& prompt) const;
  template <typename Cost>
  Pick Least(const Group* group, const Excluded& excluded, TimePoint now, Cost cost);

  const BackendTable& table_;
  std::string zone_;
  PlacementCosts costs_;
  std::map<std::string, EngineEstimate> estimates_;  // by service; a few
  kestrelline::Random random_;
};

// A prompt that is being read somewhere: counts as the backend's work until it ends.
class ReadingUnderWay {
 public:
  ReadingUnderWay(BackendPtr backend, const Prompt& prompt, double work_ms, TimePoint now);
  ~ReadingUnderWay() { End(); }
  ReadingUnderWay(const ReadingUnderWay&) = delete;
  ReadingUnderWay& operator=(const ReadingUnderWay&) = delete;
  void End();

 private:
  BackendPtr backend_;
  double work_ms_;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_PLACEMENT_H_
