// SPDX-License-Identifier: Apache-2.0
#include "fleet_soak/ledger.h"

#include <algorithm>
#include <utility>

namespace kestrelline::fleet_soak {
namespace {

constexpr int kGraceParts = 6;           // a backend at work in the last of them may be left there
constexpr std::size_t kShownBytes = 60;  // of a body
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

bool Overlap(const Interval& one, const Interval& other) {
  return one.from <= other.to && other.from <= one.to;
}

bool AnyOverlaps(const std::vector<Interval>& intervals, const Interval& other) {
  return std::any_of(intervals.begin(), intervals.end(),
                     [&other](const Interval& one) { return Overlap(one, other); });
}

bool IsRefusal(int status) {
  return status == kUnavailable || status == kTooMany || status == kRequestTimeout || status == kMisdirected;
}

bool MayRunAgain(Kind kind) { return kind == Kind::kSafe || kind == Kind::kResumable; }

bool Streams(Kind kind) { return kind == Kind::kStream || kind == Kind::kResumable; }

}  // namespace

const char* NameOf(Ending ending) {
  switch (ending) {
    case Ending::kAnswered:
      return "answered";
    case Ending::kNoAnswer:
      return "no-answer";
    case Ending::kCut:
      return "cut";
    case Ending::kGivenUp:
      return "given-up";
    case Ending::kNotSent:
      break;
  }
  return "not-sent";
}

std::string ExpectedBody(Kind kind, const std::string& id, int events) {
  if (!Streams(kind)) return "body of " + id;
  std::string text;
  for (int i = 1; i <= events; ++i) {
    const std::string number = std::to_string(i);
    text += "id: ";
    text += number;
    text += "\ndata: token ";
    text += number;
    text += "\n\n";
  }
  return text;
}

// One pass over all that is on record.
class Ledger::Judging {
 public:
  Judging(const Ledger& ledger, Time now) : ledger_(ledger), rules_(ledger.rules_), now_(now) {
    for (const Arrival& arrival : ledger.arrivals) arrivals_[arrival.id].push_back(&arrival);
    judgement_.violations = ledger.noted_;
  }

  Judgement Run(std::uint64_t read_back_version, const std::string& read_back) {
    for (const Request& request : ledger_.requests) JudgeRequest(request);
    for (const Life& life : ledger_.lives) JudgeLife(life);
    JudgeOrders(read_back_version, read_back);
    std::stable_sort(judgement_.violations.begin(), judgement_.violations.end(),
                     [](const Violation& one, const Violation& other) { return one.at < other.at; });
    return std::move(judgement_);
  }

 private:
  void Break(const char* rule, const Request& request, std::string what) {
    judgement_.violations.push_back(
        {request.ended, rule, ledger_.lives.at(request.life).name, request.id, std::move(what)});
  }

  const Arrivals& ArrivalsOf(const Request& request) const {
    static const Arrivals kNone;
    const auto found = arrivals_.find(request.id);
    return found == arrivals_.end() ? kNone : found->second;
  }

  void JudgeRequest(const Request& request) {
    ++judgement_.tally.requests;
    const Arrivals& arrivals = ArrivalsOf(request);
    const auto runs =
        std::count_if(arrivals.begin(), arrivals.end(), [](const Arrival* one) { return one->ran; });
    const int most = MayRunAgain(request.kind) ? rules_.max_attempts : 1;
    if (runs > most)
      Break("TWICE", request, "ran " + std::to_string(runs) + " times, allowed " + std::to_string(most));
    if (request.ending == Ending::kAnswered) {
      JudgeAnswer(request, arrivals, runs > 0);
    } else {
      JudgeMissingAnswer(request, arrivals);
    }
  }

  void JudgeAnswer(const Request& request, const Arrivals& arrivals, bool ran) {
    const bool success = request.status / 100 == 2;
    const bool refusal = IsRefusal(request.status);
    ++CountOf(request.status);
    if (refusal && ran) {
      Break("REFUSED", request, std::to_string(request.status) + " was answered, but it ran");
    }
    if (!success) return;
    const bool by_its_backend = std::any_of(arrivals.begin(), arrivals.end(), [&request](const Arrival* one) {
      return one->ran && one->instance == request.stamp;
    });
    if (!by_its_backend) Break("MIXED", request, "stamped by '" + request.stamp + "', where it did not run");
    if (request.answered_id != request.id)
      Break("MIXED", request, "the answer of '" + request.answered_id + "'");
    if (request.body != ExpectedBody(request.kind, request.id, request.events)) {
      Break(Streams(request.kind) ? "ORDER" : "MIXED", request,
            "another body, " + std::to_string(request.body.size()) +
                " bytes: " + request.body.substr(0, kShownBytes));
    }
  }

  int& CountOf(int status) {
    Tally& tally = judgement_.tally;
    if (status / 100 == 2) return tally.answered;
    if (status / 100 == 3) return tally.sent_on;
    return IsRefusal(status) ? tally.refused : tally.failed;
  }

