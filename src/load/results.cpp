// SPDX-License-Identifier: Apache-2.0
#include "load/results.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>

#include "charts/page.h"

namespace kestrelline::load {
namespace {

using nlohmann::json;

constexpr int kForm = 1;  // of the JSON
constexpr std::array<std::string_view, kOutcomes> kNames{"served", "refused", "failed", "gave up",
                                                         "not sent"};
constexpr std::array kQuantiles{0.5, 0.9, 0.99, 0.999, 0.9999};
constexpr Microseconds kLate{1000};  // a generator that is later than this at p99 has been outrun

std::string Format(const char* format, double value) {
  char text[64];
  std::snprintf(text, sizeof text, format, value);
  return text;
}

std::string Ms(Microseconds us) { return Format("%.2f", static_cast<double>(us.count()) / 1000); }

json ToJson(const Latencies& latencies) {
  json bins = json::array();
  for (const auto& [bin, n] : latencies.Bins()) bins.push_back({bin, n});
  return {{"bins", bins},
          {"least", latencies.least().count()},
          {"most", latencies.most().count()},
          {"sum", latencies.sum_us()}};
}

void FromJson(const json& from, Latencies* latencies) {
  for (const json& bin : from.at("bins")) {
    if (!latencies->AddBin(bin.at(0).get<int>(), bin.at(1).get<std::uint64_t>()))
      throw BadResults("a latency in a bin that does not exist");
  }
  if (latencies->count() == 0) return;
  latencies->SetExact(Microseconds(from.at("least").get<std::int64_t>()),
                      Microseconds(from.at("most").get<std::int64_t>()), from.at("sum").get<double>());
}

std::string Row(const std::string& name, const Latencies& latencies) {
  char text[64];
  std::snprintf(text, sizeof text, "%-22s %9llu", name.c_str(),
                static_cast<unsigned long long>(latencies.count()));
  std::string row = text;
  for (const double q : kQuantiles) {
    std::snprintf(text, sizeof text, " %10s", Ms(latencies.Quantile(q)).c_str());
    row += text;
  }
  std::snprintf(text, sizeof text, " %10s\n", Ms(latencies.most()).c_str());
  return row + text;
}

double InMs(Microseconds us) { return std::max(0.01, static_cast<double>(us.count()) / 1000); }

struct Estimate {
  double mean = 0, error = 0;
  std::size_t n = 0;
};
Estimate Over(const std::vector<double>& values) {
  Estimate e;
  e.n = values.size();
  if (e.n == 0) return e;
  for (const double v : values) e.mean += v / static_cast<double>(e.n);
  double squares = 0;
  for (const double v : values) squares += (v - e.mean) * (v - e.mean);
  if (e.n > 1) e.error = std::sqrt(squares / static_cast<double>(e.n - 1) / static_cast<double>(e.n));
  return e;
}

}  // namespace

std::string_view NameOf(Outcome outcome) { return kNames[static_cast<std::size_t>(outcome)]; }

Results::Results(const std::vector<std::string>& classes) {
  for (const std::string& name : classes) classes_.push_back({name, {}, {}});
}

void Results::Add(std::size_t request_class, Outcome outcome, const Timing& timing) {
  const auto o = static_cast<std::size_t>(outcome);
  const auto at = static_cast<std::size_t>(std::max<std::int64_t>(0, timing.intended.count() / 1000000));
  const std::size_t second = std::min(at, kMostSeconds - 1);
  const Microseconds ready = timing.ready.count() < 0 ? timing.sent : timing.ready;
  if (seconds_.size() <= second) seconds_.resize(second + 1);
  ++seconds_[second].outcomes[o];
  Class& c = classes_.at(request_class);
  c.open[o].Add(timing.answered - timing.intended);
  if (outcome != Outcome::kUnsent) {
    seconds_[second].latencies.Add(timing.answered - timing.intended);
    c.closed[o].Add(timing.answered - timing.sent);
    lateness_.Add(ready - timing.intended);
    waited_.Add(timing.sent - ready);
  }
}

Results& Results::operator+=(const Results& other) {
  if (classes_.size() != other.classes_.size()) throw BadResults("results of other classes");
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    if (classes_[i].name != other.classes_[i].name) throw BadResults("results of other classes");
    for (std::size_t o = 0; o < kOutcomes; ++o) {
      classes_[i].open[o] += other.classes_[i].open[o];
      classes_[i].closed[o] += other.classes_[i].closed[o];
    }
  }
  if (seconds_.size() < other.seconds_.size()) seconds_.resize(other.seconds_.size());
  for (std::size_t s = 0; s < other.seconds_.size(); ++s) {
    for (std::size_t o = 0; o < kOutcomes; ++o) seconds_[s].outcomes[o] += other.seconds_[s].outcomes[o];
    seconds_[s].latencies += other.seconds_[s].latencies;
  }
  lateness_ += other.lateness_;
  waited_ += other.waited_;
  return *this;
}

