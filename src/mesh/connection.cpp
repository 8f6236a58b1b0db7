// SPDX-License-Identifier: Apache-2.0
#include "mesh/connection.h"

#include <netinet/tcp.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "wire/codec.h"

namespace kestrelline::mesh {
namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
constexpr unsigned kTcpUserTimeoutMs = 1200;  // unacknowledged data ends a connection after this time
constexpr std::size_t kMaxFramesPerWrite = 16;

}  // namespace

void SetOptions(Tcp::socket& socket) {
  using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  boost::system::error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  socket.set_option(UserTimeout(static_cast<int>(kTcpUserTimeoutMs)), ignored);
}

Connection::Connection(Tcp::socket socket, OnMessage on_message, OnClosed on_closed,
                       std::shared_ptr<Traffic> traffic)
    : socket_(std::move(socket)),
      on_message_(std::move(on_message)),
      on_closed_(std::move(on_closed)),
      traffic_(std::move(traffic)) {}

void Connection::Start() { Read(); }

void Connection::Read() {
  if (input_.size() < input_used_ + kReadBytes) input_.resize(input_used_ + kReadBytes);
  socket_.async_read_some(
      boost::asio::buffer(input_.data() + input_used_, input_.size() - input_used_),
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
        if (!self->open_) return;
        if (error) return self->Fail();
        self->last_received_at_ = std::chrono::steady_clock::now();
        self->input_used_ += count;
        if (!self->TakeFrames()) return self->Fail();
        if (self->open_) self->Read();
      });
}

// Handles all complete frames in the input; false if it is malformed.
bool Connection::TakeFrames() {
  std::size_t consumed = 0;
  while (open_ && input_used_ - consumed >= wire::kLengthBytes) {
    const std::string_view unread(input_.data() + consumed, input_used_ - consumed);
    const auto length = wire::DecodeLength(unread);
    if (!length) return false;
    if (unread.size() < wire::kLengthBytes + *length) break;
    auto message = wire::DecodeEnvelope(unread.substr(wire::kLengthBytes, *length));
    if (!message) return false;
    consumed += wire::kLengthBytes + *length;
    if (traffic_) traffic_->Received(message->body, wire::kLengthBytes + *length);
    if (const auto* echo = std::get_if<wire::Echo>(&message->body)) {
      echo_ = echo->value;
      continue;
    }
    on_message_(*this, std::move(*message));
  }
  input_.erase(0, consumed);
  input_used_ -= consumed;
  if (input_used_ == 0 && input_.size() > 4 * kReadBytes) {
    input_.clear();
    input_.shrink_to_fit();
  }
  return true;
}

void Connection::Send(Frame frame) {
  if (!open_) return;
  output_bytes_ += frame->size();
  output_.push_back(std::move(frame));
  if (output_bytes_ > kMaxQueuedBytes || output_.size() > kMaxQueuedFrames) return Fail();
  if (!writing_) Write();
}

void Connection::Write() {
  std::array<boost::asio::const_buffer, kMaxFramesPerWrite> buffers;
  const std::size_t count = std::min(output_.size(), buffers.size());
  for (std::size_t i = 0; i < count; ++i) buffers[i] = boost::asio::buffer(*output_[i]);
  writing_ = true;
  const auto finish = [self = shared_from_this(), count](const boost::system::error_code& error,
                                                         std::size_t) {
    self->writing_ = false;
    if (!self->open_) return;
    if (error) return self->Fail();
    for (std::size_t i = 0; i < count; ++i) {
      self->output_bytes_ -= self->output_.front()->size();
      self->output_.pop_front();
    }
    if (!self->output_.empty()) self->Write();
  };
  boost::asio::async_write(socket_, buffers, finish);
}

void Connection::Close() {
  if (!std::exchange(open_, false)) return;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void Connection::Fail() {
  if (!open_) return;
  Close();
  if (on_closed_) on_closed_(*this);
}

}  // namespace kestrelline::mesh
