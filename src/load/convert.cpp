// SPDX-License-Identifier: Apache-2.0
#include "load/convert.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace kestrelline::load {
namespace {

constexpr std::array<std::string_view, 5> kOutcomeNames{"-", "served", "refused", "failed", "gave_up"};
constexpr std::array<std::string_view, 7> kColumns{"at_us", "class",   "tenant",    "key",
                                                   "bytes", "outcome", "latency_us"};
enum Column : std::size_t { kAt, kClass, kTenant, kKey, kBytes, kOutcome, kLatency };
constexpr std::string_view kMonths = "JanFebMarAprMayJunJulAugSepOctNovDec";

// Lines with their numbers.
class Lines {
 public:
  Lines(std::istream& in, const std::string& name) : in_(in), name_(name) {}
  bool Next(std::string* line) {
    if (!std::getline(in_, *line)) return false;
    ++number_;
    if (!line->empty() && line->back() == '\r') line->pop_back();
    if (line->size() > kMostInputLine) Bad("a line of more than 65,536 bytes");
    return true;
  }
  [[noreturn]] void Bad(const std::string& what) const {
    throw BadInput(name_ + ":" + std::to_string(number_) + ": " + what);
  }

 private:
  std::istream& in_;
  const std::string& name_;
  std::uint64_t number_ = 0;
};

// Names, numbered in the order of their coming.
class Names {
 public:
  std::uint32_t Of(const Lines& lines, const std::string& name, const char* what) {
    const auto [entry, added] = numbers_.try_emplace(name, static_cast<std::uint32_t>(names_.size()));
    if (added) {
      if (names_.size() >= kMostNames) lines.Bad(std::string("more than 1,000 ") + what);
      names_.push_back(name);
    }
    return entry->second;
  }
  const std::vector<std::string>& names() const { return names_; }

