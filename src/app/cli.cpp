// SPDX-License-Identifier: Apache-2.0
#include "app/cli.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>
#include <map>

#include "app/plugins.h"
#include "operator/values.h"
#include "routing/limits.h"

namespace kestrelline::app {
namespace {

using operator_file::Diagnostics;
using operator_file::Shown;
using routing::EffectiveLimits;
using routing::Origin;
using routing::ResolvedLimit;
using routing::Route;
using routing::RouteTable;

void Print(const Diagnostics& diagnostics, std::ostream& err) {
  for (const std::string& line : diagnostics.Lines()) err << line << '\n';
}

// The platform's configuration by its path alone: the environment is that of a shell, not of a proxy.
std::optional<kestrelline::proxy::Config> Platform(const std::string& path, std::ostream& err) {
  try {
    return kestrelline::proxy::LoadConfig([&](const char* name) -> const char* {
      return std::string_view(name) == "ROUTER_CONFIG" ? path.c_str() : nullptr;
    });
  } catch (const kestrelline::proxy::BadConfig& error) {
    err << path << ": [config] " << error.what() << '\n';
    return std::nullopt;
  }
}

std::string Joined(const std::vector<int>& numbers, const std::vector<std::string>& names) {
  std::string text;
  for (const int n : numbers) text += (text.empty() ? "" : ",") + names[static_cast<std::size_t>(n)];
  return text;
}

std::string MatchText(const Route& route, const OperatorConfig& config) {
  std::string text;
  const auto add = [&](const std::string& part) { text += (text.empty() ? "" : " ") + part; };
  if (!route.any_class) add("class=" + Joined(route.classes, config.site.classes));
  if (!route.any_tenant) add("tenant=" + Joined(route.tenants, config.site.tenants));
  if (route.depth > 0) add("path=" + route.prefix);
  for (const Route::Header& h : route.headers) {
    const std::string& name = config.routes->header_names()[h.name];
    add((name == routing::kTagHeader ? "tag" : name) + '=' + h.value);
  }
  if (!route.zones.empty()) add("zone=" + Joined(route.zones, config.site.zones));
  return text.empty() ? "any" : text;
}

std::string LimitsText(const kestrelline::RouteLimits* limits) {
  if (!limits) return "the platform's";
  std::string text;
  const auto add = [&](const std::string& part) { text += (text.empty() ? "" : " ") + part; };
  if (limits->max_attempts > 0) add(std::to_string(limits->max_attempts) + "x");
  if (limits->attempt_timeout.count() > 0) add("timeout=" + Shown(limits->attempt_timeout));
  if (limits->pause.count() > 0) add("pause=" + Shown(limits->pause));
  if (limits->patience.count() > 0) add("patience=" + Shown(limits->patience));
  if (limits->second_copy_after.count() > 0) add("copy=" + Shown(limits->second_copy_after));
  if (limits->max_in_flight > 0) add("in_flight=" + std::to_string(limits->max_in_flight));
  if (limits->affinity_bound > 0) {
    std::ostringstream bound;
    bound << limits->affinity_bound;
    add("affinity=key,bound=" + bound.str());
  }
  if (limits->claim)
    add(*limits->claim < 0    ? std::string("claim=none")
        : *limits->claim == 0 ? "claim=tell"
                              : "claim=wait" + std::to_string(*limits->claim));
  if (!limits->budgets.empty()) add("budgets=" + std::to_string(limits->budgets.size()));
  return text.empty() ? "the platform's" : text;
}

class Request : public routing::RequestView {
 public:
  int request_class() const override { return class_; }
  int tenant() const override { return tenant_; }
  std::string_view target() const override { return path_; }
  std::string_view Header(std::string_view name) const override {
    const auto found = headers_.find(std::string(name));
    return found == headers_.end() ? std::string_view() : found->second;
  }

  // False, and why in `err`, if there can be no such request.
  bool Read(const Command& command, const routing::Site& site, std::ostream& err) {
    const auto of = [](const std::vector<std::string>& names, const std::string& name) {
      const auto found = std::find(names.begin(), names.end(), name);
      return found == names.end() ? -1 : static_cast<int>(found - names.begin());
    };
    class_ = of(site.classes, command.request_class);
    if (class_ < 0) {
      err << "--class: the platform has no class '" << command.request_class << "'\n";
      return false;
    }
    if (!command.tenant.empty() && (tenant_ = of(site.tenants, command.tenant)) < 0) {
      err << "--tenant: the platform has no tenant '" << command.tenant << "'\n";
      return false;
    }
    path_ = command.path.empty() ? "/" + command.request_class : command.path;
    const std::string first = "/" + command.request_class;
    if (!path_.starts_with(first) ||
        (path_.size() > first.size() && path_[first.size()] != '/' && path_[first.size()] != '?')) {
      err << "--path: paths of class " << command.request_class << " begin with " << first << '\n';
      return false;
    }
    for (const std::string& header : command.headers) {
      const std::size_t equals = header.find('=');
      if (equals == std::string::npos || equals == 0) {
        err << "--header: '" << header << "' is no NAME=VALUE\n";
        return false;
      }
      std::string name = header.substr(0, equals);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return c >= 'A' && c <= 'Z' ? c + 32 : c; });
      headers_[name] = header.substr(equals + 1);
    }
    return true;
  }

