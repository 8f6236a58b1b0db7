// SPDX-License-Identifier: Apache-2.0
#include "standin/converter.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdio>
#include <optional>
#include <utility>

namespace kestrelline::standin {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;
using Steady = std::chrono::steady_clock;

constexpr std::size_t kMostBody = 64 * 1024, kMostHeader = 16 * 1024;
constexpr double kRepeatWork = 0.0002;  // of a keyed repeat that is dropped, in seconds
constexpr std::chrono::seconds kSweep{1};
constexpr std::chrono::seconds kIdle{55};  // under the 60 s that the proxies are told

void Reset(Tcp::socket& socket) {
  Error ignored;
  socket.set_option(Tcp::socket::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

// States: waits for a request (nothing of it here), reads one, works on one, writes its answer, closed.
class Converter::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Converter& owner, std::string proxy, Tcp::socket socket)
      : owner_(&owner), proxy_(std::move(proxy)), socket_(std::move(socket)), pause_(owner.floor_.io) {
    Error ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
  }

  void Wait() {
    if (owner_->Hold([self = shared_from_this()] { self->Resume(&Connection::Wait); })) return;
    state_ = State::kWaiting;
    idle_since_ = Steady::now();
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](const Error& failed) {
      if (self->state_ != State::kWaiting) return;
      if (failed) return self->Close();
      if (self->owner_->Chance(self->owner_->loses_)) return self->ResetNow();
      self->first_byte_ = self->owner_->Now();
      self->Read();
    });
  }

  void Answer() {
    if (state_ != State::kWorking) return;
    if (owner_->Hold([self = shared_from_this()] { self->Resume(&Connection::Answer); })) return;
    const SiteClass& c = *class_;
    if (c.effect == load::Effect::kUnsafe && owner_->Chance(owner_->mute_))
      return;  // until its sender leaves
    std::string body = std::string(load::kMadeFor) + request_ + "\n";
    if (body.size() < c.answer_bytes) body.resize(c.answer_bytes, '.');
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + LoadReport() +
                       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const std::size_t half = head.size() + body.size() / 2;
    const bool reset = owner_->Chance(owner_->resets_);
    Finish(true);
    Write(head + body, reset || owner_->body_pause_.count() > 0 ? half : 0, reset);
  }

  // What its sender has closed is no attempt any more.
  void EndIfGivenUp() {
    char byte;
    Error error;
    socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
    if (error && error != asio::error::would_block) Close();
  }

  bool IdleSince(Steady::time_point at) const { return state_ == State::kWaiting && idle_since_ < at; }

  void Close() {
    if (std::exchange(state_, State::kClosed) == State::kClosed) return;
    Finish(true);
    if (job_ != 0) owner_->jobs_.erase(job_), owner_->model_.Abandon(job_, owner_->Now());
    Error ignored;
    socket_.close(ignored);
    pause_.cancel();
    owner_->connections_.erase(shared_from_this());
  }
  void ResetNow() {
    Error ignored;
    socket_.set_option(Tcp::socket::linger(true, 0), ignored);
    Close();
  }

 private:
  enum class State { kWaiting, kReading, kWorking, kWriting, kClosed };

  void Resume(void (Connection::*step)()) {
    if (state_ != State::kClosed) ((*this).*step)();
  }

  void Read() {
    if (owner_->Hold([self = shared_from_this()] { self->Resume(&Connection::Read); })) return;
    state_ = State::kReading;
    parser_.emplace();
    parser_->body_limit(kMostBody);
    parser_->header_limit(kMostHeader);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](const Error& failed, std::size_t) {
                       if (self->state_ != State::kReading) return;
                       if (failed) return self->Close();
                       self->OnRequest();
                     });
  }

  void OnRequest() {
    if (owner_->Hold([self = shared_from_this()] { self->Resume(&Connection::OnRequest); })) return;
    const auto& message = parser_->get();
    state_ = State::kWorking;
    keep_ = message.keep_alive();
    request_ = message["Req-Id"];
    const std::string path(message.target().substr(0, message.target().find('?')));
    class_ = nullptr;
    for (const SiteClass& c : owner_->floor_.site.classes)
      if (path == "/" + c.name || path.starts_with("/" + c.name + "/")) class_ = &c;
    if (request_.empty() || !class_) return Say(request_.empty() ? "404 Not Found" : "400 Bad Request", "");
    const std::string key = std::string(message["Idempotency-Key"]);
    auto& out = owner_->floor_.out;
    const auto [first, last] = out.equal_range(request_);
    std::vector<std::function<void()>> others;
    for (auto it = first; it != last; ++it) others.push_back(it->second.end_if_given_up);
    for (const auto& other : others) other();
    const Microseconds now = owner_->Now();
    double work = WorkOf(*class_, owner_->floor_.site.seed, request_);
    out_ = true;
    out.emplace(request_, Floor::Out{this, [self = shared_from_this()] { self->EndIfGivenUp(); }});
    if (class_->effect == load::Effect::kKeyed && !key.empty())
      owner_->Say(load::Event::Kind::kKeyed, request_, key, 0, Microseconds(0), 0);
    owner_->Say(load::Event::Kind::kBegan, request_, proxy_, 0, now - first_byte_, work);
    if (owner_->draining_ ||
        owner_->connections_.size() > static_cast<std::size_t>(owner_->spec_.connections))
      return Decline();
    if (class_->effect == load::Effect::kKeyed && !key.empty()) {
      const int cell = class_->all_drop ? -1 : owner_->spec_.cell;
      if (owner_->floor_.cells[cell].Seen(key, class_->window, now)) work = kRepeatWork, ++owner_->dropped_;
    }
    job_ = ++owner_->last_job_;
    if (!owner_->model_.Offer(job_, work, now)) return job_ = 0, Decline();
    owner_->jobs_[job_] = weak_from_this();
    owner_->ArmTimer();
    WatchSender();
  }

  void WatchSender() {
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), job = job_](const Error& failed) {
      if (failed || self->state_ != State::kWorking || self->job_ != job) return;
      self->EndIfGivenUp();
    });
  }

  void Decline() {
    Finish(false);
    Say("503 Service Unavailable", "Srv-Declined: 1\r\n" + LoadReport());
  }

  void Say(const std::string& status, const std::string& headers) {
    Write("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n", 0, false);
  }

  // `first`: bytes after which it pauses, or resets; 0 for neither.
  void Write(std::string text, std::size_t first, bool reset) {
    state_ = State::kWriting;
    job_ = 0;
    Error ignored;
    socket_.cancel(ignored);  // the watch for the sender's end
    text_ = std::move(text);
    if (first == 0) return WriteRest(0);
    asio::async_write(socket_, asio::buffer(text_.data(), first),
                      [self = shared_from_this(), first, reset](const Error& failed, std::size_t) {
                        if (self->state_ != State::kWriting) return;
                        if (failed) return self->Close();
                        if (reset) return self->ResetNow();
                        self->pause_.expires_after(self->owner_->body_pause_);
                        self->pause_.async_wait([self, first](const Error& cancelled) {
                          if (!cancelled && self->state_ == State::kWriting) self->WriteRest(first);
                        });
                      });
  }
  void WriteRest(std::size_t from) {
    asio::async_write(socket_, asio::buffer(text_.data() + from, text_.size() - from),
                      [self = shared_from_this()](const Error& failed, std::size_t) {
                        if (self->state_ != State::kWriting) return;
                        if (failed || !self->keep_) return self->Close();
                        self->Wait();
                      });
  }

  // Told before the answer's first byte leaves: what follows from it must not seem to come before it.
  void Finish(bool ran) {
    if (!std::exchange(out_, false)) return;
    auto& out = owner_->floor_.out;
    const auto [first, last] = out.equal_range(request_);
    for (auto it = first; it != last; ++it) {
      if (it->second.whose != this) continue;
      out.erase(it);
      break;
    }
    owner_->Say(load::Event::Kind::kFinished, request_, proxy_, ran ? 1 : 0, {}, 0);
  }

  std::string LoadReport() const {
    if (!owner_->floor_.site.load_reports) return "";
    char text[96];
    std::snprintf(text, sizeof text, "Srv-Load: inflight=%d,queue=%d,util=%.2f\r\n",
                  owner_->model_.running() + owner_->model_.queued(), owner_->model_.queued(),
                  static_cast<double>(owner_->model_.running()) / owner_->spec_.cores);
    return text;
  }

  Converter* owner_;
  std::string proxy_;
  Tcp::socket socket_;
  asio::steady_timer pause_;
  boost::beast::flat_buffer buffer_{kMostBody + kMostHeader};
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string request_, text_;
  const SiteClass* class_ = nullptr;
  JobId job_ = 0;
  Microseconds first_byte_{0};
  Steady::time_point idle_since_{};
  State state_ = State::kWaiting;
  bool keep_ = true, out_ = false;
};

