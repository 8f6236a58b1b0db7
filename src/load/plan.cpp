// SPDX-License-Identifier: Apache-2.0
#include "load/plan.h"

#include <array>
#include <cstdint>
#include <cstdlib>

namespace kestrelline::load {
namespace {

using operator_file::Diagnostics;
using operator_file::Key;
using operator_file::Kind;
using operator_file::Position;
using operator_file::Section;
using operator_file::TableReader;

constexpr double kMostSeconds = 24 * 3600;

constexpr std::array kRunKeys{
    Key{"target", Kind::kTexts,
        "Where requests go, ADDRESS:PORT on loopback; to several in turn. --target goes before it."},
    Key{"time", Kind::kDuration, "How long arrivals last.", true},
    Key{"seed", Kind::kInteger, "Of the arrivals; 1 without it."},
    Key{"spacing", Kind::kText, "poisson (without it) or even."},
    Key{"connections", Kind::kInteger, "The most at once, over all targets; 200 without it."},
    Key{"retries", Kind::kInteger, "How often a client tries again after a refusal; 0 without it."},
    Key{"retry_pause", Kind::kDuration, "Before that, where the answer names no time; 50ms without it."},
};
constexpr std::array kShapeKeys{
    Key{"kind", Kind::kText, "constant, ramp, sine, steps or bursts.", true},
    Key{"rate", Kind::kNumber,
        "Requests a second: of constant and bursts; the mean of a sine; the start of a ramp."},
    Key{"to", Kind::kNumber, "The end of a ramp."},
    Key{"swing", Kind::kNumber, "Of a sine, at most its rate."},
    Key{"rates", Kind::kTexts, "Of steps, as texts: [\"100\", \"400\"]."},
    Key{"each", Kind::kDuration, "Of a step, of a sine's period, of a ramp, or from burst to burst."},
    Key{"lasts", Kind::kDuration, "Of a burst."},
};
constexpr std::array kClassKeys{
    Key{"name", Kind::kText, "The class, which is the path too.", true},
    Key{"effect", Kind::kText, "safe, keyed or unsafe.", true},
    Key{"weight", Kind::kNumber, "Of the requests; 1 without it."},
    Key{"deadline", Kind::kDuration, "After which the client gives up; 1s without it."},
    Key{"least_bytes", Kind::kInteger, "Of the body; 0 without it. Safe classes have none."},
    Key{"most_bytes", Kind::kInteger, "Of the body; the least without it."},
};
constexpr std::array kTenantKeys{
    Key{"name", Kind::kText, "The tenant.", true},
    Key{"weight", Kind::kNumber, "Of the requests; 1 without it."},
};
constexpr std::array kObjectKeys{
    Key{"count", Kind::kInteger, "How many different objects requests are about.", true},
    Key{"zipf", Kind::kNumber, "The k-th is asked for by 1 / k^zipf; 1 without it."},
};

double Seconds(operator_file::Milliseconds ms) { return ms.count() / 1000; }

void ReadRun(const TableReader& top, Plan* plan, Diagnostics* diagnostics) {
  const toml::table* table = top.Table("run");
  if (!table) return;
  const TableReader run(*table, "run", kRunKeys, diagnostics);
  if (const auto targets = run.Texts("target")) {
    for (const auto& target : targets->value) {
      const auto colon = target.value.rfind(':');
      const bool loopback = target.value.starts_with("127.") || target.value.starts_with("[::1]:");
      if (!loopback || colon == std::string::npos || colon + 1 == target.value.size())
        diagnostics->Add(
            target.at, "target",
            "'" + target.value + "' is no ADDRESS:PORT on loopback; this generator sends nowhere else");
      plan->targets.push_back(target.value);
    }
  }
  if (const auto time = run.Duration("time")) plan->mixture.seconds = Seconds(time->value);
  if (const auto seed = run.Integer("seed", 0, INT64_MAX))
    plan->seed = static_cast<std::uint64_t>(seed->value);
  if (const auto n = run.Integer("connections", 1, 50000))
    plan->connections = static_cast<std::size_t>(n->value);
  if (const auto n = run.Integer("retries", 0, 10)) plan->retries = static_cast<int>(n->value);
  if (const auto pause = run.Duration("retry_pause")) plan->retry_pause = InMicroseconds(pause->value);
  if (const auto spacing = run.Text("spacing")) {
    plan->mixture.spacing = spacing->value == "even" ? Spacing::kEven : Spacing::kPoisson;
    if (spacing->value != "even" && spacing->value != "poisson")
      diagnostics->Add(spacing->at, "spacing",
                       "'" + spacing->value + "' is no spacing; accepted are poisson and even");
  }
}

void ReadShape(const TableReader& reader, Plan* plan, Diagnostics* diagnostics) {
  const auto kind = reader.Text("kind");
  if (!kind) return;
  const auto number = [&](std::string_view key) {
    const auto value = reader.Number(key, 0, kMostRate);
    return value ? value->value : 0;
  };
  const auto time = [&](std::string_view key) {
    const auto value = reader.Duration(key);
    return value ? Seconds(value->value) : 0;
  };
  Shape shape;
  if (kind->value == "constant") {
    shape = Constant{number("rate")};
  } else if (kind->value == "ramp") {
    shape = Ramp{number("rate"), number("to"), time("each")};
  } else if (kind->value == "sine") {
    shape = Sine{number("rate"), number("swing"), time("each")};
  } else if (kind->value == "bursts") {
    shape = Bursts{number("rate"), time("each"), time("lasts")};
  } else if (kind->value == "steps") {
    Steps steps;
    steps.each = time("each");
    if (const auto rates = reader.Texts("rates")) {
      for (const auto& rate : rates->value) {
        char* end = nullptr;
        const double value = std::strtod(rate.value.c_str(), &end);
        steps.rates.push_back(end && *end == '\0' ? value : -1);
      }
    }
    shape = std::move(steps);
  } else {
    diagnostics->Add(
        kind->at, "shape",
        "'" + kind->value + "' is no shape; accepted are constant, ramp, sine, steps and bursts");
    return;
  }
  Mixture alone;
  alone.shapes = {shape};
  alone.classes = {{"any", 1, 0, 0}};
  alone.seconds = kMostSeconds;
  // A shape of one arrival in a day may add to others: what is judged here is its own numbers.
  const std::string wrong = Wrong(alone);
  if (!wrong.empty() && wrong.find("arrival") == std::string::npos)
    diagnostics->Add(reader.at(), "shape", wrong);
  plan->mixture.shapes.push_back(std::move(shape));
}

void ReadClass(const TableReader& reader, Plan* plan, Diagnostics* diagnostics) {
  PlanClass c;
  ClassShare share;
  if (const auto name = reader.Text("name")) c.name = share.name = name->value;
  c.effect = ReadEffect(reader, diagnostics);
  if (const auto weight = reader.Number("weight", 0, 1e6)) share.weight = weight->value;
  if (const auto deadline = reader.Duration("deadline")) c.deadline = InMicroseconds(deadline->value);
  if (const auto n = reader.Integer("least_bytes", 0, 65536))
    share.least_bytes = static_cast<std::uint32_t>(n->value);
  share.most_bytes = share.least_bytes;
  if (const auto n = reader.Integer("most_bytes", 0, 65536))
    share.most_bytes = static_cast<std::uint32_t>(n->value);
  if (c.effect == Effect::kSafe && share.most_bytes > 0)
    diagnostics->Add(reader.at("most_bytes"), "bytes", "requests of a safe class have no body");
  plan->classes.push_back(std::move(c));
  plan->mixture.classes.push_back(std::move(share));
}

}  // namespace

Microseconds InMicroseconds(operator_file::Milliseconds ms) {
  return std::chrono::duration_cast<Microseconds>(ms);
}

Effect ReadEffect(const TableReader& reader, Diagnostics* diagnostics) {
  const auto text = reader.Text("effect");
  if (!text) return Effect::kUnsafe;
  const auto effect = EffectNamed(text->value);
  if (!effect)
    diagnostics->Add(text->at, "effect",
                     "'" + text->value + "' is no effect; accepted are safe, keyed and unsafe");
  return effect.value_or(Effect::kUnsafe);
}

std::vector<std::string> ClassNames(const Plan& plan) {
  std::vector<std::string> names;
  for (const PlanClass& c : plan.classes) names.push_back(c.name);
  return names;
}

std::optional<Plan> ReadPlan(std::string_view text, Diagnostics* diagnostics) {
  Plan plan;
  const std::vector<Section> sections{
      {{"run", Kind::kTable, "The run as a whole.", true},
       [&](const TableReader& top, Diagnostics* d) { ReadRun(top, &plan, d); }},
      {{"shape", Kind::kTables, "Rates over time, added up.", true},
       [&](const TableReader& top, Diagnostics* d) {
         top.Tables("shape", [&](const toml::table& table, Position) {
           ReadShape(TableReader(table, "shape", kShapeKeys, d), &plan, d);
         });
       }},
      {{"class", Kind::kTables, "Classes of requests.", true},
       [&](const TableReader& top, Diagnostics* d) {
         top.Tables("class", [&](const toml::table& table, Position) {
           ReadClass(TableReader(table, "class", kClassKeys, d), &plan, d);
         });
       }},
      {{"tenant", Kind::kTables, "Tenants; without them requests name none."},
       [&](const TableReader& top, Diagnostics* d) {
         top.Tables("tenant", [&](const toml::table& table, Position) {
           const TableReader reader(table, "tenant", kTenantKeys, d);
           const auto name = reader.Text("name");
           const auto weight = reader.Number("weight", 0, 1e6);
           plan.tenants.push_back(name ? name->value : "");
           plan.mixture.tenants.push_back(weight ? weight->value : 1);
         });
       }},
      {{"objects", Kind::kTable, "What requests are about."},
       [&](const TableReader& top, Diagnostics* d) {
         const toml::table* table = top.Table("objects");
         if (!table) return;
         const TableReader reader(*table, "objects", kObjectKeys, d);
         if (const auto n = reader.Integer("count", 1, kMostKeys))
           plan.mixture.keys = static_cast<std::uint32_t>(n->value);
         if (const auto zipf = reader.Number("zipf", 0, 10)) plan.mixture.zipf = zipf->value;
       }},
  };
  if (!operator_file::ReadDocument(text, sections, diagnostics)) return std::nullopt;
  // What no single key is to blame for.
  if (const std::string wrong = Wrong(plan.mixture); !wrong.empty()) diagnostics->Add({}, "plan", wrong);
  if (!diagnostics->ok()) return std::nullopt;
  return plan;
}

}  // namespace kestrelline::load
