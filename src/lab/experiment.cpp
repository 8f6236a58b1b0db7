// SPDX-License-Identifier: Apache-2.0
#include "lab/experiment.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

#include "lab/statistics.h"
#include "operator/document.h"

namespace kestrelline::lab {
namespace {

using operator_file::Diagnostics;
using operator_file::Key;
using operator_file::Kind;
using operator_file::Located;
using operator_file::Position;
using operator_file::Section;
using operator_file::TableReader;

constexpr std::array kExperimentKeys{
    Key{"name", Kind::kText, "What it is about, for the report.", true},
    Key{"site", Kind::kText, "The site, as kestrelfleet takes it; beside this file.", true},
    Key{"plan", Kind::kText, "The load, as kestrelload takes it; beside this file.", true},
    Key{"design", Kind::kText, "full (without it): all combinations; one_at_a_time; or search."},
    Key{"response", Kind::kText, "What is compared; service without it."},
    Key{"days", Kind::kInteger, "How many each variant is played on; 8 without it."},
    Key{"held_out", Kind::kInteger, "Days after those that a search never sees; as many without it."},
    Key{"first_day", Kind::kInteger, "The seed of the first; 1 without it."},
    Key{"confidence", Kind::kPercentage, "Of the intervals; 95% without it."},
    Key{"first_days", Kind::kInteger, "Of a search's first round; 3 without it."},
    Key{"keep", Kind::kPercentage, "Of a search's candidates, after each round; 33% without it."},
};
constexpr std::array kFactorKeys{
    Key{"name", Kind::kText, "In tables and charts.", true},
    Key{"of", Kind::kText, "site, plan, config, network or run.", true},
    Key{"path", Kind::kText, "Of the value: shape[0].rate, say.", true},
    Key{"levels", Kind::kTexts, "The values; the first is the base.", true},
    Key{"labels", Kind::kTexts, "As many, where the values are long."},
};
constexpr std::array<std::string_view, 5> kOfs{"site", "plan", "config", "network", "run"};
constexpr std::array<std::string_view, 3> kDesigns{"full", "one_at_a_time", "search"};

template <std::size_t N>
std::optional<std::size_t> OneOf(const std::optional<Located<std::string>>& text,
                                 const std::array<std::string_view, N>& known, std::string_view rule,
                                 Diagnostics* diagnostics) {
  if (!text) return std::nullopt;
  const auto found = std::find(known.begin(), known.end(), text->value);
  if (found != known.end()) return static_cast<std::size_t>(found - known.begin());
  const std::vector<std::string_view> all(known.begin(), known.end());
  diagnostics->Add(text->at, rule,
                   "'" + text->value + "' is none; " + diagnostics->Suggest(text->value, all));
  return std::nullopt;
}

std::string TextOf(const toml::node& node) {
  std::ostringstream out;
  // One line, whatever it was in the file: it is put into another file as a value.
  node.visit([&](const auto& n) {
    using T = std::decay_t<decltype(n)>;
    if constexpr (std::is_same_v<T, toml::table>) {
      out << "{ ";
      bool first = true;
      for (const auto& [key, value] : n) {
        out << (first ? "" : ", ") << '"' << key.str() << "\" = " << TextOf(value);
        first = false;
      }
      out << " }";
    } else if constexpr (std::is_same_v<T, toml::array>) {
      out << '[';
      for (std::size_t i = 0; i < n.size(); ++i) out << (i ? ", " : "") << TextOf(n[i]);
      out << ']';
    } else {
      out << toml::toml_formatter(toml::array{n.get()}, toml::format_flags::none);
    }
  });
  std::string text = out.str();
  if (node.is_value()) {  // "[ value ]"
    const auto from = text.find_first_not_of("[ "), to = text.find_last_not_of(" ]");
    text = node.is_string() ? text.substr(text.find_first_not_of("[ "), to - from + 1)
                            : text.substr(from, to - from + 1);
  }
  return text;
}

std::string LabelOf(const toml::node& node, const std::string& text) {
  if (const auto value = node.value_exact<std::string>()) return *value;
  return text.size() <= 24 ? text : text.substr(0, 21) + "...";
}

void ReadFactor(const toml::table& table, Position at, Experiment* experiment, Diagnostics* diagnostics) {
  const TableReader reader(table, "factor", kFactorKeys, diagnostics);
  Factor factor;
  factor.at = at;
  if (const auto name = reader.Text("name")) factor.name = name->value;
  if (const auto of = OneOf(reader.Text("of"), kOfs, "of", diagnostics))
    factor.of = static_cast<Factor::Of>(*of);
  if (const auto path = reader.Text("path")) factor.path = path->value;
  const auto* levels = table.get_as<toml::array>("levels");
  const Position levels_at = reader.at("levels");
  if (!levels || levels->empty() || levels->size() > kMostLevels) {
    diagnostics->Add(levels_at, "levels",
                     "factor '" + factor.name + "' needs a list of 1 to " + std::to_string(kMostLevels) +
                         " values as its levels");
    return;
  }
  for (const auto& level : *levels) {
    const std::string text = TextOf(level);
    factor.levels.push_back({text, LabelOf(level, text)});
  }
  if (const auto labels = reader.Texts("labels")) {
    if (labels->value.size() != factor.levels.size()) {
      diagnostics->Add(labels->at, "labels",
                       "factor '" + factor.name + "' has " + std::to_string(factor.levels.size()) +
                           " levels and " + std::to_string(labels->value.size()) + " labels");
      return;
    }
    for (std::size_t i = 0; i < labels->value.size(); ++i) factor.levels[i].label = labels->value[i].value;
  }
  std::set<std::string> texts, names;
  for (const auto& level : factor.levels) {
    if (!texts.insert(level.text).second)
      diagnostics->Add(levels_at, "levels",
                       "factor '" + factor.name + "' has the level " + level.label + " twice");
    else if (!names.insert(level.label).second)
      diagnostics->Add(levels_at, "labels",
                       "factor '" + factor.name + "' has the label " + level.label + " twice");
  }
  for (const auto& other : experiment->factors) {
    if (other.name == factor.name)
      diagnostics->Add(at, "factor", "there are two factors '" + factor.name + "'");
    else if (other.of == factor.of && other.path == factor.path)
      diagnostics->Add(at, "factor",
                       "factors '" + other.name + "' and '" + factor.name + "' set the same value");
  }
  experiment->factors.push_back(std::move(factor));
}

void ReadHead(const TableReader& top, Experiment* experiment, Diagnostics* diagnostics) {
  const toml::table* table = top.Table("experiment");
  if (!table) return;
  const TableReader reader(*table, "experiment", kExperimentKeys, diagnostics);
  if (const auto name = reader.Text("name")) experiment->name = name->value;
  if (const auto site = reader.Text("site")) experiment->site_file = site->value;
  if (const auto plan = reader.Text("plan")) experiment->plan_file = plan->value;
  if (const auto design = OneOf(reader.Text("design"), kDesigns, "design", diagnostics))
    experiment->design = static_cast<Design>(*design);
  std::array<std::string_view, kMeasures> names;
  std::transform(kResponses.begin(), kResponses.end(), names.begin(), [](const auto& r) { return r.name; });
  if (const auto response = OneOf(reader.Text("response"), names, "response", diagnostics))
    experiment->response = static_cast<Measure>(*response);
  const auto whole = [&](const char* key, std::int64_t least, std::int64_t most, auto* to) {
    if (const auto value = reader.Integer(key, least, most))
      *to = static_cast<std::remove_pointer_t<decltype(to)>>(value->value);
  };
  whole("days", 1, kMostBlocks, &experiment->blocks);
  experiment->held_out = experiment->design == Design::kSearch ? experiment->blocks : 0;
  whole("held_out", 0, kMostBlocks, &experiment->held_out);
  whole("first_day", 1, INT64_MAX / 2, &experiment->first_seed);
  experiment->halving.most_blocks = experiment->blocks;
  whole("first_days", 1, kMostBlocks, &experiment->halving.first_blocks);
  if (const auto keep = reader.Percentage("keep")) {
    experiment->halving.keep = keep->value;
    if (!(keep->value >= 0.05 && keep->value <= 0.9))
      diagnostics->Add(keep->at, "keep", "a search keeps 5% to 90% of its candidates after each round");
  }
  if (const auto confidence = reader.Percentage("confidence")) {
    experiment->confidence = confidence->value;
    if (!(confidence->value >= kLeastConfidence && confidence->value <= kMostConfidence))
      diagnostics->Add(confidence->at, "confidence", "confidence is 50% to 99.9%");
  }
}

std::optional<toml::table> Parsed(const std::string& text, std::string* why) {
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& error) {
    *why = std::string(error.description());
    return std::nullopt;
  }
}

// Puts `value` where `path` says, in a table that has at least what holds it.
bool Put(toml::table* document, const std::string& path, const std::string& value, std::string* why) {
  const auto parsed = Parsed("v = " + value, why);
  if (!parsed) return *why = "the level " + value + " is no value: " + *why, false;
  const toml::node& level = *parsed->get("v");
  const auto nowhere = [&] { return *why = "there is no " + path + " in it", false; };
  if (!path.empty() && path.back() == ']') {
    const auto open = path.rfind('[');
    auto* holder = document->at_path(path.substr(0, open)).as_array();
    const auto index = static_cast<std::size_t>(std::atoll(path.c_str() + open + 1));
    if (!holder || index >= holder->size()) return nowhere();
    holder->replace(holder->cbegin() + static_cast<std::ptrdiff_t>(index), level);
    return true;
  }
  // What holds it must be there; the key itself may be left out in the file.
  const auto point = path.rfind('.');
  const bool nested = point != std::string::npos;
  toml::table* holder = nested ? document->at_path(path.substr(0, point)).as_table() : document;
  if (!holder) return nowhere();
  holder->insert_or_assign(nested ? path.substr(point + 1) : path, level);
  return true;
}

std::string Lines(const Diagnostics& diagnostics) {
  std::string all;
  for (const auto& message : diagnostics.messages()) all += (all.empty() ? "" : "\n") + message.text;
  return all;
}

bool Number(const std::string& text, double* to) {
  char* end = nullptr;
  *to = std::strtod(text.c_str(), &end);
  return end && *end == '\0' && std::isfinite(*to);
}

bool PutNetwork(const std::string& path, const std::string& text, sim::Network* network, std::string* why) {
  double value = 0;
  if (!Number(text, &value) || value < 0 || value > 60000)
    return *why = "the level " + text + " is no number of milliseconds, 0 to 60000", false;
  const sim::Microseconds us(std::llround(value * 1000));
  const std::pair<std::string_view, sim::Microseconds sim::Network::*> times[] = {
      {"client", &sim::Network::client}, {"server", &sim::Network::server}, {"across", &sim::Network::across},
      {"jitter", &sim::Network::jitter}, {"list", &sim::Network::list},     {"proxy", &sim::Network::proxy}};
  for (const auto& [name, member] : times) {
    if (path == name) return network->*member = us, true;
  }
  if (path == "connection") return network->connection_ms = value, true;
  *why =
      "the network has client, server, across, jitter, list, proxy and connection, all in milliseconds, and "
      "no '" +
      path + "'";
  return false;
}

}  // namespace