std::uint64_t Results::Count(Outcome outcome) const {
  std::uint64_t n = 0;
  for (const Class& c : classes_) n += c.open[static_cast<std::size_t>(outcome)].count();
  return n;
}

std::uint64_t Results::total() const {
  std::uint64_t n = 0;
  for (std::size_t o = 0; o < kOutcomes; ++o) n += Count(static_cast<Outcome>(o));
  return n;
}

Latencies Results::Served(bool open_loop) const {
  Latencies all;
  for (const Class& c : classes_)
    all += (open_loop ? c.open : c.closed)[static_cast<std::size_t>(Outcome::kServed)];
  return all;
}

json Results::ToJson() const {
  json classes = json::array(), seconds = json::array();
  for (const Class& c : classes_) {
    json outcomes = json::object();
    for (std::size_t o = 0; o < kOutcomes; ++o)
      outcomes[std::string(kNames[o])] = {{"open", load::ToJson(c.open[o])},
                                          {"closed", load::ToJson(c.closed[o])}};
    classes.push_back({{"name", c.name}, {"outcomes", outcomes}});
  }
  for (const Second& s : seconds_)
    seconds.push_back({{"outcomes", s.outcomes}, {"latencies", load::ToJson(s.latencies)}});
  return {{"kestrelload", kForm},
          {"classes", classes},
          {"seconds", seconds},
          {"lateness", load::ToJson(lateness_)},
          {"waited", load::ToJson(waited_)}};
}

Results Results::FromJson(const json& from) {
  try {
    if (from.at("kestrelload").get<int>() != kForm) throw BadResults("results of another form than 1");
    std::vector<std::string> names;
    for (const json& c : from.at("classes")) names.push_back(c.at("name").get<std::string>());
    Results results(names);
    for (std::size_t i = 0; i < names.size(); ++i) {
      const json& outcomes = from.at("classes").at(i).at("outcomes");
      for (std::size_t o = 0; o < kOutcomes; ++o) {
        const json& both = outcomes.at(std::string(kNames[o]));
        load::FromJson(both.at("open"), &results.classes_[i].open[o]);
        load::FromJson(both.at("closed"), &results.classes_[i].closed[o]);
      }
    }
    const json& seconds = from.at("seconds");
    if (seconds.size() > kMostSeconds) throw BadResults("results of more seconds than are kept");
    for (const json& s : seconds) {
      Second& second = results.seconds_.emplace_back();
      second.outcomes = s.at("outcomes").get<std::array<std::uint64_t, kOutcomes>>();
      load::FromJson(s.at("latencies"), &second.latencies);
    }
    load::FromJson(from.at("lateness"), &results.lateness_);
    // Files of before it was told apart have none.
    if (from.contains("waited")) load::FromJson(from.at("waited"), &results.waited_);
    return results;
  } catch (const json::exception& error) {
    throw BadResults(std::string("no results of kestrelload: ") + error.what());
  }
}

std::string Results::Table() const {
  std::string text = "latency, ms, from the intended time\n";
  char line[160];
  std::snprintf(line, sizeof line, "%-22s %9s %10s %10s %10s %10s %10s %10s\n", "", "requests", "p50", "p90",
                "p99", "p99.9", "p99.99", "max");
  text += line;
  for (const Class& c : classes_) {
    for (std::size_t o = 0; o < kOutcomes; ++o) {
      if (c.open[o].count() > 0) text += Row(c.name + " " + std::string(kNames[o]), c.open[o]);
    }
  }
  text += Row("all served", Served(true));
  text += Row("  from the send", Served(false));
  text += Row("generator's lateness", lateness_);
  text += Row("no free connection", waited_);
  const std::uint64_t all = total();
  for (std::size_t o = 0; o < kOutcomes && all > 0; ++o) {
    const std::uint64_t n = Count(static_cast<Outcome>(o));
    std::snprintf(line, sizeof line, "%-10s %9llu  %6.2f%%\n", std::string(kNames[o]).c_str(),
                  static_cast<unsigned long long>(n),
                  100.0 * static_cast<double>(n) / static_cast<double>(all));
    text += line;
  }
  if (outrun())
    text += "the generator was outrun: it got to 1 % of the requests " + Ms(lateness_.Quantile(0.99)) +
            " ms late or more. Their latencies count from the intended time all the same.\n";
  if (short_of_connections())
    text += "no connection was free: " + std::to_string(Count(Outcome::kUnsent)) +
            " requests were not sent, and 1 % waited " + Ms(waited_.Quantile(0.99)) +
            " ms or more. The plan has too few connections, or what it asks holds them all; latencies count "
            "the wait.\n";
  return text;
}

bool Results::outrun() const { return lateness_.Quantile(0.99) > kLate; }

bool Results::short_of_connections() const {
  return Count(Outcome::kUnsent) > 0 || waited_.Quantile(0.99) > kLate;
}

