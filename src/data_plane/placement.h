// SPDX-License-Identifier: Apache-2.0
//
// Picks backends: the least cost among those in service, ties at random. Costs are times in milliseconds. No I/O, no
// clock.
#ifndef KESTRELLINE_DATA_PLANE_PLACEMENT_H_
#define KESTRELLINE_DATA_PLANE_PLACEMENT_H_

#include <string>
#include <vector>

#include "data_plane/backend_table.h"
#include "data_plane/prompt.h"

namespace kestrelline::data_plane {

// Backends that this try does without.
using Excluded = std::vector<const Backend*>;

struct Pick {
  BackendPtr backend;   // null: none is in service
  double cost_ms = 0;   // until it should have read the prompt, or as it compares
  double work_ms = 0;   // of that, the reading itself
};

// How backends behave, where nothing else is known.
struct EngineModel {
  double prefill_tokens_per_ms = 100;
  double decode_share = 0.5;      // a decode backend reads prompts at this part of the pace
  double first_token_ms = 50;
  double running_ms = 0.6;        // what one more running request is worth
  double other_zone_ms = 4;       // request and answer cross between zones
  double move_other_zone_ms = 14; // the KV cache crosses between zones
  double full_ms = 250;           // all slots are taken
  double parts_kept_ms = 20000;   // a part that was used this recently is taken to be cached
};

class Placement {
 public:
  Placement(const BackendTable& table, std::string zone, EngineModel model, std::uint64_t seed)
      : table_(table), zone_(std::move(zone)), model_(model), random_(seed) {}

  // For services without engine stages.
  Pick PickPlain(const std::string& service, const Excluded& excluded, TimePoint now);
  // Who reads the prompt.
  Pick PickPrefill(const std::string& service, const Prompt& prompt, const Excluded& excluded, TimePoint now);
  // Who goes on from what `source` has read.
  Pick PickDecode(const std::string& service, const Backend& source, const Excluded& excluded, TimePoint now);
  // Who reads and generates by itself.
  Pick PickWhole(const std::string& service, const Prompt& prompt, const Excluded& excluded, TimePoint now);

  // The prompt's reading was handed to the backend.
  void NoteReading(Backend& backend, const Prompt& prompt, double work_ms, TimePoint now);
  // It was read, or will not be.
  void NoteRead(Backend& backend, TimePoint now);

 private:
  double QueueMs(const Backend& backend, TimePoint now) const;
  double Running(const Backend& backend, TimePoint now) const;
  std::int64_t CachedTokens(const Backend& backend, const Prompt& prompt, bool preferred, TimePoint now) const;
  const Backend* Preferred(const Group& group, const Prompt& prompt) const;
  template <typename Cost>
  Pick Least(const Group* group, const Excluded& excluded, Cost cost);

  const BackendTable& table_;
  std::string zone_;
  EngineModel model_;
  brackenspoke::Random random_;
  double mean_work_ms_ = 40;  // of a prompt, as sent lately
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_PLACEMENT_H_
