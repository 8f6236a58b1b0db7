// SPDX-License-Identifier: Apache-2.0
#include "load/engine.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace kestrelline::load {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::size_t kMostAnswer = 64 * 1024;
constexpr double kMostRetryAfter = 3600;        // seconds
constexpr std::chrono::seconds kPassedOver{1};  // a target that could not be reached

bool IsLocal(const Error& failed) {
  return failed == asio::error::no_descriptors ||
         failed == boost::system::errc::too_many_files_open_in_system;
}

// The Req-Id in a stand-in converter's answer.
std::string MadeFor(std::string_view body) {
  if (!body.starts_with(kMadeFor)) return "";
  body.remove_prefix(kMadeFor.size());
  return std::string(body.substr(0, body.find('\n')));
}

Microseconds RetryAfter(const http::fields& fields, Microseconds otherwise) {
  const auto found = fields.find(http::field::retry_after);
  if (found == fields.end()) return otherwise;
  const std::string text(found->value().data(), found->value().size());
  char* end = nullptr;
  const double seconds = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(seconds >= 0 && seconds <= kMostRetryAfter)) return otherwise;
  return Microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace

// A client's connection: opened for a request, kept for the next.
class Engine::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Engine& engine, std::size_t target)
      : engine_(&engine), target_(target), socket_(engine.io_), deadline_(engine.io_) {}

  std::size_t target() const { return target_; }

  void Serve(RequestPtr request) {
    request_ = std::move(request);
    ++use_;
    begun_ = sent_ = false;
    if (request_->sent.count() < 0 && engine_->Now() >= engine_->DeadlineOf(*request_))
      return Finish(Outcome::kUnsent, open_);
    text_ = engine_->Text(*request_);
    if (request_->sent.count() < 0) request_->sent = engine_->Now();
    engine_->Arm(deadline_, engine_->DeadlineOf(*request_) + (engine_->on_event_ ? kSlack : Microseconds(0)));
    deadline_.async_wait([self = shared_from_this(), use = use_](const Error& cancelled) {
      if (cancelled || !self->request_ || use != self->use_) return;
      self->Tell(Event::Kind::kGaveUp);
      self->Finish(Outcome::kGaveUp, false);
    });
    if (open_) return Write();
    socket_.async_connect(engine_->targets_[target_],
                          [self = shared_from_this(), use = use_](const Error& failed) {
                            if (!self->request_ || use != self->use_) return;
                            if (failed) return self->OnUnreached(failed);
                            Error ignored;
                            self->socket_.set_option(Tcp::no_delay(true), ignored);
                            self->open_ = true;
                            self->Write();
                          });
  }

  // Idle: notices its end.
  void Watch() {
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), use = use_](const Error& failed) {
      if (use == self->use_ && failed != asio::error::operation_aborted) self->Close();
    });
  }

  void Close() {
    if (std::exchange(closed_, true)) return;
    Error ignored;
    socket_.close(ignored);
    deadline_.cancel();
    if (engine_) engine_->Forget(this);
  }
  void Orphan() {
    engine_ = nullptr;
    request_ = nullptr;
    Close();
  }

 private:
  void Write() {
    if (engine_->Now() >= engine_->DeadlineOf(*request_)) return Finish(Outcome::kGaveUp, true);
    Tell(Event::Kind::kSent);
    sent_ = true;
    asio::async_write(socket_, asio::buffer(text_),
                      [self = shared_from_this(), use = use_](const Error& failed, std::size_t) {
                        if (!self->request_ || use != self->use_) return;
                        if (failed) return self->OnBroken(false);
                        self->Read();
                      });
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMostAnswer);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this(), use = use_](const Error& failed, std::size_t) {
                       if (!self->request_ || use != self->use_) return;
                       self->begun_ = self->parser_->got_some();
                       if (failed) return self->OnBroken(true);
                       self->OnAnswer();
                     });
  }

  // Nothing was sent: another target serves as well. Without a descriptor none does, but a connection that is
  // there will.
  void OnUnreached(const Error& failed) {
    Engine* engine = engine_;
    if (IsLocal(failed) && engine->connections_.size() > 1) {
      engine->ran_out_at_ = engine->connections_.size() - 1;
      return PlaceElsewhere();
    }
    engine->down_until_[target_] = Steady::now() + kPassedOver;
    if (++request_->unreached >= engine->targets_.size()) return Finish(Outcome::kFailed, false);
    PlaceElsewhere();
  }

  // The same try goes on another connection: nobody has read it.
  void PlaceElsewhere() {
    const auto self = shared_from_this();
    RequestPtr request = std::exchange(request_, nullptr);
    --request->tries;
    Engine* engine = engine_;
    Close();
    engine->Place(std::move(request));
  }

  // A kept connection may have been closed just as this request was written: it was not read then. An answer
  // that was begun and cannot be finished is one that failed, and its client can tell.
  void OnBroken(bool written) {
    const bool kept = use_ > 1 && !begun_;
    if (begun_) {
      Tell(Event::Kind::kAnswered, "", static_cast<int>(Answer::kFailed));
    } else {
      Tell(kept || !written ? Event::Kind::kCrossed : Event::Kind::kEnded);
    }
    if (!kept || request_->again) return Finish(Outcome::kFailed, false);
    request_->again = true;
    PlaceElsewhere();
  }

  void OnAnswer() {
    const auto& answer = parser_->get();
    const unsigned status = answer.result_int();
    const bool keep = parser_->keep_alive() && buffer_.size() == 0;
    const bool refused = status == 429 || status == 503;
    const Answer told = status == 200 ? Answer::kServed : refused ? Answer::kRefused : Answer::kFailed;
    if (engine_->on_event_)
      Tell(Event::Kind::kAnswered, status == 200 ? MadeFor(answer.body()) : "", static_cast<int>(told));
    if (refused && request_->tries <= engine_->plan_.retries) {
      const Microseconds pause = RetryAfter(answer, engine_->plan_.retry_pause);
      if (engine_->Now() + pause < engine_->DeadlineOf(*request_)) {
        const auto self = shared_from_this();
        RequestPtr request = std::exchange(request_, nullptr);
        Engine* engine = engine_;
        Rest(keep);
        return engine->TryAgain(std::move(request), pause);
      }
    }
    const bool late = engine_->Now() > engine_->DeadlineOf(*request_);  // only while it is Watched
    Finish(late            ? Outcome::kGaveUp
           : status == 200 ? Outcome::kServed
           : refused       ? Outcome::kRefused
                           : Outcome::kFailed,
           keep);
  }

  void Tell(Event::Kind kind, const std::string& subject = "", int number = 0) {
    if (kind != Event::Kind::kSent && !sent_) return;
    engine_->Say(kind, *request_, target_, subject, number);
  }

  void Finish(Outcome outcome, bool keep) {
    const auto self = shared_from_this();
    const RequestPtr request = std::exchange(request_, nullptr);
    Engine* engine = engine_;
    Rest(keep);
    engine->End(request, outcome);
  }

  void Rest(bool keep) {
    deadline_.cancel();
    if (keep) {
      parser_.reset();  // otherwise a read may be on its way, and with its answer here already
      engine_->ServeWaiting(shared_from_this());
    } else {
      Close();
    }
  }

  Engine* engine_;
  std::size_t target_;
  Tcp::socket socket_;
  asio::steady_timer deadline_;
  boost::beast::flat_buffer buffer_{kMostAnswer + 16 * 1024};
  std::optional<http::response_parser<http::string_body>> parser_;
  RequestPtr request_;
  std::string text_;
  std::uint64_t use_ = 0;
  bool open_ = false, closed_ = false, begun_ = false, sent_ = false;
};