Converter::Converter(Floor& floor, ConverterSpec spec, std::vector<std::unique_ptr<HeldAddress>>& addresses)
    : floor_(floor),
      spec_(std::move(spec)),
      model_(spec_.cores, spec_.speed, spec_.queue, floor.site.cold_from, floor.site.warm_up),
      timer_(floor.io),
      sweep_(floor.io),
      draw_(floor.site.seed ^ std::hash<std::string>()(spec_.id)) {
  for (std::size_t i = 0; i < addresses.size(); ++i)
    doors_.push_back({addresses[i].get(), "n" + std::to_string(i), Tcp::acceptor(floor.io)});
}

Converter::~Converter() { Die(); }

Microseconds Converter::Now() const { return load::EventTime(Steady::now()); }

void Converter::Say(load::Event::Kind kind, const std::string& request, const std::string& proxy, int number,
                    Microseconds span, double work) {
  if (!floor_.on_event) return;
  load::Event event;
  event.kind = kind;
  event.at = Now();
  event.request = request, event.proxy = proxy, event.subject = spec_.id;
  event.number = number, event.span = span, event.work = work;
  if (kind == load::Event::Kind::kStarted) event.cold = floor_.site.cold_from;
  floor_.on_event(event);
}

void Converter::Start(const std::string& id, bool cold) {
  spec_.id = id;
  up_ = true;
  draining_ = false;
  ++life_;
  model_.Start(Now(), cold);
  // One that has been up for long is not in its warm-up.
  Say(load::Event::Kind::kStarted, "", "", spec_.cell, cold ? floor_.site.warm_up : Microseconds(0),
      spec_.cores * spec_.speed);
  Listen();
  Sweep();
}