const std::array<Response, kMeasures> kResponses{{
    {"service", true, "worth of what was served, halved past half its time, of what was asked for"},
    {"served", true, "share of all requests"},
    {"refused", false, "share of all requests"},
    {"failed", false, "share of all requests"},
    {"gave_up", false, "share of all requests whose clients left"},
    {"p50_ms", false, "of the served, from the intended time"},
    {"p90_ms", false, "of the served, from the intended time"},
    {"p99_ms", false, "of the served, from the intended time"},
    {"p999_ms", false, "of the served, from the intended time"},
    {"attempts", false, "a request"},
    {"connections", false, "opened, a request"},
}};

std::vector<std::vector<std::size_t>> Experiment::Variants() const {
  std::vector<std::vector<std::size_t>> all{std::vector<std::size_t>(factors.size())};
  if (design == Design::kOneAtATime) {
    for (std::size_t f = 0; f < factors.size(); ++f) {
      for (std::size_t level = 1; level < factors[f].levels.size(); ++level) {
        all.emplace_back(factors.size());
        all.back()[f] = level;
      }
    }
    return all;
  }
  for (std::size_t f = 0; f < factors.size(); ++f) {
    const std::size_t before = all.size();
    for (std::size_t level = 1; level < factors[f].levels.size(); ++level) {
      for (std::size_t v = 0; v < before; ++v) {
        all.push_back(all[v]);
        all.back()[f] = level;
      }
    }
  }
  return all;
}

