// SPDX-License-Identifier: Apache-2.0
//
// Reads the body of a streamed response as a client does, and judges it by what the stand-in backends send.
#ifndef KESTRELLINE_TESTS_ROUTER_FLEET_STREAM_BODY_H_
#define KESTRELLINE_TESTS_ROUTER_FLEET_STREAM_BODY_H_

#include <cstdlib>
#include <string>

#include "fleet_soak/ledger.h"
#include "router_fleet/fleet_fixture.h"

namespace kestrelline::router_fleet {

// The bytes of all chunks that came whole.
inline std::string ChunkedBody(const std::string& response) {
  std::string body;
  std::size_t at = response.find("\r\n\r\n");
  if (at == std::string::npos) return body;
  at += 4;
  while (true) {
    const std::size_t line_end = response.find("\r\n", at);
    if (line_end == std::string::npos) return body;
    const std::size_t size = std::strtoul(response.c_str() + at, nullptr, 16);
    if (size == 0 || line_end + 2 + size > response.size()) return body;
    body += response.substr(line_end + 2, size);
    at = line_end + 2 + size + 2;
  }
}

// What breaks the rule ORDER in a stream of `events` events; empty if nothing does.
inline std::string OrderViolation(const Answer& answer, int events) {
  const std::string whole = fleet_soak::ExpectedBody(fleet_soak::Kind::kStream, "", events);
  const std::string body = ChunkedBody(answer.text);
  if (answer.status != 200) return body.empty() ? "" : "a failure with a body: " + body;
  if (!whole.starts_with(body)) return "a piece that no run made, or out of order: " + body;
  if (answer.ended_well && body != whole) return "ends as complete after: " + body;
  return "";
}

}  // namespace kestrelline::router_fleet

#endif  // KESTRELLINE_TESTS_ROUTER_FLEET_STREAM_BODY_H_
