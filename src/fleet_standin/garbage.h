// SPDX-License-Identifier: Apache-2.0
//
// Garbage that a stand-in backend puts into a stream: what it is, where it stands, and how it is framed. No
// I/O.
#ifndef KESTRELLINE_FLEET_STANDIN_GARBAGE_H_
#define KESTRELLINE_FLEET_STANDIN_GARBAGE_H_

#include <string>
#include <vector>

namespace kestrelline::fleet_standin {

enum class GarbagePlace {
  kFirst,    // before the first event
  kBetween,  // between two events
  kWithin,   // in the middle of an event
  kEnd,      // after the last event, before the end of the body
  kAfter,    // after the end of the body
};

enum class GarbageFraming {
  kChunk,     // in a chunk, or in the chunk of the event that it stands in
  kOwnChunk,  // in a chunk of its own, sent together with what surrounds it
  kRaw,       // where a chunk is due
  kUnframed,  // in a body without a length, which ends with the connection
};

enum class GarbageContent {
  kNothing,         // the body ends there, as if it were complete
  kLine,            // a line that is no field
  kBlock,           // the same, with blank lines around it
  kBinary,          // bytes that are no text
  kNoId,            // an event without an id
  kEmptyId,         // an event with an empty id
  kInvalidId,       // an event whose id is no number
  kOldId,           // an event whose id is that of an earlier one
  kUnknownField,    // an event with a field of another protocol
  kInvalidVersion,  // an event whose version is no number
  kResponse,        // the text of an HTTP response
  kEarlyEnd,        // the end of the body, and an event after it
};

struct Garbage {
  GarbagePlace place = GarbagePlace::kBetween;
  GarbageFraming framing = GarbageFraming::kChunk;
  GarbageContent content = GarbageContent::kLine;
  bool goes_on = true;  // with the remaining events, otherwise the body ends after the garbage
  bool operator==(const Garbage&) const = default;
};

// A fault that is neither first nor at the end comes after this many whole events.
inline constexpr int kEventsBeforeFault = 2;
inline constexpr const char* kLastChunk = "0\r\n\r\n";
std::string BytesOf(GarbageContent content);
std::string Chunk(const std::string& text);
std::string EventText(int event, const std::string& padding);

struct StreamText {
  int first_event = 1;
  int last_event = 5;
  std::string padding;  // added to the data of each event
};
// The body of a stream with that garbage in it, in pieces to be written one after another.
std::vector<std::string> BodyWithGarbage(const StreamText& text, const Garbage& garbage);
// Such as `within/chunk/no-id/ends`.
std::string Describe(const Garbage& garbage);
// All combinations that can be told from a valid stream.
std::vector<Garbage> AllGarbage();

}  // namespace kestrelline::fleet_standin

#endif  // KESTRELLINE_FLEET_STANDIN_GARBAGE_H_
