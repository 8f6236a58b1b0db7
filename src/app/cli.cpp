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
using operator_file::FormatDuration;
using routing::EffectiveLimits;
using routing::Origin;
using routing::ResolvedLimit;
using routing::Route;
using routing::RouteTable;

void Print(const Diagnostics& diagnostics, std::ostream& err) {
  for (const std::string& line : diagnostics.Lines()) err << line << '\n';
}

// Loads the platform configuration from `path`. Ignores environment variables: those of the operator's shell
// are not those of a proxy.
std::optional<kestrelline::proxy::Config> LoadPlatformConfig(const std::string& path, std::ostream& err) {
  try {
    return kestrelline::proxy::LoadConfig([&](const char* name) -> const char* {
      return std::string_view(name) == "ROUTER_CONFIG" ? path.c_str() : nullptr;
    });
  } catch (const kestrelline::proxy::ConfigError& error) {
    err << path << ": [config] " << error.what() << '\n';
    return std::nullopt;
  }
}

std::string JoinNames(const std::vector<int>& indices, const std::vector<std::string>& names) {
  std::string text;
  for (const int index : indices) text += (text.empty() ? "" : ",") + names[static_cast<std::size_t>(index)];
  return text;
}

std::string MatchText(const Route& route, const OperatorConfig& config) {
  std::string text;
  const auto add = [&](const std::string& part) { text += (text.empty() ? "" : " ") + part; };
  if (!route.any_class) add("class=" + JoinNames(route.classes, config.site.classes));
  if (!route.any_tenant) add("tenant=" + JoinNames(route.tenants, config.site.tenants));
  if (route.depth > 0) add("path=" + route.prefix);
  for (const Route::Header& header : route.headers) {
    const std::string& name = config.routes->header_names()[header.name];
    add((name == routing::kTagHeader ? "tag" : name) + '=' + header.value);
  }
  if (!route.zones.empty()) add("zone=" + JoinNames(route.zones, config.site.zones));
  return text.empty() ? "any" : text;
}

