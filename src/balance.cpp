// SPDX-License-Identifier: Apache-2.0
//
// The request state machine and the Balancer itself. Types, events and actions are declared in
// include/kestrelline/balancer.h; the other decisions are in src/policy, one file for each.
//
// The common path is gRFC A50 outlier detection (failure percentage) followed by a pick of the server in
// service with the least hinted work that this proxy has in flight. Each deviation from it is marked
// "Exception", with the condition under which it applies; docs/design/exceptions.md lists them all.
#include <deque>
#include <limits>
#include <queue>
#include <set>
#include <unordered_map>

#include "fleet/subscription_timer.h"
#include "policy/admission.h"
#include "policy/attempts.h"
#include "policy/cold_start.h"
#include "policy/picking.h"

namespace kestrelline {
namespace {

constexpr int kMinOutcomes = 10;        // below, the served rate is unknown and the offered rate stands in
constexpr double kPauseJitter = 0.25;   // jitter of a retry pause, so that retries do not synchronize
constexpr double kSlownessGain = 0.08;  // EWMA gain of one answer
constexpr double kMaxSlowness = 8;      // one answer counts as no slower than this
constexpr int kMaxMisses = 8;           // queued requests that are tried and not placed in one pass
constexpr double kMaxWorkMs = 1e6;      // larger hints are clamped to this
constexpr Duration kSampleInterval{100};

}  // namespace

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : state_(std::move(settings), seed) {}

  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
    now_ = now;
    out_ = actions;
    state_.DecaySlowness();
    used_.Refresh();
    std::visit([this](const auto& e) { On(e); }, event);
    if (roster_.Waiting()) ReadLists();  // first: a list may remove servers that would be used below
    Advance();
    PlaceQueued();
    SetNextTimer();
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
                     "; " + std::to_string(state_.in_flight) + " in flight, " +
                     std::to_string(queue_.size()) + " held");
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
    ++s.references;
    cold_.Sent(s, r.work);
    picking_.Sent(r, s);
    Attempt attempt;
    attempt.server = s.index;
    attempt.sent_at = now_;
    r.attempts.push_back(attempt);
    if (!r.receiving) CountInFlight(r, s);
    out_->push_back(Dispatch{r.id, state_.EntryOf(s).server, timeout, state_.EntryOf(s).zone,
                             state_.EntryOf(s).cell, may.valid_until});
    if (r.limits) RecordRouteSend(r, first);
  }

  // An attempt counts as load of its server once the request's last byte has been received.
  void CountInFlight(Request& r, Server& s) {
    if (s.own_count == 0) s.quiet_since = now_;
    ++state_.in_flight, ++s.own_count;
    s.own_work += r.work;
    used_.Reindex(s);
    recent_attempts_.emplace_back(now_, r.id);
  }

  void On(const BodyProgress& e) {
    const auto found = requests_.find(e.request);
    if (found == requests_.end()) return;
    Request& r = found->second;
    r.body_dropped |= e.body_dropped;
    if (!e.complete || !std::exchange(r.receiving, false)) return;
    r.due = e.due;
    for (Attempt& a : r.attempts) {
      if (a.outstanding) a.sent_at = now_, CountInFlight(r, servers_[a.server]);
    }
  }

  void On(const KeyClaimed& e) {
    const auto found = requests_.find(e.request);
    if (found == requests_.end()) return;
    Request& r = found->second;
    auto claims = r.claims ? *r.claims : std::vector<KeyClaim>();
    claims.push_back(e.claim);
    r.claims = std::make_shared<const std::vector<KeyClaim>>(std::move(claims));
    retry_queued_ = true;  // if it is queued, its permission has changed
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
    RecordEnd(r, e, servers_[a.server]);
    retry_queued_ = true;
    if (e.settled) r.finished = true;
    if (!r.finished && r.outstanding() == 0 && !r.queued)
      Retry(r, e.outcome, a.may_have_run || e.outcome == Outcome::kFull);
    EraseIfDone(found);
  }

  // After a failed attempt: retries where permitted, within the retry budget if the retry adds load.
  void Retry(Request& r, Outcome after, bool adds_load) {
    if (!attempts_.Permitted(r).dispatch || (adds_load && !attempts_.MayRetry())) return Finish(r);
    if (r.limits) {
      // Ends the request now if it could no longer be sent after the backoff.
      const Duration pause = r.limits->pause * (1 - kPauseJitter * state_.random.Unit());
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
    PlaceRetry(r);
  }

  void PlaceRetry(Request& r) {
    r.refuse_at = std::max(r.refuse_at, std::min(r.due - settings_.tick * 2, now_ + settings_.tick * 4));
    Place(r);
  }

  void RecordEnd(const Request& r, const AttemptEnded& e, Server& s) {
    if (r.receiving) return RecordOutcome(r, e, s);
    --state_.in_flight;
    s.own_work -= r.work;
    if (e.outcome != Outcome::kTimeout) s.quiet_since = now_;
    if (--s.own_count == 0) s.own_work = 0;
    RecordOutcome(r, e, s);
    used_.Reindex(s);
  }

  void RecordOutcome(const Request& r, const AttemptEnded& e, Server& s) {
    const bool ok = e.outcome == Outcome::kOk;
    if (e.outcome == Outcome::kCancelled || e.outcome == Outcome::kMoot || e.outcome == Outcome::kUnknown)
      return;
    outcomes_ = std::min(kMinOutcomes, outcomes_ + 1);
    if (ok) state_.rates.Served(r.work);
    const double took = e.took.count();
    picking_.LearnZone(r, s, ok && now_ <= r.arrived + settings_.classes[r.cls].aim, ok);
    const bool timed = ok || e.outcome == Outcome::kTimeout;
    if (!r.attempts[e.attempt].overdue && (timed || e.outcome == Outcome::kError))
      state_.class_losses.Add(now_, s.index, r.cls, !ok, fleet_.hosts);
    if (timed && std::isfinite(took) && took >= 0) {
      MeanDeviation& seen = state_.classes[r.cls].latency;
      seen.Add(took / state_.LatencyScale(r));
      const double relative =
          std::min(kMaxSlowness, took / state_.LatencyScale(r) / std::max(seen.mean, 1e-9));
      const double slowness = state_.SlownessOf(s);
      s.excess = (slowness + kSlownessGain * (relative - slowness) - 1) / state_.slowness_decay;
    }
    if (timed)
      state_.crowding.Add(took, ok, r.work, state_.request_work.mean, settings_.classes[r.cls].aim.count());
    if (!OutlierDetector::Record(s.health, ok, now_, fleet_, state_.random)) return;
    fleet_.ejected -= !state_.Usable(s);  // a draining server's late answers may fail too
    returns_.emplace(s.health.return_at, s.index);
    HealthChanged();
    if (fleet_.thin) out_->push_back(CloseIdle{state_.EntryOf(s).server});  // frees connections for others
    if (state_.MayLog(LogKind::kHealth)) {
      state_.LogLine("server " + std::to_string(state_.EntryOf(s).server) +
                     " ejected: " + std::to_string(s.health.failures) + " of " +
                     std::to_string(s.health.attempts()) + " attempts failed");
    }
  }

  void EraseIfDone(std::unordered_map<RequestId, Request>::iterator it) {
    if (it->second.finished) Dequeue(it->second);
    if (!it->second.finished || it->second.outstanding() != 0) return;
    if (it->second.limits) routes_.Leave(*it->second.limits);
    for (const Attempt& a : it->second.attempts) --servers_[a.server].references;
    requests_.erase(it);
  }

  // ---- Routes -------------------------------------------------------------------------------------
  void RecordRouteSend(Request& r, bool first) {
    if (first) routes_.First(now_, *r.limits);
    const Duration after = r.limits->second_copy_after;
    if (after.count() <= 0 || !settings_.parallel_tries || settings_.classes[r.cls].effect != Effect::kSafe)
      return;
    r.copy_at = now_ + after;
    wakeups_.emplace(r.copy_at, r.id);
  }

  // Exception, where the settings and the route allow hedging: sends a second copy of a request that is safe
  // to repeat to a server not tried yet, once the first attempt has taken the route's hedging delay. The
  // first answer wins; the other attempt runs on and counts as work in flight.
  void SendCopy(Request& r) {
    if (r.finished || r.outstanding() != 1 || !attempts_.MayRetry()) return;
    r.copying = true;
    const Permission may = attempts_.Permitted(r);
    Server* s = may.dispatch && admission_.HasRoom(cold_.listed()) ? picking_.Pick(r, may) : nullptr;
    if (s && !picking_.RanksLast(r, *s) && routes_.Take(now_, *r.limits)) Send(r, *s, may);
    r.copying = false;
  }

  // Marks attempts that are overdue; they no longer count against the concurrency limit. When connections
  // went silent, a dozen such attempts used up the whole limit of Admission::HasRoom, and an idle fleet
  // refused half of the requests. Attempts are kept in the order sent until they are old enough to be
  // overdue.
  void FindOverdue() {
    Duration min_age(std::numeric_limits<double>::infinity());
    const auto unlikely_after = [this](int cls) {
      const MeanDeviation& seen = state_.classes[cls].latency;
      return Duration(seen.mean + kTimeoutDeviations * seen.deviation);
    };
    for (std::size_t c = 0; c < state_.classes.size(); ++c) {
      if (state_.classes[c].latency.samples >= 10)
        min_age = std::min(min_age, unlikely_after(static_cast<int>(c)) * kMinLatencyScale);
    }
    for (; !recent_attempts_.empty(); recent_attempts_.pop_front()) {
      if (now_ - recent_attempts_.front().first >= min_age) {
        old_attempts_.push_back(recent_attempts_.front().second);
      } else if (requests_.count(recent_attempts_.front().second)) {
        break;
      }
    }
    std::erase_if(old_attempts_, [&](RequestId id) {
      const auto found = requests_.find(id);
      if (found == requests_.end()) return true;
      Request& r = found->second;
      bool too_recent = false;
      for (Attempt& a : r.attempts) {
        if (!a.outstanding || a.overdue) continue;
        if (state_.classes[r.cls].latency.samples < 10 ||
            now_ - a.sent_at < unlikely_after(r.cls) * state_.LatencyScale(r)) {
          too_recent = true;
          continue;
        }
        a.overdue = true;
        state_.class_losses.Add(now_, a.server, r.cls, true, fleet_.hosts);
        ++state_.overdue;
        retry_queued_ = true;
      }
      return !too_recent;
    });
  }

  void On(const Submit& e) {
    if (requests_.count(e.request)) return;
    if (e.withheld) {  // before the estimates are updated: it is not part of the load
      out_->push_back(Refuse{e.request, settings_.max_retry_after});
      return;
    }
    Request r;
    r.id = e.request;
    r.due = e.due;
    r.arrived = now_;
    r.key = e.key, r.receiving = e.body_follows;
    if (e.request_class < 0 || e.request_class >= static_cast<int>(settings_.classes.size())) {
      // Unknown class: whether it may run twice is unknown, but it never ran, so the client may retry.
      out_->push_back(Refuse{r.id, Duration(0)});
      return;
    }
    r.cls = e.request_class;
    const ClassSettings& c = settings_.classes[r.cls];
    // Exception: on a client's retry, the time spent on its deadline is also subtracted from its target time.
    const Duration aim =
        c.aim - state_.classes[r.cls].usual_timeout.EstimateElapsed(e.due - now_, c.deadline, e.client_retry);
    const bool hinted = e.has_hint && std::isfinite(e.work_ms) && e.work_ms > 0;
    r.work = hinted                            ? std::min(e.work_ms, kMaxWorkMs)
             : state_.request_work.samples > 0 ? state_.request_work.mean
                                               : 1;
    if (hinted || state_.request_work.samples == 0) {
      state_.request_work.Add(r.work);
      state_.classes[r.cls].work.Add(r.work);
    }
    state_.rates.Offered(r.work);
    r.value = admission_.ValueOf(r, e.tenant, aim);
    r.limits = e.limits;
    if (e.claims && !e.claims->empty()) r.claims = e.claims;
    if (r.limits && r.limits->patience.count() > 0) r.due = std::min(r.due, now_ + r.limits->patience);
    if (r.value <= 0 || (r.limits && routes_.Full(*r.limits)) || admission_.Throttled(r) ||
        !admission_.AdmitsClass(r))
      return Finish(r, admission_.RetryAfter(r));
    if (r.limits) routes_.Enter(*r.limits);
    const Duration useful =
        aim - Duration(state_.classes[r.cls].latency.mean + state_.classes[r.cls].latency.deviation);
    r.refuse_at = std::min(r.due - settings_.tick * 2, now_ + std::max(useful, c.aim / 4));
    Request& kept = requests_.emplace(r.id, std::move(r)).first->second;
    Place(kept);
    EraseIfDone(requests_.find(e.request));
  }

  // Sends, queues or finishes the request; true if it was sent.
  bool Place(Request& r) {
    const Permission may = attempts_.Permitted(r);
    Server* s = may.dispatch && admission_.HasRoom(cold_.listed()) ? picking_.Pick(r, may) : nullptr;
    if (s) {
      Dequeue(r);
      Send(r, *s, may);
      return true;
    }
    if (!may.dispatch || now_ >= r.refuse_at) {
      Finish(r, admission_.RetryAfter(r));
    } else if (!r.queued) {
      r.queued = true;
      queue_.emplace(-r.value, -r.arrived.time_since_epoch(), r.id);
      wakeups_.emplace(r.refuse_at, r.id);
    }
    return false;
  }

  void Dequeue(Request& r) {
    if (r.queued) queue_.erase({-r.value, -r.arrived.time_since_epoch(), r.id});
    r.queued = false;
  }

  void PlaceQueued() {
    if (!retry_queued_) return;
    retry_queued_ = false;
    int misses = 0;
    for (auto it = queue_.begin(); it != queue_.end() && misses < kMaxMisses;) {
      const RequestId id = std::get<2>(*it++);
      const auto found = requests_.find(id);
      misses += !Place(found->second);
      EraseIfDone(found);
    }
  }

  void On(const ClientGone& e) {
    const auto found = requests_.find(e.request);
    if (found == requests_.end()) return;
    found->second.finished = true;
    EraseIfDone(found);
  }

  void On(const StreamStarted& e) {
    const auto found = requests_.find(e.request);
    if (found != requests_.end()) found->second.streaming = true;
  }

  void On(const TimerFired&) {}

  void On(const Share& e) {
    if (!(e.share > 0 && e.share <= 1 && e.after > 0 && e.after <= 1)) return;
    state_.proxy_count = {1 / e.share, 1 / e.after, e.until};
  }

  void On(const ClassLimit& e) { admission_.Limit(e); }

  // ---- Discovery -----------------------------------------------------------------------------------
  void On(const ListUpdate& e) {
    if (settings_.must_ask_for_list)
      subscription_timer_.OnList(e.kind, now_, [this] { return state_.random.Unit(); });
    if (e.kind != ListKind::kFailed) roster_.Take(e);
  }

  // Reads lists in slices. A large one takes effect as a whole, some events later; a drain in it is delayed
  // by that, which is far less than the time the rule allows.
  void ReadLists() {
    const auto in_use = [this](ServerIndex i) { return i < servers_.size() && servers_[i].references > 0; };
    for (std::size_t left = kListSlice; left > 0 && roster_.Waiting();) {
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
    retry_queued_ = true;
  }

  // Called after servers were ejected or returned.
  void HealthChanged() {
    cold_.CountCapacity();
    used_.HealthChanged();
  }

  // ---- Time -------------------------------------------------------------------------------------------
  void Advance() {
    if (now_ >= next_timer_) next_timer_ = kNever;
    if (!returns_.empty() && now_ >= returns_.top().first) ReturnServers();
    if (now_ >= interval_end_) {
      interval_end_ = now_ + fleet_.interval;
      OutlierDetector::EndInterval(fleet_);
      routes_.EraseIdle(now_);
    }
    if (used_.Entering()) used_.EnterSlice();
    if (now_ >= sample_at_) Sample();
    if (now_ >= subscription_timer_.due()) {
      out_->push_back(Subscribe{});
      subscription_timer_.OnSubscribe(now_);
    }
    while (!wakeups_.empty() && wakeups_.begin()->first <= now_) {
      const auto found = requests_.find(wakeups_.begin()->second);
      wakeups_.erase(wakeups_.begin());
      if (found == requests_.end()) continue;
      Request& r = found->second;
      if (r.queued && now_ >= r.refuse_at) Finish(r, admission_.RetryAfter(r));
      if (r.paused && now_ >= r.paused_until) {
        r.paused = false;
        if (!r.finished) PlaceRetry(r);
      }
      if (r.copy_at != TimePoint{} && now_ >= r.copy_at) r.copy_at = TimePoint{}, SendCopy(r);
      EraseIfDone(found);
    }
  }

  void ReturnServers() {
    for (; !returns_.empty() && returns_.top().first <= now_; returns_.pop()) {
      Server& s = servers_[returns_.top().second];
      if (!s.health.ejected || s.health.return_at != returns_.top().first)
        continue;  // a stale entry: the index was reused, or the server was ejected again
      OutlierDetector::Return(s.health, fleet_);
      used_.Reindex(s);
      retry_queued_ = true;
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
      state_.crowding.Decay(elapsed);
      const Rates& rates = state_.rates;
      // A proxy without enough answers goes by the offered rate.
      cold_.LearnWarmRate(Duration(elapsed), outcomes_ < kMinOutcomes
                                                 ? std::max(rates.served(), rates.offered())
                                                 : rates.served());
      picking_.Resize(rates.offered());
    }
    admission_.RefillTokens(elapsed);
    sampled_at_ = now_;
    sample_at_ = now_ + kSampleInterval;
    retry_queued_ = true;  // cold budgets have been refilled
  }

  void SetNextTimer() {
    TimePoint at = std::min(subscription_timer_.due(), queue_.empty() ? kNever : sample_at_);
    if (roster_.Waiting() || used_.Entering()) at = now_;
    if (!wakeups_.empty()) at = std::min(at, wakeups_.begin()->first);
    if (at >= next_timer_) return;
    next_timer_ = at;
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
      returns_;  // ejected servers by return time; may hold stale entries
  std::unordered_map<RequestId, Request> requests_;
  std::set<std::tuple<double, Duration, RequestId>> queue_;  // queued: most valuable first, then the newest
  std::deque<std::pair<TimePoint, RequestId>> recent_attempts_;  // attempts too recent to be overdue
  std::vector<RequestId> old_attempts_;  // outstanding attempts old enough to be overdue
  std::set<std::pair<TimePoint, RequestId>> wakeups_;
  RouteUsage routes_;
  int outcomes_ = 0;           // attempts ended, up to kMinOutcomes
  bool retry_queued_ = false;  // something changed that may let a queued request be sent
  kestrelline::fleet::SubscriptionTimer subscription_timer_{settings_.must_ask_within};
  TimePoint next_timer_ = kNever;
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