Engine::Engine(asio::io_context& io, const Plan& plan, std::vector<Tcp::endpoint> targets, Source source,
               OnEnd on_end)
    : io_(io),
      plan_(plan),
      targets_(std::move(targets)),
      source_(std::move(source)),
      on_end_(std::move(on_end)),
      due_(io),
      overdue_(io),
      idle_(targets_.size()),
      down_until_(targets_.size()) {}

Engine::~Engine() {
  const auto connections = std::move(connections_);
  connections_.clear();
  for (auto& idle : idle_) idle.clear();
  for (const auto& connection : connections) connection->Orphan();
}

Microseconds Engine::Now() {
  last_read_ = std::max(last_read_, std::chrono::duration_cast<Microseconds>(read_clock_() - start_));
  return last_read_;
}

Microseconds Engine::DeadlineOf(const Request& request) const {
  return request.arrival.at + plan_.classes[request.arrival.request_class].deadline;
}

void Engine::Start(std::function<void()> done) {
  done_ = std::move(done);
  start_ = read_clock_();
  next_ = source_();
  Pull();
}

void Engine::Stop() {
  if (std::exchange(stopped_, true)) return;
  due_.cancel();
  next_.reset();
  asio::post(io_, [this] { EndIfOver(); });
}

// Everything that is due now, then the timer of the next: a machine that wakes late sends all of it at once,
// and says so in the lateness.
void Engine::Pull() {
  while (next_ && !stopped_ && next_->at <= Now()) {
    auto request = std::make_shared<Request>();
    request->arrival = *next_;
    request->number = ++requests_;
    request->ready = Now();
    ++open_requests_;
    next_ = source_();
    Place(std::move(request));
  }
  if (!next_ || stopped_) return EndIfOver();
  Arm(due_, next_->at);
  due_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Pull();
  });
}

