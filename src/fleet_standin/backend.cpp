// SPDX-License-Identifier: Apache-2.0
#include "fleet_standin/backend.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <utility>

#include "http/sockets.h"

namespace kestrelline::fleet_standin {
namespace {

using namespace http;

constexpr std::string_view kEndOfHead = "\r\n\r\n";
constexpr std::size_t kMaxBodyBytes = 8 * 1024 * 1024;
constexpr milliseconds kPauseBeforeBody{30};

int NumberOf(const bhttp::request<bhttp::string_body>& request, const char* field, int otherwise) {
  const std::string text(request[field]);
  return text.empty() ? otherwise : std::stoi(text);
}

std::string WithBody(std::string head, const std::string& body) {
  return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

HandleTable& HandleTable::Instance() {
  static HandleTable table;
  return table;
}
std::string HandleTable::Add(const std::string& address) {
  const std::lock_guard lock(mutex_);
  const std::string handle = "h" + std::to_string(next_++);
  handles_.insert(address + "/" + handle);
  return handle;
}
bool HandleTable::Take(const std::string& address_and_handle) {
  const std::lock_guard lock(mutex_);
  return handles_.erase(address_and_handle) > 0;
}
std::size_t HandleTable::size() const {
  const std::lock_guard lock(mutex_);
  return handles_.size();
}

FaultTable& FaultTable::Instance() {
  static FaultTable table;
  return table;
}
void FaultTable::Add(const std::string& request_id, const Entry& entry) {
  const std::lock_guard lock(mutex_);
  by_request_[request_id] = entry;
}
std::optional<FaultTable::Entry> FaultTable::Take(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  const auto entry = by_request_.extract(request_id);
  return entry ? std::optional(entry.mapped()) : std::nullopt;
}

Backend::Backend(asio::io_context& io, BackendOptions options)
    : io_(io), options_(std::move(options)), acceptor_(io) {}

std::error_code Backend::Listen() {
  const auto endpoint = node::ParseEndpoint(options_.instance.address);
  if (!endpoint) return std::make_error_code(std::errc::invalid_argument);
  const std::error_code error = OpenAcceptor(acceptor_, *endpoint);
  if (!error) asio::co_spawn(io_, Accept(), asio::detached);
  return error;
}

void Backend::Close() {
  error_code ignored;
  acceptor_.close(ignored);
}

void Backend::Expect(std::vector<Fault> faults) {
  const std::lock_guard lock(mutex_);
  faults_.insert(faults_.end(), faults.begin(), faults.end());
}
void Backend::ExpectGarbage(const Garbage& garbage) {
  const std::lock_guard lock(mutex_);
  faults_.push_back(Fault::kGarbage);
  garbage_.push_back(garbage);
}
void Backend::ExpectNoFaults() {
  const std::lock_guard lock(mutex_);
  faults_.clear();
  garbage_.clear();
}
Garbage Backend::NextGarbage() {
  const std::lock_guard lock(mutex_);
  if (garbage_.empty()) return {};
  const Garbage garbage = garbage_.front();
  garbage_.pop_front();
  return garbage;
}
Fault Backend::Next() {
  const std::lock_guard lock(mutex_);
  if (faults_.empty()) return Fault::kNone;
  const Fault fault = faults_.front();
  faults_.pop_front();
  return fault;
}
std::vector<Arrival> Backend::arrivals() const {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}
int Backend::Runs(const std::string& request_id) const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(std::count_if(arrivals_.begin(), arrivals_.end(), [&](const Arrival& arrival) {
    return arrival.ran && arrival.request_id == request_id;
  }));
}
std::size_t Backend::open_connections() const {
  const std::lock_guard lock(mutex_);
  return connections_;
}
wire::Instance Backend::instance() const {
  const std::lock_guard lock(mutex_);
  return options_.instance;
}
std::vector<std::string> Backend::orders() const {
  const std::lock_guard lock(mutex_);
  return orders_;
}
void Backend::Record(const Request& request, bool ran, Fault fault) {
  Arrival arrival;
  arrival.fault = fault;
  arrival.began = steady_clock::now();
  arrival.request_id = std::string(request["Request-Id"]);
  arrival.id_fields = request.count("Request-Id");
  arrival.target = std::string(request.target());
  arrival.body = request.body();
  arrival.stage = std::string(request["Serving-Stage"]);
  arrival.kv_from = std::string(request["Kv-From"]);
  arrival.last_event_id = std::string(request["Last-Event-Id"]);
  arrival.deadline_ms = std::string(request["Deadline-Ms"]);
  arrival.ran = ran;
  const std::lock_guard lock(mutex_);
  arrivals_.push_back(std::move(arrival));
}
void Backend::RecordEnd(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  const auto last = std::find_if(arrivals_.rbegin(), arrivals_.rend(), [&](const Arrival& arrival) {
    return !arrival.ended && arrival.request_id == request_id;
  });
  if (last != arrivals_.rend()) last->ended = steady_clock::now();
}

Awaitable<void> Backend::Accept() {
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(kTuple);
    if (error) continue;
    asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
  }
}

Awaitable<void> Backend::Serve(Tcp::socket socket) {
  {
    const std::lock_guard lock(mutex_);
    ++connections_;
  }
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  while (true) {
    bhttp::request_parser<bhttp::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    const auto [head_error, head_read] = co_await bhttp::async_read_header(stream, buffer, parser, kTuple);
    if (head_error) break;
    const bool early = TakeIfNext(Fault::kEarlyRefusal);
    if (early && !co_await RefuseEarly(stream, parser.get())) break;
    const auto [error, read] = co_await bhttp::async_read(stream, buffer, parser, kTuple);
    if (error) break;
    if (early) continue;
    const Request request = parser.release();
    const bool goes_on = co_await Answer(stream, request);
    RecordEnd(std::string(request["Request-Id"]));
    if (!goes_on) break;
  }
  stream.close();
  const std::lock_guard lock(mutex_);
  --connections_;
}

std::string Backend::Report() const {
  const std::lock_guard lock(mutex_);
  return std::string("{\"stage\":\"") + (options_.instance.prefill ? "prefill" : "decode") +
         "\",\"busy\":false,\"sequence\":" + std::to_string(orders_.size()) + "}";
}

bool Backend::TakeIfNext(Fault fault) {
  const std::lock_guard lock(mutex_);
  if (faults_.empty() || faults_.front() != fault) return false;
  faults_.pop_front();
  return true;
}

// Then a moment in which whoever sends the body sees the answer before it has sent all.
Awaitable<bool> Backend::RefuseEarly(beast::tcp_stream& stream, const Request& head) {
  Record(head, false);
  const std::string id(head["Request-Id"]);
  const bool sent = co_await Write(
      stream, WithBody(Head("503 Service Unavailable", id, false) + "Not-Executed: 1\r\n", ""));
  asio::steady_timer pause(io_, kPauseBeforeBody);
  co_await pause.async_wait(kTuple);
  co_return sent;
}

// A body without a length.
Awaitable<bool> Backend::AnswerUnframed(beast::tcp_stream& stream, const std::string& id, bool reset) {
  const std::string body = "body of " + id;
  const std::string head = Head("200 OK", id, true) + "Connection: close\r\n\r\n";
  const std::string sent = reset ? body.substr(0, body.size() / 2) : body;
  std::string text = head + sent;
  co_await Write(stream, std::move(text));
  error_code ignored;
  if (reset) {
    asio::steady_timer pause(io_, kPauseBeforeBody);  // what was sent arrives first
    co_await pause.async_wait(kTuple);
    stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  }
  co_return false;
}

Awaitable<bool> Backend::Write(beast::tcp_stream& stream, std::string text) {
  const auto [error, written] = co_await asio::async_write(stream, asio::buffer(text), kTuple);
  co_return !error;
}

std::string Backend::Head(const std::string& status, const std::string& request_id, bool stamped,
                          bool bad_load) const {
  std::string head = "HTTP/1.1 " + status + "\r\nRequest-Id: " + request_id + "\r\n";
  if (stamped) head += "Server-Stamp: " + options_.instance.id + "\r\n";
  if (bad_load) return head + "Backend-Load: 2147483647,2147483647,1\r\n";
  return head + "Backend-Load: 1,0," + std::to_string(options_.instance.slots) + "\r\n";
}

bool Backend::TakeHandle(const std::string& kv_from) { return HandleTable::Instance().Take(kv_from); }

Awaitable<bool> Backend::Answer(beast::tcp_stream& stream, const Request& request) {
  const std::string id(request["Request-Id"]);
  const std::string expected(request["Expect-Instance"]);
  if (!expected.empty() && expected != options_.instance.id) {
    co_return co_await Write(stream, WithBody("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id +
                                                  "\r\nInstance-Id: " + options_.instance.id + "\r\n",
                                              ""));
  }
  if (request.method() == bhttp::verb::delete_) {
    const std::string target(request.target());
    TakeHandle(options_.instance.address + target.substr(target.rfind('/')));
    co_return co_await Write(stream, WithBody("HTTP/1.1 200 OK\r\n", ""));
  }
  if (request.target() == "/-/report")
    co_return co_await Write(stream, WithBody("HTTP/1.1 200 OK\r\n", Report()));
  if (request.target() == "/-/order") {
    const Fault fault = Next();
    {
      const std::lock_guard lock(mutex_);
      orders_.push_back(request.body());
      options_.instance.prefill = request.body().find("\"stage\":\"prefill\"") != std::string::npos;
      options_.instance.decode = !options_.instance.prefill;
    }
    if (fault == Fault::kCloseUnanswered) co_return false;
    co_return co_await Write(stream, WithBody("HTTP/1.1 202 Accepted\r\n", ""));
  }
  Fault fault = Next();
  if (fault == Fault::kRefuse) {
    Record(request, false);
    co_return co_await Write(
        stream, WithBody(Head("503 Service Unavailable", id, false) + "Not-Executed: 1\r\n", ""));
  }
  if (fault == Fault::kMisdirect) {
    Record(request, false);
    co_return co_await Write(
        stream,
        WithBody("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id + "\r\nInstance-Id: other\r\n", ""));
  }
  if (request["Serving-Stage"] == "prefill") {
    Record(request, false);
    std::string handle = HandleTable::Instance().Add(options_.instance.address);
    if (fault == Fault::kBadHandle) handle += "\\r\\nRequest-Id: made-up";  // escaped as in JSON
    co_return co_await Write(stream,
                             WithBody(Head("200 OK", id, false),
                                      "{\"kv_handle\":\"" + handle + "\",\"tokens\":10,\"version\":1}"));
  }
  const std::string kv_from(request["Kv-From"]);
  if (!kv_from.empty() && !TakeHandle(kv_from)) {
    Record(request, false);
    co_return co_await Write(
        stream, WithBody(Head("503 Service Unavailable", id, false) + "Not-Executed: 1\r\n", ""));
  }
  const auto entry = FaultTable::Instance().Take(id);
  if (entry) fault = entry->fault;
  Record(request, true, fault);
  if (fault == Fault::kCloseUnanswered) co_return false;
  if (fault == Fault::kHang) {
    co_await stream.socket().async_wait(Tcp::socket::wait_read, kTuple);  // until its caller leaves
    co_return false;
  }
  if (fault == Fault::kError) {
    co_return co_await Write(stream, WithBody(Head("500 Internal Server Error", id, true), "oh"));
  }
  if (fault == Fault::kStrayAnswer) {
    if (!co_await Write(stream, WithBody(Head("200 OK", "of-another", true), "not yours"))) co_return false;
  }
  if (fault == Fault::kNamelessAnswer) {
    const std::string nameless = "HTTP/1.1 200 OK\r\nServer-Stamp: " + options_.instance.id + "\r\n";
    if (!co_await Write(stream, WithBody(nameless, "not yours"))) co_return false;
  }
  if (fault == Fault::kUnframed || fault == Fault::kUnframedReset) {
    co_return co_await AnswerUnframed(stream, id, fault == Fault::kUnframedReset);
  }
  const bool streams = options_.instance.decode || !request["Model-Name"].empty();
  if (const auto answer = SpoiledAnswer(id, fault)) co_return co_await Write(stream, *answer);
  if (streams && fault == Fault::kGarbage) {
    co_return co_await StreamWithGarbage(stream, request, entry ? entry->garbage : NextGarbage());
  }
  if (streams) co_return co_await Stream(stream, request, fault);
  if (const int work_ms = NumberOf(request, "Work-Ms", 0); work_ms > 0) {
    asio::steady_timer work(io_, milliseconds(work_ms));
    co_await work.async_wait(kTuple);
  }
  std::string answer =
      WithBody(Head("200 OK", id, fault != Fault::kNoStamp, fault == Fault::kBadLoad), "body of " + id);
  if (fault == Fault::kExtraAnswer) answer += std::string(answer);
  if (request.method() == bhttp::verb::head) answer.resize(answer.find(kEndOfHead) + kEndOfHead.size());
  co_return co_await Write(stream, std::move(answer));
}

// Whole answers that are spoiled, as bytes; empty for other faults.
std::optional<std::string> Backend::SpoiledAnswer(const std::string& id, Fault fault) const {
  const std::string head = Head("200 OK", id, true);
  const std::string event = EventText(1, "");
  switch (fault) {
    case Fault::kNoAnswer:
      return BytesOf(GarbageContent::kBinary) + "\r\n\r\n";
    case Fault::kContradiction:
      return WithBody(head + "Not-Executed: 1\r\n", event);
    case Fault::kFalsePromise:
      return WithBody(Head("503 Service Unavailable", id, true), "");
    case Fault::kTwoIds:
      return WithBody(head + "Request-Id: of-another\r\n", event);
    case Fault::kEncoded:
      return WithBody(head + "Content-Encoding: gzip\r\n", event);
    case Fault::kWrongType:
      return WithBody(head + "Content-Type: text/html\r\n", event);
    default:
      return std::nullopt;
  }
}

Awaitable<bool> Backend::Stream(beast::tcp_stream& stream, const Request& request, Fault fault) {
  const std::string id(request["Request-Id"]);
  const std::string last(request["Last-Event-Id"]);
  int event = last.empty() ? 0 : std::stoi(last);
  std::string head = Head("200 OK", id, fault != Fault::kNoStamp, fault == Fault::kBadLoad);
  head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  if (!co_await Write(stream, std::move(head))) co_return false;
  const int breaks_at = event + kEventsBeforeFault;
  const std::string padding(options_.padding_bytes, 'x');
  asio::steady_timer timer(io_);
  const int events = NumberOf(request, "Stream-Events", options_.events);
  const milliseconds between(
      NumberOf(request, "Stream-Between-Ms", static_cast<int>(options_.between.count())));
  while (event < events) {
    ++event;
    const std::string text = EventText(event, padding);
    if (fault == Fault::kBreakStream && event > breaks_at) {
      co_await Write(stream, Chunk(text.substr(0, text.size() / 2)));
      co_return false;
    }
    if (!co_await Write(stream, Chunk(text))) co_return false;
    timer.expires_after(between);
    co_await timer.async_wait(kTuple);
  }
  co_return co_await Write(stream, std::string(kLastChunk));
}

Awaitable<bool> Backend::StreamWithGarbage(beast::tcp_stream& stream, const Request& request,
                                           Garbage garbage) {
  const std::string last(request["Last-Event-Id"]);
  StreamText text;
  text.first_event = last.empty() ? 1 : std::stoi(last) + 1;
  text.last_event = NumberOf(request, "Stream-Events", options_.events);
  text.padding = std::string(options_.padding_bytes, 'x');
  const milliseconds between(
      NumberOf(request, "Stream-Between-Ms", static_cast<int>(options_.between.count())));
  const bool framed = garbage.framing != GarbageFraming::kUnframed;
  std::string head = Head("200 OK", std::string(request["Request-Id"]), true);
  head += "Content-Type: text/event-stream\r\n";
  head += framed ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n";
  if (!co_await Write(stream, std::move(head))) co_return false;
  asio::steady_timer timer(io_);
  for (const std::string& piece : BodyWithGarbage(text, garbage)) {
    if (!co_await Write(stream, piece)) co_return false;
    timer.expires_after(between);
    co_await timer.async_wait(kTuple);
  }
  co_return framed;
}

}  // namespace kestrelline::fleet_standin