std::string Experiment::NameOf(const std::vector<std::size_t>& variant) const {
  std::string name;
  for (std::size_t f = 0; f < factors.size(); ++f)
    name += (f ? " " : "") + factors[f].name + "=" + factors[f].levels[variant[f]].label;
  return name.empty() ? "base" : name;
}

std::size_t Experiment::MostRunsOf() const {
  const std::size_t variants = Variants().size();
  if (design != Design::kSearch) return variants * blocks;
  return Halving::MostRuns(variants, halving) + 2 * held_out;
}

std::optional<Experiment> ReadExperiment(std::string_view text, Diagnostics* diagnostics) {
  Experiment experiment;
  std::size_t factors = 0;
  const std::array sections{
      Section{{"experiment", Kind::kTable, "What is played, and on how many days.", true},
              [&](const TableReader& top, Diagnostics* d) { ReadHead(top, &experiment, d); }},
      Section{{"factor", Kind::kTables, "What differs between the variants."},
              [&](const TableReader& top, Diagnostics* d) {
                top.Tables("factor", [&](const toml::table& table, Position at) {
                  if (++factors <= kMostFactors) ReadFactor(table, at, &experiment, d);
                });
                if (factors > kMostFactors)
                  d->Add(top.at("factor"), "factor",
                         std::to_string(factors) + " factors; at most " + std::to_string(kMostFactors));
              }}};
  operator_file::ReadDocument(text, sections, diagnostics);
  if (!diagnostics->ok()) return std::nullopt;
  double variants = 1;
  for (const auto& factor : experiment.factors) variants *= static_cast<double>(factor.levels.size());
  if (experiment.design == Design::kOneAtATime) {
    variants = 1;
    for (const auto& factor : experiment.factors) variants += static_cast<double>(factor.levels.size()) - 1;
  }
  if (variants > static_cast<double>(kMostVariants)) {
    diagnostics->Add({}, "variants",
                     "its levels make more than " + std::to_string(kMostVariants) +
                         " combinations; take fewer, or design = \"one_at_a_time\"");
  } else if (experiment.MostRunsOf() > kMostRuns) {
    diagnostics->Add({}, "runs",
                     std::to_string(experiment.MostRunsOf()) + " runs; at most " + std::to_string(kMostRuns));
  }
  if (experiment.design == Design::kSearch && experiment.held_out == 0)
    diagnostics->Add({}, "held_out",
                     "a search needs days that it does not see: what it finds is judged by them");
  if (!diagnostics->ok()) return std::nullopt;
  return experiment;
}

