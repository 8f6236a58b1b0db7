// SPDX-License-Identifier: Apache-2.0
#include "standin/discovery.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <cstdio>
#include <optional>
#include <utility>

namespace kestrelline::standin {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::chrono::seconds kHeartbeat{2};
constexpr std::string_view kPath = "/v1/endpoints", kWatch = "/v1/endpoints?stream=1&index=";

}  // namespace

// States: reads a request, answers with the list, is a watch, closed.
class Discovery::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Discovery& owner, std::size_t door, Tcp::socket socket)
      : owner_(&owner), door_(door), socket_(std::move(socket)), heartbeat_(owner.io_) {}

  void Read() {
    state_ = State::kReading;
    parser_.emplace();
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](const Error& failed, std::size_t) {
                       if (self->state_ != State::kReading) return;
                       if (failed) return self->Close();
                       self->OnRequest();
                     });
  }

  // A watch says what it has not said yet.
  void Pump() {
    if (state_ != State::kWatch || writing_ || owner_->late_) return;
    if (said_ && sent_ >= owner_->membership_.revision()) return;
    ListMessage message = owner_->membership_.Since(sent_, door_);
    sent_ = message.revision;
    said_ = true;
    WriteLine(std::move(message));
  }

  void Close() {
    if (std::exchange(state_, State::kClosed) == State::kClosed) return;
    Error ignored;
    socket_.close(ignored);
    heartbeat_.cancel();
    owner_->doors_[door_].connections.erase(shared_from_this());
  }

 private:
  enum class State { kReading, kList, kWatch, kClosed };

  void OnRequest() {
    const std::string_view target(parser_->get().target().data(), parser_->get().target().size());
    if (target == kPath) {
      state_ = State::kList;
      list_ = owner_->AsSent(owner_->membership_.Whole(door_));
      return Write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(list_.line.size()) + "\r\n\r\n" + list_.line,
                   State::kList, [](Connection& self) {
                     self.owner_->Told(self.door_, self.list_);
                     self.Read();
                   });
    }
    const std::string_view index = target.starts_with(kWatch) ? target.substr(kWatch.size()) : "";
    const auto [end, error] = std::from_chars(index.data(), index.data() + index.size(), sent_);
    if (index.empty() || error != std::errc() || end != index.data() + index.size()) {
      state_ = State::kList;
      return Write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", State::kList,
                   [](Connection& self) { self.Close(); });
    }
    state_ = State::kWatch;
    Beat();
    WatchEnd();
    writing_ = true;
    Write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
          State::kWatch, [](Connection& self) {
            self.writing_ = false;
            self.Pump();
          });
  }

  void Beat() {
    heartbeat_.expires_after(kHeartbeat);
    heartbeat_.async_wait([self = shared_from_this()](const Error& cancelled) {
      if (cancelled || self->state_ != State::kWatch) return;
      if (!self->writing_) self->WriteLine({});
      self->Beat();
    });
  }

  // A watch is never sent anything: what comes is its end.
  void WatchEnd() {
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](const Error&) { self->Close(); });
  }

  // An empty message is a heartbeat.
  void WriteLine(ListMessage message) {
    message = owner_->AsSent(std::move(message));
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", message.line.size() + 1);
    writing_ = true;
    list_ = std::move(message);
    Write(size + list_.line + "\n\r\n", State::kWatch, [](Connection& self) {
      self.writing_ = false;
      self.owner_->Told(self.door_, self.list_);
      self.Pump();
    });
  }

  void Write(std::string text, State in, void (*then)(Connection&)) {
    text_ = std::move(text);
    asio::async_write(socket_, asio::buffer(text_),
                      [self = shared_from_this(), in, then](const Error& failed, std::size_t) {
                        if (self->state_ != in) return;
                        if (failed) return self->Close();
                        then(*self);
                      });
  }

  Discovery* owner_;
  std::size_t door_;
  Tcp::socket socket_;
  asio::steady_timer heartbeat_;
  boost::beast::flat_buffer buffer_{16 * 1024};
  std::optional<http::request_parser<http::empty_body>> parser_;
  std::string text_;
  ListMessage list_;
  std::uint64_t sent_ = 0;
  State state_ = State::kReading;
  bool writing_ = false, said_ = false;
};

Discovery::Discovery(asio::io_context& io, const Membership& membership, std::size_t proxies,
                     load::OnEvent on_event)
    : io_(io), membership_(membership), on_event_(std::move(on_event)) {
  for (std::size_t i = 0; i < proxies; ++i)
    doors_.push_back({std::string("n").append(std::to_string(i)),
                      std::make_unique<HeldAddress>(io),
                      Tcp::acceptor(io),
                      {},
                      {}});
  Listen();
}

Discovery::~Discovery() { SetDown(true); }

void Discovery::Listen() {
  for (std::size_t i = 0; i < doors_.size(); ++i) {
    doors_[i].address->Listen(doors_[i].acceptor);
    Accept(i);
  }
}

void Discovery::Accept(std::size_t door) {
  doors_[door].acceptor.async_accept([this, door](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted || !doors_[door].acceptor.is_open()) return;
    Door& d = doors_[door];
    if (!failed && d.connections.size() < kMostConnections) {
      const auto connection = std::make_shared<Connection>(*this, door, std::move(socket));
      d.connections.insert(connection);
      connection->Read();
    }
    Accept(door);
  });
}

void Discovery::Changed() {
  for (Door& door : doors_) {
    const auto connections = door.connections;
    for (const auto& connection : connections) connection->Pump();
  }
}

void Discovery::SetLate(bool late) {
  late_ = late;
  if (!late_) Changed();
}

void Discovery::SetGarbled(bool garbled) {
  garbled_ = garbled;
  if (!garbled_) Changed();
}

// Half a list tells nobody of anything.
ListMessage Discovery::AsSent(ListMessage message) const {
  if (!garbled_ || message.line.empty()) return message;
  message.line.resize(message.line.size() / 2);
  message.tells.clear();
  message.complete = false;
  return message;
}

void Discovery::SetDown(bool down) {
  if (std::exchange(down_, down) == down) return;
  if (!down) return Listen();
  for (Door& door : doors_) {
    Error ignored;
    door.acceptor.close(ignored);
    const auto connections = door.connections;
    for (const auto& connection : connections) connection->Close();
  }
}

void Discovery::Told(std::size_t door, const ListMessage& message) {
  if (message.line.empty()) return;  // a heartbeat
  Door& d = doors_[door];
  const auto say = [&](const std::string& id, load::Listed state) {
    if (!on_event_) return;
    load::Event event;
    event.kind = load::Event::Kind::kTold;
    event.at = load::EventTime(std::chrono::steady_clock::now());
    event.proxy = d.proxy;
    event.subject = id;
    event.number = static_cast<int>(state);
    on_event_(event);
  };
  std::set<std::string> named;
  for (const auto& [id, state] : message.tells) {
    say(id, state);
    named.insert(id);
    if (state == load::Listed::kGone) {
      d.told.erase(id);
    } else {
      d.told.insert(id);
    }
  }
  // A whole list ends what it does not name.
  if (!message.complete) return;
  for (auto it = d.told.begin(); it != d.told.end();) {
    if (named.contains(*it)) {
      ++it;
    } else {
      say(*it, load::Listed::kGone);
      it = d.told.erase(it);
    }
  }
}

}  // namespace kestrelline::standin
