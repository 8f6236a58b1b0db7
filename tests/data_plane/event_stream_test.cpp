// SPDX-License-Identifier: Apache-2.0
//
// Event streams from backends: which ones are valid, and what of them may be forwarded.
#include "data_plane/event_stream.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace kestrelline::data_plane {
namespace {

// Appends the text in steps of that many bytes, and ends the stream.
std::string Forwarded(EventStream& events, std::string_view text, std::size_t step) {
  std::string forwarded;
  for (std::size_t at = 0; at < text.size(); at += step) forwarded += events.Append(text.substr(at, step));
  return forwarded + events.Finish();
}

StreamFault FaultIn(std::string_view text, std::size_t step = 1) {
  EventStream events;
  events.BeginRun();
  Forwarded(events, text, step);
  return events.fault();
}

TEST(EventStream, ReturnsOnlyCompleteEventsAndTracksTheLastId) {
  EventStream events;
  events.BeginRun();
  EXPECT_EQ(events.Append("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(events.last_id(), "1");
  EXPECT_EQ(events.Append("ta: b\n"), "");
  EXPECT_EQ(events.Append("\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(events.last_id(), "2");
  EXPECT_EQ(events.Append("id: 3\n"), "");
  events.BeginRun();
  EXPECT_EQ(events.Finish(), "");
  EXPECT_EQ(events.fault(), StreamFault::kNone);
  EXPECT_EQ(events.last_id(), "2");
}

TEST(EventStream, ValidStreamsOfEveryFormPassUnchanged) {
  const std::vector<std::string> streams = {
      "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
      "id:1\r\ndata:a\r\n\r\nid:2\r\ndata:b\r\n\r\n",
      "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
      "id: 1\r\ndata: a\n\r\nid: 2\rdata: b\n\n",
      "\xEF\xBB\xBFid: 1\ndata: a\n\n",
      ": begun\n\nid: 1\ndata: a\n\n: still here\n\n:\n\n\nid: 2\ndata: b\n\n: done\n",
      "retry: 3000\n\nid: 1\ndata: a\n\n",
      "id: 1\nevent: token\nretry: 10\ndata: a\ndata: b\ndata\n\n",
      "data: a\nid: 1\n\n",
      "versions: 7\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nversions:8\nid: 3\ndata: c\n\n",
      "id: 10\ndata: a\n\nid: 20\ndata: b\n\nid: 35\ndata: c\n\n",
      "id: 18446744073709551615\ndata: a\n\n",
      "id: 1\ndata: \xC3\xA9 \xE2\x82\xAC \xF0\x9F\x98\x80 \xEF\xBB\xBF\tx\x0B\x0C\x1B[0m\n\n",
      "id: 1\ndata: id: 9\ndata:  two spaces: kept\n\n",
      "id: 1\ndata: {\"text\":\"\\n\\n\"}\n\n",
  };
  for (const std::string& stream : streams) {
    for (const std::size_t step : {std::size_t{1}, std::size_t{3}, std::size_t{7}, stream.size()}) {
      EventStream events;
      events.BeginRun();
      EXPECT_EQ(Forwarded(events, stream, step), stream) << stream;
      EXPECT_EQ(events.fault(), StreamFault::kNone) << stream << Name(events.fault());
    }
  }
}

TEST(EventStream, AnEventIsReturnedWithTheLastByteOfItsBlankLine) {
  for (const std::string& event : {std::string("id: 1\ndata: a\n\n"), std::string("id: 1\rdata: a\r\r"),
                                   std::string("id: 1\r\ndata: a\r\n\r")}) {
    EventStream events;
    events.BeginRun();
    EXPECT_EQ(events.Append(event.substr(0, event.size() - 1)), "");
    EXPECT_EQ(events.Append(event.substr(event.size() - 1)), event);
  }
  EventStream events;
  events.BeginRun();
  EXPECT_EQ(events.Append(": alive\n"), ": alive\n");
}

TEST(EventStream, EveryKindOfGarbageIsAFault) {
  const std::string event = "id: 1\ndata: a\n\n";
  const std::vector<std::pair<std::string, StreamFault>> cases = {
      {"garbage", StreamFault::kUnknownField},
      {"garbage\n", StreamFault::kUnknownField},
      {"ident: 2\ndata: b\n\n", StreamFault::kUnknownField},
      {"ID: 2\ndata: b\n\n", StreamFault::kUnknownField},
      {" id: 2\ndata: b\n\n", StreamFault::kUnknownField},
      {"HTTP/1.1 200 OK\r\n\r\n", StreamFault::kUnknownField},
      {"data: b\n\n", StreamFault::kMissingId},
      {"event: token\n\n", StreamFault::kMissingId},
      {"versions: 3\n\n", StreamFault::kMissingId},
      {"id: 2\n\n", StreamFault::kMissingData},
      {"id:\ndata: b\n\n", StreamFault::kInvalidNumber},
      {"id\ndata: b\n\n", StreamFault::kInvalidNumber},
      {"id: 2x\ndata: b\n\n", StreamFault::kInvalidNumber},
      {"id: -2\ndata: b\n\n", StreamFault::kInvalidNumber},
      {"id: 2\rX-Field: y\rdata: b\n\n", StreamFault::kUnknownField},
      {"id: 18446744073709551616\ndata: b\n\n", StreamFault::kInvalidNumber},
      {"id: " + std::string(100, '1'), StreamFault::kInvalidNumber},
      {"id: 1\ndata: b\n\n", StreamFault::kIdNotRising},
      {"id: 0\ndata: b\n\n", StreamFault::kIdNotRising},
      {"id: 2\nid: 3\ndata: b\n\n", StreamFault::kRepeatedField},
      {"versions: 1\nversions: 2\nid: 2\ndata: b\n\n", StreamFault::kRepeatedField},
      {"versions: new\nid: 2\ndata: b\n\n", StreamFault::kInvalidNumber},
      {"id: 2\nversions: 2\ndata: b\n\n", StreamFault::kMisplacedVersion},
      {"retry: soon\n\n", StreamFault::kInvalidNumber},
      {std::string("id: 2\ndata: \0\n\n", 14), StreamFault::kNotText},
      {"id: 2\ndata: \x7F\n\n", StreamFault::kNotText},
      {"id: 2\ndata: \xFF\n\n", StreamFault::kNotText},
      {"id: 2\ndata: \xC3\n\n", StreamFault::kNotText},
      {"id: 2\ndata: \xC0\xAF\n\n", StreamFault::kNotText},
      {"id: 2\ndata: \xED\xA0\x80\n\n", StreamFault::kNotText},
      {"id: 2\ndata: \xF5\x80\x80\x80\n\n", StreamFault::kNotText},
      {"id: 2\ndata: b\n", StreamFault::kUnfinished},
      {"id: 2\ndata: b", StreamFault::kUnfinished},
      {"id: 2\n", StreamFault::kUnfinished},
      {"i", StreamFault::kUnfinished},
  };
  for (const auto& [garbage, fault] : cases) {
    EXPECT_EQ(FaultIn(event + garbage), fault) << garbage;
    EXPECT_EQ(FaultIn(event + garbage, 1000), fault) << garbage;
  }
  EXPECT_EQ(FaultIn(""), StreamFault::kEmpty);
  EXPECT_EQ(FaultIn(": nothing\n\n"), StreamFault::kEmpty);
}

TEST(EventStream, NothingIsReturnedOfTheBytesInWhichAFaultIsFound) {
  EventStream events;
  events.BeginRun();
  EXPECT_EQ(events.Append("id: 1\ndata: a\n\n"), "id: 1\ndata: a\n\n");
  // The first blank line may be part of the garbage, and the event longer than it looks.
  EXPECT_EQ(events.Append("id: 2\ndata: b\n\ngarbage\n\n"), "");
  EXPECT_EQ(events.fault(), StreamFault::kUnknownField);
  EXPECT_EQ(events.last_id(), "1");
  EXPECT_EQ(events.Append("id: 2\ndata: b\n\n"), "");
  EXPECT_EQ(events.Finish(), "");
  events.BeginRun();
  EXPECT_EQ(events.Append("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(events.last_id(), "2");
}

TEST(EventStream, ARunThatContinuesAStreamGoesOnAfterItsLastId) {
  EventStream events;
  events.BeginRun();
  events.Append("id: 3\ndata: a\n\nid: 4\nda");
  events.BeginRun();
  EXPECT_EQ(events.Append("\xEF\xBB\xBFid: 4\ndata: b\n\n"), "id: 4\ndata: b\n\n");
  events.BeginRun();
  EXPECT_EQ(events.Append("id: 4\ndata: b\n\n"), "");
  EXPECT_EQ(events.fault(), StreamFault::kIdNotRising);
  EventStream resumed;
  resumed.ContinueAfter("7");
  resumed.BeginRun();
  EXPECT_EQ(resumed.Finish(), "");  // the client already had the last event
  EXPECT_EQ(resumed.fault(), StreamFault::kNone);
  resumed.Append("id: 7\ndata: a\n\n");
  EXPECT_EQ(resumed.fault(), StreamFault::kIdNotRising);
}

TEST(EventStream, AnOverlongEventIsForwardedInPiecesOnceItsIdIsKnown) {
  EventStream events;
  events.BeginRun();
  const std::string begin = "id: 1\ndata: " + std::string(EventStream::kMaxHeldBytes, 'x');
  EXPECT_EQ(events.Append(begin), begin);
  EXPECT_TRUE(events.returned_partial_event());
  EXPECT_EQ(events.last_id(), "");
  EXPECT_EQ(events.Append("yy\ndata: z\n\n"), "yy\ndata: z\n\n");
  EXPECT_FALSE(events.returned_partial_event());
  EXPECT_EQ(events.last_id(), "1");
  EXPECT_EQ(events.Append("id: 2\ndata: " + std::string(EventStream::kMaxHeldBytes, 'x')).size(),
            begin.size());
  EXPECT_EQ(events.Append("\ngarbage\n\n"), "");
  EXPECT_EQ(events.fault(), StreamFault::kUnknownField);
  EXPECT_TRUE(events.returned_partial_event());

  EventStream nameless;
  nameless.BeginRun();
  EXPECT_EQ(nameless.Append("data: " + std::string(EventStream::kMaxHeldBytes, 'x')), "");
  EXPECT_EQ(nameless.fault(), StreamFault::kOversized);
  EventStream endless;
  endless.BeginRun();
  endless.Append(std::string(100, 'x'));
  EXPECT_EQ(endless.fault(), StreamFault::kUnknownField);  // long before it fills the memory
  EventStream comment;
  comment.BeginRun();
  const std::string long_comment = ":" + std::string(EventStream::kMaxHeldBytes, 'x');
  EXPECT_EQ(comment.Append(long_comment), long_comment);
  EXPECT_FALSE(comment.returned_partial_event());
  EXPECT_EQ(comment.Append("x\nid: 1\ndata: a\n\n"), "x\nid: 1\ndata: a\n\n");
}

}  // namespace
}  // namespace kestrelline::data_plane