 private:
  int class_ = 0, tenant_ = -1;
  std::string path_;
  std::map<std::string, std::string> headers_;
};

std::string From(Origin origin, operator_file::Position at, const Command& command) {
  if (origin == Origin::kPlatform) return "the platform";
  const std::string place = command.operator_file + ':' + std::to_string(at.line);
  return place + (origin == Origin::kRoute   ? " (route)"
                  : origin == Origin::kClass ? " (class." + command.request_class + ")"
                                             : " (defaults)");
}

std::string Words(const ResolvedLimit<routing::Names>& chosen, const std::string& otherwise) {
  if (!chosen.value) return otherwise;
  std::string text;
  for (const auto& word : *chosen.value) text += (text.empty() ? "" : ", ") + word.value;
  return text.empty() ? "none" : text;
}

}  // namespace

Command ParseArguments(int argc, char** argv) {
  Command command;
  CLI::App app{"A load-balancing proxy. Without a subcommand it serves, as ROUTER_CONFIG says."};
  app.add_option("--operator", command.operator_file, "The operator's file: routes and their limits");
  app.add_option("--plugin-worker", command.plugin_worker,
                 "The program that plug-ins run in; kestrelline-plugin-worker beside this one without it");
  app.require_subcommand(0, 1);

  auto* check = app.add_subcommand("check", "Checks an operator's file and prints its routes");
  auto* explain =
      app.add_subcommand("explain", "Tells which route a request takes and where its limits come from");
  for (auto* sub : {check, explain}) {
    sub->add_option("FILE", command.operator_file, "The operator's file")->required();
    sub->add_option("--config", command.config_file, "The platform's configuration, as in ROUTER_CONFIG")
        ->required();
  }
  explain->add_option("--class", command.request_class, "The request's class")->required();
  explain->add_option("--tenant", command.tenant, "Its tenant");
  explain->add_option("--path", command.path, "Its path; /CLASS without it");
  explain->add_option("--header", command.headers, "A header of it, NAME=VALUE; may be repeated")
      ->expected(1)
      ->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
  auto* peers = app.add_subcommand("peers", "Tells what a proxy that runs knows of the others");
  peers->add_option("ADDRESS", command.door, "Its address for operators (mgmt), as 127.0.0.1:9000")
      ->required();
  auto* json = peers->add_flag("--json", command.json, "One JSON object");
  auto* replica = app.add_subcommand("replica", "Tells what a proxy that runs shares with the others");
  replica->add_option("ADDRESS", command.door, "Its address for operators (mgmt), as 127.0.0.1:9000")
      ->required();
  replica->add_option("WHAT", command.replica, "show (without it), digest, or diff with another's ADDRESS")
      ->check(CLI::IsMember({"show", "digest", "diff"}));
  replica->add_option("OTHER", command.other_door, "The other's address, for diff");
  replica->add_flag("--json", command.json, "One JSON object");
  peers->add_flag("--watch", command.watch, "Again with each change, until it is interrupted")
      ->excludes(json);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    command.what = Command::What::kExit;
    command.exit_code = app.exit(error, std::cout, std::cerr) == 0 ? 0 : 2;
    return command;
  }
  if (command.plugin_worker.empty()) command.plugin_worker = DefaultPluginWorker();
  if (check->parsed()) command.what = Command::What::kCheck;
  if (explain->parsed()) command.what = Command::What::kExplain;
  if (peers->parsed()) command.what = Command::What::kPeers;
  if (replica->parsed()) {
    command.what = Command::What::kReplica;
    if ((command.replica == "diff") == command.other_door.empty()) {
      std::cerr << "diff takes a second ADDRESS, and nothing else does\n";
      command.what = Command::What::kExit;
      command.exit_code = 2;
    }
  }
  return command;
}

