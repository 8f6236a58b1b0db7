// SPDX-License-Identifier: Apache-2.0
//
// Decides which backends move between the prefill and decode stages as the traffic mix shifts. No I/O, no
// clock.
//
// The prefill capacity needed follows from the prompt reading time that clients demand, the decode capacity
// from the token generation time. A move is planned only if the other stage can spare a backend, spread over
// the zones, a few at a time, and with a pause between moves. docs/design/placement.md has the
// measurements.
#ifndef KESTRELLINE_CONTROL_PLANE_STAGE_PLANNER_H_
#define KESTRELLINE_CONTROL_PLANE_STAGE_PLANNER_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "wire/messages.h"

namespace kestrelline::control_plane {

enum class StageGoal { kPrefill, kDecode };

// An instruction to a backend to serve a stage.
struct StageOrder {
  std::string instance;
  std::string address;
  StageGoal goal = StageGoal::kPrefill;
};

struct StagePlannerOptions {
  double target_prefill_utilization = 0.55;  // share of its time that a prefill backend should be reading
  // Share of its slots that a decode backend should have in use. Short prompts are read there too, and each
  // token takes longer the more streams run.
  double target_decode_utilization = 0.55;
  double min_stage_share = 0.25;         // of all backends, for either stage
  double idle_prefill_share = 0.5;       // prefill's share while the service is idle
  double idle_utilization = 0.15;        // share of all backends' time below which a service is idle
  std::size_t max_concurrent_moves = 3;  // per service
  std::chrono::milliseconds min_move_interval{800};
  std::chrono::milliseconds reverse_move_interval{4000};  // before a move in the opposite direction
  std::chrono::milliseconds move_timeout{6000};           // for the instance list to show a move
};

class StagePlanner {
 public:
  using Time = std::chrono::milliseconds;  // of a steady clock

  explicit StagePlanner(StagePlannerOptions options = {}) : options_(options) {}

  // Returns the orders to send now. Their moves count as in progress from then on.
  std::vector<StageOrder> Plan(Time now, const std::vector<wire::Instance>& instances,
                               const std::vector<wire::Demand>& demands);
  // The backend rejected the order, or did not get it.
  void OnOrderRejected(const std::string& instance) { moves_.erase(instance); }
  // Forgets all moves, after another member has led.
  void Reset() { moves_.clear(); }
  // Marks backends that are being moved as serving neither stage, so that no proxy picks them.
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

  // The number of backends that should serve prefill.
  std::size_t WantedPrefill(const Service& service, const wire::Demand& demand) const;
  const wire::Instance* ChooseInstance(const std::vector<const wire::Instance*>& from,
                                       const std::vector<const wire::Instance*>& to) const;

  StagePlannerOptions options_;
  std::map<std::string, Move> moves_;       // in progress, by instance
  std::map<std::string, Move> last_moves_;  // the latest, by service
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_STAGE_PLANNER_H_
