// SPDX-License-Identifier: Apache-2.0
#include "mesh/traffic.h"

#include <type_traits>

namespace kestrelline::mesh {
namespace {

// The `kind` labels, in the order of wire::Body.
constexpr std::array kKinds{
    "unknown",     "hello",         "vote_request", "vote_reply",    "heartbeat", "heartbeat_reply",
    "append",      "learn_request", "learn_reply",  "instance_list", "subscribe", "publication",
    "load_report", "load_summary",  "referral",     "probe",         "echo",      "load_changes",
    "list_age",    "list_request",  "list_changes"};
static_assert(kKinds.size() == std::variant_size_v<wire::Body>);
static_assert(std::is_same_v<std::variant_alternative_t<9, wire::Body>, wire::InstanceList>);
static_assert(std::is_same_v<std::variant_alternative_t<13, wire::Body>, wire::LoadSummary>);
static_assert(std::is_same_v<std::variant_alternative_t<19, wire::Body>, wire::ListRequest>);

std::string Line(const char* name, const char* kind, std::uint64_t value) {
  return std::string(name) + "{kind=\"" + kind + "\"} " + std::to_string(value) + "\n";
}

}  // namespace

void Traffic::Received(const wire::Body& body, std::size_t bytes) {
  Count& count = counts_[body.index()];
  ++count.messages;
  count.bytes += bytes;
}

std::string Traffic::MetricsText() const {
  constexpr const char* kBytes = "kestrelline_control_received_bytes_total";
  constexpr const char* kMessages = "kestrelline_control_received_messages_total";
  std::string bytes = std::string("# TYPE ") + kBytes + " counter\n";
  std::string messages = std::string("# TYPE ") + kMessages + " counter\n";
  for (std::size_t kind = 0; kind < counts_.size(); ++kind) {
    if (counts_[kind].messages == 0) continue;
    bytes += Line(kBytes, kKinds[kind], counts_[kind].bytes);
    messages += Line(kMessages, kKinds[kind], counts_[kind].messages);
  }
  return bytes + messages;
}

}  // namespace kestrelline::mesh
