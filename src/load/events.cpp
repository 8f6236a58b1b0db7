// SPDX-License-Identifier: Apache-2.0
#include "load/events.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace kestrelline::load {
namespace {

constexpr std::string_view kHead = "KLEVENTS 1 ";
constexpr std::string_view kKinds = "SAGECUYBFTKPR";
constexpr std::size_t kMostText = 64, kMostLine = 4096;

std::string Clean(const std::string& text) {
  if (text.empty()) return "-";
  std::string clean = text.substr(0, kMostText);
  for (char& c : clean)
    if (c <= ' ' || c > '~') c = '?';
  return clean;
}

nlohmann::json FiguresToJson(const RuleFigures& f) {
  nlohmann::json classes = nlohmann::json::array();
  for (const ClassRule& c : f.classes)
    classes.push_back({{"name", c.name},
                       {"effect", NameOf(c.effect)},
                       {"all_drop", c.all_drop},
                       {"window_us", c.window.count()}});
  return {{"classes", classes},
          {"most_attempts", f.most_attempts},
          {"parallel_tries", f.parallel_tries},
          {"keys_shared", f.keys_shared},
          {"drain_grace_us", f.drain_grace.count()},
          {"slack_us", f.slack.count()},
          {"fall_multiple", f.fall_multiple},
          {"overload_for_us", f.overload_for.count()}};
}

RuleFigures FromJson(const nlohmann::json& json) {
  RuleFigures f;
  for (const auto& c : json.at("classes")) {
    const std::string effect = c.at("effect");
    const auto known = EffectNamed(effect);
    if (!known) throw BadEvents("'" + effect + "' is no effect");
    f.classes.push_back({c.at("name"), *known, c.at("all_drop"), Microseconds(c.at("window_us"))});
  }
  f.most_attempts = json.at("most_attempts");
  f.parallel_tries = json.at("parallel_tries");
  f.keys_shared = json.value("keys_shared", false);
  f.drain_grace = Microseconds(json.at("drain_grace_us"));
  f.slack = Microseconds(json.at("slack_us"));
  f.fall_multiple = json.at("fall_multiple");
  f.overload_for = Microseconds(json.at("overload_for_us"));
  return f;
}

// Where times are equal, causes go before effects.
int Rank(Event::Kind kind) {
  switch (kind) {
    case Event::Kind::kStarted:
    case Event::Kind::kSent:
      return 0;
    case Event::Kind::kKeyed:
      return 1;
    case Event::Kind::kBegan:
      return 2;
    case Event::Kind::kFinished:
      return 3;
    default:
      return 4;
  }
}

bool InRange(const Event& e) {
  switch (e.kind) {
    case Event::Kind::kAnswered:
    case Event::Kind::kTold:
      return e.number >= 0 && e.number <= 2;
    case Event::Kind::kFinished:
      return e.number == 0 || e.number == 1;
    default:
      return true;
  }
}

}  // namespace

void Tell(Ledger& ledger, const RuleFigures& figures, const Event& e) {
  switch (e.kind) {
    case Event::Kind::kSent: {
      const auto found = std::find_if(figures.classes.begin(), figures.classes.end(),
                                      [&](const ClassRule& c) { return c.name == e.subject; });
      // One past the last is a class that nobody knows: the verdict is not complete then.
      return ledger.Sent(e.request, static_cast<std::size_t>(found - figures.classes.begin()), e.proxy,
                         e.span, e.at);
    }
    case Event::Kind::kAnswered:
      return ledger.Answered(e.request, static_cast<Answer>(e.number), e.subject, e.at);
    case Event::Kind::kGaveUp:
      return ledger.GaveUp(e.request, e.at);
    case Event::Kind::kEnded:
      return ledger.Ended(e.request, e.at);
    case Event::Kind::kCrossed:
      return ledger.Crossed(e.request, e.at);
    case Event::Kind::kStarted:
      return ledger.Started(e.subject, e.number, e.work, e.cold, e.span, e.at);
    case Event::Kind::kKeyed:
      return ledger.Keyed(e.request, e.proxy);
    case Event::Kind::kBegan:
      return ledger.Began(e.request, e.proxy, e.subject, e.work, e.at - e.span, e.at);
    case Event::Kind::kFinished:
      return ledger.Finished(e.request, e.subject, e.number != 0, e.at);
    case Event::Kind::kTold:
      return ledger.Told(e.proxy, e.subject, static_cast<Listed>(e.number), e.at);
    case Event::Kind::kKilled:
      return ledger.Killed(e.proxy, e.at);
    case Event::Kind::kPaused:
      return ledger.Paused(e.proxy, e.at);
    case Event::Kind::kResumed:
      return ledger.Resumed(e.proxy, e.at);
  }
}

EventWriter::EventWriter(std::ostream& out, const RuleFigures* figures) : out_(out) {
  out_ << kHead << (figures ? FiguresToJson(*figures) : nlohmann::json::object()).dump() << '\n';
}

void EventWriter::Add(const Event& e) {
  char numbers[160];
  std::snprintf(numbers, sizeof numbers, " %d %" PRId64 " %.9g %.9g\n", e.number,
                static_cast<std::int64_t>(e.span.count()), e.work, e.cold);
  out_ << static_cast<char>(e.kind) << ' ' << e.at.count() << ' ' << Clean(e.request) << ' ' << Clean(e.proxy)
       << ' ' << Clean(e.subject) << numbers;
}

void EventWriter::Close() {
  if (std::exchange(closed_, true)) return;
  out_ << ".\n";
  out_.flush();
}

