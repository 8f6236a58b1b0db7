// SPDX-License-Identifier: Apache-2.0
#include "standin/site.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <numbers>
#include <sstream>

#include "hashing/mix.h"
#include "load/plan.h"

namespace kestrelline::standin {
namespace {

using hashing::Mixed;
using operator_file::Diagnostics;
using operator_file::Key;
using operator_file::Kind;
using operator_file::Position;
using operator_file::Section;
using operator_file::TableReader;

constexpr std::array kSiteKeys{
    Key{"seed", Kind::kInteger, "Of work and of faults; 1 without it."},
    Key{"proxies", Kind::kInteger, "How many proxies there are; 1 without it."},
    Key{"zones", Kind::kTexts, "Names; converters and proxies are dealt out to them.", true},
    Key{"cold_from", Kind::kPercentage, "What a converter that has just started can do; 16% without it."},
    Key{"warm_up", Kind::kDuration, "Until it can do all; 24s without it."},
    Key{"fall_multiple", Kind::kNumber, "So many times its capacity pushes a cold one over; 2.5 without it."},
    Key{"overload_for", Kind::kDuration, "If it lasts so long; 3s without it."},
    Key{"load_reports", Kind::kText, "on: answers carry Srv-Load; off without it."},
    Key{"peers", Kind::kText,
        "on: the proxies know each other, by a network that has faults; off without it."},
    Key{"replica", Kind::kText,
        "With peers: the lines of [replica] in each proxy's file; without it there is none."},
    Key{"concert", Kind::kText, "The same of [concert]."},
    Key{"partition", Kind::kText, "With peers: tables of [[partition]], with their heads."},
};
constexpr std::array kClassKeys{
    Key{"name", Kind::kText, "The class.", true},
    Key{"effect", Kind::kText, "safe, keyed or unsafe.", true},
    Key{"work", Kind::kDuration, "The mean, of one core; 10ms without it."},
    Key{"spread", Kind::kNumber, "The sigma of its logarithm; 0.5 without it."},
    Key{"deadline", Kind::kDuration, "After which clients go; 1s without it."},
    Key{"window", Kind::kDuration, "Keyed: for how long repeats are dropped; 10s without it."},
    Key{"dropped_by", Kind::kText, "Keyed: cell (without it) or all."},
    Key{"answer_bytes", Kind::kInteger, "Of its answers; 200 without it."},
};
constexpr std::array kConverterKeys{
    Key{"count", Kind::kInteger, "How many of these; 1 without it."},
    Key{"kind", Kind::kText, "Their kind; type-a without it."},
    Key{"cells", Kind::kInteger, "They are dealt out to so many cells; 1 without it."},
    Key{"cores", Kind::kInteger, "2 without it."},
    Key{"speed", Kind::kNumber, "Of a core; 1 without it."},
    Key{"queue", Kind::kInteger, "What waits for a core; more is declined; 64 without it."},
    Key{"connections", Kind::kInteger, "More are declined; 256 without it."},
};
constexpr std::array kFaultKeys{
    Key{"at", Kind::kDurationOrZero, "From the start of the schedule.", true},
    Key{"kind", Kind::kText, "Which fault.", true},
    Key{"who", Kind::kText, "An id, cell:N, zone:NAME, or a share such as 25%, drawn by the seed."},
    Key{"for", Kind::kDuration, "How long it lasts.", true},
    Key{"amount", Kind::kNumber, "What it means depends on the fault."},
};

void ReadHead(const TableReader& top, SiteSpec* site, const SiteBounds& bounds, Diagnostics* diagnostics) {
  const toml::table* table = top.Table("site");
  if (!table) return;
  const TableReader reader(*table, "site", kSiteKeys, diagnostics);
  if (const auto seed = reader.Integer("seed", 0, INT64_MAX))
    site->seed = static_cast<std::uint64_t>(seed->value);
  const auto proxies = reader.Integer("proxies", 1, bounds.proxies);
  site->proxies = proxies ? static_cast<int>(proxies->value) : 1;
  if (const auto zones = reader.Texts("zones"))
    for (const auto& zone : zones->value) site->zones.push_back(zone.value);
  if (const auto share = reader.Percentage("cold_from")) site->cold_from = share->value;
  if (const auto time = reader.Duration("warm_up")) site->warm_up = load::InMicroseconds(time->value);
  if (const auto n = reader.Number("fall_multiple", 1, 1000)) site->fall_multiple = n->value;
  if (const auto time = reader.Duration("overload_for"))
    site->overload_for = load::InMicroseconds(time->value);
  const auto on = [&](const char* key, bool* into) {
    const auto text = reader.Text(key);
    if (!text) return;
    *into = text->value == "on";
    if (text->value != "on" && text->value != "off")
      diagnostics->Add(text->at, "site", "'" + text->value + "' is neither on nor off");
  };
  on("load_reports", &site->load_reports);
  on("peers", &site->peers);
  if (const auto text = reader.Text("replica")) site->replica = text->value;
  if (const auto text = reader.Text("concert")) site->concert = text->value;
  if (const auto text = reader.Text("partition")) site->partition = text->value;
}

void ReadClass(const TableReader& reader, SiteSpec* site, Diagnostics* diagnostics) {
  SiteClass c;
  if (const auto name = reader.Text("name")) c.name = name->value;
  c.effect = load::ReadEffect(reader, diagnostics);
  if (const auto work = reader.Duration("work")) c.work_s = work->value.count() / 1000;
  if (const auto spread = reader.Number("spread", 0, 3)) c.spread = spread->value;
  if (const auto time = reader.Duration("deadline")) c.deadline = load::InMicroseconds(time->value);
  if (const auto time = reader.Duration("window")) c.window = load::InMicroseconds(time->value);
  if (const auto by = reader.Text("dropped_by")) {
    c.all_drop = by->value == "all";
    if (by->value != "all" && by->value != "cell")
      diagnostics->Add(by->at, "class", "'" + by->value + "' is neither cell nor all");
  }
  if (const auto n = reader.Integer("answer_bytes", 0, 60000))
    c.answer_bytes = static_cast<std::uint32_t>(n->value);
  site->classes.push_back(std::move(c));
}

void ReadConverters(const TableReader& reader, SiteSpec* site, const SiteBounds& bounds,
                    Diagnostics* diagnostics) {
  const auto whole = [&](std::string_view key, std::int64_t otherwise, std::int64_t most) {
    const auto value = reader.Integer(key, 1, most);
    return value ? value->value : otherwise;
  };
  const auto count = whole("count", 1, static_cast<std::int64_t>(bounds.converters));
  if (site->converters.size() + static_cast<std::size_t>(count) > bounds.converters) {
    diagnostics->Add(reader.at("count"), "converters",
                     "a site has at most " + std::to_string(bounds.converters) + " converters");
    return;
  }
  const auto cells = whole("cells", 1, 1000);
  const auto kind = reader.Text("kind");
  const auto speed = reader.Number("speed", 0.01, 1000);
  ConverterSpec c;
  c.kind = kind ? kind->value : "type-a";
  c.cores = static_cast<int>(whole("cores", c.cores, 1000));
  c.speed = speed ? speed->value : 1;
  c.queue = static_cast<int>(whole("queue", c.queue, 100000));
  c.connections = static_cast<int>(whole("connections", c.connections, 10000));
  for (std::int64_t i = 0; i < count; ++i) {
    const std::size_t n = site->converters.size();
    char id[16];
    std::snprintf(id, sizeof id, "s-%02zu", n);
    c.id = id;
    c.cell = static_cast<int>(i % cells);
    c.zone = site->zones.empty() ? "" : site->zones[n % site->zones.size()];
    site->converters.push_back(c);
  }
}

void ReadFault(const TableReader& reader, SiteSpec* site, Diagnostics* diagnostics) {
  const auto name = reader.Text("kind");
  const auto at = reader.Duration("at");
  const auto lasts = reader.Duration("for");
  if (!name || !at || !lasts) return;
  const FaultKind* kind = FindKind(name->value);
  if (!kind) {
    std::vector<std::string_view> names;
    for (const FaultKind& k : FaultKinds()) names.push_back(k.name);
    diagnostics->Add(name->at, "fault",
                     "there is no fault '" + name->value + "'; there are " + operator_file::JoinNames(names));
    return;
  }
  Fault fault;
  fault.kind = kind->kind;
  fault.at = load::InMicroseconds(at->value);
  fault.lasts = load::InMicroseconds(lasts->value);
  const auto who = reader.Text("who");
  if (who) fault.who = who->value;
  if (who.has_value() == (kind->target == Target::kDiscovery))
    diagnostics->Add(
        reader.at("who"), "fault",
        name->value + (who ? " has no 'who'" : " needs 'who': an id, cell:N, zone:NAME or a share"));
  const auto amount = reader.Number("amount", 0, 1e6);
  if (amount) fault.amount = amount->value;
  if (amount.has_value() == kind->amount.empty() || fault.amount < kind->least || fault.amount > kind->most) {
    std::ostringstream text;
    text << name->value;
    if (kind->amount.empty()) {
      text << " has no 'amount'";
    } else {
      text << " needs 'amount', " << kind->least << " to " << kind->most << ": " << kind->amount;
    }
    diagnostics->Add(reader.at("amount"), "fault", text.str());
  }
  site->faults.push_back(std::move(fault));
}

// What no single key is to blame for, and what needs the whole file.
void Check(const SiteSpec& site, Diagnostics* diagnostics) {
  if (site.zones.empty()) diagnostics->Add({}, "site", "there is no zone");
  if (site.classes.empty()) diagnostics->Add({}, "site", "there is no [[class]]");
  if (site.converters.empty()) diagnostics->Add({}, "site", "there are no [[converters]]");
  std::vector<Candidate> converters, proxies;
  for (const ConverterSpec& c : site.converters) converters.push_back({c.id, c.zone, c.cell});
  for (int i = 0; i < site.proxies; ++i) proxies.push_back({"n" + std::to_string(i), site.ZoneOf(i), 0});
  for (const Fault& fault : site.faults) {
    const FaultKind& kind = KindOf(fault.kind);
    if (kind.target == Target::kDiscovery) continue;
    if (kind.target == Target::kNetwork) {
      if (!site.peers)
        diagnostics->Add({}, "fault", std::string(kind.name) + " needs peers = \"on\" in [site]");
      if (Links(fault.who, proxies).empty())
        diagnostics->Add({}, "fault", std::string(kind.name) + ": there is no link '" + fault.who + "'");
      continue;
    }
    if (Victims(fault, kind.target == Target::kProxies ? proxies : converters, site.seed).empty())
      diagnostics->Add({}, "fault", std::string(kind.name) + ": there is no '" + fault.who + "'");
  }
}

}  // namespace

load::RuleFigures SiteSpec::Rules() const {
  load::RuleFigures rules;
  for (const SiteClass& c : classes) rules.classes.push_back({c.name, c.effect, c.all_drop, c.window});
  rules.fall_multiple = fall_multiple;
  rules.overload_for = overload_for;
  return rules;
}

std::optional<SiteSpec> ReadSite(std::string_view text, Diagnostics* diagnostics, SiteBounds bounds) {
  SiteSpec site;
  const auto each = [](std::string_view key, std::span<const Key> keys, SiteSpec* into, auto read) {
    return [=](const TableReader& top, Diagnostics* d) {
      top.Tables(key, [&](const toml::table& table, Position) {
        read(TableReader(table, std::string(key), keys, d), into, d);
      });
    };
  };
  const std::vector<Section> sections{
      {{"site", Kind::kTable, "The site as a whole.", true},
       [&](const TableReader& top, Diagnostics* d) { ReadHead(top, &site, bounds, d); }},
      {{"class", Kind::kTables, "Classes of requests.", true}, each("class", kClassKeys, &site, ReadClass)},
      {{"converters", Kind::kTables, "Converters that are alike.", true},
       each("converters", kConverterKeys, &site,
            [bounds](const TableReader& reader, SiteSpec* into, Diagnostics* d) {
              ReadConverters(reader, into, bounds, d);
            })},
      {{"fault", Kind::kTables, "What goes wrong, and when."}, each("fault", kFaultKeys, &site, ReadFault)},
  };
  if (!operator_file::ReadDocument(text, sections, diagnostics)) return std::nullopt;
  Check(site, diagnostics);
  if (!diagnostics->ok()) return std::nullopt;
  return site;
}

nlohmann::json ProxyConfig(const SiteSpec& site, int me, const std::string& listen,
                           const std::string& discovery) {
  using json = nlohmann::json;
  constexpr const char* kEffects[] = {"read_like", "idempotency_key", "non_idempotent"};
  json classes = json::array(), kinds = json::array();
  const auto ms = [](Microseconds us) { return static_cast<double>(us.count()) / 1000; };
  for (const SiteClass& c : site.classes) {
    json one{{"name", c.name},
             {"effect", kEffects[static_cast<int>(c.effect)]},
             {"goalTimeMs", ms(c.deadline) / 2},
             {"deadlineMs", ms(c.deadline)}};
    if (c.effect == load::Effect::kKeyed) {
      one["group"] = c.all_drop ? "all" : "cell";
      one["windowMs"] = ms(c.window);
    }
    classes.push_back(std::move(one));
  }
  for (const ConverterSpec& c : site.converters)
    if (std::find(kinds.begin(), kinds.end(), c.kind) == kinds.end()) kinds.push_back(c.kind);
  return {{"name", "n" + std::to_string(me)},
          {"listen", listen},
          {"discovery", discovery},
          {"seed", std::to_string(site.seed)},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"known", {{"revision", 0}, {"complete", true}, {"members", json::array()}}},
          {"settings",
           {{"balancers", site.proxies},
            {"me", me},
            {"zone", me % static_cast<int>(site.zones.size())},
            {"zones", site.zones},
            {"kinds", kinds},
            {"tenants", json::array()},
            {"classes", classes},
            {"permissions",
             {{"maxAttempts", 4},
              {"parallelTries", false},
              {"retryAfter", true},
              {"maxRetryAfterMs", 2000},
              {"connIdleMs", 60000},
              {"connectTimeoutMs", 250}}},
            {"rules",
             {{"coldFrom", site.cold_from},
              {"warmUpMs", ms(site.warm_up)},
              {"fallMultiple", site.fall_multiple},
              {"overloadForMs", ms(site.overload_for)}}}}}};
}

double WorkOf(const SiteClass& c, std::uint64_t seed, std::string_view id) {
  std::uint64_t hash = seed;
  for (const char ch : id) hash = Mixed(hash ^ static_cast<unsigned char>(ch));
  const double u = (static_cast<double>(Mixed(hash) >> 11) + 0.5) * 0x1.0p-53;
  const double v = hashing::Unit(Mixed(hash + 1));
  const double normal = std::sqrt(-2 * std::log(u)) * std::cos(2 * std::numbers::pi * v);
  return c.work_s * std::exp(c.spread * normal - c.spread * c.spread / 2);
}

}  // namespace kestrelline::standin
