// SPDX-License-Identifier: Apache-2.0
#include "load/ledger.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace kestrelline::load {
namespace {

// After its end a request is still watched for so long: a second answer, or a late attempt, is a breach too.
constexpr Microseconds kWatched = std::chrono::seconds(5);
constexpr std::array<std::string_view, 3> kEffects{"safe", "keyed", "unsafe"};

std::string Seconds(Microseconds at) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6f s", static_cast<double>(at.count()) / 1e6);
  return text;
}

}  // namespace

std::string_view NameOf(Rule rule) {
  switch (rule) {
    case Rule::kNoneLost:
      return "no request is lost";
    case Rule::kNoEffectTwice:
      return "no effect twice";
    case Rule::kDrainsKept:
      return "drains kept";
    case Rule::kNoneColdPushedOver:
      return "no cold backend pushed over";
  }
  return "";
}

std::string_view NameOf(Effect effect) { return kEffects[static_cast<std::size_t>(effect)]; }

std::optional<Effect> EffectNamed(std::string_view name) {
  const auto found = std::find(kEffects.begin(), kEffects.end(), name);
  if (found == kEffects.end()) return std::nullopt;
  return static_cast<Effect>(found - kEffects.begin());
}

Ledger::Request* Ledger::Find(const std::string& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void Ledger::Note(Request& request, Microseconds at, const std::string& what) {
  if (request.history.size() < kMostHistory) request.history.push_back(Seconds(at) + "  " + what);
}

void Ledger::Break(Rule rule, Microseconds at, const std::string& subject, const std::string& text,
                   const std::vector<std::string>& history) {
  ++verdict_.broken[static_cast<int>(rule)];
  if (verdict_.violations.size() >= kMostViolations) {
    verdict_.complete = false;
    return;
  }
  verdict_.violations.push_back({rule, at, subject, text, history});
}

// ---- clients ------------------------------------------------------------------------------------------
void Ledger::Sent(const std::string& id, std::size_t request_class, const std::string& proxy,
                  Microseconds deadline, Microseconds at) {
  Sweep(at);
  if (requests_.size() >= kMostOpen || request_class >= figures_.classes.size()) {
    verdict_.complete = false;
    return;
  }
  ++verdict_.requests;
  Request& request = requests_[id];
  request.request_class = request_class;
  request.proxy = proxy;
  request.sent = at;
  request.due = at + deadline;
  request.known = true;
  Note(request, at,
       "sent to " + proxy + ", " + figures_.classes[request_class].name + ", to be answered by " +
           Seconds(request.due));
}

void Ledger::Answered(const std::string& id, Answer answer, const std::string& made_for, Microseconds at) {
  Request* request = Find(id);
  if (!request) return Break(Rule::kNoneLost, at, id, "an answer to a request that nobody waits for");
  const bool served = answer == Answer::kServed;
  Note(*request, at, served ? "served" : answer == Answer::kRefused ? "refused" : "failed");
  if (request->answered) return Break(Rule::kNoneLost, at, id, "a second final answer", request->history);
  if (request->over) return;  // its client has gone: nobody counts it
  request->answered = true;
  ++(served ? verdict_.served : answer == Answer::kRefused ? verdict_.refused : verdict_.failed);
  if (at > request->due + figures_.slack && !Excused(*request))
    Break(Rule::kNoneLost, at, id, "answered after the client's time was up", request->history);
  const auto ran = [](const Try& t) { return t.ran; };
  if (served && (made_for != id || std::none_of(request->tries.begin(), request->tries.end(), ran)))
    Break(Rule::kNoneLost, at, id, "served with what no converter made for it", request->history);
  // A refusal tells the client that another try is harmless.
  const ClassRule& rule = figures_.classes[request->request_class];
  const bool harmless = rule.effect == Effect::kSafe || (rule.effect == Effect::kKeyed && rule.all_drop);
  if (answer == Answer::kRefused && !harmless &&
      std::any_of(request->tries.begin(), request->tries.end(), ran))
    Break(Rule::kNoEffectTwice, at, id, "refused though it may have run", request->history);
  Over(id, *request, at);
}

void Ledger::GaveUp(const std::string& id, Microseconds at) {
  Request* request = Find(id);
  if (!request || request->over) return;
  Note(*request, at, "the client has gone");
  if (at < request->due) {
    ++verdict_.gave_up;
  } else {
    Lose(id, *request, at, "no final answer by the client's time");
  }
  Over(id, *request, at);
}

void Ledger::Ended(const std::string& id, Microseconds at) {
  Request* request = Find(id);
  if (!request || request->over) return;
  Note(*request, at, "its connection ended without an answer");
  Lose(id, *request, at, "the connection ended without a whole answer");
  Over(id, *request, at);
}

void Ledger::Crossed(const std::string& id, Microseconds at) {
  Request* request = Find(id);
  if (!request || request->over) return;
  if (!request->tries.empty()) return Ended(id, at);
  Note(*request, at, "its kept connection was closed before it was read");
  ++verdict_.gave_up;
  Over(id, *request, at);
}

void Ledger::Over(const std::string& id, Request& request, Microseconds at) {
  request.over = true;
  over_.emplace_back(at + kWatched, id);
}

void Ledger::Lose(const std::string& id, const Request& request, Microseconds at, const std::string& text) {
  if (Excused(request)) {
    ++verdict_.excused;
  } else {
    Break(Rule::kNoneLost, at, id, text, request.history);
  }
}

bool Ledger::Excused(const Request& request) const {
  if (request.excused) return true;
  const auto paused = paused_.find(request.proxy);
  return paused != paused_.end() && request.sent <= paused->second.second &&
         request.due + figures_.slack >= paused->second.first;
}

// ---- converters ---------------------------------------------------------------------------------------
void Ledger::Started(const std::string& server, int cell, double work_per_s, double cold_from,
                     Microseconds warm_up, Microseconds at) {
  Server& s = servers_[server];
  s = Server();
  s.cell = cell, s.work_per_s = work_per_s, s.cold_from = cold_from;
  s.warm_up = warm_up, s.started = at;
}

void Ledger::Began(const std::string& id, const std::string& proxy, const std::string& server, double work_s,
                   Microseconds first_byte, Microseconds at) {
  ++verdict_.attempts;
  const auto found = servers_.find(server);
  if (const auto told = told_.find({proxy, server});
      told != told_.end() && told->second.first != Listed::kReady &&
      first_byte > told->second.second + figures_.drain_grace + figures_.slack) {
    Break(Rule::kDrainsKept, first_byte, server,
          proxy + " sent request " + id + " though it was told at " + Seconds(told->second.second) +
              " that " + server + (told->second.first == Listed::kDraining ? " drains" : " is gone"));
  }
  if (found != servers_.end()) JudgeCold(server, found->second, work_s, at);
  Request* request = Find(id);
  if (!request) return Break(Rule::kNoneLost, at, id, "an attempt for a request that no client has open");
  Note(*request, at, "attempt " + std::to_string(request->tries.size()) + " begins at " + server);
  JudgeAttempt(id, *request, found == servers_.end() ? nullptr : &found->second, server, at);
}

void Ledger::JudgeAttempt(const std::string& id, Request& request, const Server* server,
                          const std::string& name, Microseconds at) {
  const ClassRule& rule = figures_.classes[request.request_class];
  const int cell = server ? server->cell : 0;
  if (static_cast<int>(request.tries.size()) >= figures_.most_attempts)
    Break(Rule::kNoEffectTwice, at, id, "more attempts than allowed", request.history);
  if (request.answered)
    Break(Rule::kNoEffectTwice, at, id, "an attempt after the final answer", request.history);
  const auto out =
      std::count_if(request.tries.begin(), request.tries.end(), [](const Try& t) { return t.out; });
  const bool copies = figures_.parallel_tries && rule.effect == Effect::kSafe;
  if (out > (copies ? 1 : 0))
    Break(Rule::kNoEffectTwice, at, id, "two attempts out at once", request.history);
  const auto first =
      std::find_if(request.tries.begin(), request.tries.end(), [](const Try& t) { return t.ran; });
  if (first != request.tries.end() && rule.effect == Effect::kUnsafe) {
    Break(Rule::kNoEffectTwice, at, id, "sent again though it may have run and must not run twice",
          request.history);
  } else if (first != request.tries.end() && rule.effect == Effect::kKeyed) {
    if (!rule.all_drop && first->cell != cell)
      Break(Rule::kNoEffectTwice, at, id, "sent again outside the cell that drops its repeats",
            request.history);
    if (at - first->began > rule.window + figures_.slack)
      Break(Rule::kNoEffectTwice, at, id, "sent again after its cell has forgotten it", request.history);
  }
  if (rule.effect == Effect::kKeyed && !rule.all_drop && figures_.keys_shared && !request.key.empty())
    JudgeKey(id, request, name, cell, at);
  request.tries.push_back({name, cell, at, true, true});
}

void Ledger::Keyed(const std::string& id, const std::string& key) {
  if (Request* request = Find(id)) request->key = key;
}

// Of other requests with its key: those of its own are judged by themselves.
void Ledger::JudgeKey(const std::string& id, const Request& request, const std::string& server, int cell,
                      Microseconds at) {
  if (ran_.size() >= kMostOpen) {
    verdict_.complete = false;
    return;
  }
  auto& runs = runs_[request.key];
  const Microseconds window = figures_.classes[request.request_class].window;
  const auto other = std::find_if(runs.begin(), runs.end(), [&](const Run& run) {
    return run.id != id && run.cell != cell && at - run.began <= window;
  });
  if (other != runs.end())
    Break(Rule::kNoEffectTwice, at, id,
          "its key may have run at " + other->server + " in another cell for request " + other->id,
          request.history);
  runs.push_back({id, server, cell, at});
  ran_.emplace_back(at, request.key);
}

// Within the window that ends now, no more work than the multiple of what it can do now.
void Ledger::JudgeCold(const std::string& name, Server& server, double work_s, Microseconds at) {
  const Microseconds age = at - server.started;
  if (age >= server.warm_up || server.warm_up.count() <= 0) return;
  server.recent.emplace_back(at, work_s);
  server.recent_work += work_s;
  while (at - server.recent.front().first > figures_.overload_for) {
    server.recent_work -= server.recent.front().second;
    server.recent.pop_front();
  }
  const double warm = static_cast<double>(age.count()) / static_cast<double>(server.warm_up.count());
  const double share = server.cold_from + (1 - server.cold_from) * std::max(0.0, warm);
  const double window_s = static_cast<double>(figures_.overload_for.count()) / 1e6;
  const double most = figures_.fall_multiple * share * server.work_per_s * window_s;
  if (server.recent_work <= most) return;
  if (server.pushed.count() >= 0 && at - server.pushed <= figures_.overload_for) return;  // the same breach
  server.pushed = at;
  char text[160];
  std::snprintf(text, sizeof text, "sent %.3f s of work in %.1f s, %.3f s at most at %.0f%% of its capacity",
                server.recent_work, window_s, most, 100 * share);
  Break(Rule::kNoneColdPushedOver, at, name, text);
}

void Ledger::Finished(const std::string& id, const std::string& server, bool ran, Microseconds at) {
  Request* request = Find(id);
  if (!request) return;
  const auto found = std::find_if(request->tries.begin(), request->tries.end(),
                                  [&](const Try& t) { return t.out && t.server == server; });
  if (found == request->tries.end()) return;
  found->out = false;
  found->ran = ran;
  if (const auto runs = runs_.find(request->key); !ran && runs != runs_.end())
    std::erase_if(runs->second, [&](const Run& run) {
      return run.id == id && run.server == server && run.began == found->began;
    });
  Note(*request, at, "over at " + server + (ran ? "" : ", never ran"));
}

// ---- what proxies know --------------------------------------------------------------------------------
void Ledger::Told(const std::string& proxy, const std::string& server, Listed state, Microseconds at) {
  auto [entry, added] = told_.try_emplace({proxy, server}, state, at);
  // From draining to gone the grace does not begin anew.
  const bool was_ready = added || entry->second.first == Listed::kReady;
  if (state == Listed::kReady || was_ready) entry->second = {state, at};
  entry->second.first = state;
}

void Ledger::Killed(const std::string& proxy, Microseconds at) {
  for (auto& [id, request] : requests_) {
    if (request.over || request.proxy != proxy || request.sent > at) continue;
    request.excused = true;
    Note(request, at, proxy + " was killed");
  }
  std::erase_if(told_, [&](const auto& entry) { return entry.first.first == proxy; });
  // It was stopped before it was seen to be dead.
  if (const auto paused = paused_.find(proxy); paused != paused_.end()) paused->second.second = at;
}

void Ledger::Paused(const std::string& proxy, Microseconds at) { paused_[proxy] = {at, Microseconds::max()}; }

void Ledger::Resumed(const std::string& proxy, Microseconds at) {
  const auto paused = paused_.find(proxy);
  if (paused == paused_.end()) return;
  paused->second.second = at;
  for (auto& [who, told] : told_)
    if (who.first == proxy && told.second >= paused->second.first) told.second = at;
}

Ledger::Verdict Ledger::Finish(Microseconds at) {
  for (auto& [id, request] : requests_) {
    if (request.over) continue;
    request.over = true;
    if (Excused(request) || at > request.due + figures_.slack) {
      Lose(id, request, at, "no final answer");
    } else {
      ++verdict_.gave_up;  // the run ended before its time was up
    }
  }
  std::stable_sort(verdict_.violations.begin(), verdict_.violations.end(),
                   [](const Violation& a, const Violation& b) { return a.at < b.at; });
  return verdict_;
}

void Ledger::Sweep(Microseconds now) {
  Microseconds longest{0};
  for (const ClassRule& rule : figures_.classes) longest = std::max(longest, rule.window);
  for (; !ran_.empty() && now - ran_.front().first > longest; ran_.pop_front()) {
    const auto found = runs_.find(ran_.front().second);
    if (found == runs_.end()) continue;
    std::erase_if(found->second, [&](const Run& run) { return now - run.began > longest; });
    if (found->second.empty()) runs_.erase(found);
  }
  while (!over_.empty() && over_.front().first < now) {
    const auto found = requests_.find(over_.front().second);
    const bool out =
        found != requests_.end() && std::any_of(found->second.tries.begin(), found->second.tries.end(),
                                                [](const Try& t) { return t.out; });
    if (out) {
      over_.emplace_back(now + kWatched, over_.front().second);  // its attempt has not ended
    } else if (found != requests_.end()) {
      requests_.erase(found);
    }
    over_.pop_front();
  }
}

}  // namespace kestrelline::load
