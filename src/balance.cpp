// SPDX-License-Identifier: Apache-2.0
//
// The life of a request, and the module as a whole. The types, events and actions are in
// include/kestrelline/balancer.h; the other decisions in src/policy, each in a file that is named after it.
//
// The ordinary path is gRFC A50 outlier detection (failure percentage) and, among the servers in service, a
// pick of the one with the least hinted work of this proxy's own in flight. Whatever departs from that is
// marked "Exception" with the condition under which it acts; docs/design/exceptions.md lists them all.
#include <deque>
#include <limits>
#include <queue>
#include <set>
#include <unordered_map>

#include "fleet/asking.h"
#include "policy/admission.h"
#include "policy/attempts.h"
#include "policy/cold_start.h"
#include "policy/picking.h"

namespace kestrelline {
namespace {

constexpr int kYoung = 10;              // outcomes; before, what is asked stands for what is served
constexpr double kPauseSpread = 0.25;   // part of a pause that chance may take off: not all in step
constexpr double kSlownessGain = 0.08;  // of one answer
constexpr double kMostSlowness = 8;     // one answer counts as no slower than this
constexpr int kMostMisses = 8;          // held requests tried in a row without room for any
constexpr double kMostWork = 1e6;       // ms; a larger hint is taken as this
constexpr Duration kHousekeeping{100};  // rates are sampled this often

}  // namespace

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : state_(std::move(settings), seed) {}

  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
    now_ = now;
    out_ = actions;
    state_.Fade();
    used_.Refresh();
    std::visit([this](const auto& e) { On(e); }, event);
    if (roster_.Waiting()) ReadLists();  // first: a list may forbid what is due
    Advance();
    PlaceHeld();
    Arm();
    out_ = nullptr;
  }

  std::size_t Ejected() const { return static_cast<std::size_t>(fleet_.ejected); }

 private:
  // ---- Attempts ------------------------------------------------------------------------------------
  void Finish(Request& r, Duration retry_after = Duration(0)) {
    const Permission may = attempts_.Permitted(r);
    if (state_.MayLog(LogKind::kEnding))
      state_.LogLine((may.refuse ? "refusing: " : "failing: ") +
                     (r.attempts.empty()
                          ? "not in time"
                          : "last at server " + std::to_string(roster_[r.attempts.back().server].server)) +
                     "; " + std::to_string(state_.in_flight) + " in flight, " + std::to_string(held_.size()) +
                     " held");
    if (may.refuse) {
      out_->push_back(Refuse{r.id, retry_after});
    } else {
      out_->push_back(Fail{r.id});
    }
    r.finished = true;
  }

  void Send(Request& r, Server& s, const Permission& may) {
    const bool first = r.attempts.empty();
    attempts_.Sent(first);
    const Duration timeout = attempts_.TimeoutOf(r, s);
    ++s.remembered;
    cold_.Sent(s, r.work);
    picking_.Sent(r, s);
    Attempt attempt;
    attempt.server = s.index;
    attempt.sent_at = now_;
    r.attempts.push_back(attempt);
    if (!r.passing) Begin(r, s);
    out_->push_back(Dispatch{r.id, state_.EntryOf(s).server, timeout, state_.EntryOf(s).zone,
                             state_.EntryOf(s).cell, may.by});
    if (r.limits) NoteSent(r, first);
  }

  // A server has work with an attempt from the request's last byte on.
  void Begin(Request& r, Server& s) {
    if (s.own_count == 0) s.quiet_since = now_;
    ++state_.in_flight, ++s.own_count;
    s.own_work += r.work;
    used_.Reindex(s);
    sent_.emplace_back(now_, r.id);
  }

  void On(const BodyNews& e) {
    const auto found = requests_.find(e.request);
    if (found == requests_.end()) return;
    Request& r = found->second;
    r.bound |= e.bound;
    if (!e.whole || !std::exchange(r.passing, false)) return;
    r.due = e.due;
    for (Attempt& a : r.attempts) {
      if (a.outstanding) a.sent_at = now_, Begin(r, servers_[a.server]);
    }
  }

  void On(const Claimed& e) {
    const auto found = requests_.find(e.request);
    if (found == requests_.end()) return;
    Request& r = found->second;
    auto claims = r.claims ? *r.claims : std::vector<KeyClaim>();
    claims.push_back(e.claim);
    r.claims = std::make_shared<const std::vector<KeyClaim>>(std::move(claims));
    room_ = true;  // it may be held for what it may not have any more
  }

  void On(const AttemptEnded& e) {
    const auto found = requests_.find(e.request);
    if (found == requests_.end()) return;
    Request& r = found->second;
    if (e.attempt < 0 || e.attempt >= static_cast<int>(r.attempts.size())) return;
    Attempt& a = r.attempts[e.attempt];
    if (!a.outstanding) return;
    a.outstanding = false;
    state_.overdue -= a.overdue;
    a.may_have_run =
        !(e.outcome == Outcome::kFull || e.outcome == Outcome::kConnectFailed || e.outcome == Outcome::kMoot);
    Learn(r, e, servers_[a.server]);
    room_ = true;
    if (e.settled) r.finished = true;
    if (!r.finished && r.outstanding() == 0 && !r.held)
      Again(r, e.outcome, a.may_have_run || e.outcome == Outcome::kFull);
    Forget(found);
  }

  // After a failed attempt: another one where permitted, within the budget of repeats if it adds load.
  void Again(Request& r, Outcome after, bool adds_load) {
    if (!attempts_.Permitted(r).dispatch || (adds_load && !attempts_.MayRepeat())) return Finish(r);
    if (r.limits) {
      // What cannot be sent any more after the pause is given up now.
      const Duration pause = r.limits->pause * (1 - kPauseSpread * state_.random.Unit());
      const bool in_time =
          pause.count() <= 0 || attempts_.Permitted(r, now_ + pause + settings_.tick * 2).dispatch;
      if (!(r.limits->retry_on & RouteLimits::RetryAfter(after)) || !in_time ||
          !routes_.Take(now_, *r.limits))
        return Finish(r);
      if (pause.count() > 0) {
        r.paused = true;
        r.paused_until = now_ + pause;
        wakeups_.emplace(r.paused_until, r.id);
        return;
      }
    }
    PlaceAgain(r);
  }

  void PlaceAgain(Request& r) {
    r.refuse_at = std::max(r.refuse_at, std::min(r.due - settings_.tick * 2, now_ + settings_.tick * 4));
    Place(r);
  }

  void Learn(const Request& r, const AttemptEnded& e, Server& s) {
    if (r.passing) return LearnOutcome(r, e, s);
    --state_.in_flight;
    s.own_work -= r.work;
    if (e.outcome != Outcome::kTimeout) s.quiet_since = now_;
    if (--s.own_count == 0) s.own_work = 0;
    LearnOutcome(r, e, s);
    used_.Reindex(s);
  }

  void LearnOutcome(const Request& r, const AttemptEnded& e, Server& s) {
    const bool ok = e.outcome == Outcome::kOk;
    if (e.outcome == Outcome::kCancelled || e.outcome == Outcome::kMoot || e.outcome == Outcome::kUnknown)
      return;
    outcomes_ = std::min(kYoung, outcomes_ + 1);
    if (ok) state_.rates.Served(r.work);
    const double took = e.took.count();
    picking_.LearnZone(r, s, ok && now_ <= r.arrived + settings_.classes[r.cls].aim, ok);
    const bool timed = ok || e.outcome == Outcome::kTimeout;
    if (!r.attempts[e.attempt].overdue && (timed || e.outcome == Outcome::kError))
      state_.class_losses.Add(now_, s.index, r.cls, !ok, fleet_.hosts);
    if (timed && std::isfinite(took) && took >= 0) {
      Spread& seen = state_.classes[r.cls].latency;
      seen.Add(took / state_.WorkScale(r));
      const double relative = std::min(kMostSlowness, took / state_.WorkScale(r) / std::max(seen.mean, 1e-9));
      const double slowness = state_.SlownessOf(s);
      s.excess = (slowness + kSlownessGain * (relative - slowness) - 1) / state_.fade;
    }
    if (timed)
      state_.crowding.Add(took, ok, r.work, state_.request_work.mean, settings_.classes[r.cls].aim.count());
    if (!OutlierDetector::Record(s.health, ok, now_, fleet_, state_.random)) return;
    fleet_.ejected -= !state_.Usable(s);  // a draining server's late answers may fail too
    returns_.emplace(s.health.return_at, s.index);
    HealthChanged();
    if (fleet_.thin) out_->push_back(CloseIdle{state_.EntryOf(s).server});  // others may need the place
    if (state_.MayLog(LogKind::kHealth)) {
      state_.LogLine("server " + std::to_string(state_.EntryOf(s).server) +
                     " ejected: " + std::to_string(s.health.failures) + " of " +
                     std::to_string(s.health.attempts()) + " attempts failed");
    }
  }

  void Forget(std::unordered_map<RequestId, Request>::iterator it) {
    if (it->second.finished) Unhold(it->second);
    if (!it->second.finished || it->second.outstanding() != 0) return;
    if (it->second.limits) routes_.Leave(*it->second.limits);
    for (const Attempt& a : it->second.attempts) --servers_[a.server].remembered;
    requests_.erase(it);
  }

  // ---- Routes -------------------------------------------------------------------------------------
  void NoteSent(Request& r, bool first) {
    if (first) routes_.First(now_, *r.limits);
    const Duration after = r.limits->second_copy_after;
    if (after.count() <= 0 || !settings_.parallel_tries || settings_.classes[r.cls].effect != Effect::kSafe)
      return;
    r.copy_at = now_ + after;
    wakeups_.emplace(r.copy_at, r.id);
  }

  // Exception, where the settings and the route allow it: a second copy of a request that is safe to repeat,
  // at a server that has not seen it, when the first attempt has taken the route's time. Its answer is
  // whichever comes first; the other attempt runs on and counts as work in flight.
  void SendCopy(Request& r) {
    if (r.finished || r.outstanding() != 1 || !attempts_.MayRepeat()) return;
    r.copying = true;
    const Permission may = attempts_.Permitted(r);
    Server* s = may.dispatch && admission_.Fits(cold_.listed()) ? picking_.Pick(r, may) : nullptr;
    if (s && !picking_.Last(r, *s) && routes_.Take(now_, *r.limits)) Send(r, *s, may);
    r.copying = false;
  }

  // Attempts whose answers stay away take no server's time. Where connections fell silent, a dozen of them
  // held all of the places that Admission::Fits gives, and half of the requests were refused by an idle
  // fleet. Attempts wait in the order in which they were sent until they are old enough to be overdue at all.
  void FindOverdue() {
    Duration least(std::numeric_limits<double>::infinity());
    const auto unlikely = [this](int cls) {
      const Spread& seen = state_.classes[cls].latency;
      return Duration(seen.mean + kDeviations * seen.deviation);
    };
    for (std::size_t c = 0; c < state_.classes.size(); ++c) {
      if (state_.classes[c].latency.samples >= 10)
        least = std::min(least, unlikely(static_cast<int>(c)) * kLeastScale);
    }
    for (; !sent_.empty(); sent_.pop_front()) {
      if (now_ - sent_.front().first >= least) {
        aged_.push_back(sent_.front().second);
      } else if (requests_.count(sent_.front().second)) {
        break;
      }
    }
    std::erase_if(aged_, [&](RequestId id) {
      const auto found = requests_.find(id);
      if (found == requests_.end()) return true;
      Request& r = found->second;
      bool waits = false;
      for (Attempt& a : r.attempts) {
        if (!a.outstanding || a.overdue) continue;
        if (state_.classes[r.cls].latency.samples < 10 ||
            now_ - a.sent_at < unlikely(r.cls) * state_.WorkScale(r)) {
          waits = true;
          continue;
        }
        a.overdue = true;
        state_.class_losses.Add(now_, a.server, r.cls, true, fleet_.hosts);
        ++state_.overdue;
        room_ = true;
      }
      return !waits;
    });
  }

  void On(const Submit& e) {
    if (requests_.count(e.request)) return;
    if (e.withheld) {  // before anything is learned of it: it is no part of the load
      out_->push_back(Refuse{e.request, settings_.max_retry_after});
      return;
    }
    Request r;
    r.id = e.request;
    r.due = e.due;
    r.arrived = now_;
    r.key = e.key, r.passing = e.body_follows;
    if (e.request_class < 0 || e.request_class >= static_cast<int>(settings_.classes.size())) {
      // Nothing is known of what it may do twice, and it never ran: the client may try again.
      out_->push_back(Refuse{r.id, Duration(0)});
      return;
    }
    r.cls = e.request_class;
    const ClassSettings& c = settings_.classes[r.cls];
    // Exception: what has passed of a client's deadline has passed of its aim.
    const Duration aim =
        c.aim - state_.classes[r.cls].usual_time.Elapsed(e.due - now_, c.deadline, e.client_retry);
    const bool hinted = e.has_hint && std::isfinite(e.work_ms) && e.work_ms > 0;
    r.work = hinted                            ? std::min(e.work_ms, kMostWork)
             : state_.request_work.samples > 0 ? state_.request_work.mean
                                               : 1;
    if (hinted || state_.request_work.samples == 0) {
      state_.request_work.Add(r.work);
      state_.classes[r.cls].work.Add(r.work);
    }
    state_.rates.Asked(r.work);
    r.value = admission_.ValueOf(r, e.tenant, aim);
    r.limits = e.limits;
    if (e.claims && !e.claims->empty()) r.claims = e.claims;
    if (r.limits && r.limits->patience.count() > 0) r.due = std::min(r.due, now_ + r.limits->patience);
    if (r.value <= 0 || (r.limits && routes_.Full(*r.limits)) || admission_.Throttled(r) ||
        !admission_.TakesClass(r))
      return Finish(r, admission_.StayAway(r));
    if (r.limits) routes_.Enter(*r.limits);
    const Duration useful =
        aim - Duration(state_.classes[r.cls].latency.mean + state_.classes[r.cls].latency.deviation);
    r.refuse_at = std::min(r.due - settings_.tick * 2, now_ + std::max(useful, c.aim / 4));
    Request& kept = requests_.emplace(r.id, std::move(r)).first->second;
    Place(kept);
    Forget(requests_.find(e.request));
  }

  // Sends the request or holds it; true if sent.
  bool Place(Request& r) {
    const Permission may = attempts_.Permitted(r);
    Server* s = may.dispatch && admission_.Fits(cold_.listed()) ? picking_.Pick(r, may) : nullptr;
    if (s) {
      Unhold(r);
      Send(r, *s, may);
      return true;
    }
    if (!may.dispatch || now_ >= r.refuse_at) {
      Finish(r, admission_.StayAway(r));
    } else if (!r.held) {
      r.held = true;
      held_.emplace(-r.value, -r.arrived.time_since_epoch(), r.id);
      wakeups_.emplace(r.refuse_at, r.id);
    }
    return false;
  }

  void Unhold(Request& r) {
    if (r.held) held_.erase({-r.value, -r.arrived.time_since_epoch(), r.id});
    r.held = false;
  }

  void PlaceHeld() {
    if (!room_) return;
    room_ = false;
    int misses = 0;
    for (auto it = held_.begin(); it != held_.end() && misses < kMostMisses;) {
      const RequestId id = std::get<2>(*it++);
      const auto found = requests_.find(id);
      misses += !Place(found->second);
      Forget(found);
    }
  }

  void On(const ClientGone& e) {
    const auto found = requests_.find(e.request);
    if (found == requests_.end()) return;
    found->second.finished = true;
    Forget(found);
  }

  void On(const StreamStarted& e) {
    const auto found = requests_.find(e.request);
    if (found != requests_.end()) found->second.streaming = true;
  }

  void On(const TimerFired&) {}

  // What all proxies have together is divided by how many there are, or as a grant says while it lasts.
  void On(const Share& e) {
    if (!(e.share > 0 && e.share <= 1 && e.after > 0 && e.after <= 1)) return;
    state_.sharers = {1 / e.share, 1 / e.after, e.until};
  }

  void On(const ClassLimit& e) { admission_.Limit(e); }

  // ---- Discovery -----------------------------------------------------------------------------------
  void On(const ListUpdate& e) {
    if (settings_.must_ask_for_list) asking_.OnList(e.kind, now_, [this] { return state_.random.Unit(); });
    if (e.kind != ListKind::kFailed) roster_.Take(e);
  }

  // A large list takes effect whole, some events later; a drain in it waits for that, far less than the rule
  // has.
  void ReadLists() {
    const auto in_use = [this](ServerIndex i) { return i < servers_.size() && servers_[i].remembered > 0; };
    for (std::size_t left = kSlice; left > 0 && roster_.Waiting();) {
      const bool whole = roster_.Read(now_, in_use, &left);
      while (servers_.size() < roster_.size())
        servers_.Add().index = static_cast<ServerIndex>(servers_.size() - 1);
      if (whole) ListTookEffect();
    }
  }

  void ListTookEffect() {
    used_.ListBegins();
    for (const kestrelline::fleet::Roster::Change& change : roster_.changes()) {
      const ServerIndex index = change.member;
      Server& s = servers_[index];
      if (change.placed) s = Server(), s.index = index, s.health.interval = fleet_.number;
      const int ready = (change.after == ServerState::kReady) - (change.before == ServerState::kReady);
      fleet_.hosts += ready;
      fleet_.ejected += s.health.ejected ? ready : 0;
      used_.Changed(s);
      if (!change.started) continue;
      cold_.Started(s), state_.class_losses.Forget(index);
    }
    roster_.DropChanges();
    cold_.CountCapacity();
    used_.ListTookEffect();
    room_ = true;
  }

  // After a change of what is in service.
  void HealthChanged() {
    cold_.CountCapacity();
    used_.HealthChanged();
  }

  // ---- Time -------------------------------------------------------------------------------------------
  void Advance() {
    if (now_ >= armed_) armed_ = kNever;
    if (!returns_.empty() && now_ >= returns_.top().first) ReturnServers();
    if (now_ >= interval_end_) {
      interval_end_ = now_ + fleet_.interval;
      OutlierDetector::EndInterval(fleet_);
      routes_.DropEmpty(now_);
    }
    if (used_.Entering()) used_.EnterSome();
    if (now_ >= sample_at_) Sample();
    if (now_ >= asking_.due()) {
      out_->push_back(Subscribe{});
      asking_.Asked(now_);
    }
    while (!wakeups_.empty() && wakeups_.begin()->first <= now_) {
      const auto found = requests_.find(wakeups_.begin()->second);
      wakeups_.erase(wakeups_.begin());
      if (found == requests_.end()) continue;
      Request& r = found->second;
      if (r.held && now_ >= r.refuse_at) Finish(r, admission_.StayAway(r));
      if (r.paused && now_ >= r.paused_until) {
        r.paused = false;
        if (!r.finished) PlaceAgain(r);
      }
      if (r.copy_at != TimePoint{} && now_ >= r.copy_at) r.copy_at = TimePoint{}, SendCopy(r);
      Forget(found);
    }
  }

  void ReturnServers() {
    for (; !returns_.empty() && returns_.top().first <= now_; returns_.pop()) {
      Server& s = servers_[returns_.top().second];
      if (!s.health.ejected || s.health.return_at != returns_.top().first)
        continue;  // its place was used again
      OutlierDetector::Return(s.health, fleet_);
      used_.Reindex(s);
      room_ = true;
      fleet_.ejected -= state_.Usable(s);
      fleet_.failures += s.health.failures;
      fleet_.attempts += s.health.attempts();
      if (state_.MayLog(LogKind::kHealth))
        state_.LogLine("server " + std::to_string(state_.EntryOf(s).server) + " returns to service");
    }
    HealthChanged();
  }

  void Sample() {
    const double elapsed = (now_ - sampled_at_).count();
    if (cold_.any()) cold_.CountCapacity();
    used_.WakeAll();
    FindOverdue();
    if (sampled_at_ != TimePoint{} && elapsed > 0) {
      state_.rates.Sample(elapsed);
      state_.crowding.Forget(elapsed);
      const Rates& rates = state_.rates;
      // A young proxy goes by what it is asked for: it has no answers yet.
      cold_.LearnWarmRate(Duration(elapsed),
                          outcomes_ < kYoung ? std::max(rates.served(), rates.asked()) : rates.served());
      picking_.Resize(rates.asked());
    }
    admission_.FillShares(elapsed);
    sampled_at_ = now_;
    sample_at_ = now_ + kHousekeeping;
    room_ = true;  // cold budgets have moved on
  }

  void Arm() {
    TimePoint at = std::min(asking_.due(), held_.empty() ? kNever : sample_at_);
    if (roster_.Waiting() || used_.Entering()) at = now_;
    if (!wakeups_.empty()) at = std::min(at, wakeups_.begin()->first);
    if (at >= armed_) return;
    armed_ = at;
    out_->push_back(SetTimer{at, 0});
  }

  State state_;
  const Settings& settings_ = state_.settings;
  TimePoint& now_ = state_.now;
  std::vector<Action>*& out_ = state_.out;
  kestrelline::fleet::Table<Server>& servers_ = state_.servers;
  OutlierDetector::Fleet& fleet_ = state_.fleet;
  kestrelline::fleet::Roster& roster_ = state_.roster;
  ColdStarts cold_{state_};
  UsedServers used_{state_};
  Picking picking_{state_, cold_, used_};
  Admission admission_{state_};
  Attempts attempts_{state_};
  TimePoint interval_end_{}, sample_at_{}, sampled_at_{};
  std::priority_queue<std::pair<TimePoint, ServerIndex>, std::vector<std::pair<TimePoint, ServerIndex>>,
                      std::greater<>>
      returns_;  // of those ejected
  std::unordered_map<RequestId, Request> requests_;
  std::set<std::tuple<double, Duration, RequestId>> held_;
  std::deque<std::pair<TimePoint, RequestId>> sent_;  // attempts too young to be overdue
  std::vector<RequestId> aged_;                       // those that may be, and are out
  std::set<std::pair<TimePoint, RequestId>> wakeups_;
  RouteUse routes_;
  int outcomes_ = 0;   // attempts ended, to kYoung
  bool room_ = false;  // something changed that may let a held request go
  kestrelline::fleet::Asking asking_{settings_.must_ask_within};
  TimePoint armed_ = kNever;
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

std::size_t Balancer::Ejected() const { return impl_->Ejected(); }
void Balancer::Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}

}  // namespace kestrelline