std::vector<charts::Chart> Results::Charts(const std::vector<charts::Span>& spans) const {
  charts::Chart by_second, percentiles, outcomes;
  by_second.title = "Latency by second", by_second.x_label = "s", by_second.y_label = "ms";
  by_second.log_y = true;
  by_second.series = {{"p50", {}}, {"p99", {}}, {"max", {}}};
  outcomes.title = "Outcomes by second", outcomes.x_label = "s", outcomes.y_label = "requests";
  by_second.spans = outcomes.spans = spans;
  for (const auto name : kNames) outcomes.series.push_back({std::string(name), {}});
  double second = 0;
  for (const Second& s : seconds_) {
    const double quantiles[] = {0.5, 0.99, 1};
    for (std::size_t i = 0; i < 3; ++i) {
      const double ms = s.latencies.count() == 0 ? std::numeric_limits<double>::quiet_NaN()
                                                 : InMs(s.latencies.Quantile(quantiles[i]));
      by_second.series[i].points.push_back({second, ms, 0, 0});
    }
    for (std::size_t o = 0; o < kOutcomes; ++o)
      outcomes.series[o].points.push_back({second, static_cast<double>(s.outcomes[o]), 0, 0});
    ++second;
  }
  // What never came is no line at zero.
  std::erase_if(outcomes.series, [](const charts::Series& s) {
    return std::all_of(s.points.begin(), s.points.end(), [](const auto& p) { return p.y == 0; });
  });
  percentiles.title = "Served, by percentile", percentiles.x_label = "percentile", percentiles.y_label = "ms";
  percentiles.log_y = true;
  percentiles.series = {{"from the intended time", {}}, {"from the send", {}}};
  percentiles.x_names = NamesOfNines();
  for (const bool open_loop : {true, false}) {
    double nines = 0;
    for (const Microseconds us : ByNines(Served(open_loop))) {
      percentiles.series[open_loop ? 0 : 1].points.push_back({nines / 10, InMs(us), 0, 0});
      ++nines;
    }
  }
  return {by_second, percentiles, outcomes};
}

std::string Results::Html(const std::string& title, const std::vector<std::string>& drawn,
                          const std::string& rules) const {
  std::string page = charts::PageHead(title);
  if (!rules.empty())
    page += "<h2>The four rules</h2><pre style='white-space:pre-wrap'>" + charts::Escaped(rules) + "</pre>";
  for (const auto& svg : drawn) page += "<figure>" + svg + "</figure>";
  return page + "<h2>Table</h2><pre>" + charts::Escaped(Table()) + "</pre></html>\n";
}

std::vector<Microseconds> ByNines(const Latencies& latencies) {
  std::vector<Microseconds> all;
  for (int tenths = 0; tenths <= kStepsOfNines; ++tenths)
    all.push_back(latencies.Quantile(1 - std::pow(10, -tenths / 10.0)));
  return all;
}

std::vector<std::pair<double, std::string>> NamesOfNines() {
  std::vector<std::pair<double, std::string>> names;
  for (int nines = 0; nines <= kStepsOfNines / 10; ++nines)
    names.emplace_back(nines, "p" + Format("%.4g", 100 * (1 - std::pow(10, -nines))));
  return names;
}

std::string Compare(const Results& a, const Results& b) {
  using Measure = std::function<double(const Results::Second&)>;
  const auto quantile = [](double q) -> Measure {
    return [q](const Results::Second& s) { return InMs(s.latencies.Quantile(q)); };
  };
  const std::pair<const char*, Measure> measures[] = {
      {"p50", quantile(0.5)},
      {"p99", quantile(0.99)},
      {"max", quantile(1)},
      {"served share", [](const Results::Second& s) {
         std::uint64_t all = 0;
         for (const auto n : s.outcomes) all += n;
         return all == 0 ? 0 : static_cast<double>(s.outcomes[0]) / static_cast<double>(all);
       }}};
  std::string text = "by second           a          b      ratio  +/-\n";
  for (const auto& [name, measure] : measures) {
    const auto values = [&measure = measure](const Results& results) {
      std::vector<double> all;
      for (const auto& second : results.seconds()) {
        if (second.latencies.count() > 0) all.push_back(measure(second));
      }
      return Over(all);
    };
    const Estimate x = values(a), y = values(b);
    char line[160];
    if (x.n < 2 || y.n < 2 || x.mean <= 0) {
      std::snprintf(line, sizeof line, "%-13s too few seconds to compare\n", name);
    } else {
      const double ratio = y.mean / x.mean;
      const double error = std::hypot(y.error / x.mean, ratio * x.error / x.mean);
      std::snprintf(line, sizeof line, "%-13s %8.3f   %8.3f   %8.3f  %.3f%s\n", name, x.mean, y.mean, ratio,
                    error, std::abs(ratio - 1) <= error ? "  noise" : "");
    }
    text += line;
  }
  return text;
}

}  // namespace kestrelline::load