void Engine::Place(RequestPtr request) {
  const std::size_t first = turn_++ % targets_.size();
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    auto& idle = idle_[(first + i) % targets_.size()];
    // One that crossed a close goes on a new connection: others that are kept may have been closed as well.
    if (idle.empty() || request->again) continue;
    const auto connection = idle.back();
    idle.pop_back();
    return Assign(connection, std::move(request));
  }
  if (connections_.size() < (ran_out_at_ > 0 ? ran_out_at_ : plan_.connections)) {
    std::size_t target = first;
    const auto now = Steady::now();
    for (std::size_t i = 1; i < targets_.size() && down_until_[target] > now; ++i)
      target = (first + i) % targets_.size();
    const auto connection = std::make_shared<Connection>(*this, target);
    connections_.insert(connection);
    ++opened_;
    return Assign(connection, std::move(request));
  }
  if (waiting_.size() >= plan_.most_waiting) return End(request, Outcome::kUnsent);
  waiting_.push_back(std::move(request));
  ArmOverdue();
}

void Engine::Assign(const std::shared_ptr<Connection>& connection, RequestPtr request) {
  ++request->tries;
  connection->Serve(std::move(request));
}

void Engine::ServeWaiting(const std::shared_ptr<Connection>& connection) {
  DropOverdue();
  if (waiting_.empty()) {
    idle_[connection->target()].push_back(connection);
    return connection->Watch();
  }
  RequestPtr request = std::move(waiting_.front());
  waiting_.pop_front();
  Assign(connection, std::move(request));
}

// In the order of their arrival, which with deadlines by class is nearly that of their ends.
void Engine::DropOverdue() {
  const Microseconds now = Now();
  while (!waiting_.empty() && DeadlineOf(*waiting_.front()) <= now) {
    const RequestPtr request = std::move(waiting_.front());
    waiting_.pop_front();
    End(request, request->sent.count() < 0 ? Outcome::kUnsent : Outcome::kGaveUp);
  }
}

