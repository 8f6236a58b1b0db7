// SPDX-License-Identifier: Apache-2.0
//
// Traces from CSV and from access logs; what is wrong with these is told with its line.
#include "load/convert.h"

#include <gtest/gtest.h>

#include <sstream>

namespace kestrelline::load {
namespace {

Converted Csv(const std::string& text) {
  std::istringstream in(text);
  return FromCsv(in, "f");
}
Converted Log(const std::string& text) {
  std::istringstream in(text);
  return FromAccessLog(in, "f");
}
template <typename Read>
void ExpectRefused(Read read, const std::string& text, const std::string& part) {
  try {
    read(text);
    ADD_FAILURE() << text;
  } catch (const BadInput& error) {
    EXPECT_NE(std::string(error.what()).find(part), std::string::npos) << error.what();
  }
}

TEST(Convert, CsvBecomesATrace) {
  const auto all =
      Csv("at_us,class,tenant,key,bytes,outcome,latency_us\r\n"
          "2000,book,\"a, \"\"b\"\"\",0,10,served,700\r\n"
          "\n"
          "1000,look,acme,7,0,-,0\n");
  EXPECT_EQ(all.head.classes, (std::vector<std::string>{"book", "look"}));
  EXPECT_EQ(all.head.tenants, (std::vector<std::string>{"a, \"b\"", "acme"}));
  ASSERT_EQ(all.records.size(), 2u);
  EXPECT_EQ(all.records[0], (TraceRecord{{Microseconds(1000), 1, 1, 7, 0}, TraceOutcome::kNone, {}}));
  EXPECT_EQ(all.records[1],
            (TraceRecord{{Microseconds(2000), 0, 0, 0, 10}, TraceOutcome::kServed, Microseconds(700)}));
}

TEST(Convert, CsvNeedsTimesAndClassesAlone) {
  const auto all = Csv("class,at_us\nlook,5\n");
  ASSERT_EQ(all.records.size(), 1u);
  EXPECT_EQ(all.records[0].arrival.at, Microseconds(5));
  EXPECT_TRUE(all.head.tenants.empty());
}

TEST(Convert, WhatIsWrongWithCsvIsToldWithItsLine) {
  const std::string head = "at_us,class,bytes,outcome\n";
  ExpectRefused(Csv, "", "f: is empty");
  ExpectRefused(Csv, "at_us,klass\n", "f:1: there is no column 'klass'");
  ExpectRefused(Csv, "at_us,class,class\n", "f:1: two columns 'class'");
  ExpectRefused(Csv, "class\n", "'at_us' and 'class' are needed");
  ExpectRefused(Csv, head + "1,look,0\n", "f:2: 3 fields under 4 columns");
  ExpectRefused(Csv, head + "x,look,0,-\n", "f:2: 'x' is no at_us");
  ExpectRefused(Csv, head + ",look,0,-\n", "f:2: '' is no at_us");
  ExpectRefused(Csv, head + "-1,look,0,-\n", "f:2: '-1' is no at_us");
  ExpectRefused(Csv, head + "1,look,65537,-\n", "f:2: '65537' is no bytes");
  ExpectRefused(Csv, head + "1,look,-1,-\n", "f:2: '-1' is no bytes");
  ExpectRefused(Csv, head + "1,,0,-\n", "f:2: a request without a class");
  ExpectRefused(Csv, head + "1,look,0,odd\n", "f:2: 'odd' is no outcome");
  ExpectRefused(Csv, head + "1,\"look,0,-\n", "f:2: a quote is not closed");
  ExpectRefused(Csv, head + "1,\"look\"x,0,-\n", "f:2: there is more after a closed quote");
  ExpectRefused(Csv, head + std::string(70000, '1') + "\n", "f:2: a line of more than");
  std::string many = "at_us,class\n";
  for (int i = 0; i <= 1000; ++i) many += "1,c" + std::to_string(i) + "\n";
  ExpectRefused(Csv, many, "f:1002: more than 1,000 classes");
}

TEST(Convert, AnAccessLogBecomesATraceSpreadOverItsSeconds) {
  const auto all = Log(
      "127.0.0.1 - acme [30/Nov/2026:23:59:59 +0400] \"GET /preview/9?x=1 HTTP/1.1\" 200 2326\n"
      "127.0.0.1 - - [30/Nov/2026:20:00:01 +0000] \"POST /certify HTTP/1.1\" 503 - \"ref\" \"agent \\\" x\"\n"
      "127.0.0.1 - acme [30/Nov/2026:19:59:59 +0000] \"GET /preview/9 HTTP/1.1\" 404 0\n");
  EXPECT_EQ(all.head.classes, (std::vector<std::string>{"preview", "certify"}));
  EXPECT_EQ(all.head.tenants, (std::vector<std::string>{"acme", ""}));
  ASSERT_EQ(all.records.size(), 3u);
  EXPECT_EQ(all.records[0].arrival.at, Microseconds(0));
  EXPECT_EQ(all.records[1].arrival.at, Microseconds(500000));
  EXPECT_EQ(all.records[2].arrival.at, Microseconds(2000000));
  EXPECT_EQ(all.records[0].outcome, TraceOutcome::kServed);
  EXPECT_EQ(all.records[1].outcome, TraceOutcome::kFailed);
  EXPECT_EQ(all.records[2].outcome, TraceOutcome::kRefused);
  EXPECT_EQ(all.records[0].arrival.key, all.records[1].arrival.key);  // the query is no part of it
  EXPECT_NE(all.records[0].arrival.key, all.records[2].arrival.key);
}

TEST(Convert, WhatIsWrongWithAnAccessLogIsToldWithItsLine) {
  const auto line = [](const std::string& time, const std::string& rest) {
    return "h - - [" + time + "] " + rest + "\n";
  };
  const std::string good = "30/Nov/2026:23:59:59 +0400";
  ExpectRefused(Log, "", "f: there is no request in it");
  ExpectRefused(Log, "hello\n", "f:1: this is no line of an access log");
  for (const char* time :
       {"30/Nov/2026", "32/Nov/2026:23:59:59 +0400", "30/Nox/2026:23:59:59 +0400",
        "30/ovD/2026:23:59:59 +0400", "30/Nov/2026:24:59:59 +0400", "30/Nov/2026:23:59:59 0400"})
    ExpectRefused(Log, line(time, "\"GET / HTTP/1.1\" 200 1"), "f:1: this is no line");
  ExpectRefused(Log, line(good, "\"GET / HTTP/1.1 200 1"), "f:1: the request or its status is missing");
  ExpectRefused(Log, line(good, "\"GET / HTTP/1.1\" - 1"), "f:1: the status is none");
  ExpectRefused(Log, line(good, "\"GET / HTTP/1.1\" 99 1"), "f:1: the status is none");
  ExpectRefused(Log, line(good, "\"\\x16\\x03\" 400 1"), "is no request");
  ExpectRefused(Log, line(good, "\"GET / HTTP/1.1\" 200 1") + "x\n", "f:2: ");
}

}  // namespace
}  // namespace kestrelline::load