std::string LimitsText(const kestrelline::RouteLimits* limits) {
  if (!limits) return "the platform's";
  std::string text;
  const auto add = [&](const std::string& part) { text += (text.empty() ? "" : " ") + part; };
  if (limits->max_attempts > 0) add(std::to_string(limits->max_attempts) + "x");
  if (limits->attempt_timeout.count() > 0) add("timeout=" + FormatDuration(limits->attempt_timeout));
  if (limits->pause.count() > 0) add("pause=" + FormatDuration(limits->pause));
  if (limits->patience.count() > 0) add("patience=" + FormatDuration(limits->patience));
  if (limits->second_copy_after.count() > 0) add("copy=" + FormatDuration(limits->second_copy_after));
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

// The request that the arguments of explain describe.
class Request : public routing::RequestView {
 public:
  int request_class() const override { return class_; }
  int tenant() const override { return tenant_; }
  std::string_view target() const override { return path_; }
  std::string_view Header(std::string_view name) const override {
    const auto header = headers_.find(std::string(name));
    return header == headers_.end() ? std::string_view() : header->second;
  }

  // False, with the reason written to `err`, if such a request cannot exist.
  bool Read(const Command& command, const routing::Site& site, std::ostream& err) {
    const auto index_of = [](const std::vector<std::string>& names, const std::string& name) {
      const auto position = std::find(names.begin(), names.end(), name);
      return position == names.end() ? -1 : static_cast<int>(position - names.begin());
    };
    class_ = index_of(site.classes, command.request_class);
    if (class_ < 0) {
      err << "--class: the platform has no class '" << command.request_class << "'\n";
      return false;
    }
    if (!command.tenant.empty() && (tenant_ = index_of(site.tenants, command.tenant)) < 0) {
      err << "--tenant: the platform has no tenant '" << command.tenant << "'\n";
      return false;
    }
    path_ = command.path.empty() ? "/" + command.request_class : command.path;
    const std::string class_path = "/" + command.request_class;
    if (!path_.starts_with(class_path) ||
        (path_.size() > class_path.size() && path_[class_path.size()] != '/' &&
         path_[class_path.size()] != '?')) {
      err << "--path: paths of class " << command.request_class << " begin with " << class_path << '\n';
      return false;
    }
    for (const std::string& header : command.headers) {
      const std::size_t equals = header.find('=');
      if (equals == std::string::npos || equals == 0) {
        err << "--header: '" << header << "' is not of the form NAME=VALUE\n";
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

// Where a limit comes from: the platform, or a line of the operator's file.
std::string OriginText(Origin origin, operator_file::Position at, const Command& command) {
  if (origin == Origin::kPlatform) return "the platform";
  const std::string place = command.operator_file + ':' + std::to_string(at.line);
  return place + (origin == Origin::kRoute   ? " (route)"
                  : origin == Origin::kClass ? " (class." + command.request_class + ")"
                                             : " (defaults)");
}

std::string NamesText(const ResolvedLimit<routing::Names>& chosen, const std::string& fallback) {
  if (!chosen.value) return fallback;
  std::string text;
  for (const auto& name : *chosen.value) text += (text.empty() ? "" : ", ") + name.value;
  return text.empty() ? "none" : text;
}

}  // namespace

Command ParseArguments(int argc, char** argv) {
  Command command;
  CLI::App app{
      "A load-balancing proxy. Without a subcommand it runs the proxy with the configuration in "
      "ROUTER_CONFIG."};
  app.add_option("--operator", command.operator_file, "Operator file with routes and their limits");
  app.add_option(
      "--plugin-worker", command.plugin_worker,
      "Plug-in worker executable; default: kestrelline-plugin-worker in the directory of this program");
  app.require_subcommand(0, 1);

  auto* check = app.add_subcommand("check", "Validates an operator file and prints its routes");
  auto* explain =
      app.add_subcommand("explain", "Prints the route that a request takes and the origin of its limits");
  for (auto* sub : {check, explain}) {
    sub->add_option("FILE", command.operator_file, "Operator file")->required();
    sub->add_option("--config", command.config_file, "Platform configuration file, as in ROUTER_CONFIG")
        ->required();
  }
  explain->add_option("--class", command.request_class, "Class of the request")->required();
  explain->add_option("--tenant", command.tenant, "Tenant of the request");
  explain->add_option("--path", command.path, "Path of the request; default: /CLASS");
  explain->add_option("--header", command.headers, "Header of the request as NAME=VALUE; may be repeated")
      ->expected(1)
      ->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
  auto* peers = app.add_subcommand("peers", "Prints a running proxy's view of its peers");
  peers
      ->add_option("ADDRESS", command.address,
                   "Management address (mgmt) of the proxy, such as 127.0.0.1:9000")
      ->required();
  auto* json = peers->add_flag("--json", command.json, "Print one JSON object");
  auto* replica = app.add_subcommand("replica", "Prints or compares the replicated state of running proxies");
  replica
      ->add_option("ADDRESS", command.address,
                   "Management address (mgmt) of the proxy, such as 127.0.0.1:9000")
      ->required();
  replica->add_option("WHAT", command.replica, "show (default), digest, or diff with the proxy at OTHER")
      ->check(CLI::IsMember({"show", "digest", "diff"}));
  replica->add_option("OTHER", command.other_address, "Management address of the second proxy, for diff");
  replica->add_flag("--json", command.json, "Print one JSON object");
  peers->add_flag("--watch", command.watch, "Print again after each change, until interrupted")
      ->excludes(json);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    command.action = Command::Action::kExit;
    command.exit_code = app.exit(error, std::cout, std::cerr) == 0 ? 0 : 2;
    return command;
  }
  if (command.plugin_worker.empty()) command.plugin_worker = DefaultPluginWorker();
  if (check->parsed()) command.action = Command::Action::kCheck;
  if (explain->parsed()) command.action = Command::Action::kExplain;
  if (peers->parsed()) command.action = Command::Action::kPeers;
  if (replica->parsed()) {
    command.action = Command::Action::kReplica;
    if ((command.replica == "diff") == command.other_address.empty()) {
      std::cerr << "replica: OTHER is required for diff and not allowed otherwise\n";
      command.action = Command::Action::kExit;
      command.exit_code = 2;
    }
  }
  return command;
}

int Check(const Command& command, std::ostream& out, std::ostream& err) {
  const auto platform = LoadPlatformConfig(command.config_file, err);
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
    for (std::size_t i = 0; i < route.classes.size(); ++i) {
      const std::string limits = LimitsText(route.limits[i].get());
      const bool differ = route.limits.size() > 1 && route.limits.front() != route.limits.back();
      if (!differ && i > 0) break;
      const std::string& name = config->site.classes[static_cast<std::size_t>(route.classes[i])];
      rows.push_back({i == 0 ? std::to_string(route.at.line) : "", i == 0 ? route.name : "",
                      i == 0 ? MatchText(route, *config) : "", (differ ? name + ": " : "") + limits});
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
  if (const auto count = config->plugins->plugins().size(); count > 0)
    out << ", " << count << (count == 1 ? " plug-in" : " plug-ins");
  out << ": accepted\n";
  return 0;
}

int Explain(const Command& command, std::ostream& out, std::ostream& err) {
  const auto platform = LoadPlatformConfig(command.config_file, err);
  if (!platform) return 1;
  Diagnostics diagnostics(command.operator_file);
  const auto config = LoadOperatorFile(command.operator_file, *platform, Keep::kSpec, &diagnostics);
  if (!config) {
    Print(diagnostics, err);
    return 1;
  }
  Request request;
  if (!request.Read(command, config->site, err)) return 1;

  const auto match = config->routes->Find(request);
  const routing::RouteSpec* route = nullptr;
  if (match.route != RouteTable::kNone) {
    route = &config->spec.routes[match.route];
    out << "route      " << route->name.value << "  " << command.operator_file << ':' << route->name.at.line
        << '\n';
  } else {
    out << "route      none matches: the class's limits hold\n";
  }
  const auto class_index = static_cast<std::size_t>(request.request_class());
  const routing::LimitsResolver book(config->spec, config->site, &diagnostics);
  const EffectiveLimits limits = book.Resolve(route, class_index);
  const auto& settings = config->site.settings;
  const Duration deadline = settings.classes[class_index].deadline;
  const auto line = [&](const char* name, const std::string& value, const auto& chosen) {
    out << std::left << std::setw(18) << name << "  " << std::setw(28) << value << "  "
        << OriginText(chosen.origin, chosen.at, command) << '\n';
  };
  const auto time = [](const ResolvedLimit<Duration>& chosen, const std::string& fallback) {
    return chosen.value ? FormatDuration(*chosen.value) : fallback;
  };
  const auto integer = [](const ResolvedLimit<std::int64_t>& chosen, const std::string& fallback) {
    return chosen.value ? std::to_string(*chosen.value) : fallback;
  };
  line("attempt_timeout", time(limits.attempt_timeout, "what is left"), limits.attempt_timeout);
  line("patience", time(limits.patience, FormatDuration(deadline)), limits.patience);
  line("max_attempts", integer(limits.max_attempts, std::to_string(settings.max_attempts)),
       limits.max_attempts);
  line("pause", time(limits.pause, "none"), limits.pause);
  line("second_copy_after", time(limits.second_copy_after, "never"), limits.second_copy_after);
  line("retry_on", NamesText(limits.retry_on, "all that the class allows"), limits.retry_on);
  line("retry_budgets", NamesText(limits.retry_budgets, "none"), limits.retry_budgets);
  line("max_in_flight", integer(limits.max_in_flight, "no limit"), limits.max_in_flight);
  line("affinity", limits.affinity.value ? *limits.affinity.value : "none", limits.affinity);
  std::ostringstream bound;
  bound << (limits.load_bound.value ? *limits.load_bound.value : routing::kLoadBound);
  line("load_bound", bound.str(), limits.load_bound);
  line("claim", limits.claim.value ? *limits.claim.value : "as [replica] says", limits.claim);
  return 0;
}

}  // namespace kestrelline::app
