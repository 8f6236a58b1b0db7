// SPDX-License-Identifier: Apache-2.0
#include "lab/report.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "charts/page.h"

namespace kestrelline::lab {
namespace {

using charts::Chart;
using charts::Series;

constexpr std::size_t kMostLines = 6;   // variants in one chart
constexpr std::size_t kMostHeats = 10;  // pairs of factors

// The base, the best, and those that differ the most from the base.
std::vector<std::size_t> Shown(const Analysis& analysis) {
  std::vector<const VariantRow*> rows;
  for (const auto& row : analysis.variants) rows.push_back(&row);
  std::stable_sort(rows.begin(), rows.end(), [&](const VariantRow* a, const VariantRow* b) {
    const auto rank = [&](const VariantRow* r) {
      return r->variant == 0 ? 0 : r->variant == analysis.best ? 1 : 2;
    };
    if (rank(a) != rank(b)) return rank(a) < rank(b);
    return std::abs(a->to_base.of.mean) > std::abs(b->to_base.of.mean);
  });
  std::vector<std::size_t> shown;
  for (const VariantRow* row : rows)
    if (shown.size() < kMostLines) shown.push_back(row->variant);
  return shown;
}

// Means over days, element by element; where a day has none, over the others.
std::vector<double> MeanSeries(const std::vector<Record>& records, std::size_t variant,
                               std::vector<double> Record::*series) {
  std::vector<double> sum;
  std::vector<int> n;
  for (const Record& r : records) {
    if (r.variant != variant) continue;
    const auto& values = r.*series;
    if (sum.size() < values.size()) sum.resize(values.size()), n.resize(values.size());
    for (std::size_t i = 0; i < values.size(); ++i)
      if (values[i] >= 0) sum[i] += values[i], ++n[i];
  }
  for (std::size_t i = 0; i < sum.size(); ++i)
    sum[i] = n[i] > 0 ? sum[i] / n[i] : std::numeric_limits<double>::quiet_NaN();
  return sum;
}

Chart Intervals(const std::string& title, const std::string& x_label) {
  Chart chart;
  chart.kind = Chart::Kind::kIntervals;
  chart.title = title, chart.x_label = x_label;
  chart.series.push_back({"", {}});
  return chart;
}

void AddRow(Chart* chart, const std::string& name, const Difference& d) {
  const auto row = static_cast<double>(chart->y_names.size());
  chart->series[0].points.push_back({row, d.of.mean, d.of.low, d.of.high});
  chart->y_names.emplace_back(row, name);
}

}  // namespace

std::vector<std::pair<std::string, Chart>> Charts(const Experiment& experiment,
                                                  const std::vector<Record>& records,
                                                  const Analysis& analysis,
                                                  const std::vector<standin::Fault>& faults) {
  std::vector<std::pair<std::string, Chart>> all;
  const auto variants = experiment.Variants();
  const std::string response(kResponses[static_cast<std::size_t>(experiment.response)].name);
  if (!analysis.effects.empty()) {
    Chart chart = Intervals("Main effects", "change of " + response);
    for (const MainEffect& e : analysis.effects) {
      const Factor& factor = experiment.factors[e.factor];
      if (e.difference.of.blocks > 0)
        AddRow(&chart, factor.name + ": " + factor.levels[0].label + " to " + factor.levels[e.level].label,
               e.difference);
    }
    if (!chart.y_names.empty()) all.emplace_back("effects", std::move(chart));
  }
  if (analysis.variants.size() > 1) {
    Chart chart = Intervals("Variants against the base", "change of " + response);
    std::vector<const VariantRow*> rows;
    for (const auto& row : analysis.variants)
      if (row.variant != 0 && row.to_base.of.blocks > 0) rows.push_back(&row);
    std::stable_sort(rows.begin(), rows.end(), [](const VariantRow* a, const VariantRow* b) {
      return std::abs(a->to_base.of.mean) > std::abs(b->to_base.of.mean);
    });
    if (rows.size() > 40) rows.resize(40);
    std::reverse(rows.begin(), rows.end());
    for (const VariantRow* row : rows)
      AddRow(&chart, experiment.NameOf(variants[row->variant]), row->to_base);
    if (!chart.y_names.empty()) all.emplace_back("variants", std::move(chart));
  }
  const std::vector<std::size_t> shown = Shown(analysis);
  Chart latency, service, tail;
  latency.title = "Latency of what was served", latency.x_label = "percentile", latency.y_label = "ms";
  latency.log_y = true;
  latency.x_names = load::NamesOfNines();
  service.title = "Served, by second", service.x_label = "s", service.y_label = "share";
  tail.title = "99th percentile, by second", tail.x_label = "s", tail.y_label = "ms", tail.log_y = true;
  for (const standin::Fault& fault : faults) service.spans.push_back(standin::SpanOf(fault));
  tail.spans = service.spans;
  for (const std::size_t variant : shown) {
    const std::string name = experiment.NameOf(variants[variant]) + (variant == 0 ? " (base)" : "");
    const auto line = [&](std::vector<double> Record::*series, double step) {
      Series s{name, {}};
      const auto values = MeanSeries(records, variant, series);
      for (std::size_t i = 0; i < values.size(); ++i)
        s.points.push_back({step * static_cast<double>(i), values[i], 0, 0});
      return s;
    };
    latency.series.push_back(line(&Record::latency_by_nines, 0.1));
    service.series.push_back(line(&Record::served_by_second, 1));
    tail.series.push_back(line(&Record::p99_by_second, 1));
  }
  all.emplace_back("latency", std::move(latency));
  all.emplace_back("service", std::move(service));
  all.emplace_back("tail", std::move(tail));
  if (experiment.design == Design::kOneAtATime) return all;
  std::size_t heats = 0;
  for (std::size_t f = 0; f < experiment.factors.size(); ++f) {
    for (std::size_t g = f + 1; g < experiment.factors.size() && heats < kMostHeats; ++g) {
      const Factor &x = experiment.factors[f], &y = experiment.factors[g];
      if (x.levels.size() < 2 || y.levels.size() < 2) continue;
      Chart heat;
      heat.kind = Chart::Kind::kHeat;
      heat.title = response + " by " + x.name + " and " + y.name;
      heat.x_label = x.name, heat.y_label = y.name;
      heat.series.push_back({"", {}});
      for (std::size_t a = 0; a < x.levels.size(); ++a) heat.x_names.emplace_back(a, x.levels[a].label);
      for (std::size_t b = 0; b < y.levels.size(); ++b) heat.y_names.emplace_back(b, y.levels[b].label);
      for (std::size_t b = 0; b < y.levels.size(); ++b) {
        for (std::size_t a = 0; a < x.levels.size(); ++a) {
          double sum = 0;
          int n = 0;
          for (const VariantRow& row : analysis.variants) {
            if (variants[row.variant][f] != a || variants[row.variant][g] != b || row.response.blocks == 0)
              continue;
            sum += row.response.mean, ++n;
          }
          heat.series[0].points.push_back({static_cast<double>(a), static_cast<double>(b), 0,
                                           n > 0 ? sum / n : std::numeric_limits<double>::quiet_NaN()});
        }
      }
      all.emplace_back("heat" + std::to_string(++heats), std::move(heat));
    }
  }
  return all;
}

std::string Page(const Experiment& experiment, const Analysis& analysis, const std::string& experiment_text,
                 const std::vector<std::pair<std::string, std::string>>& drawn) {
  std::string page = charts::PageHead(experiment.name) + "<pre style='font-size:12px'>" +
                     charts::Escaped(Table(experiment, analysis)) + "</pre>";
  for (const auto& [name, svg] : drawn) page += "<figure id='" + name + "'>" + svg + "</figure>";
  return page + "<h2>The experiment</h2><pre style='font-size:12px'>" + charts::Escaped(experiment_text) +
         "</pre></html>\n";
}

}  // namespace kestrelline::lab