EventReader::EventReader(std::istream& in, std::string name) : in_(in), name_(std::move(name)) {
  std::string line;
  std::getline(in_, line);
  ++line_;
  if (!line.starts_with(kHead)) Bad("this is no file of events");
  try {
    const auto json = nlohmann::json::parse(line.substr(kHead.size()));
    if (!json.empty()) figures_ = FromJson(json);
  } catch (const std::exception& error) {
    Bad(std::string("the figures of the rules cannot be read: ") + error.what());
  }
}

void EventReader::Bad(const std::string& what) const {
  throw BadEvents(name_ + ":" + std::to_string(line_) + ": " + what);
}

std::optional<Event> EventReader::Next() {
  std::string line;
  if (over_) return std::nullopt;
  std::getline(in_, line);
  ++line_;
  // The last line of a file that was cut short ends anywhere: it is not used.
  if (in_.eof()) {
    over_ = true;
    return std::nullopt;
  }
  if (line == ".") {
    whole_ = over_ = true;
    if (in_.peek() != std::istream::traits_type::eof()) ++line_, Bad("there is more after the end");
    return std::nullopt;
  }
  if (line.size() > kMostLine) Bad("a line of more than 4,096 bytes");
  Event e;
  char kind = 0, request[kMostText + 1], proxy[kMostText + 1], subject[kMostText + 1];
  std::int64_t at = 0, span = 0;
  int used = 0;
  if (std::sscanf(line.c_str(), "%c %" SCNd64 " %64s %64s %64s %d %" SCNd64 " %lf %lf%n", &kind, &at, request,
                  proxy, subject, &e.number, &span, &e.work, &e.cold, &used) != 9 ||
      static_cast<std::size_t>(used) != line.size() || kKinds.find(kind) == std::string_view::npos)
    Bad("this is no event: '" + Clean(line) + "'");
  const auto text = [](const char* s) { return s == std::string_view("-") ? std::string() : std::string(s); };
  e.kind = static_cast<Event::Kind>(kind);
  e.at = Microseconds(at);
  e.span = Microseconds(span);
  e.request = text(request), e.proxy = text(proxy), e.subject = text(subject);
  if (!InRange(e)) Bad("a number out of range");
  if (e.at < last_) Bad("time goes back");
  last_ = e.at;
  return e;
}

Ledger::Verdict Judge(const std::vector<EventReader*>& files) {
  const RuleFigures* figures = nullptr;
  for (const EventReader* file : files) {
    if (!file->figures()) continue;
    if (figures) throw BadEvents("more than one file holds the figures of the rules");
    figures = &*file->figures();
  }
  if (!figures) throw BadEvents("no file holds the figures of the rules: the fleet's is missing");
  Ledger ledger(*figures);
  std::vector<std::optional<Event>> next;
  for (EventReader* file : files) next.push_back(file->Next());
  Microseconds last{0};
  for (;;) {
    std::size_t first = next.size();
    for (std::size_t i = 0; i < next.size(); ++i) {
      if (!next[i]) continue;
      if (first == next.size() || next[i]->at < next[first]->at ||
          (next[i]->at == next[first]->at && Rank(next[i]->kind) < Rank(next[first]->kind)))
        first = i;
    }
    if (first == next.size()) break;
    last = next[first]->at;
    Tell(ledger, *figures, *next[first]);
    next[first] = files[first]->Next();
  }
  auto verdict = ledger.Finish(last);
  for (const EventReader* file : files) verdict.complete = verdict.complete && file->whole();
  return verdict;
}

nlohmann::json ToJson(const Ledger::Verdict& v) {
  nlohmann::json rules = nlohmann::json::array(), violations = nlohmann::json::array();
  for (int i = 0; i < kRules; ++i)
    rules.push_back({{"rule", NameOf(static_cast<Rule>(i))}, {"broken", v.broken[i]}});
  for (const Violation& one : v.violations)
    violations.push_back({{"rule", NameOf(one.rule)},
                          {"at_us", one.at.count()},
                          {"subject", one.subject},
                          {"text", one.text},
                          {"history", one.history}});
  return {{"complete", v.complete}, {"clean", v.clean()}, {"requests", v.requests},  {"served", v.served},
          {"refused", v.refused},   {"failed", v.failed}, {"gave_up", v.gave_up},    {"excused", v.excused},
          {"attempts", v.attempts}, {"rules", rules},     {"violations", violations}};
}

std::string Shown(const Ledger::Verdict& v) {
  std::string text;
  char line[256];
  const auto n = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
  for (int i = 0; i < kRules; ++i) {
    std::snprintf(line, sizeof line, "%-30s %s\n", std::string(NameOf(static_cast<Rule>(i))).c_str(),
                  v.broken[i] == 0 ? "kept" : ("BROKEN " + std::to_string(v.broken[i]) + " times").c_str());
    text += line;
  }
  std::snprintf(
      line, sizeof line,
      "audited: %llu requests (%llu served, %llu refused, %llu failed, %llu whose client left, %llu "
      "excused by a kill or a stop), %llu attempts\n",
      n(v.requests), n(v.served), n(v.refused), n(v.failed), n(v.gave_up), n(v.excused), n(v.attempts));
  text += line;
  if (!v.complete)
    text += "the audit is NOT complete: a file was cut short, a class is unknown, or a bound was reached\n";
  for (const Violation& violation : v.violations) {
    std::snprintf(line, sizeof line, "\n%s: %.64s: ", std::string(NameOf(violation.rule)).c_str(),
                  violation.subject.c_str());
    text += line + violation.text + '\n';
    for (const std::string& step : violation.history) text += "  " + step + '\n';
  }
  return text;
}

}  // namespace kestrelline::load
