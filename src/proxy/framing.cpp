// SPDX-License-Identifier: Apache-2.0
#include "framing.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <cmath>
#include <string_view>
#include <utility>
#include <vector>

#include "hashing/fnv.h"

namespace kestrelline::proxy {
namespace {

namespace http = boost::beast::http;

constexpr double kMaxDeadlineMs = 3600 * 1000;
constexpr double kMaxCostUs = 1e12;
constexpr double kMaxContentLength = 1ull << 40;  // bytes of a body; no valid request is larger
constexpr std::size_t kMaxLengthDigits = 20;
constexpr std::size_t kMaxRequestIdBytes = 256;  // of a Req-Id

bool IsDigits(std::string_view text) {
  return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

int IndexOf(const std::vector<std::string>& names, std::string_view name) {
  const auto match = std::find(names.begin(), names.end(), name);
  return match == names.end() ? -1 : static_cast<int>(match - names.begin());
}

// Hash of the cookie `obj`; 0 if there is none.
std::uint64_t KeyFromCookie(boost::beast::string_view cookie) {
  std::string list("; ");
  list.append(cookie.data(), cookie.size());
  for (const auto& [name, value] : http::param_list(list)) {
    if (name == "obj") return HashKey(View(value));
  }
  return 0;
}

// Reduces a target in absolute form to its path (RFC 9112, 3.2.2).
std::string_view OriginForm(std::string_view target) {
  const std::size_t scheme = target.find("://");
  if (target.empty() || target.front() == '/' || scheme == std::string_view::npos) return target;
  const std::size_t path = target.find_first_of("/?", scheme + 3);
  return path == std::string_view::npos || target[path] != '/' ? std::string_view("/") : target.substr(path);
}

std::string_view FirstPathSegment(std::string_view target) {
  if (!target.empty() && target.front() == '/') target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// Erases headers that concern one connection only and must not be forwarded.
void EraseHopByHopFields(HttpRequest& message) {
  std::vector<std::string> named;
  for (const auto& token : http::token_list(message[http::field::connection])) named.emplace_back(token);
  for (const std::string& name : named) message.erase(name);
  for (const http::field field :
       {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
        http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect})
    message.erase(field);
}

}  // namespace

std::uint64_t HashKey(std::string_view name) {
  return name.empty() ? 0 : std::max<std::uint64_t>(1, kestrelline::hashing::Fnv1a(name));
}

int ClassOfTarget(std::string_view target, const Config& config) {
  return IndexOf(config.classes, FirstPathSegment(OriginForm(target)));
}

bool FramingIsUnambiguous(const http::fields& fields, unsigned version) {
  const auto lengths = fields.count(http::field::content_length);
  const auto codings = fields.count(http::field::transfer_encoding);
  if (lengths + codings > 1) return false;
  if (lengths == 1) return IsDigits(View(fields[http::field::content_length]));
  return codings == 0 ||
         (version >= 11 && boost::beast::iequals(fields[http::field::transfer_encoding], "chunked"));
}

std::optional<Rejection> CheckHeader(const http::request_header<>& header) {
  if (!FramingIsUnambiguous(header, header.version()))
    return Rejection{http::status::bad_request, "ambiguous framing"};
  const auto length = header.find(http::field::content_length);
  const bool has_body = length != header.end() ? length->value().find_first_not_of('0') != std::string::npos
                                               : header.count(http::field::transfer_encoding) > 0;
  const std::string_view digits = length != header.end() ? View(length->value()) : std::string_view();
  if (digits.size() > kMaxLengthDigits || ParseNumber(digits.empty() ? "0" : digits) > kMaxContentLength)
    return Rejection{http::status::payload_too_large, "too large"};
  if (header.method() == http::verb::get && has_body)
    return Rejection{http::status::bad_request, "a body on GET"};
  return std::nullopt;
}

std::optional<Rejection> ParseClientRequest(HttpRequest message, Steady::time_point read_at,
                                            const Config& config, ClientRequest* request, bool body_follows) {
  const auto bad = [](const char* what) { return Rejection{http::status::bad_request, what}; };
  if (const auto origin_form = OriginForm(View(message.target()));
      origin_form.size() != message.target().size())
    message.target(std::string(origin_form));
  request->request_class = ClassOfTarget(View(message.target()), config);
  EraseHopByHopFields(message);  // first: headers that Connection names must not be evaluated
  for (const char* header : {"Req-Id", "Idempotency-Key", "Req-Kind", "Req-Deadline-Ms"}) {
    if (message.count(header) > 1) return bad("a header is repeated");
  }
  const std::string_view class_name = FirstPathSegment(View(message.target()));
  if (request->request_class < 0) return Rejection{http::status::not_found, "unknown class"};
  const auto kind = message.find("Req-Kind");
  if (kind != message.end() && View(kind->value()) != class_name) return bad("Req-Kind is not the path's");
  const ClassSettings& c = config.settings.classes[request->request_class];
  const http::verb method = c.effect == Effect::kSafe ? http::verb::get : http::verb::post;
  if (message.method() != method) return Rejection{http::status::method_not_allowed, "wrong method"};
  const auto id = message["Req-Id"];
  if (id.empty() || id.size() > kMaxRequestIdBytes) return bad("Req-Id is missing or too long");
  if (c.effect == Effect::kKeyed && message["Idempotency-Key"].empty())
    return bad("Idempotency-Key is missing");
  if (c.effect == Effect::kUnsafe && message.count("Idempotency-Key") > 0)
    return bad("Idempotency-Key on a class without");

  double deadline_ms = c.deadline.count();
  if (const auto text = message.find("Req-Deadline-Ms"); text != message.end()) {
    const auto value = IsDigits(View(text->value())) ? ParseNumber(View(text->value())) : std::nullopt;
    if (!value) return bad("Req-Deadline-Ms is no whole number");
    deadline_ms = std::min(*value, kMaxDeadlineMs);
  }
  request->due = read_at + std::chrono::duration_cast<Steady::duration>(Duration(deadline_ms));
  if (const auto text = message.find("Req-Cost"); text != message.end()) {
    const auto value = ParseNumber(View(text->value()));
    if (!value || *value < 0) return bad("Req-Cost is no number");
    request->has_hint = true;
    request->work_ms = std::min(*value, kMaxCostUs) / 1000;
  }
  if (!config.tenants.empty()) {
    request->tenant = IndexOf(config.tenants, View(message["Req-Owner"]));
    if (request->tenant < 0) return bad("unknown Req-Owner");
  }
  request->client_retry = message["Req-Retry"] == "1";
  request->key = KeyFromCookie(message[http::field::cookie]);

  message.version(11);
  if (!body_follows) {
    message.prepare_payload();
  } else if (message.count(http::field::content_length) == 0) {
    message.set(http::field::transfer_encoding, "chunked");
  }
  request->message = std::move(message);
  return std::nullopt;
}

}  // namespace kestrelline::proxy
