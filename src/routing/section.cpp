// SPDX-License-Identifier: Apache-2.0
#include "routing/section.h"

#include <algorithm>
#include <array>

namespace kestrelline::routing {
namespace {

using operator_file::Diagnostics;
using operator_file::Key;
using operator_file::Kind;
using operator_file::Section;
using operator_file::TableReader;

constexpr std::int64_t kMaxInFlight = 100000;
constexpr std::int64_t kMaxAtLeast = 1000;
constexpr std::int64_t kMaxAttemptsInFile = 255;
constexpr Duration kMinWindow{100};

constexpr std::array kLimitKeys{
    Key{"attempt_timeout", Kind::kDuration, "How long one attempt may take."},
    Key{"patience", Kind::kDuration,
        "How long the request may take in all; at most the deadline of its class."},
    Key{"max_attempts", Kind::kInteger,
        "Maximum number of attempts, including the first; at most that of the platform."},
    Key{"pause", Kind::kDurationOrZero,
        "The pause before another attempt, reduced by a random part of up to a quarter."},
    Key{"second_copy_after", Kind::kDuration,
        "After this time without a response, a second copy is sent to another server; for classes that are "
        "safe to repeat, if the platform allows it."},
    Key{"retry_on", Kind::kTexts,
        "Conditions for another attempt: refused, connect, error, reset, timeout; [] for none."},
    Key{"retry_budgets", Kind::kTexts,
        "The budgets that retries draw on; the first that allows a retry is charged."},
    Key{"max_in_flight", Kind::kInteger,
        "Maximum number of requests in flight at this proxy; further ones are refused at once."},
    Key{"affinity", Kind::kText,
        "key: requests with the same key go to the same server at all proxies; or none."},
    Key{"load_bound", Kind::kNumber,
        "With affinity, the maximum load of a server relative to its even share; default 1.25."},
    Key{"claim", Kind::kText,
        "Whether other proxies are told of a keyed request before it is sent: none, tell, or wait K to wait "
        "for K acknowledgements; needs [replica]."},
};
constexpr std::array kRouteOnlyKeys{
    Key{"name", Kind::kText, "The name of the route, unique in the file; counters are kept by name.", true},
    Key{"match", Kind::kTable,
        "The conditions under which the route applies; without them it applies to all requests."},
};
constexpr auto kRouteKeys = [] {
  std::array<Key, kLimitKeys.size() + kRouteOnlyKeys.size()> all{};
  std::copy(kRouteOnlyKeys.begin(), kRouteOnlyKeys.end(), all.begin());
  std::copy(kLimitKeys.begin(), kLimitKeys.end(), all.begin() + kRouteOnlyKeys.size());
  return all;
}();
constexpr std::array kMatchKeys{
    Key{"class", Kind::kTexts, "The class of the request is one of these."},
    Key{"tenant", Kind::kTexts, "The tenant of the request is one of these."},
    Key{"method", Kind::kTexts, "The method of the request is one of these: GET, POST."},
    Key{"path_prefix", Kind::kText, "The path of the request begins with these segments."},
    Key{"header", Kind::kTable, "Each of these headers occurs once and has exactly this value."},
    Key{"tag", Kind::kText, "A plug-in set this route tag."},
    Key{"zone", Kind::kTexts, "The proxy is in one of these zones."},
};
constexpr std::array kBudgetKeys{
    Key{"share", Kind::kPercentage, "Retries as a share of first attempts over the window.", true},
    Key{"window", Kind::kDuration, "Length of the window; default 10s."},
    Key{"at_least", Kind::kInteger,
        "Retries per window that are allowed whatever the number of first attempts; default 0."},
};
constexpr std::array kTables{
    DescribedTable{"defaults", kLimitKeys},     DescribedTable{"class.NAME", kLimitKeys},
    DescribedTable{"budget.NAME", kBudgetKeys}, DescribedTable{"route", kRouteKeys},
    DescribedTable{"route.match", kMatchKeys},
};

LimitsSpec ReadLimits(const TableReader& table) {
  LimitsSpec limits;
  limits.attempt_timeout = table.Duration("attempt_timeout");
  limits.patience = table.Duration("patience");
  limits.pause = table.Duration("pause");
  limits.second_copy_after = table.Duration("second_copy_after");
  limits.max_attempts = table.Integer("max_attempts", 1, kMaxAttemptsInFile);
  limits.max_in_flight = table.Integer("max_in_flight", 1, kMaxInFlight);
  limits.affinity = table.Text("affinity");
  limits.load_bound = table.Number("load_bound", 1.1, 100);
  limits.claim = table.Text("claim");
  limits.retry_on = table.Texts("retry_on");
  limits.retry_budgets = table.Texts("retry_budgets");
  return limits;
}

MatchSpec ReadMatch(const toml::table& table, Diagnostics* diagnostics) {
  const TableReader reader(table, "match", kMatchKeys, diagnostics);
  MatchSpec match;
  match.classes = reader.Texts("class");
  match.tenants = reader.Texts("tenant");
  match.methods = reader.Texts("method");
  match.zones = reader.Texts("zone");
  match.path_prefix = reader.Text("path_prefix");
  match.tag = reader.Text("tag");
  reader.ForEachText("header", [&](const Located<std::string>& name, const Located<std::string>& value) {
    match.headers.emplace_back(name, value);
  });
  return match;
}

void ReadRoute(const toml::table& table, Position at, Spec* spec, Diagnostics* diagnostics) {
  const TableReader reader(table, "route", kRouteKeys, diagnostics);
  RouteSpec route;
  if (auto name = reader.Text("name")) route.name = std::move(*name);
  route.name.at = at;
  if (const toml::table* match = reader.Table("match")) route.match = ReadMatch(*match, diagnostics);
  route.limits = ReadLimits(reader);
  spec->routes.push_back(std::move(route));
}

void ReadBudget(const Located<std::string>& name, const toml::table& table, Spec* spec,
                Diagnostics* diagnostics) {
  const TableReader reader(table, "budget." + name.value, kBudgetKeys, diagnostics);
  BudgetSpec budget;
  budget.name = name;
  if (const auto share = reader.Percentage("share")) budget.share = share->value;
  if (const auto window = reader.Duration("window")) {
    budget.window = window->value;
    if (window->value < kMinWindow)
      diagnostics->Add(window->at, "range",
                       "a window of " + operator_file::FormatDuration(window->value) + "; " +
                           operator_file::FormatDuration(kMinWindow) + " or more is accepted");
  }
  if (const auto at_least = reader.Integer("at_least", 0, kMaxAtLeast)) budget.at_least = at_least->value;
  spec->budgets.push_back(std::move(budget));
}

}  // namespace

std::span<const DescribedTable> DescribedTables() { return kTables; }

std::vector<Section> Sections(Spec* spec) {
  return {
      {{"defaults", Kind::kTable, "Limits of routes and classes that set none of their own."},
       [spec](const TableReader& top, Diagnostics* diagnostics) {
         if (const toml::table* table = top.Table("defaults"))
           spec->defaults = ReadLimits(TableReader(*table, "defaults", kLimitKeys, diagnostics));
       }},
      {{"class", Kind::kTable, "Limits of a class: [class.NAME]."},
       [spec](const TableReader& top, Diagnostics* diagnostics) {
         top.ForEachTable("class", [&](const Located<std::string>& name, const toml::table& table) {
           const TableReader reader(table, "class." + name.value, kLimitKeys, diagnostics);
           spec->classes.push_back({name, ReadLimits(reader)});
         });
       }},
      {{"budget", Kind::kTable, "A retry budget: [budget.NAME]."},
       [spec](const TableReader& top, Diagnostics* diagnostics) {
         top.ForEachTable("budget", [&](const Located<std::string>& name, const toml::table& table) {
           ReadBudget(name, table, spec, diagnostics);
         });
       }},
      {{"route", Kind::kTables, "Routes: [[route]]. The first that matches applies."},
       [spec](const TableReader& top, Diagnostics* diagnostics) {
         top.Tables("route",
                    [&](const toml::table& table, Position at) { ReadRoute(table, at, spec, diagnostics); });
       }},
  };
}

}  // namespace kestrelline::routing