int Check(const Command& command, std::ostream& out, std::ostream& err) {
  const auto platform = Platform(command.config_file, err);
  if (!platform) return 1;
  Diagnostics diagnostics(command.operator_file);
  const auto config = LoadOperatorFile(command.operator_file, *platform, Keep::kOutcome, &diagnostics);
  if (!config) {
    Print(diagnostics, err);
    return 1;
  }
  if (!TryPlugins(*config, command.plugin_worker, &diagnostics)) {
    Print(diagnostics, err);
    return 1;
  }
  const auto& routes = config->routes->routes();
  std::vector<std::array<std::string, 4>> rows{{"line", "route", "matches", "limits"}};
  for (const Route& route : routes) {
    for (std::size_t c = 0; c < route.classes.size(); ++c) {
      const std::string limits = LimitsText(route.limits[c].get());
      const bool differ = route.limits.size() > 1 && route.limits.front() != route.limits.back();
      if (!differ && c > 0) break;
      const std::string& name = config->site.classes[static_cast<std::size_t>(route.classes[c])];
      rows.push_back({c == 0 ? std::to_string(route.at.line) : "", c == 0 ? route.name : "",
                      c == 0 ? MatchText(route, *config) : "", (differ ? name + ": " : "") + limits});
    }
  }
  std::array<std::size_t, 4> widths{};
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : rows) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i)
      out << std::left << std::setw(static_cast<int>(widths[i])) << row[i] << "  ";
    out << row.back() << '\n';
  }
  out << routes.size() << (routes.size() == 1 ? " route" : " routes") << ", "
      << config->routes->combinations() << " look-ups at most for a request";
  if (const auto n = config->plugins->plugins().size(); n > 0)
    out << ", " << n << (n == 1 ? " plug-in" : " plug-ins");
  out << ": accepted\n";
  return 0;
}

int Explain(const Command& command, std::ostream& out, std::ostream& err) {
  const auto platform = Platform(command.config_file, err);
  if (!platform) return 1;
  Diagnostics diagnostics(command.operator_file);
  const auto config = LoadOperatorFile(command.operator_file, *platform, Keep::kWording, &diagnostics);
  if (!config) {
    Print(diagnostics, err);
    return 1;
  }
  Request request;
  if (!request.Read(command, config->site, err)) return 1;

  const auto found = config->routes->Find(request);
  const routing::RouteSpec* route = nullptr;
  if (found.route != RouteTable::kNone) {
    route = &config->spec.routes[found.route];
    out << "route      " << route->name.value << "  " << command.operator_file << ':' << route->name.at.line
        << '\n';
  } else {
    out << "route      none matches: the class's limits hold\n";
  }
  const auto cls = static_cast<std::size_t>(request.request_class());
  const routing::LimitsResolver book(config->spec, config->site, &diagnostics);
  const EffectiveLimits e = book.Resolve(route, cls);
  const auto& settings = config->site.settings;
  const Duration deadline = settings.classes[cls].deadline;
  const auto line = [&](const char* name, const std::string& value, const auto& chosen) {
    out << std::left << std::setw(18) << name << "  " << std::setw(28) << value << "  "
        << From(chosen.origin, chosen.at, command) << '\n';
  };
  const auto time = [](const ResolvedLimit<Duration>& chosen, const std::string& otherwise) {
    return chosen.value ? Shown(*chosen.value) : otherwise;
  };
  const auto whole = [](const ResolvedLimit<std::int64_t>& chosen, const std::string& otherwise) {
    return chosen.value ? std::to_string(*chosen.value) : otherwise;
  };
  line("attempt_timeout", time(e.attempt_timeout, "what is left"), e.attempt_timeout);
  line("patience", time(e.patience, Shown(deadline)), e.patience);
  line("max_attempts", whole(e.max_attempts, std::to_string(settings.max_attempts)), e.max_attempts);
  line("pause", time(e.pause, "none"), e.pause);
  line("second_copy_after", time(e.second_copy_after, "never"), e.second_copy_after);
  line("retry_on", Words(e.retry_on, "all that the class allows"), e.retry_on);
  line("retry_budgets", Words(e.retry_budgets, "none"), e.retry_budgets);
  line("max_in_flight", whole(e.max_in_flight, "no limit"), e.max_in_flight);
  line("affinity", e.affinity.value ? *e.affinity.value : "none", e.affinity);
  std::ostringstream bound;
  bound << (e.load_bound.value ? *e.load_bound.value : routing::kLoadBound);
  line("load_bound", bound.str(), e.load_bound);
  line("claim", e.claim.value ? *e.claim.value : "as [replica] says", e.claim);
  return 0;
}

}  // namespace kestrelline::app