  void JudgeMissingAnswer(const Request& request, const Arrivals& arrivals) {
    Tally& tally = judgement_.tally;
    const bool partial = request.ending == Ending::kCut && request.status / 100 == 2;
    if (partial && !ExpectedBody(request.kind, request.id, request.events).starts_with(request.body)) {
      Break("ORDER", request, "a broken stream has other events: " + request.body.substr(0, kShownBytes));
    }
    if (request.ending == Ending::kNotSent) return void(++tally.not_sent);
    if (request.ending == Ending::kGivenUp) return void(++tally.given_up);
    const bool broken_off =
        std::any_of(arrivals.begin(), arrivals.end(), [](const Arrival* one) { return one->broke_off; });
    if (broken_off) return void(++tally.broken_off);
    const Time limit = std::min(request.deadline, rules_.route_timeout);
    if (request.ended + rules_.measuring_margin >= request.sent + limit) return void(++tally.late);
    if (Disturbed(request)) return void(++tally.disturbed);
    if (arrivals.empty()) {
      if (Waited(request) <= rules_.loss_slack) return void(++tally.crossed);
    } else if (AtEndOfGrace(request, arrivals)) {
      return void(++tally.at_end_of_grace);
    }
    Break("LOST", request, DescribeLoss(request, arrivals));
  }

  // Killed, paused or cut, from shortly before it was sent until its end.
  bool Disturbed(const Request& request) const {
    const Interval about{request.sent - rules_.contact, request.ended};
    if (AnyOverlaps(ledger_.lives.at(request.life).troubles, about)) return true;
    if (!request.relay) return false;
    const auto relay = ledger_.relay_troubles.find(*request.relay);
    return relay != ledger_.relay_troubles.end() && AnyOverlaps(relay->second, about);
  }

  // From its last byte to the end of its connection, without the time in which the harness itself stood
  // still.
  Time Waited(const Request& request) const {
    Time waited = request.ended - request.sent;
    for (const Interval& stall : ledger_.harness_stalls) {
      const Time from = std::max(stall.from, request.sent);
      const Time to = std::min(stall.to, request.ended);
      if (from < to) waited -= to - from;
    }
    return waited;
  }

  bool AtEndOfGrace(const Request& request, const Arrivals& arrivals) const {
    const auto& term = ledger_.lives.at(request.life).term;
    if (!term || request.sent > *term + rules_.signal_seen_within) return false;
    const Interval last_part{*term + rules_.grace - rules_.grace / kGraceParts, *term + rules_.grace};
    return std::any_of(arrivals.begin(), arrivals.end(), [&last_part](const Arrival* one) {
      return Overlap({one->began, one->ended}, last_part);
    });
  }

  std::string DescribeLoss(const Request& request, const Arrivals& arrivals) const {
    std::string what = request.ending == Ending::kCut ? "cut within its answer " : "closed unanswered ";
    what += std::to_string((request.ended - request.sent).count()) + " ms after it was sent";
    if (const auto& term = ledger_.lives.at(request.life).term) {
      what += ", sent " + std::to_string((request.sent - *term).count()) + " ms after SIGTERM";
    }
    what += ", deadline " + std::to_string(request.deadline.count()) + " ms";
    what += arrivals.empty() ? ", passed on to no backend" : ", passed on to";
    for (const Arrival* one : arrivals) what += " " + one->instance + (one->ran ? "" : " (not run)");
    return what;
  }

  void JudgeLife(const Life& life) {
    const auto broken = [&](Time at, const std::string& what) {
      judgement_.violations.push_back({at, "EXIT", life.name, "", what});
    };
    if (life.overstayed) {
      const Interval draining{*life.term, *life.term + rules_.grace};
      if (!AnyOverlaps(life.troubles, draining)) broken(draining.to, "still there when its grace was over");
      return;
    }
    if (!life.ended) return;
    const bool killed = AnyOverlaps(life.troubles, {*life.ended, *life.ended});
    if (killed) return;
    if (!life.term) broken(*life.ended, "ended by itself, status " + std::to_string(life.status));
    if (life.term && life.status != 0)
      broken(*life.ended, "ended with status " + std::to_string(life.status));
  }

  void JudgeOrders(std::uint64_t read_back_version, const std::string& read_back) {
    const auto broken = [&](Time at, const std::string& what) {
      judgement_.violations.push_back({at, "CONFIG", "", "", what});
    };
    const Order* newest = nullptr;
    std::map<std::uint64_t, const Order*> by_base;
    for (const Order& order : ledger_.orders) {
      if (!order.acknowledged) continue;
      if (newest == nullptr || order.version > newest->version) newest = &order;
      const auto [other, first] = by_base.emplace(order.builds_on, &order);
      if (first || other->second->text == order.text) continue;
      broken(*order.acknowledged, "two changes of version " + std::to_string(order.builds_on) +
                                      " were acknowledged: " + std::to_string(other->second->version) +
                                      " and " + std::to_string(order.version));
    }
    if (newest == nullptr) return;
    const std::string name = "version " + std::to_string(newest->version) + ", acknowledged,";
    if (read_back_version < newest->version) {
      broken(now_, name + " is gone: version " + std::to_string(read_back_version) + " is in force");
    }
    if (read_back_version == newest->version && read_back != newest->text) {
      broken(now_, name + " has another text than was acknowledged");
    }
  }

  const Ledger& ledger_;
  const Rules& rules_;
  Time now_;
  std::map<std::string, Arrivals> arrivals_;
  Judgement judgement_;
};

Ledger::Judgement Ledger::Judge(std::uint64_t read_back_version, const std::string& read_back,
                                Time now) const {
  return Judging(*this, now).Run(read_back_version, read_back);
}

}  // namespace kestrelline::fleet_soak
