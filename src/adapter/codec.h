// SPDX-License-Identifier: Apache-2.0
//
// Codec of the simulator's wire protocol, whose frames are packed and little-endian. Decodes batches of
// events, and encodes replies with actions.
#ifndef KESTRELLINE_ADAPTER_CODEC_H_
#define KESTRELLINE_ADAPTER_CODEC_H_

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kestrelline/balancer.h"

namespace kestrelline::adapter {

// The framing or a field is malformed; what() is one line.
class MalformedInput : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Create {
  std::uint64_t seed = 0;
  std::string config;
};
struct Crash {};
struct Unknown {  // an event that is not used here, or one with an unknown code
  std::uint8_t code = 0;
  bool known_code = false;
};
using Message = std::variant<Create, Crash, Unknown, Event>;

struct Record {
  std::uint32_t instance = 0;
  Message message;
};

struct Batch {
  TimePoint now{};
  std::vector<Record> records;
};

// Reads one frame. Returns nullopt if the input ends between frames; throws MalformedInput if it ends
// elsewhere or is malformed.
std::optional<Batch> ReadBatch(std::istream& in);

// Decodes the body of a frame, which consists of `count` records. Throws MalformedInput.
Batch DecodeBatch(TimePoint now, std::uint32_t count, std::string_view body);

class ReplyWriter {
 public:
  void Add(std::uint32_t instance, const Action& action);
  void AddInternalError(std::uint32_t instance, std::string_view text);
  std::string Take();  // returns the whole frame and clears the writer

 private:
  std::string body_;
};

}  // namespace kestrelline::adapter

#endif  // KESTRELLINE_ADAPTER_CODEC_H_
