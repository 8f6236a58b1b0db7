// SPDX-License-Identifier: Apache-2.0
#include "backends.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

#include "clock.h"

namespace brackenspoke::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::size_t kMostAnswerHeader = 16 * 1024;
constexpr double kIdleShare = 0.8;  // of the time after which backends close: ours must come first

Steady::duration ToSteady(Duration d) { return std::chrono::ceil<Steady::duration>(d); }

// 503 and 504 alone may come from anything on the way; only the backend's own word proves that it never ran.
Outcome OutcomeOf(const HttpResponse& response) {
  const unsigned status = response.result_int();
  if (status == 200) return Outcome::kOk;
  if ((status == 503 || status == 504) && response["Srv-Declined"] == "1") return Outcome::kFull;
  return Outcome::kError;
}

}  // namespace

// One connection and the attempt on it, if any. Once closed it is never used again, so that an answer which
// comes after its attempt's time-out has nowhere to go.
class Backends::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Backends& owner, ServerId server, std::uint64_t generation)
      : owner_(&owner), server_(server), generation_(generation), socket_(owner.io_), timer_(owner.io_) {}

  ServerId server() const { return server_; }
  std::uint64_t generation() const { return generation_; }
  Steady::time_point idle_since() const { return idle_since_; }

  void Open(const Tcp::endpoint& address, Duration connect_timeout) {
    Error error;
    socket_.open(address.protocol(), error);  // out of descriptors: an attempt that could not connect
    if (!error) socket_.set_option(Tcp::no_delay(true), error);
    if (error) return FinishSoon(Outcome::kConnectFailed);
    SetTimer(std::min(deadline_, Steady::now() + ToSteady(connect_timeout)));
    socket_.async_connect(address, [self = shared_from_this()](const Error& failed) {
      if (!self->done_) return;
      if (failed) return self->Finish(Outcome::kConnectFailed);
      self->SetTimer(self->deadline_);
      self->Write();
    });
  }

  void Assign(HttpRequest request, Duration timeout, AttemptDone done) {
    ++use_;
    request_ = std::move(request);
    done_ = std::move(done);
    deadline_ = Steady::now() + ToSteady(timeout);
    written_ = false;
  }

  void Reuse() {
    Error ignored;
    socket_.cancel(ignored);  // the watch for its end
    SetTimer(deadline_);
    Write();
  }

  // An attempt that ends before it has begun; its result still comes from the event loop.
  void FinishSoon(Outcome outcome) {
    asio::post(owner_->io_, [self = shared_from_this(), outcome] { self->Finish(outcome); });
  }

  // Guards against writing to a connection that the backend has closed in the meantime, which would end as a
  // reset that may have run.
  bool Alive() {
    Error error;
    char byte;
    socket_.non_blocking(true, error);
    if (error) return false;
    socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
  }

  void WatchIdle(Duration at_most) {
    idle_since_ = Steady::now();
    SetTimer(idle_since_ + ToSteady(at_most));
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), use = use_](const Error&) {
      if (use == self->use_) self->Close();  // its end, or an answer that nobody asked for
    });
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
    if (owner_) owner_->Drop(this);
  }

  // The owner goes: nothing may be reported any more.
  void Orphan() {
    owner_ = nullptr;
    done_ = nullptr;
    Close();
  }

 private:
  void SetTimer(Steady::time_point at) {
    timer_.expires_at(at);
    timer_.async_wait([self = shared_from_this()](const Error& cancelled) {
      if (cancelled || self->closed_ || Steady::now() < self->timer_.expiry()) return;
      if (!self->done_) return self->Close();  // idle for too long
      // Nothing has run unless the last byte was written.
      self->Finish(self->written_ ? Outcome::kTimeout : Outcome::kConnectFailed);
    });
  }

  void Write() {
    http::async_write(socket_, request_, [self = shared_from_this()](const Error& failed, std::size_t) {
      if (!self->done_) return;
      if (failed) return self->Finish(Outcome::kConnectFailed);
      self->written_ = true;
      self->Read();
    });
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMostBody);
    parser_->header_limit(kMostAnswerHeader);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](const Error& failed, std::size_t) {
                       if (!self->done_) return;
                       // An answer that only the connection's end delimits cannot be told from one cut short.
                       if (failed || (self->parser_->need_eof() && !self->parser_->chunked()))
                         return self->Finish(Outcome::kReset);
                       self->reusable_ = self->parser_->keep_alive() && self->buffer_.size() == 0;
                       HttpResponse response = self->parser_->release();
                       if (response.result_int() < 200)
                         self->reusable_ = false;  // the answer proper is still to come
                       const Outcome outcome = OutcomeOf(response);
                       self->Finish(outcome, std::move(response));
                     });
  }

  void Finish(Outcome outcome, HttpResponse response = {}) {
    if (!done_) return;
    const auto self = shared_from_this();
    const AttemptDone done = std::exchange(done_, nullptr);
    request_ = {};
    parser_.reset();
    // Closed before anybody hears of the end: the next attempt must not find this one on an open connection.
    if (std::exchange(reusable_, false) && owner_) {
      owner_->Keep(self);
    } else {
      Close();
    }
    done({outcome, std::move(response)});
  }

  Backends* owner_;
  ServerId server_;
  std::uint64_t generation_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_{kMostBody + kMostAnswerHeader};
  std::optional<http::response_parser<http::string_body>> parser_;
  HttpRequest request_;
  AttemptDone done_;  // set while an attempt is out
  Steady::time_point deadline_{}, idle_since_{};
  std::uint64_t use_ = 0;
  bool written_ = false, reusable_ = false, closed_ = false;
};