void Converter::Die() {
  if (!std::exchange(up_, false)) return;
  ++life_;
  stalled_ = vanished_ = false;
  held_.clear();
  fillers_.clear();
  Shut();
  ResetAll();
  jobs_.clear();
  timer_.cancel();
  sweep_.cancel();
}

void Converter::Listen() {
  for (std::size_t i = 0; i < doors_.size(); ++i) {
    auto& acceptor = doors_[i].acceptor;
    if (acceptor.is_open()) continue;
    doors_[i].address->Listen(acceptor);
    Accept(i);
  }
}

void Converter::Shut() {
  Error ignored;
  for (Door& door : doors_) door.acceptor.close(ignored);
}

void Converter::Accept(std::size_t door) {
  doors_[door].acceptor.async_accept([this, door](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted || !doors_[door].acceptor.is_open()) return;
    if (!failed) {
      const auto connection = std::make_shared<Connection>(*this, doors_[door].proxy, std::move(socket));
      connections_.insert(connection);
      connection->Wait();
    }
    if (Hold([this, door] { Accept(door); })) return;
    Accept(door);
  });
}

bool Converter::Hold(std::function<void()> then) {
  if (!stalled_ && !vanished_) return false;
  held_.push_back(std::move(then));
  return true;
}

void Converter::ResetAll() {
  const auto connections = connections_;
  for (const auto& connection : connections) connection->ResetNow();
}

void Converter::SetStalled(bool stalled) {
  stalled_ = stalled;
  if (stalled_ || vanished_) return;
  for (auto& then : std::exchange(held_, {}))
    asio::post(floor_.io, [this, life = life_, then = std::move(then)] {
      if (life == life_) then();
    });
}

void Converter::SetRefusing(bool refusing) {
  if (!up_) return;
  if (!refusing) return Listen();
  Shut();
  ResetAll();
}

// A machine that vanishes answers no SYN: with its queue of new connections full, the kernel answers none
// either.
void Converter::SetVanished(bool vanished) {
  if (!up_ || vanished == vanished_) return;
  vanished_ = vanished;
  if (vanished) {
    for (Door& door : doors_) {
      Error none;
      door.acceptor.cancel(none);  // a pending accept would take the first out of the queue
      ::listen(door.acceptor.native_handle(), 0);
      for (int i = 0; i < 2; ++i) {
        Error ignored;
        Tcp::socket& filler = fillers_.emplace_back(floor_.io, Tcp::v4());
        filler.non_blocking(true, ignored);
        // Asio's own connect would wait for the answer that is not to come.
        const auto to = door.address->endpoint();
        if (::connect(filler.native_handle(), to.data(), static_cast<socklen_t>(to.size())) != 0) continue;
      }
    }
    return;
  }
  for (Tcp::socket& filler : fillers_) Reset(filler);
  fillers_.clear();
  held_.clear();
  Shut();
  // It listens before anybody hears of its return: whoever is reset comes again at once.
  Listen();
  ResetAll();
}

void Converter::ArmTimer() {
  const auto next = model_.Next();
  if (!next) return;
  timer_.expires_at(Steady::time_point(std::chrono::duration_cast<Steady::duration>(*next)));
  timer_.async_wait([this](const Error& cancelled) {
    if (cancelled) return;
    for (const JobId job : model_.Advance(Now())) {
      const auto entry = jobs_.find(job);
      if (entry == jobs_.end()) continue;
      const auto connection = entry->second.lock();
      jobs_.erase(entry);
      if (connection) connection->Answer();
    }
    ArmTimer();
  });
}

void Converter::Sweep() {
  sweep_.expires_after(kSweep);
  sweep_.async_wait([this](const Error& cancelled) {
    if (cancelled) return;
    const auto connections = connections_;
    if (!stalled_ && !vanished_)
      for (const auto& connection : connections)
        if (connection->IdleSince(Steady::now() - kIdle)) connection->Close();
    Sweep();
  });
}

}  // namespace kestrelline::standin
