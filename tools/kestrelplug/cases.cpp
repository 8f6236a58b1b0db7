// SPDX-License-Identifier: Apache-2.0
#include "cases.h"

#include <array>
#include <charconv>
#include <sstream>

#include "operator/document.h"

namespace kestrelline::plugin {
namespace {

using operator_file::Diagnostics;
using operator_file::Key;
using operator_file::Kind;
using operator_file::Located;
using operator_file::Section;
using operator_file::TableReader;

constexpr std::array kCaseKeys{
    Key{"name", Kind::kText, "What the case is about.", true},
    Key{"target", Kind::kText, "Path and query as sent.", true},
    Key{"method", Kind::kText, "GET without it."},
    Key{"class", Kind::kText, "The class; the path's first segment without it."},
    Key{"tenant", Kind::kText, "The tenant; none without it."},
    Key{"form", Kind::kText, "The body, of a form."},
    Key{"deadline", Kind::kDuration, "What is left of the deadline; 1s without it."},
    Key{"headers", Kind::kTable, "Headers as sent."},
    Key{"tags", Kind::kTable,
        "The tags that are expected: class, tenant, key, route, cost_ms, as texts; none without it."},
    Key{"failure", Kind::kText, "The failure that is expected instead: error, fuel, memory, output."},
};

void ReadTag(const Located<std::string>& name, const Located<std::string>& value, Tags* tags,
             Diagnostics* diagnostics) {
  if (name.value == "class") {
    tags->request_class = value.value;
  } else if (name.value == "tenant") {
    tags->tenant = value.value;
  } else if (name.value == "key") {
    tags->key = value.value;
  } else if (name.value == "route") {
    tags->route = value.value;
  } else if (name.value == "cost_ms") {
    double cost = 0;
    const char* end = value.value.data() + value.value.size();
    const auto read = std::from_chars(value.value.data(), end, cost);
    if (read.ec != std::errc() || read.ptr != end) diagnostics->Add(value.at, "type", "cost_ms is no number");
    tags->cost_ms = cost;
  } else {
    diagnostics->Add(name.at, "plugin-tag",
                     "no tag '" + name.value + "'; " +
                         diagnostics->Suggest(name.value, {"class", "tenant", "key", "route", "cost_ms"}));
  }
}

Case ReadCase(const toml::table& table, operator_file::Position at, Diagnostics* diagnostics) {
  const TableReader reader(table, "case", kCaseKeys, diagnostics);
  Case c;
  c.at = at;
  const auto text = [&](const char* key, std::string* to) {
    if (const auto found = reader.Text(key)) *to = found->value;
  };
  text("name", &c.name), text("target", &c.target), text("method", &c.method), text("form", &c.form);
  text("tenant", &c.tenant), text("failure", &c.failure);
  const std::size_t start = c.target.starts_with('/') ? 1 : 0;
  c.request_class = c.target.substr(start, c.target.find_first_of("/?", start) - start);
  text("class", &c.request_class);
  if (const auto deadline = reader.Duration("deadline")) c.deadline_ms = deadline->value.count();
  reader.ForEachText("headers", [&](const auto& name, const auto& value) {
    c.headers.emplace_back(name.value, value.value);
  });
  reader.ForEachText(
      "tags", [&](const auto& name, const auto& value) { ReadTag(name, value, &c.tags, diagnostics); });
  return c;
}

}  // namespace

RequestView Case::View() const {
  RequestView view;
  view.method = method, view.target = target, view.request_class = request_class, view.tenant = tenant;
  view.form = form, view.deadline_ms = deadline_ms, view.now_ms = now_ms;
  for (const auto& [name, value] : headers) view.headers.emplace_back(name, value);
  return view;
}

std::optional<std::vector<Case>> ReadCases(std::string_view text, Diagnostics* diagnostics) {
  std::vector<Case> cases;
  const std::vector<Section> sections{
      {{"case", Kind::kTables, "Requests with the tags that are expected: [[case]]."},
       [&](const TableReader& top, Diagnostics* said) {
         top.Tables("case", [&](const toml::table& table, operator_file::Position at) {
           cases.push_back(ReadCase(table, at, said));
         });
       }}};
  if (!operator_file::ReadDocument(text, sections, diagnostics)) return std::nullopt;
  return cases;
}

std::string Shown(const Tags& tags) {
  std::ostringstream out;
  const auto add = [&](const char* name, const auto& value) {
    if (value) out << (out.tellp() > 0 ? " " : "") << name << '=' << *value;
  };
  add("class", tags.request_class), add("tenant", tags.tenant), add("key", tags.key),
      add("route", tags.route);
  add("cost_ms", tags.cost_ms);
  return out.tellp() > 0 ? out.str() : "no tags";
}

std::string Difference(const Case& expected, const Outcome& got) {
  const std::string wanted = expected.failure.empty() ? Shown(expected.tags) : "failure " + expected.failure;
  const std::string was = got.fault == Fault::kNone
                              ? Shown(got.tags)
                              : "failure " + std::string(Name(got.fault)) +
                                    (expected.failure.empty() ? " (" + got.text + ")" : "");
  return wanted == was ? "" : "expected " + wanted + ", got " + was;
}

}  // namespace kestrelline::plugin