 private:
  std::vector<std::string> names_;
  std::unordered_map<std::string, std::uint32_t> numbers_;
};

template <typename T>
std::optional<T> Whole(std::string_view text) {
  T value{};
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || failed != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::vector<std::string> Fields(const Lines& lines, std::string_view line) {
  std::vector<std::string> fields(1);
  for (std::size_t i = 0; i < line.size(); ++i) {
    if (line[i] == ',') {
      fields.emplace_back();
    } else if (line[i] == '"' && fields.back().empty()) {
      for (++i;; ++i) {
        if (i >= line.size()) lines.Bad("a quote is not closed");
        if (line[i] != '"') {
          fields.back() += line[i];
        } else if (i + 1 < line.size() && line[i + 1] == '"') {
          fields.back() += line[i++];
        } else {
          break;
        }
      }
      if (i + 1 < line.size() && line[i + 1] != ',') lines.Bad("there is more after a closed quote");
    } else {
      fields.back() += line[i];
    }
  }
  return fields;
}

void Sort(Converted* all) {
  std::stable_sort(all->records.begin(), all->records.end(),
                   [](const TraceRecord& a, const TraceRecord& b) { return a.arrival.at < b.arrival.at; });
}

void Add(const Lines& lines, Converted* all, const TraceRecord& record) {
  if (all->records.size() >= kMostConverted) lines.Bad("more than 20,000,000 requests");
  all->records.push_back(record);
}

std::uint32_t KeyOf(std::string_view path) {  // FNV-1a; 0 is no key
  std::uint32_t hash = 2166136261U;
  for (const char c : path) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
  return std::max(1U, hash);
}

// "10/Oct/2000:13:55:36 -0700", in Unix seconds.
std::optional<std::int64_t> TimeOf(std::string_view text) {
  std::tm tm{};
  char month[4] = {}, sign = 0;
  int zone = 0, used = 0;
  const std::string whole(text);
  if (std::sscanf(whole.c_str(), "%2d/%3s/%4d:%2d:%2d:%2d %c%4d%n", &tm.tm_mday, month, &tm.tm_year,
                  &tm.tm_hour, &tm.tm_min, &tm.tm_sec, &sign, &zone, &used) != 8 ||
      static_cast<std::size_t>(used) != whole.size() || (sign != '+' && sign != '-'))
    return std::nullopt;
  const std::size_t at = kMonths.find(month);
  if (at == std::string_view::npos || at % 3 != 0 || month[2] == 0) return std::nullopt;
  if (tm.tm_mday < 1 || tm.tm_mday > 31 || tm.tm_hour > 23 || tm.tm_min > 59 || tm.tm_sec > 60 ||
      zone % 100 > 59)
    return std::nullopt;
  tm.tm_mon = static_cast<int>(at / 3);
  tm.tm_year -= 1900;
  const std::int64_t east = (zone / 100) * 3600 + (zone % 100) * 60;
  return static_cast<std::int64_t>(timegm(&tm)) - (sign == '-' ? -east : east);
}

// Takes what stands up to `end` off the front, and `end` too.
std::optional<std::string_view> Until(std::string_view* rest, std::string_view end) {
  const std::size_t at = rest->find(end);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view taken = rest->substr(0, at);
  rest->remove_prefix(at + end.size());
  return taken;
}

// A quoted text, in which servers escape quotes with a backslash.
std::optional<std::string_view> Quoted(std::string_view* rest) {
  for (std::size_t i = 0; i < rest->size(); ++i) {
    if ((*rest)[i] == '\\') {
      ++i;
    } else if ((*rest)[i] == '"') {
      const std::string_view taken = rest->substr(0, i);
      rest->remove_prefix(i + 1);
      return taken;
    }
  }
  return std::nullopt;
}

}  // namespace

Converted FromCsv(std::istream& in, const std::string& name) {
  Lines lines(in, name);
  std::string line;
  if (!lines.Next(&line)) throw BadInput(name + ": is empty");
  std::array<std::optional<std::size_t>, kColumns.size()> where;
  const auto titles = Fields(lines, line);
  for (std::size_t i = 0; i < titles.size(); ++i) {
    const auto found = std::find(kColumns.begin(), kColumns.end(), titles[i]);
    if (found == kColumns.end()) lines.Bad("there is no column '" + titles[i].substr(0, 64) + "'");
    auto& at = where[static_cast<std::size_t>(found - kColumns.begin())];
    if (at) lines.Bad("two columns '" + titles[i] + "'");
    at = i;
  }
  if (!where[kAt] || !where[kClass]) lines.Bad("columns 'at_us' and 'class' are needed");
  Converted all;
  Names classes, tenants;
  while (lines.Next(&line)) {
    if (line.empty()) continue;
    const auto fields = Fields(lines, line);
    if (fields.size() != titles.size())
      lines.Bad(std::to_string(fields.size()) + " fields under " + std::to_string(titles.size()) +
                " columns");
    const auto text = [&](Column c) { return where[c] ? fields[*where[c]] : std::string(); };
    const auto number = [&](Column c, auto most) -> decltype(most) {
      const std::string value = text(c);
      if (value.empty() && c != kAt) return 0;
      const auto parsed = Whole<decltype(most)>(value);
      if (!parsed || *parsed < 0 || *parsed > most)
        lines.Bad("'" + value.substr(0, 64) + "' is no " + std::string(kColumns[c]));
      return *parsed;
    };
    TraceRecord r;
    r.arrival.at = Microseconds(number(kAt, std::int64_t{86400} * 366 * 1000000));
    if (text(kClass).empty()) lines.Bad("a request without a class");
    r.arrival.request_class = classes.Of(lines, text(kClass), "classes");
    if (where[kTenant]) r.arrival.tenant = tenants.Of(lines, text(kTenant), "tenants");
    r.arrival.key = number(kKey, UINT32_MAX);
    r.arrival.bytes = number(kBytes, std::uint32_t{65536});
    if (const std::string outcome = text(kOutcome); !outcome.empty()) {
      const auto found = std::find(kOutcomeNames.begin(), kOutcomeNames.end(), outcome);
      if (found == kOutcomeNames.end()) lines.Bad("'" + outcome.substr(0, 64) + "' is no outcome");
      r.outcome = static_cast<TraceOutcome>(found - kOutcomeNames.begin());
    }
    r.latency = Microseconds(number(kLatency, std::int64_t{86400} * 1000000));
    if (r.outcome == TraceOutcome::kNone) r.latency = Microseconds(0);
    Add(lines, &all, r);
  }
  all.head.classes = classes.names();
  // A column that is there and always empty is none.
  if (tenants.names() != std::vector<std::string>{""}) all.head.tenants = tenants.names();
  Sort(&all);
  return all;
}

Converted FromAccessLog(std::istream& in, const std::string& name) {
  Lines lines(in, name);
  Converted all;
  Names classes, tenants;
  std::string line;
  while (lines.Next(&line)) {
    if (line.empty()) continue;
    std::string_view rest = line;
    const auto host = Until(&rest, " "), ident = Until(&rest, " "), user = Until(&rest, " [");
    const auto time = Until(&rest, "] \"");
    const auto at = time ? TimeOf(*time) : std::nullopt;
    if (!host || !ident || !user || !at) lines.Bad("this is no line of an access log");
    const auto asked = Quoted(&rest);
    if (!asked || !rest.starts_with(' ')) lines.Bad("the request or its status is missing");
    rest.remove_prefix(1);
    const auto status = Whole<int>(rest.substr(0, rest.find(' ')));
    if (!status || *status < 100 || *status > 599) lines.Bad("the status is none");
    std::string_view request = *asked;
    const auto method = Until(&request, " ");
    const std::string_view target = request.substr(0, request.find(' '));
    const std::string_view path = target.substr(0, target.find('?'));
    if (!method || !path.starts_with('/'))
      lines.Bad("'" + std::string(asked->substr(0, 64)) + "' is no request");
    const std::string_view part = path.substr(1, path.find('/', 1) - 1);
    TraceRecord r;
    r.arrival.request_class =
        classes.Of(lines, part.empty() ? "/" : std::string(part), "classes (first parts of paths)");
    r.arrival.tenant = tenants.Of(lines, *user == "-" ? "" : std::string(*user), "tenants (users)");
    r.arrival.key = KeyOf(path);
    r.outcome = *status == 429 || *status == 503 ? TraceOutcome::kRefused
                : *status >= 400                 ? TraceOutcome::kFailed
                                                 : TraceOutcome::kServed;
    r.arrival.at = Microseconds(*at * 1000000);
    Add(lines, &all, r);
  }
  if (all.records.empty()) throw BadInput(name + ": there is no request in it");
  Sort(&all);
  const Microseconds start = all.records.front().arrival.at;
  for (std::size_t i = 0; i < all.records.size();) {
    std::size_t end = i;
    while (end < all.records.size() && all.records[end].arrival.at == all.records[i].arrival.at) ++end;
    const auto n = static_cast<std::int64_t>(end - i);
    for (std::int64_t k = 0; k < n; ++k, ++i)
      all.records[i].arrival.at += Microseconds(k * 1000000 / n) - start;
  }
  all.head.classes = classes.names();
  if (tenants.names() != std::vector<std::string>{""}) all.head.tenants = tenants.names();
  return all;
}

}  // namespace kestrelline::load