Backends::Backends(asio::io_context& io, Limits limits) : io_(io), limits_(limits) {}

Backends::~Backends() {
  const auto live = std::move(live_);
  live_.clear();
  for (const auto& [key, weak] : live) {
    if (const auto connection = weak.lock()) connection->Orphan();
  }
}

void Backends::Set(ServerId server, const Tcp::endpoint& address, double up_since) {
  Backend& backend = backends_[server];
  if (backend.usable && backend.address == address && backend.up_since == up_since) return;
  Retire(server);
  backend.address = address;
  backend.up_since = up_since;
  backend.usable = true;
}

void Backends::Retire(ServerId server) {
  const auto found = backends_.find(server);
  if (found == backends_.end()) return;
  ++found->second.generation;
  found->second.usable = false;
  CloseIdle(server);
}

void Backends::RetireOthers(const std::unordered_set<ServerId>& named) {
  for (const auto& [server, backend] : backends_) {
    if (!named.contains(server)) Retire(server);
  }
}

void Backends::CloseIdle(ServerId server) {
  const auto found = backends_.find(server);
  if (found == backends_.end()) return;
  const auto idle = std::move(found->second.idle);
  found->second.idle.clear();
  for (const auto& connection : idle) connection->Close();
}

void Backends::Send(ServerId server, HttpRequest request, Duration timeout, AttemptDone done) {
  Backend& backend = backends_[server];
  std::shared_ptr<Connection> connection = TakeIdle(backend);
  if (connection) {
    connection->Assign(std::move(request), timeout, std::move(done));
    return connection->Reuse();
  }
  connection = std::make_shared<Connection>(*this, server, backend.generation);
  live_.emplace(connection.get(), connection);
  ++open_;
  connection->Assign(std::move(request), timeout, std::move(done));
  // A backend that never had an address, or a pool that is full of attempts: it could not connect.
  if (backend.address.port() == 0 || (open_ > limits_.connections && !CloseOldestIdle()))
    return connection->FinishSoon(Outcome::kConnectFailed);
  ++opened_;
  connection->Open(backend.address, limits_.connect_timeout);
}

std::shared_ptr<Backends::Connection> Backends::TakeIdle(Backend& backend) {
  while (!backend.idle.empty()) {
    const auto connection = std::move(backend.idle.back());
    backend.idle.pop_back();
    if (connection->Alive()) return connection;
    connection->Close();
  }
  return nullptr;
}

bool Backends::CloseOldestIdle() {
  std::shared_ptr<Connection> oldest;
  for (const auto& [server, backend] : backends_) {
    if (backend.idle.empty()) continue;
    const auto& candidate = backend.idle.front();
    if (!oldest || candidate->idle_since() < oldest->idle_since()) oldest = candidate;
  }
  if (oldest) oldest->Close();
  return oldest != nullptr;
}

void Backends::Keep(const std::shared_ptr<Connection>& connection) {
  Backend& backend = backends_[connection->server()];
  if (!backend.usable || backend.generation != connection->generation()) return connection->Close();
  backend.idle.push_back(connection);
  connection->WatchIdle(limits_.conn_idle * kIdleShare);
}

void Backends::Drop(const Connection* connection) {
  if (live_.erase(connection) > 0) --open_;
  const auto found = backends_.find(connection->server());
  if (found == backends_.end()) return;
  std::erase_if(found->second.idle, [&](const auto& idle) { return idle.get() == connection; });
}

}  // namespace brackenspoke::proxy
