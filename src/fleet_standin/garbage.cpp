// SPDX-License-Identifier: Apache-2.0
#include "fleet_standin/garbage.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>
#include <utility>

namespace kestrelline::fleet_standin {
namespace {

constexpr std::array<const char*, 5> kPlaces = {"first", "between", "within", "end", "after"};
constexpr std::array<const char*, 4> kFramings = {"chunk", "own-chunk", "raw", "unframed"};
constexpr std::array<const char*, 12> kContents = {
    "nothing",    "line",   "block",         "binary",          "no-id",    "empty-id",
    "invalid-id", "old-id", "unknown-field", "invalid-version", "response", "early-end"};

// Whether a backend would send the same bytes in a valid stream.
bool LooksValid(const Garbage& garbage) {
  const bool nothing = garbage.content == GarbageContent::kNothing;
  if (nothing) return garbage.goes_on || garbage.place != GarbagePlace::kWithin;
  // Within an event it is a further line of its data, and the event may end there.
  const bool more_data = garbage.content == GarbageContent::kNoId && garbage.place == GarbagePlace::kWithin;
  if (more_data && !garbage.goes_on) return true;
  // Nothing before it tells that the id is old.
  return garbage.content == GarbageContent::kOldId && garbage.place == GarbagePlace::kFirst;
}

// Whether the framing can be had there.
bool Exists(const Garbage& garbage) {
  const bool nothing = garbage.content == GarbageContent::kNothing;
  if (nothing && garbage.framing == GarbageFraming::kRaw) return false;
  if (garbage.content == GarbageContent::kEarlyEnd) {
    return garbage.place == GarbagePlace::kBetween && garbage.framing == GarbageFraming::kRaw;
  }
  if (garbage.framing == GarbageFraming::kOwnChunk) return garbage.place == GarbagePlace::kWithin && !nothing;
  if (garbage.place == GarbagePlace::kAfter) {
    return !nothing && garbage.framing == GarbageFraming::kRaw && !garbage.goes_on;
  }
  return garbage.place != GarbagePlace::kEnd || !garbage.goes_on;
}

constexpr std::size_t kCutFromEnd = 4;  // of an event: its data is begun and not whole

// Frames events and garbage.
class BodyWriter {
 public:
  explicit BodyWriter(const Garbage& garbage)
      : garbage_(garbage),
        bytes_(BytesOf(garbage.content)),
        framed_(garbage.framing != GarbageFraming::kUnframed) {}

  void AddEvent(const std::string& text) { pieces_.push_back(framed_ ? Chunk(text) : text); }
  void AddGarbage() {
    const bool raw = garbage_.framing == GarbageFraming::kRaw;
    pieces_.push_back(framed_ && !raw ? Chunk(bytes_) : bytes_);
  }
  void AddEventWithGarbage(const std::string& text) {
    const std::size_t middle = text.size() - kCutFromEnd;
    const std::string begin = text.substr(0, middle);
    const std::string line_end = bytes_.empty() ? "" : "\n";
    const std::string end = garbage_.goes_on ? text.substr(middle) : "";
    const std::string rest = line_end + bytes_ + end;
    if (garbage_.framing == GarbageFraming::kOwnChunk) {
      pieces_.push_back(Chunk(begin) + Chunk(line_end + bytes_) + (end.empty() ? "" : Chunk(end)));
      return;
    }
    if (garbage_.framing != GarbageFraming::kRaw) return AddEvent(begin + rest);
    AddEvent(begin);
    pieces_.push_back(rest);
  }
  std::vector<std::string> End() {
    if (framed_) pieces_.push_back(kLastChunk);
    if (garbage_.place == GarbagePlace::kAfter) pieces_.back() += bytes_;
    return std::move(pieces_);
  }

 private:
  const Garbage& garbage_;
  std::string bytes_;
  bool framed_;
  std::vector<std::string> pieces_;
};

}  // namespace

std::string BytesOf(GarbageContent content) {
  switch (content) {
    case GarbageContent::kNothing:
      return "";
    case GarbageContent::kLine:
      return "not a field of anything\n";
    case GarbageContent::kBlock:
      return "\n\nnot a field of anything\n\n";
    case GarbageContent::kBinary:
      return std::string("\x00\xFF\x13\x80garbage\xC3\x28\xF5\n", 16);
    case GarbageContent::kNoId:
      return "data: made up\n\n";
    case GarbageContent::kEmptyId:
      return "id:\ndata: made up\n\n";
    case GarbageContent::kInvalidId:
      return "id: next\ndata: made up\n\n";
    case GarbageContent::kOldId:
      return "id: 1\ndata: made up\n\n";
    case GarbageContent::kUnknownField:
      return "id: 900\ncontent: made up\n\n";
    case GarbageContent::kInvalidVersion:
      return "versions: new\nid: 900\ndata: made up\n\n";
    case GarbageContent::kEarlyEnd:
      return kLastChunk + Chunk(EventText(kEventsBeforeFault + 1, ""));
    case GarbageContent::kResponse:
      return "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nmade up";
  }
  return "";
}

std::string Chunk(const std::string& text) {
  std::array<char, 24> head{};
  std::snprintf(head.data(), head.size(), "%zx\r\n", text.size());
  return head.data() + text + "\r\n";
}

std::string EventText(int event, const std::string& padding) {
  const std::string number = std::to_string(event);
  return "id: " + number + "\ndata: token " + number + padding + "\n\n";
}

std::vector<std::string> BodyWithGarbage(const StreamText& text, const Garbage& garbage) {
  BodyWriter body(garbage);
  const int spoiled = std::min(text.first_event + kEventsBeforeFault, text.last_event);
  bool ended = garbage.place == GarbagePlace::kFirst && !garbage.goes_on;
  if (garbage.place == GarbagePlace::kFirst) body.AddGarbage();
  for (int event = text.first_event; event <= text.last_event && !ended; ++event) {
    const bool between = event == spoiled && garbage.place == GarbagePlace::kBetween;
    const bool within = event == spoiled && garbage.place == GarbagePlace::kWithin;
    ended = (between || within) && !garbage.goes_on;
    const std::string event_text = EventText(event, text.padding);
    if (between) body.AddGarbage();
    if (within) body.AddEventWithGarbage(event_text);
    if (!within && !ended) body.AddEvent(event_text);
  }
  if (garbage.place == GarbagePlace::kEnd) body.AddGarbage();
  return body.End();
}

std::string Describe(const Garbage& garbage) {
  std::string text = kPlaces[static_cast<std::size_t>(garbage.place)];
  text += "/";
  text += kFramings[static_cast<std::size_t>(garbage.framing)];
  text += "/";
  text += kContents[static_cast<std::size_t>(garbage.content)];
  text += garbage.goes_on ? "/goes-on" : "/ends";
  return text;
}

std::vector<Garbage> AllGarbage() {
  std::vector<Garbage> all;
  for (std::size_t place = 0; place < kPlaces.size(); ++place) {
    for (std::size_t framing = 0; framing < kFramings.size(); ++framing) {
      for (std::size_t content = 0; content < kContents.size(); ++content) {
        for (const bool goes_on : {true, false}) {
          const Garbage garbage{static_cast<GarbagePlace>(place), static_cast<GarbageFraming>(framing),
                                static_cast<GarbageContent>(content), goes_on};
          if (Exists(garbage) && !LooksValid(garbage)) all.push_back(garbage);
        }
      }
    }
  }
  return all;
}

}  // namespace kestrelline::fleet_standin
