// SPDX-License-Identifier: Apache-2.0
#include "app/door_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

#include "config.h"

namespace kestrelline::app {
namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;

constexpr std::chrono::seconds kPatience{3};
constexpr std::size_t kMostAnswer = 4 << 20;  // 4,096 members take a megabyte

// All that the door says to one call; nothing if nobody answers in time.
std::optional<std::string> Ask(const asio::ip::tcp::endpoint& door, const std::string& call) {
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  std::string answer;
  bool over = false;
  socket.async_connect(door, [&](const Error& failed) {
    if (failed) return;
    asio::async_write(socket, asio::buffer(call), [&](const Error& lost, std::size_t) {
      if (lost) return;
      asio::async_read(socket, asio::dynamic_buffer(answer, kMostAnswer),
                       [&](const Error& end, std::size_t) { over = end == asio::error::eof; });
    });
  });
  io.run_for(kPatience);
  return over ? std::optional(std::move(answer)) : std::nullopt;
}

}  // namespace

std::optional<nlohmann::json> AskForReport(const std::string& door, const std::string& what,
                                           std::ostream& err, int* code) {
  const auto at = kestrelline::proxy::ParseEndpoint(door);
  if (!at) {
    err << "'" << door << "' is no address: 127.0.0.1:9000 is accepted\n";
    return *code = kNoAddress, std::nullopt;
  }
  const auto answer = Ask(*at, what + "\n");
  *code = kNobodyAnswers;
  if (!answer) {
    err << door << ": nobody answers\n";
    return std::nullopt;
  }
  if (answer->starts_with("NAK " + what)) {
    err << door << ": [" << what << "] is off: its operator's file has no such section\n";
    return *code = kOff, std::nullopt;
  }
  auto report = answer->starts_with("ACK ") ? nlohmann::json::parse(answer->substr(4), nullptr, false)
                                            : nlohmann::json();
  if (!report.is_object()) {
    err << door << ": what answers there is no door of a proxy\n";
    return std::nullopt;
  }
  return report;
}

}  // namespace kestrelline::app
