// SPDX-License-Identifier: Apache-2.0
#include "lab/analysis.h"

#include <algorithm>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <map>

namespace kestrelline::lab {
namespace {

constexpr std::uint64_t kSeed = 20261201;  // of the bootstrap: a report is the same each time

// What was measured, by variant and block.
class Measured {
 public:
  Measured(const Experiment& experiment, const std::vector<Record>& records) : experiment_(experiment) {
    for (const Record& r : records) {
      if (r.day < experiment.first_seed) continue;
      cells_.emplace(Cell{r.variant, static_cast<std::size_t>(r.day - experiment.first_seed)}, &r);
    }
  }
  const Record* Find(Cell cell) const {
    const auto found = cells_.find(cell);
    return found == cells_.end() ? nullptr : found->second;
  }
  // Nothing where it was not played, or broke a rule: it has no response then.
  std::optional<double> Response(Cell cell) const {
    const Record* r = Find(cell);
    if (!r || !r->broken.empty()) return std::nullopt;
    return r->measures[static_cast<std::size_t>(experiment_.response)];
  }

 private:
  const Experiment& experiment_;
  std::map<Cell, const Record*> cells_;
};

double Sign(Measure response) { return kResponses[static_cast<std::size_t>(response)].more ? 1 : -1; }

struct Pairs {
  std::vector<double> a, b;
};

// The blocks in [from, to) on which all variants of both sides were played: the mean of each side.
Pairs PairsOf(const Measured& measured, const std::vector<std::size_t>& a, const std::vector<std::size_t>& b,
              std::size_t from, std::size_t to) {
  Pairs pairs;
  for (std::size_t block = from; block < to; ++block) {
    const auto mean = [&](const std::vector<std::size_t>& side) -> std::optional<double> {
      double sum = 0;
      for (const std::size_t variant : side) {
        const auto response = measured.Response({variant, block});
        if (!response) return std::nullopt;
        sum += *response;
      }
      return sum / static_cast<double>(side.size());
    };
    const auto of_a = mean(a), of_b = mean(b);
    if (of_a && of_b) pairs.a.push_back(*of_a), pairs.b.push_back(*of_b);
  }
  return pairs;
}

Difference DifferenceOf(const Experiment& experiment, const Pairs& pairs) {
  return PairedDifference(pairs.a, pairs.b, experiment.confidence, kSeed);
}

Halving Replayed(const Experiment& experiment, const Measured& measured, std::size_t variants) {
  Halving halving(variants, experiment.halving);
  for (bool more = true; more && !halving.over();) {
    more = false;
    for (const Cell& cell : halving.Wanted()) {
      const Record* r = measured.Find(cell);
      if (!r) continue;
      auto response = measured.Response(cell);
      if (response) *response *= Sign(experiment.response);
      halving.Give(cell, response);
      more = true;
    }
  }
  return halving;
}

template <typename T>
void JudgeAll(std::vector<T>* rows, Difference T::*member, double confidence) {
  std::vector<Difference> family;
  for (const T& row : *rows) family.push_back(row.*member);
  Judge(&family, confidence);
  for (std::size_t i = 0; i < rows->size(); ++i) ((*rows)[i].*member).significant = family[i].significant;
}

void FindEffects(const Experiment& experiment, const Measured& measured,
                 const std::vector<std::vector<std::size_t>>& variants, Analysis* analysis) {
  // Variants with these levels; each has its like on the other side.
  const auto with = [&](std::vector<std::pair<std::size_t, std::size_t>> levels) {
    std::vector<std::size_t> found;
    for (std::size_t v = 0; v < variants.size(); ++v) {
      if (std::all_of(levels.begin(), levels.end(),
                      [&](const auto& wanted) { return variants[v][wanted.first] == wanted.second; }))
        found.push_back(v);
    }
    return found;
  };
  const std::size_t factors = experiment.factors.size(), to = experiment.blocks;
  const bool full = experiment.design == Design::kFull;
  for (std::size_t f = 0; f < factors; ++f) {
    for (std::size_t level = 1; level < experiment.factors[f].levels.size(); ++level) {
      std::vector<std::size_t> a{0}, b;
      if (full) {
        a = with({{f, 0}}), b = with({{f, level}});
      } else {
        for (std::size_t v = 0; v < variants.size(); ++v)
          if (variants[v][f] == level) b.push_back(v);
      }
      analysis->effects.push_back({f, level, DifferenceOf(experiment, PairsOf(measured, a, b, 0, to))});
    }
  }
  JudgeAll(&analysis->effects, &MainEffect::difference, experiment.confidence);
  for (std::size_t f = 0; full && f < factors; ++f) {
    for (std::size_t g = f + 1; g < factors; ++g) {
      const std::size_t last_f = experiment.factors[f].levels.size() - 1,
                        last_g = experiment.factors[g].levels.size() - 1;
      if (last_f == 0 || last_g == 0) continue;
      const Pairs base = PairsOf(measured, with({{f, 0}, {g, 0}}), with({{f, last_f}, {g, 0}}), 0, to);
      const Pairs moved =
          PairsOf(measured, with({{f, 0}, {g, last_g}}), with({{f, last_f}, {g, last_g}}), 0, to);
      Pairs both;
      for (std::size_t i = 0; i < std::min(base.a.size(), moved.a.size()); ++i) {
        both.a.push_back(base.b[i] - base.a[i]);
        both.b.push_back(moved.b[i] - moved.a[i]);
      }
      analysis->interactions.push_back({f, g, DifferenceOf(experiment, both)});
    }
  }
  JudgeAll(&analysis->interactions, &Interaction::difference, experiment.confidence);
}

__attribute__((format(printf, 1, 2))) std::string Format(const char* format, ...) {
  char text[512];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  return text;
}

std::string Shown(const Difference& d, Measure response) {
  return Format("%+11.5f  [%+.5f, %+.5f]  p %.4f  %zu days  %s\n", d.of.mean, d.of.low, d.of.high, d.p,
                d.of.blocks, VerdictOf(d, response).c_str());
}

}  // namespace

std::uint64_t DayOf(const Experiment& experiment, std::size_t block) { return experiment.first_seed + block; }

std::vector<Cell> NextCells(const Experiment& experiment, const std::vector<Record>& records) {
  const Measured measured(experiment, records);
  const std::size_t variants = experiment.Variants().size();
  std::vector<Cell> cells;
  const auto add = [&](Cell cell) {
    if (!measured.Find(cell)) cells.push_back(cell);
  };
  if (experiment.design != Design::kSearch) {
    for (std::size_t block = 0; block < experiment.blocks; ++block)
      for (std::size_t variant = 0; variant < variants; ++variant) add({variant, block});
    return cells;
  }
  const Halving halving = Replayed(experiment, measured, variants);
  for (const Cell& cell : halving.Wanted()) add(cell);
  const auto winner = halving.winner();
  if (!halving.over() || !winner || *winner == 0) return cells;
  for (std::size_t block = experiment.blocks; block < experiment.blocks + experiment.held_out; ++block) {
    add({0, block});
    add({*winner, block});
  }
  return cells;
}

Analysis Analyse(const Experiment& experiment, const std::vector<Record>& records) {
  const Measured measured(experiment, records);
  const auto variants = experiment.Variants();
  Analysis analysis;
  analysis.runs = records.size();
  const std::size_t most = experiment.MostRunsOf();
  analysis.wanted = NextCells(experiment, records).empty() ? 0 : most - std::min(most, records.size());
  std::map<std::size_t, std::vector<const Record*>> by_variant;
  for (const Record& r : records) {
    if (r.day - experiment.first_seed < experiment.blocks) by_variant[r.variant].push_back(&r);
  }
  for (const auto& [variant, its] : by_variant) {
    VariantRow row;
    row.variant = variant;
    std::vector<double> values;
    for (const Record* r : its) {
      if (r->broken.empty()) {
        values.push_back(r->measures[static_cast<std::size_t>(experiment.response)]);
      } else if (row.broken++ == 0) {
        row.broken_rule = r->broken;
      }
    }
    row.response = MeanOf(values, experiment.confidence, kSeed);
    if (variant != 0)
      row.to_base = DifferenceOf(experiment, PairsOf(measured, {0}, {variant}, 0, experiment.blocks));
    analysis.variants.push_back(row);
  }
  // The base is compared with nothing.
  std::vector<VariantRow> others(analysis.variants.begin() + (by_variant.contains(0) ? 1 : 0),
                                 analysis.variants.end());
  JudgeAll(&others, &VariantRow::to_base, experiment.confidence);
  std::copy(others.begin(), others.end(),
            analysis.variants.end() - static_cast<std::ptrdiff_t>(others.size()));
  double best = 0;
  for (const VariantRow& row : analysis.variants) {
    const double gain = Sign(experiment.response) * row.to_base.of.mean;
    if (row.variant == 0 || row.broken > 0 || row.to_base.of.blocks < experiment.blocks || gain <= best)
      continue;
    best = gain, analysis.best = row.variant;
  }
  if (experiment.design != Design::kSearch) {
    FindEffects(experiment, measured, variants, &analysis);
    return analysis;
  }
  const Halving halving = Replayed(experiment, measured, variants.size());
  Search search{halving.round(), halving.over(), halving.left(), std::nullopt, std::nullopt};
  if (halving.over()) search.winner = halving.winner();
  if (search.winner) {
    analysis.best = *search.winner;
    if (*search.winner != 0) {
      std::vector<Difference> alone{
          DifferenceOf(experiment, PairsOf(measured, {0}, {*search.winner}, experiment.blocks,
                                           experiment.blocks + experiment.held_out))};
      Judge(&alone, experiment.confidence);
      search.held_out = alone[0];
    }
  }
  analysis.search = search;
  return analysis;
}

std::string VerdictOf(const Difference& difference, Measure response) {
  if (difference.of.blocks == 0) return "not played";
  if (difference.too_few) return "too few days to tell";
  if (!difference.significant) return "not significant";
  return (difference.of.mean > 0) == (Sign(response) > 0) ? "better" : "worse";
}

std::string Table(const Experiment& experiment, const Analysis& analysis) {
  const auto& response = kResponses[static_cast<std::size_t>(experiment.response)];
  const auto variants = experiment.Variants();
  std::string text =
      experiment.name + ": " + std::to_string(analysis.runs) + " runs" +
      (analysis.wanted ? ", up to " + std::to_string(analysis.wanted) + " to come" : "") + "\n" +
      std::string(response.name) + " (" + std::string(response.doc) + "; " +
      (response.more ? "more" : "less") + " is better), " +
      Format("%g %% intervals over days, all compared on the same days\n", 100 * experiment.confidence);
  text += "\nvariants\n";
  for (const VariantRow& row : analysis.variants) {
    text += Format("%-40s %11.5f  [%.5f, %.5f]\n", experiment.NameOf(variants[row.variant]).c_str(),
                   row.response.mean, row.response.low, row.response.high);
    if (row.broken > 0)
      text += Format("%-40s BROKE a rule in %zu runs, first: %s\n", "", row.broken, row.broken_rule.c_str());
    if (row.variant != 0)
      text += Format("%-40s ", "  against the base") + Shown(row.to_base, experiment.response);
  }
  if (!analysis.effects.empty()) text += "\nmain effects, each level against the first of its factor\n";
  for (const MainEffect& e : analysis.effects) {
    const Factor& factor = experiment.factors[e.factor];
    text +=
        Format(
            "%-40s ",
            (factor.name + ": " + factor.levels[0].label + " -> " + factor.levels[e.level].label).c_str()) +
        Shown(e.difference, experiment.response);
  }
  if (!analysis.interactions.empty()) text += "\ninteractions, of last levels against first ones\n";
  for (const Interaction& i : analysis.interactions) {
    const Difference& d = i.difference;
    text += Format("%-40s %+11.5f  [%+.5f, %+.5f]  p %.4f  %s\n",
                   (experiment.factors[i.first].name + " and " + experiment.factors[i.second].name).c_str(),
                   d.of.mean, d.of.low, d.of.high, d.p,
                   d.too_few       ? "too few days to tell"
                   : d.significant ? "significant"
                                   : "not significant");
  }
  if (analysis.search) {
    const Search& s = *analysis.search;
    text += Format("\nsearch: round %zu, %zu left%s\n", s.rounds, s.left.size(), s.over ? ", over" : "");
    if (s.winner)
      text +=
          "winner: " + experiment.NameOf(variants[*s.winner]) + (*s.winner == 0 ? " (the base)" : "") + "\n";
    if (s.held_out && s.held_out->of.blocks > 0)
      text += Format("%-40s ", "on days it never saw, against the base") +
              Shown(*s.held_out, experiment.response);
  } else if (analysis.wanted == 0 && !analysis.variants.empty()) {
    text += "\nbest mean: " + experiment.NameOf(variants[analysis.best]) + "\n";
  }
  return text;
}

}  // namespace kestrelline::lab
