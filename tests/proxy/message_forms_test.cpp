// SPDX-License-Identifier: Apache-2.0
//
// The message forms of HTTP/1.1 (RFC 9112 and 9110), from clients and from backends: sent at once, byte by
// byte and in random segments, with equal results.
#include <gtest/gtest.h>

#include <boost/asio/read_until.hpp>
#include <random>

#include "support/loopback.h"

namespace kestrelline::testing {
namespace {

enum class Segments { kWhole, kSingleBytes, kRandom };
constexpr Segments kAllSegments[] = {Segments::kWhole, Segments::kSingleBytes, Segments::kRandom};

void SendSegmented(Tcp::socket& socket, const std::string& bytes, Segments segments) {
  std::mt19937 random(20261201);
  socket.set_option(Tcp::no_delay(true));
  for (std::size_t at = 0; at < bytes.size();) {
    const std::size_t n = segments == Segments::kWhole         ? bytes.size()
                          : segments == Segments::kSingleBytes ? 1
                                                               : 1 + random() % 40;
    SendRaw(socket, bytes.substr(at, n));
    at += n;
  }
}

// A request, and what the backend must receive of it.
struct RequestForm {
  const char* name;
  std::string bytes;
  std::string target, body;
  unsigned status = 200;
  bool kept = true;
};

const std::string kLook = "Host: x\r\nReq-Id: 1\r\nReq-Kind: look\r\n";
const std::string kBook = "Host: x\r\nReq-Id: 1\r\nReq-Kind: book\r\n";

std::vector<RequestForm> Requests() {
  return {
      {"9112 6.3 length", "POST /book HTTP/1.1\r\n" + kBook + "Content-Length: 4\r\n\r\ntext", "/book",
       "text"},
      {"9112 7.1 chunks",
       "POST /book HTTP/1.1\r\n" + kBook +
           "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n",
       "/book", "abcd"},
      {"9112 7.1.1 extensions",
       "POST /book HTTP/1.1\r\n" + kBook +
           "Transfer-Encoding: chunked\r\n\r\n3;a=1;b=\"x\"\r\nabc\r\n0;last\r\n\r\n",
       "/book", "abc"},
      {"9112 7.1.2 trailers, which are no headers",
       "POST /book HTTP/1.1\r\n" + kBook +
           "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n3\r\nabc\r\n0\r\nX-T: 1\r\nIdempotency-Key: "
           "9\r\n\r\n",
       "/book", "abc"},
      {"9112 2.2 empty lines first", "\r\n\r\nGET /look HTTP/1.1\r\n" + kLook + "\r\n", "/look", ""},
      {"9112 3.2.2 absolute form", "GET http://service.internal:80/look/a?b=c HTTP/1.1\r\n" + kLook + "\r\n",
       "/look/a?b=c", ""},
      {"9110 7.6.1 several tokens",
       "GET /look HTTP/1.1\r\n" + kLook + "X-Hop: 1\r\nConnection: X-Hop, close\r\n\r\n", "/look", "", 200,
       false},
      {"9110 5.2 repeated fields", "GET /look HTTP/1.1\r\n" + kLook + "Accept: a\r\nAccept: b\r\n\r\n",
       "/look", ""},
      {"9112 9.3 version 1.0", "GET /look HTTP/1.0\r\n" + kLook + "\r\n", "/look", "", 200, false},
      {"9112 5 space round a value",
       "GET /look HTTP/1.1\r\nHost: x\r\nReq-Id:   1  \r\nReq-Kind:look\r\n\r\n", "/look", ""},
      {"a class that the path names not", "OPTIONS * HTTP/1.1\r\n" + kLook + "\r\n", "", "", 404, false},
      {"no absolute form of anything", "GET http://service.internal HTTP/1.1\r\n" + kLook + "\r\n", "", "",
       404, false},
      {"9112 6.1 both framings",
       "POST /book HTTP/1.1\r\n" + kBook + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "", "", 400, false},
      {"9112 6.1 chunks in 1.0",
       "POST /book HTTP/1.0\r\n" + kBook + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "", "", 400, false},
      {"9112 5.1 space before the colon", "GET /look HTTP/1.1\r\nHost : x\r\n" + kLook + "\r\n", "", "", 400,
       false},
      {"only empty lines", std::string(40, '\n') + "GET /look HTTP/1.1\r\n" + kLook + "\r\n", "", "", 400,
       false},
  };
}

TEST(MessageForms, RequestsAreParsedAlikeInEachSegmentation) {
  for (const RequestForm& form : Requests()) {
    for (const Segments segments : kAllSegments) {
      SCOPED_TRACE(std::string(form.name) + ", cut " + std::to_string(static_cast<int>(segments)));
      Backend backend;
      Site site(Members(MemberJson("s-1", backend.address())));
      site.Start();
      Client client(site.proxy->address);
      SendSegmented(client.socket, form.bytes, segments);
      const auto answer = client.Read();
      EXPECT_EQ(answer.result_int(), form.status);
      EXPECT_EQ(answer.keep_alive(), form.kept);
      const auto seen = backend.seen.Get().requests;
      ASSERT_EQ(seen.size(), form.status == 200 ? 1u : 0u);
      if (seen.empty()) continue;
      EXPECT_EQ(seen[0].target(), form.target);
      EXPECT_EQ(seen[0].body(), form.body);
      EXPECT_EQ(seen[0]["Req-Id"], "1");
      for (const char* not_passed : {"Connection", "X-Hop", "X-T", "Idempotency-Key", "Trailer"})
        EXPECT_EQ(seen[0].count(not_passed), 0u) << not_passed;
      if (form.kept) {
        EXPECT_EQ(client.Ask(WithId(Look(), "2")).result_int(), 200u);
      }
    }
  }
}

TEST(MessageForms, PipelinedRequestsAreAnsweredInOrderInEachSegmentation) {
  for (const Segments segments : kAllSegments) {
    Backend backend([](Tcp::socket& s, const HttpRequest& r) {
      SendRaw(s, OkAnswer(std::string(r["Req-Id"]) + std::string(r.body())));
      return true;
    });
    Site site(Members(MemberJson("s-1", backend.address())));
    site.Start();
    Client client(site.proxy->address);
    std::string all;
    for (int i = 0; i < 6; ++i) {
      const std::string id = std::to_string(i);
      all += i % 3 == 0   ? WithId(Look(), id)
             : i % 3 == 1 ? WithId(Book(), id)
                          : "\r\nPOST /book HTTP/1.1\r\nReq-Id: " + id +
                                "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n";
    }
    SendSegmented(client.socket, all, segments);
    for (int i = 0; i < 6; ++i) EXPECT_EQ(client.Read().body(), std::to_string(i) + (i % 3 ? "text" : ""));
  }
}

TEST(MessageForms, ExpectIsAnsweredBeforeTheBodyAndNotForwarded) {
  Backend backend;
  Site site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  for (const char* framing : {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n"}) {
    Client client(site.proxy->address);
    client.Send("POST /book HTTP/1.1\r\n" + kBook + "Expect: 100-continue\r\n" + framing + "\r\n");
    char line[25];
    asio::read(client.socket, asio::buffer(line));
    EXPECT_EQ(std::string(line, 25), "HTTP/1.1 100 Continue\r\n\r\n");
    client.Send(framing[0] == 'C' ? "text" : "4\r\ntext\r\n0\r\n\r\n");
    EXPECT_EQ(client.Read().result_int(), 200u);
    EXPECT_EQ(backend.seen.Get().requests.back().count("Expect"), 0u);
    EXPECT_EQ(backend.seen.Get().requests.back().body(), "text");
  }
  Client old(site.proxy->address);  // HTTP/1.0 has no interim responses (RFC 9110, 10.1.1)
  old.Send("POST /book HTTP/1.0\r\n" + kBook + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\ntext");
  EXPECT_EQ(old.Read().result_int(), 200u);
}

TEST(MessageForms, AHeadResponseHasNoBody) {
  Backend backend;
  Site site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  Client client(site.proxy->address);
  client.Send("HEAD /ready HTTP/1.1\r\nHost: x\r\n\r\n" + Look());
  std::string text(static_cast<std::size_t>(4096), ' ');
  const std::size_t n = asio::read_until(client.socket, asio::dynamic_buffer(text), "\r\n\r\nHTTP/1.1 200");
  EXPECT_EQ(text.substr(4096, 12), "HTTP/1.1 200");
  EXPECT_GT(n, 4096u);
}

struct ResponseForm {
  const char* name;
  std::string bytes;
  std::string body;
  unsigned status = 200;
  bool ends = false;  // the backend closes the connection
};

TEST(MessageForms, ResponsesAreParsedAlikeInEachSegmentation) {
  const std::vector<ResponseForm> answers = {
      {"9112 6.3 length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", "fine"},
      {"9112 7.1 chunks, extensions, trailers",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=\"y\"\r\nfi\r\n2\r\nne\r\n0\r\nX-T: "
       "1\r\n\r\n",
       "fine"},
      {"9112 6.3 until its end", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfine", "fine", 200, true},
      {"9112 6.3 until its end, 1.0", "HTTP/1.0 200 OK\r\n\r\nfine", "fine", 200, true},
      {"9110 15.2 interim answers first",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 "
       "OK\r\nContent-Length: 4\r\n\r\nfine",
       "fine"},
      {"9110 15.3.5 no content is no body of a 200", "HTTP/1.1 204 No Content\r\n\r\n", "failed\n", 502},
      {"9110 15.4.5 not modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", "failed\n", 502},
      {"an empty body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
      {"9112 6.3 cut short", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfine", "failed\n", 502, true},
      {"9112 8 chunks cut short", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n",
       "failed\n", 502, true},
      {"9110 15.2.2 another protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "failed\n", 502},
  };
  for (const ResponseForm& form : answers) {
    for (const Segments segments : kAllSegments) {
      SCOPED_TRACE(std::string(form.name) + ", cut " + std::to_string(static_cast<int>(segments)));
      Backend backend([&](Tcp::socket& s, const HttpRequest&) {
        SendSegmented(s, form.bytes, segments);
        return !form.ends;
      });
      Site site(Members(MemberJson("s-1", backend.address())));
      site.Start();
      Client client(site.proxy->address);
      for (int i = 0; i < 2; ++i) {
        const auto answer = client.Ask(Book());
        EXPECT_EQ(answer.result_int(), form.status);
        EXPECT_EQ(answer.body(), form.body);
        EXPECT_EQ(answer.count("X-T"), 0u);
      }
      EXPECT_EQ(backend.seen.Get().requests.size(), 2u);
    }
  }
}

}  // namespace
}  // namespace kestrelline::testing
