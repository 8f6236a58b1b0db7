// SPDX-License-Identifier: Apache-2.0
#include "fleet_soak/traffic.h"

#include <boost/asio/write.hpp>
#include <optional>
#include <utility>

#include "http/sockets.h"

namespace kestrelline::fleet_soak {

using namespace http;

namespace {

constexpr Time kConnectTimeout{1000};
constexpr Time kAfterRefusedConnection{50};
constexpr Time kClientGraceAfterDeadline{3000};  // then the client gives up on an answer
constexpr Time kBetweenCalls{30};
constexpr Time kCallDeadline{2000};
constexpr int kAnyRunningPercent = 15;
constexpr int kPercent = 100;
constexpr int kHighLongWorkPercent = 80;
constexpr int kLowLongWorkPercent = 10;
constexpr std::size_t kMaxResponseBytes = 1024 * 1024;

int Between(std::mt19937_64& random, int min, int max) {
  return min + static_cast<int>(random() % static_cast<std::uint64_t>(max - min + 1));
}

bool Streams(Kind kind) { return kind == Kind::kStream || kind == Kind::kResumable; }

}  // namespace

Traffic::Traffic(Fleet& fleet, const Site& site, Ledger& ledger, std::uint64_t seed)
    : fleet_(fleet), site_(site), ledger_(ledger), seed_(seed) {}

void Traffic::Start(int clients) {
  running_ += clients;
  for (int i = 0; i < clients; ++i) asio::co_spawn(fleet_.io(), RunClient(i), asio::detached);
}

Awaitable<void> Traffic::RunClient(int client) {
  constexpr std::uint64_t kStride = 1000;  // over the number of clients
  Random random(seed_ * kStride + static_cast<std::uint64_t>(client));
  Habits habits;
  habits.keeps_connection = Between(random, 1, 10) <= 7;
  habits.sends_at_once = Between(random, 1, 2) == 1;
  habits.through_relay = Between(random, 1, 4) == 1;
  habits.long_work_percent = Between(random, 1, 2) == 1 ? kHighLongWorkPercent : kLowLongWorkPercent;
  while (!stopping_) {
    const Node* const edge = Choose(random);
    if (edge == nullptr) {
      co_await fleet_.Sleep(kAfterRefusedConnection);
    } else {
      co_await UseConnection(*edge, habits, random);
    }
  }
  --running_;
}

void Traffic::StartCaller(const Node& gateway) {
  ++running_;
  asio::co_spawn(fleet_.io(), RunCaller(gateway), asio::detached);
}

// A connection that the gateway takes is answered, whatever becomes of its process; one that it does not take
// is no loss.
Awaitable<void> Traffic::RunCaller(const Node& gateway) {
  while (!stopping_) {
    co_await fleet_.Sleep(kBetweenCalls);
    Connection connection(fleet_.io());
    const auto until = steady_clock::now() + kConnectTimeout;
    if (!gateway.running || co_await Connect(connection.stream, site_.Gateway(gateway.index), until))
      continue;
    Request request;
    request.id = "s" + std::to_string(seed_) + "-" + gateway.name + "-" + std::to_string(next_++);
    request.kind = Kind::kSafe;
    request.deadline = kCallDeadline;
    request.life = gateway.life;
    co_await Exchange(connection, request,
                      "GET /-/config HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n");
    ledger_.requests.push_back(std::move(request));
  }
  --running_;
}

// Mostly one that seemed ready two seconds ago, sometimes any that runs.
const Node* Traffic::Choose(Random& random) const {
  const bool any = Between(random, 1, kPercent) <= kAnyRunningPercent;
  std::vector<const Node*> nodes;
  for (const auto& node : fleet_.edges) {
    if (any ? node->running : Fleet::SeemsReady(*node)) nodes.push_back(node.get());
  }
  return nodes.empty() ? nullptr : nodes[random() % nodes.size()];
}

Awaitable<bool> Traffic::Open(Connection& connection, const Node& edge, bool through_relay) {
  const node::Endpoint there = through_relay ? site_.FrontRelay(edge.index) : site_.Front(edge.index);
  co_return !co_await Connect(connection.stream, there, steady_clock::now() + kConnectTimeout);
}

Awaitable<void> Traffic::UseConnection(const Node& edge, Habits habits, Random& random) {
  Connection connection(fleet_.io());
  if (!edge.running || !co_await Open(connection, edge, habits.through_relay)) {
    co_await fleet_.Sleep(kAfterRefusedConnection);
    co_return;
  }
  const std::size_t life = edge.life;
  bool goes_on = true;
  while (goes_on && !stopping_ && StillOpen(connection, edge, life)) {
    int work_ms = 0, between_ms = 0;
    Request request = Draw(edge, habits, random, work_ms, between_ms);
    request.life = life;
    if (habits.through_relay) request.relay = edge.relay_number;
    const std::string text = TextOf(request, !habits.keeps_connection, work_ms, between_ms);
    goes_on = co_await Exchange(connection, request, text) && habits.keeps_connection;
    const bool refused = request.status / 100 != 2;
    ledger_.requests.push_back(std::move(request));
    if (!habits.sends_at_once || refused) co_await fleet_.Sleep(Time(Between(random, 5, 400)));
  }
}

// Bytes that nobody asked for would be taken for the next request's answer.
bool Traffic::StillOpen(Connection& connection, const Node& edge, std::size_t life) {
  const Peeked peeked = Peek(connection.stream.socket());
  if (peeked == Peeked::kBytes || connection.buffer.size() > 0) {
    ledger_.Note({fleet_.Now(), "MIXED", ledger_.lives.at(life).name, "",
                  "bytes after the end of an answer of " + edge.name});
    return false;
  }
  return peeked == Peeked::kNothing;
}

Request Traffic::Draw(const Node& edge, const Habits& habits, Random& random, int& work_ms, int& between_ms) {
  Request request;
  request.id = "s" + std::to_string(seed_) + "-" + edge.name + "-" + std::to_string(next_++);
  const int kind = Between(random, 1, 10);
  request.kind = kind <= 4   ? Kind::kUnsafe
                 : kind <= 6 ? Kind::kSafe
                 : kind <= 8 ? Kind::kStream
                             : Kind::kResumable;
  request.deadline = Time(Between(random, 1500, 8000));
  const bool long_work = Between(random, 1, kPercent) <= habits.long_work_percent;
  if (Streams(request.kind)) {
    request.events = long_work ? Between(random, 30, 60) : Between(random, 3, 12);
    between_ms = long_work ? 100 : Between(random, 1, 10);
    if (long_work) request.deadline = Time(8000);
  } else if (long_work) {
    work_ms = Between(random, 100, 3000);
  }
  return request;
}

std::string Traffic::TextOf(const Request& request, bool last, int work_ms, int between_ms) const {
  const std::string body = "hello";
  std::string text = "POST " + std::string(PathOf(request.kind)) +
                     "x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + request.id +
                     "\r\nDeadline-Ms: " + std::to_string(request.deadline.count()) + "\r\n";
  if (last) text += "Connection: close\r\n";
  if (work_ms > 0) text += "Work-Ms: " + std::to_string(work_ms) + "\r\n";
  if (Streams(request.kind)) {
    text += "Model-Name: m\r\nToken-Count: 900,50\r\nPrompt-Prefix: aa:800," + request.id +
            ":100\r\nStream-Events: " + std::to_string(request.events) +
            "\r\nStream-Between-Ms: " + std::to_string(between_ms) + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Awaitable<bool> Traffic::Exchange(Connection& connection, Request& request, std::string text) {
  connection.stream.expires_after(kConnectTimeout);
  const auto [write_error, written] =
      co_await asio::async_write(connection.stream, asio::buffer(text), kTuple);
  request.sent = request.ended = fleet_.Now();
  if (write_error) co_return false;
  connection.stream.expires_after(request.deadline + kClientGraceAfterDeadline);
  bhttp::response_parser<bhttp::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  const auto [error, read] = co_await bhttp::async_read(connection.stream, connection.buffer, parser, kTuple);
  request.ended = fleet_.Now();
  const Response& answer = parser.get();
  if (parser.is_header_done()) {
    request.status = static_cast<int>(answer.result_int());
    request.answered_id = std::string(answer["Request-Id"]);
    request.stamp = std::string(answer["Server-Stamp"]);
    request.retry_after = answer.count("Retry-After") > 0;
    request.body = answer.body();
  }
  const bool framed = parser.is_header_done() && (parser.chunked() || parser.content_length());
  if (!error && framed) {
    request.ending = Ending::kAnswered;
    co_return answer.keep_alive();
  }
  const bool began = parser.got_some();
  request.ending = error == beast::error::timeout ? Ending::kGivenUp
                   : began                        ? Ending::kCut
                                                  : Ending::kNoAnswer;
  co_return false;
}

Awaitable<Request> Traffic::AskOnce(const Node& edge, Kind kind) {
  Connection connection(fleet_.io());
  Request request;
  request.id = "s" + std::to_string(seed_) + "-" + edge.name + "-after-" + std::to_string(next_++);
  request.kind = kind;
  request.deadline = Time(1500);
  request.events = Streams(kind) ? 3 : 0;
  request.life = edge.life;
  if (!co_await Open(connection, edge, false)) co_return request;
  co_await Exchange(connection, request, TextOf(request, true, 0, 1));
  ledger_.requests.push_back(request);
  co_return request;
}

}  // namespace kestrelline::fleet_soak