Scenarios::Scenarios(const Experiment& experiment, std::string site_text, std::string plan_text)
    : experiment_(experiment), site_(std::move(site_text)), plan_(std::move(plan_text)) {}

std::optional<sim::Scenario> Scenarios::Of(const std::vector<std::size_t>& variant, std::string* why) const {
  why->clear();
  auto site = Parsed(site_, why), plan = Parsed(plan_, why);
  if (!site || !plan) return std::nullopt;
  sim::Scenario scenario;
  std::vector<std::pair<std::string, std::string>> config;
  for (std::size_t f = 0; f < experiment_.factors.size(); ++f) {
    const Factor& factor = experiment_.factors[f];
    const std::string& text = factor.levels[variant[f]].text;
    bool done = true;
    switch (factor.of) {
      case Factor::Of::kSite:
        done = Put(&*site, factor.path, text, why);
        break;
      case Factor::Of::kPlan:
        done = Put(&*plan, factor.path, text, why);
        break;
      case Factor::Of::kNetwork:
        done = PutNetwork(factor.path, text, &scenario.network, why);
        break;
      case Factor::Of::kConfig:
        config.emplace_back(factor.path, text);
        break;
      case Factor::Of::kRun:
        done = (factor.path == "hints" || factor.path == "hold") && (text == "true" || text == "false");
        if (done)
          (factor.path == "hints" ? scenario.hints : scenario.hold) = text == "true";
        else
          *why = "of a run there are hints and hold, true or false; not " + factor.path + " = " + text;
        break;
    }
    if (!done) return std::nullopt;
  }
  const auto written = [](const toml::table& table) {
    std::ostringstream out;
    out << table;
    return out.str();
  };
  Diagnostics diagnostics("site");
  auto read_site = standin::ReadSite(written(*site), &diagnostics, {100000, 10000});
  auto read_plan = load::ReadPlan(written(*plan), &diagnostics);
  if (!read_site || !read_plan) return *why = Lines(diagnostics), std::nullopt;
  scenario.site = std::move(*read_site);
  scenario.plan = std::move(*read_plan);
  std::string missing;
  if (!load::IndicesOf(load::ClassNames(scenario.plan), scenario.site.classes, &missing))
    return *why = "the plan's class '" + missing + "' is none of the site", std::nullopt;
  if (!config.empty()) scenario.config = std::move(config);
  if (!sim::ConfigIsValid(scenario, why)) return std::nullopt;
  return scenario;
}

