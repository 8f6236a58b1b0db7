// SPDX-License-Identifier: Apache-2.0
//
// Decides which backends move between prefill and decode as the mix of the traffic shifts. No I/O, no clock.
//
// The need of prefill follows from the reading that clients ask for, that of decode from the tokens. A move
// is planned only where the other stage can spare a backend, one zone after the other, a few at a time, and
// not again soon after the last. docs/design/placement.md has the measurements.
#ifndef KESTRELLINE_CONTROL_PLANE_STAGE_PLANNER_H_
#define KESTRELLINE_CONTROL_PLANE_STAGE_PLANNER_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "wire/messages.h"

namespace kestrelline::control_plane {

enum class StageGoal { kPrefill, kDecode };

struct StageOrder {
  std::string instance;
  std::string address;
  StageGoal goal = StageGoal::kPrefill;
};

struct StagePlannerOptions {
  double target_prefill_utilization = 0.55;  // the part of its time that a prefill backend should read
  // The part of its slots that a decode backend should have taken: short prompts are read reached too, and
  // each token comes later the more of them run.
  double target_decode_utilization = 0.55;
  double min_stage_share = 0.25;         // of the backends, for either stage
  double idle_prefill_share = 0.5;       // prefill's, while clients ask for little
  double idle_utilization = 0.15;        // of all backends' time: less than this is little
  std::size_t max_concurrent_moves = 3;  // moves under way
  std::chrono::milliseconds min_move_interval{800};
  std::chrono::milliseconds reverse_move_interval{4000};  // before the opposite move
  std::chrono::milliseconds move_timeout{6000};           // for the list to show a move
};

class StagePlanner {
 public:
  using Time = std::chrono::milliseconds;

  explicit StagePlanner(StagePlannerOptions options = {}) : options_(options) {}

  // The orders to give now. A move counts as under way from then on.
  std::vector<StageOrder> Plan(Time now, const std::vector<wire::Instance>& instances,
                               const std::vector<wire::Demand>& demands);
  // The backend did not take the order.
  void OnOrderRejected(const std::string& instance) { moves_.erase(instance); }
  // Another member led meanwhile.
  void Reset() { moves_.clear(); }
  // Marks backends whose move is under way as of neither stage, so that no proxy picks them.
  void MarkMoving(Time now, std::vector<wire::Instance>& instances);

 private:
  struct Move {
    StageGoal goal = StageGoal::kPrefill;
    Time started_at{0};
  };
  struct Service {
    std::vector<const wire::Instance*> prefill;
    std::vector<const wire::Instance*> decode;
    std::size_t moving_to_prefill = 0;
    std::size_t moving_to_decode = 0;
  };

  std::size_t WantedPrefill(const Service& service, const wire::Demand& demand) const;
  const wire::Instance* ChooseInstance(const std::vector<const wire::Instance*>& from,
                                       const std::vector<const wire::Instance*>& to) const;

  StagePlannerOptions options_;
  std::map<std::string, Move> moves_;       // by instance
  std::map<std::string, Move> last_moves_;  // by service
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_STAGE_PLANNER_H_