void Engine::ArmOverdue() {
  if (overdue_armed_ || waiting_.empty()) return;
  overdue_armed_ = true;
  Arm(overdue_, DeadlineOf(*waiting_.front()));
  overdue_.async_wait([this](const Error& cancelled) {
    overdue_armed_ = false;
    if (cancelled) return;
    DropOverdue();
    ArmOverdue();
  });
}

void Engine::TryAgain(RequestPtr request, Microseconds pause) {
  const auto timer =
      std::make_shared<asio::steady_timer>(io_, std::chrono::duration_cast<Steady::duration>(pause));
  timer->async_wait([this, timer, request = std::move(request)](const Error& cancelled) {
    if (!cancelled) Place(request);
  });
}

void Engine::End(const RequestPtr& request, Outcome outcome) {
  const Microseconds now = Now();
  Timing timing{request->arrival.at, request->sent.count() < 0 ? now : request->sent, now, request->ready};
  --open_requests_;
  on_end_(request->arrival, outcome, timing);
  EndIfOver();
}

// Its place goes to a request that waits, on a connection of its own.
void Engine::Forget(Connection* connection) {
  const auto self = connection->shared_from_this();
  connections_.erase(self);
  std::erase(idle_[connection->target()], self);
  DropOverdue();
  if (waiting_.empty()) return;
  RequestPtr request = std::move(waiting_.front());
  waiting_.pop_front();
  asio::post(io_, [this, request = std::move(request)]() mutable { Place(std::move(request)); });
}

void Engine::EndIfOver() {
  if (next_ || open_requests_ > 0 || !done_) return;
  // Not from within the connection that has just ended its request.
  asio::post(io_, [this, done = std::exchange(done_, nullptr)] {
    overdue_.cancel();
    const auto connections = connections_;  // all of them idle
    for (const auto& connection : connections) connection->Close();
    done();
  });
}

void Engine::Say(Event::Kind kind, const Request& request, std::size_t target, const std::string& subject,
                 int number) {
  if (!on_event_) return;
  Event event;
  event.kind = kind;
  event.at = EventTime(Steady::now());
  event.request = request.id;
  event.proxy = "n" + std::to_string(target);
  event.subject = subject;
  event.number = number;
  if (kind == Event::Kind::kSent) {
    event.subject = plan_.classes[request.arrival.request_class].name;
    event.span = DeadlineOf(request) - Now();
  }
  on_event_(event);
}

std::string Engine::Text(Request& request) {
  const Arrival& a = request.arrival;
  const PlanClass& c = plan_.classes[a.request_class];
  const bool safe = c.effect == Effect::kSafe;
  char line[96];
  std::snprintf(line, sizeof line, "%016llx", static_cast<unsigned long long>(plan_.seed << 32 | ++ids_));
  request.id = line;
  std::string text = (safe ? "GET /" : "POST /") + c.name +
                     " HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " + line + "\r\nReq-Kind: " + c.name +
                     "\r\n";
  if (!plan_.tenants.empty()) text += "Req-Owner: " + plan_.tenants[a.tenant] + "\r\n";
  if (a.key > 0) text += "Cookie: obj=" + std::to_string(a.key) + "\r\n";
  const auto left = (DeadlineOf(request) - Now()).count() / 1000;
  text += "Req-Deadline-Ms: " + std::to_string(std::max<std::int64_t>(1, left)) + "\r\n";
  if (request.tries > 1) text += "Req-Retry: 1\r\n";
  if (c.effect == Effect::kKeyed) {
    std::snprintf(line, sizeof line, "Idempotency-Key: %08llx%016llx\r\n",
                  static_cast<unsigned long long>(plan_.seed),
                  static_cast<unsigned long long>(request.number));
    text += line;
  }
  if (!safe) text += "Content-Length: " + std::to_string(a.bytes) + "\r\n";
  text += "\r\n";
  if (!safe) text.append(a.bytes, 'x');
  return text;
}

}  // namespace kestrelline::load