std::vector<sim::Scenario> Scenarios::All(Diagnostics* diagnostics) const {
  std::vector<sim::Scenario> all;
  std::string why;
  const std::vector<std::size_t> base(experiment_.factors.size());
  // Each level by itself first: a message about it names the factor, not one of many combinations.
  bool alone = true;
  if (!Of(base, &why)) {
    diagnostics->Add({}, "base", "the first levels make no valid scenario: " + why);
    return {};
  }
  for (std::size_t f = 0; f < experiment_.factors.size(); ++f) {
    for (std::size_t level = 1; level < experiment_.factors[f].levels.size(); ++level) {
      auto variant = base;
      variant[f] = level;
      if (Of(variant, &why)) continue;
      alone = false;
      diagnostics->Add(experiment_.factors[f].at, "level",
                       "factor '" + experiment_.factors[f].name + "' at " +
                           experiment_.factors[f].levels[level].label + ": " + why);
    }
  }
  if (!alone) return {};
  for (const auto& variant : experiment_.Variants()) {
    auto scenario = Of(variant, &why);
    if (!scenario) {
      diagnostics->Add({}, "variant", experiment_.NameOf(variant) + ": " + why);
      return {};
    }
    all.push_back(std::move(*scenario));
  }
  return all;
}

void SetDay(sim::Scenario* scenario, std::uint64_t day) {
  scenario->seed = day;
  scenario->plan.seed = day * 2 + 1;
  scenario->site.seed = day * 2 + 2;
}

}  // namespace kestrelline::lab
