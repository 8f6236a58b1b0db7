// SPDX-License-Identifier: Apache-2.0
#include "data_plane/response_head.h"

#include <string_view>

namespace kestrelline::data_plane {
namespace {

using namespace http;

constexpr unsigned kFirstStatus = 200;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kLastSuccess = 299;

bool Equals(std::string_view text, std::string_view other) {
  return beast::iequals({text.data(), text.size()}, {other.data(), other.size()});
}

// To a client these statuses promise that the request has not run. Backends have to say so themselves.
bool PromisesNotToRun(bhttp::status status) {
  return status == bhttp::status::request_timeout || status == bhttp::status::too_many_requests ||
         status == bhttp::status::service_unavailable;
}

// The version of the weights, if the backend tells it.
bool HasValidVersions(const bhttp::response<bhttp::buffer_body>& head) {
  constexpr std::size_t kMaxDigits = 20;
  const std::size_t fields = head.count("Versions");
  const std::string_view version = head["Versions"];
  const bool digits = version.find_first_not_of("0123456789") == std::string_view::npos;
  return fields == 0 || (fields == 1 && digits && !version.empty() && version.size() <= kMaxDigits);
}

// Without parameters such as `charset=utf-8`.
std::string_view MediaType(std::string_view content_type) {
  std::string_view type = content_type.substr(0, content_type.find(';'));
  while (type.ends_with(' ') || type.ends_with('\t')) type.remove_suffix(1);
  return type;
}

}  // namespace

const char* Name(HeadFault fault) {
  switch (fault) {
    case HeadFault::kNone:
      return "none";
    case HeadFault::kStatus:
      return "status";
    case HeadFault::kRequestId:
      return "request_id";
    case HeadFault::kContradiction:
      return "contradiction";
    case HeadFault::kStamp:
      return "stamp";
    case HeadFault::kEncoding:
      return "encoding";
    case HeadFault::kVersions:
      return "versions";
    case HeadFault::kContentType:
      return "content_type";
  }
  return "unknown";
}

HeadFault CheckHead(const bhttp::response<bhttp::buffer_body>& head, ExpectedResponse expected) {
  const unsigned status = head.result_int();
  if (status < kFirstStatus || status > kLastStatus) return HeadFault::kStatus;
  if (head.count("Request-Id") > 1) return HeadFault::kRequestId;
  const bool not_executed = head.count("Not-Executed") > 0;
  const bool for_client = expected == ExpectedResponse::kWhole || expected == ExpectedResponse::kEvents;
  if (for_client && PromisesNotToRun(head.result()) && !not_executed) return HeadFault::kContradiction;
  if (status > kLastSuccess) return HeadFault::kNone;
  if (not_executed) return HeadFault::kContradiction;
  if (!HasValidVersions(head)) return HeadFault::kVersions;
  if (!for_client) return HeadFault::kNone;
  if (head.count("Server-Stamp") != 1 || head["Server-Stamp"].empty()) return HeadFault::kStamp;
  const std::string_view encoding = head[bhttp::field::content_encoding];
  if (!encoding.empty() && !Equals(encoding, "identity")) return HeadFault::kEncoding;
  const std::string_view type = head[bhttp::field::content_type];
  const bool other_type = !type.empty() && !Equals(MediaType(type), "text/event-stream");
  if (expected == ExpectedResponse::kEvents && other_type) return HeadFault::kContentType;
  return HeadFault::kNone;
}

}  // namespace kestrelline::data_plane
