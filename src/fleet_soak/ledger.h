// SPDX-License-Identifier: Apache-2.0
//
// What clients, backends and operators saw on their sockets during a soak run, and the judgement of it. No
// I/O, no clock: every time is handed in.
#ifndef KESTRELLINE_FLEET_SOAK_LEDGER_H_
#define KESTRELLINE_FLEET_SOAK_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet_soak/plan.h"

namespace kestrelline::fleet_soak {

inline constexpr Time kForever = Time::max();

// A span of time, both ends included.
struct Interval {
  Time from{};
  Time to = kForever;
};

// One process, from its start to its end.
struct Life {
  std::string name;
  Time started{};
  std::optional<Time> term;        // when SIGTERM was sent
  std::optional<Time> ended;       // when its end was seen
  int status = 0;                  // exit status, or 1000 and the signal that ended it
  bool overstayed = false;         // it was still there when its grace was over
  std::vector<Interval> troubles;  // killed or paused
};

enum class Kind { kUnsafe, kSafe, kStream, kResumable };
enum class Ending {
  kAnswered,  // a whole answer, by its own framing
  kNoAnswer,  // the connection ended before a byte of the answer
  kCut,       // it ended within the answer
  kGivenUp,   // the client closed, long after the deadline
  kNotSent,   // the connection was gone before the whole request was written
};

const char* NameOf(Ending ending);

// One request, as its client saw it.
struct Request {
  std::string id;
  Kind kind = Kind::kUnsafe;
  std::size_t life = 0;              // of the process that the connection was made to
  std::optional<std::size_t> relay;  // the relay that it went through
  Time deadline{};                   // after `sent`
  int events = 0;                    // of a stream
  Time sent{};                       // its last byte was written
  Time ended{};
  Ending ending = Ending::kNotSent;
  int status = 0;
  std::string answered_id, stamp, body;
  bool retry_after = false;
};

// One arrival at a backend.
struct Arrival {
  std::string id;
  std::string instance;
  Time began{};
  Time ended = kForever;
  bool ran = false;
  bool broke_off = false;  // the backend was told to
};

// One order of an operator.
struct Order {
  std::uint64_t version = 0;
  std::uint64_t builds_on = 0;
  std::string text;
  std::optional<Time> acknowledged;
};

struct Violation {
  Time at{};
  std::string rule, process, request, what;
};

// The bounds that the settings files hold.
struct Rules {
  Time grace{6000};
  Time loss_slack{200};
  Time contact{1000};
  // Requests sent until then after SIGTERM, which the process may have read before it saw the signal, may
  // meet the end of grace.
  Time signal_seen_within{250};
  Time route_timeout{7000};   // the shortest of any configuration
  Time measuring_margin{50};  // of deadlines, which a proxy counts from when it has read a request
  int max_attempts = 2;
};

struct Tally {
  int requests = 0, answered = 0, sent_on = 0, refused = 0, failed = 0;
  // Requests without a whole answer that no rule counts, by reason.
  int not_sent = 0, crossed = 0, late = 0, broken_off = 0, disturbed = 0, at_end_of_grace = 0, given_up = 0;
};

class Ledger {
 public:
  explicit Ledger(Rules rules = {}) : rules_(rules) {}

  std::vector<Life> lives;
  std::vector<Request> requests;
  std::vector<Arrival> arrivals;
  std::vector<Order> orders;
  std::map<std::size_t, std::vector<Interval>> relay_troubles;
  std::vector<Interval> harness_stalls;  // when the harness itself was not run by the machine
  // What is no judgement of figures: noted as it is seen.
  void Note(Violation violation) { noted_.push_back(std::move(violation)); }

  struct Judgement {
    Tally tally;
    std::vector<Violation> violations;  // by time
  };
  // `read_back`: the configuration that was in force at the end, its version and text.
  Judgement Judge(std::uint64_t read_back_version, const std::string& read_back, Time now) const;
  const Rules& rules() const { return rules_; }

 private:
  using Arrivals = std::vector<const Arrival*>;
  class Judging;

  Rules rules_;
  std::vector<Violation> noted_;
};

// What a stand-in backend streams, or answers.
std::string ExpectedBody(Kind kind, const std::string& id, int events);

}  // namespace kestrelline::fleet_soak

#endif  // KESTRELLINE_FLEET_SOAK_LEDGER_H_
