// SPDX-License-Identifier: Apache-2.0
#include "management/endpoint.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>

namespace kestrelline::management {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;
using Steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kAcceptRetryDelay{50};  // after an error of the listener

}  // namespace

// One connection: reads a command line, writes the answer and closes.
class ManagementEndpoint::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(ManagementEndpoint& owner, Tcp::socket socket)
      : owner_(&owner),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        opened_at_(Steady::now()) {}

  std::list<std::shared_ptr<Connection>>::iterator position;  // in the list of its owner

  void Start() {
    Error ignored;
    socket_.non_blocking(true, ignored);
    timer_.expires_after(owner_->timeouts_.total);
    timer_.async_wait([self = shared_from_this()](const Error& cancelled) {
      if (!cancelled) self->Close();
    });
    Read();
  }

  // True if there is no input to read and no answer to write, or if the answer is written and the client has
  // not closed the connection yet.
  bool Idle() const {
    Error error;
    return answered_ || (answer_.empty() && socket_.available(error) == 0);
  }
  Steady::time_point opened_at() const { return opened_at_; }

  void Close() {
    if (!owner_) return;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
    std::exchange(owner_, nullptr)->connections_.erase(position);
  }
  // For the destructor of the owner: closes without touching the owner's list.
  void Detach() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  void Read() {
    socket_.async_read_some(asio::buffer(line_.data() + length_, line_.size() - length_),
                            [self = shared_from_this()](const Error& failed, std::size_t bytes) {
                              if (!self->owner_) return;
                              self->OnRead(failed, bytes);
                            });
  }

  void OnRead(const Error& failed, std::size_t bytes) {
    length_ += bytes;
    const auto text = std::string_view(line_.data(), length_);
    const auto end = text.find('\n');
    if (end != std::string_view::npos)
      return Answer(HandleCommand(text.substr(0, end + 1), owner_->operations_));
    if (length_ == line_.size()) return Answer(OverlongLineAnswer());
    // A line without its terminator may be truncated, so it is rejected instead of being run.
    if (failed) return length_ > 0 && failed == asio::error::eof ? Answer("NAK half a line\n") : Close();
    Read();
  }

  void Answer(std::string text) {
    answer_ = std::move(text);
    asio::async_write(socket_, asio::buffer(answer_),
                      [self = shared_from_this()](const Error& failed, std::size_t) {
                        if (!self->owner_) return;
                        if (failed) return self->Close();
                        self->answered_ = true;
                        self->CloseGracefully();
                      });
  }

  // Shuts down the sending side and discards input until the client closes: closing a socket with unread
  // input sends a reset, which could destroy the answer before the client reads it.
  void CloseGracefully() {
    Error ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    length_ = 0;
    DiscardInput();
  }
  void DiscardInput() {
    socket_.async_read_some(asio::buffer(line_),
                            [self = shared_from_this()](const Error& failed, std::size_t bytes) {
                              if (!self->owner_) return;
                              self->length_ += bytes;
                              if (failed || self->length_ > 16 * kMaxLineBytes) return self->Close();
                              self->DiscardInput();
                            });
  }

  ManagementEndpoint* owner_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  Steady::time_point opened_at_;
  std::array<char, kMaxLineBytes> line_;
  std::size_t length_ = 0;
  std::string answer_;
  bool answered_ = false;
};

ManagementEndpoint::ManagementEndpoint(asio::io_context& io, const Tcp::endpoint& address,
                                       Operations& operations, ManagementTimeouts timeouts)
    : operations_(operations), timeouts_(timeouts), acceptor_(io), accept_timer_(io) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));  // allows a restart on the same address
  acceptor_.bind(address);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  Accept();
}

ManagementEndpoint::~ManagementEndpoint() {
  const auto connections = std::move(connections_);
  connections_.clear();
  for (const auto& connection : connections) connection->Detach();
}

void ManagementEndpoint::Accept() {
  acceptor_.async_wait(Tcp::acceptor::wait_read, [this](const Error& failed) {
    if (failed == asio::error::operation_aborted) return;
    if (failed) return AcceptAfter(kAcceptRetryDelay);
    if (connections_.size() >= kMaxConnections) {
      const auto delay = EvictIdleConnection();
      if (delay.count() > 0) return AcceptAfter(delay);
    }
    Error error;
    Tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (error == asio::error::would_block || error == asio::error::try_again) return Accept();
    if (error) return AcceptAfter(kAcceptRetryDelay);
    connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
    const auto connection = connections_.back();
    connection->position = std::prev(connections_.end());
    connection->Start();
    Accept();
  });
}

void ManagementEndpoint::AcceptAfter(Steady::duration delay) {
  accept_timer_.expires_after(delay);
  accept_timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Accept();
  });
}

Steady::duration ManagementEndpoint::EvictIdleConnection() {
  const auto now = Steady::now();
  for (const auto& connection : connections_) {
    const auto age = now - connection->opened_at();
    // Ordered by age: all that follow are younger.
    if (age < timeouts_.idle) return timeouts_.idle - age;
    if (!connection->Idle()) continue;
    connection->Close();
    return Steady::duration(0);
  }
  return timeouts_.idle;
}

}  // namespace kestrelline::management
