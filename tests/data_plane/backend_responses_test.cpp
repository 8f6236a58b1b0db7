// SPDX-License-Identifier: Apache-2.0
//
// What a backend sends beside its streams: heads, loads, handles, stage reports; and the counters of its
// faults.
#include <gtest/gtest.h>

#include "backend_faults/backend_faults.h"
#include "control_plane/stage_orders.h"
#include "data_plane/backend_table.h"
#include "data_plane/prefill_response.h"
#include "data_plane/response_head.h"

namespace kestrelline::data_plane {
namespace {

using Head = http::bhttp::response<http::bhttp::buffer_body>;

Head Sound(unsigned status = 200) {
  Head head;
  head.result(status);
  head.set("Request-Id", "r1");
  head.set("Server-Stamp", "a0");
  return head;
}

TEST(ResponseHead, ValidHeads) {
  Head head = Sound();
  EXPECT_EQ(CheckHead(head, ExpectedResponse::kEvents), HeadFault::kNone);
  head.set("Content-Type", "Text/Event-Stream ; charset=utf-8");
  EXPECT_EQ(CheckHead(head, ExpectedResponse::kEvents), HeadFault::kNone);
  head.set("Content-Encoding", "identity");
  EXPECT_EQ(CheckHead(head, ExpectedResponse::kEvents), HeadFault::kNone);
  head = Sound(503);
  head.erase("Server-Stamp");
  head.set("Not-Executed", "1");
  EXPECT_EQ(CheckHead(head, ExpectedResponse::kWhole), HeadFault::kNone);
  head = Sound();
  head.erase("Server-Stamp");
  EXPECT_EQ(CheckHead(head, ExpectedResponse::kPrefill), HeadFault::kNone);
}

TEST(ResponseHead, InvalidHeads) {
  EXPECT_EQ(CheckHead(Sound(999), ExpectedResponse::kWhole), HeadFault::kStatus);
  Head head = Sound();
  head.insert("Request-Id", "r2");
  EXPECT_EQ(CheckHead(head, ExpectedResponse::kPrefill), HeadFault::kRequestId);
  head = Sound();
  head.set("Not-Executed", "1");
  EXPECT_EQ(CheckHead(head, ExpectedResponse::kWhole), HeadFault::kContradiction);
  for (const unsigned status : {408u, 429u, 503u}) {
    EXPECT_EQ(CheckHead(Sound(status), ExpectedResponse::kEvents), HeadFault::kContradiction) << status;
  }
  head = Sound();
  head.insert("Server-Stamp", "a1");
  EXPECT_EQ(CheckHead(head, ExpectedResponse::kWhole), HeadFault::kStamp);
  head.erase("Server-Stamp");
  EXPECT_EQ(CheckHead(head, ExpectedResponse::kWhole), HeadFault::kStamp);
  head = Sound();
  head.set("Content-Encoding", "gzip");
  EXPECT_EQ(CheckHead(head, ExpectedResponse::kWhole), HeadFault::kEncoding);
  for (const char* versions : {"", "new", "1,2", "-1", "123456789012345678901"}) {
    head = Sound();
    head.set("Versions", versions);
    EXPECT_EQ(CheckHead(head, ExpectedResponse::kWhole), HeadFault::kVersions) << versions;
  }
  head.set("Versions", "1");
  EXPECT_EQ(CheckHead(head, ExpectedResponse::kEvents), HeadFault::kNone);
  head.insert("Versions", "2");
  EXPECT_EQ(CheckHead(head, ExpectedResponse::kPrefill), HeadFault::kVersions);
  head = Sound();
  head.set("Content-Type", "text/html");
  EXPECT_EQ(CheckHead(head, ExpectedResponse::kEvents), HeadFault::kContentType);
  EXPECT_EQ(CheckHead(head, ExpectedResponse::kWhole), HeadFault::kNone);
}

TEST(BackendLoad, IsTakenWholeOrNotAtAll) {
  LoadHint hint;
  EXPECT_TRUE(ParseLoad("3,0,8", hint));
  EXPECT_TRUE(ParseLoad(" 4 , 1 , 16 ", hint));
  EXPECT_EQ(hint.running, 4);
  EXPECT_EQ(hint.waiting, 1);
  EXPECT_EQ(hint.slots, 16);
  for (const char* text : {"", "1", "1,2", "1,2,3,4", "1,,2", "1,2,3x", "-1,0,8", "a,b,c", "1 2 3", ",1,2,3",
                           "2147483647,2147483647,1", "99999999999,0,8"}) {
    EXPECT_FALSE(ParseLoad(text, hint)) << text;
  }
  EXPECT_EQ(hint.running, 4);
  EXPECT_EQ(hint.slots, 16);
}

TEST(PrefillResponse, AHandleCannotBeginAFieldOrAnotherPath) {
  EXPECT_EQ(ParsePrefillResponse(R"({"kv_handle":"3fa09c41b7d5","tokens":1460,"version":1})"),
            "3fa09c41b7d5");
  EXPECT_EQ(ParsePrefillResponse(R"({"kv_handle":"a-b_c.D~9","tokens":0,"version":0})"), "a-b_c.D~9");
  const std::string long_handle(300, 'a');
  for (const std::string& handle :
       {std::string(R"(a\r\nRequest-Id: x)"), std::string("a b"), std::string("a/b"), std::string("a?b"),
        std::string(".."), std::string(""), std::string(R"(a\u0000b)"), long_handle}) {
    EXPECT_EQ(ParsePrefillResponse("{\"kv_handle\":\"" + handle + "\",\"tokens\":1,\"version\":1}"),
              std::nullopt)
        << handle;
  }
  for (const char* body :
       {"", "garbage", "[]", R"({"kv_handle":7,"tokens":1,"version":1})", R"({"kv_handle":"a"})",
        R"({"kv_handle":"a","tokens":-1,"version":1})", R"({"kv_handle":"a","tokens":1,"version":"new"})"}) {
    EXPECT_EQ(ParsePrefillResponse(body), std::nullopt) << body;
  }
}

TEST(StageReport, OnlyAWholeReportIsTaken) {
  using control_plane::ParseStageReport;
  const auto report = ParseStageReport(R"({"stage":"prefill","busy":true,"sequence":2,"waiting":1})");
  ASSERT_TRUE(report);
  EXPECT_TRUE(report->prefill);
  EXPECT_TRUE(report->busy);
  EXPECT_EQ(report->sequence, 2u);
  for (const char* body :
       {"", "garbage", "{}", R"({"stage":"garbage","busy":false,"sequence":2})",
        R"({"stage":"decode","busy":false,"sequence":-2})", R"({"stage":"decode","sequence":2})",
        R"({"stage":"decode","busy":"no","sequence":2})"}) {
    EXPECT_FALSE(ParseStageReport(body)) << body;
  }
}

TEST(BackendTable, AReusedAddressIsAskedAgainLater) {
  BackendTable table(1);
  wire::InstanceList list;
  list.instances.resize(1);
  list.instances[0].id = "i1";
  list.instances[0].service = "app";
  table.Update(list);
  const BackendPtr backend = table.Find("app", Stage::kAny)->backends.front();
  const TimePoint start(Duration(1000));
  backend->RecordReusedAddress(start);
  table.Tick(start + Duration(9000));
  EXPECT_FALSE(backend->InService());
  table.Tick(start + Duration(10000));
  EXPECT_TRUE(backend->InService());
}

TEST(BackendFaults, AreCountedByKindAndByBackend) {
  backend_faults::BackendFaults faults;
  faults.Report({backend_faults::Kind::kEvent, "i-1", "r1", "reason=missing_id"});
  faults.Report({backend_faults::Kind::kEvent, "i-\"2", "r2", ""});
  faults.Report({backend_faults::Kind::kLoad, "i-1", "r3", ""});
  EXPECT_EQ(faults.count(backend_faults::Kind::kEvent), 2u);
  const std::string text = faults.MetricsText();
  EXPECT_NE(text.find("kestrelline_backend_faults_total{kind=\"event\"} 2\n"), std::string::npos);
  EXPECT_NE(text.find("kestrelline_backend_faults_total{kind=\"report\"} 0\n"), std::string::npos);
  EXPECT_NE(text.find("kestrelline_backend_faults_by_backend_total{backend=\"i-1\"} 2\n"), std::string::npos);
  EXPECT_NE(text.find("kestrelline_backend_faults_by_backend_total{backend=\"i-\\\"2\"} 1\n"),
            std::string::npos);
  for (std::size_t i = 0; i < 2 * backend_faults::BackendFaults::kMaxBackends; ++i) {
    faults.Report({backend_faults::Kind::kEvent, "j" + std::to_string(i), "", ""});
  }
  EXPECT_EQ(faults.count(backend_faults::Kind::kEvent), 2u + 2 * backend_faults::BackendFaults::kMaxBackends);
  EXPECT_EQ(faults.MetricsText().find("j600"), std::string::npos);
}

}  // namespace
}  // namespace kestrelline::data_plane
