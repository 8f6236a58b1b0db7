// SPDX-License-Identifier: Apache-2.0
#include "app/management_client.h"

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

constexpr std::chrono::seconds kAnswerTimeout{3};  // connection, command and answer together
constexpr std::size_t kMaxAnswerBytes = 4 << 20;   // a report of 4,096 members takes 1 MB

// The complete answer to one command; nothing if it does not arrive within kAnswerTimeout.
std::optional<std::string> Ask(const asio::ip::tcp::endpoint& endpoint, const std::string& line) {
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  std::string answer;
  bool complete = false;
  socket.async_connect(endpoint, [&](const Error& failed) {
    if (failed) return;
    asio::async_write(socket, asio::buffer(line), [&](const Error& lost, std::size_t) {
      if (lost) return;
      asio::async_read(socket, asio::dynamic_buffer(answer, kMaxAnswerBytes),
                       [&](const Error& end, std::size_t) { complete = end == asio::error::eof; });
    });
  });
  io.run_for(kAnswerTimeout);
  return complete ? std::optional(std::move(answer)) : std::nullopt;
}

}  // namespace

std::optional<nlohmann::json> FetchReport(const std::string& address, const std::string& command,
                                          std::ostream& err, int* exit_code) {
  const auto endpoint = kestrelline::proxy::ParseEndpoint(address);
  if (!endpoint) {
    err << "'" << address << "' is not an address such as 127.0.0.1:9000\n";
    return *exit_code = kInvalidAddress, std::nullopt;
  }
  const auto answer = Ask(*endpoint, command + "\n");
  *exit_code = kUnreachable;
  if (!answer) {
    err << address << ": no answer\n";
    return std::nullopt;
  }
  if (answer->starts_with("NAK " + command)) {
    err << address << ": [" << command << "] is disabled: the proxy's operator file has no such section\n";
    return *exit_code = kDisabled, std::nullopt;
  }
  auto report = answer->starts_with("ACK ") ? nlohmann::json::parse(answer->substr(4), nullptr, false)
                                            : nlohmann::json();
  if (!report.is_object()) {
    err << address << ": not the management address of a proxy\n";
    return std::nullopt;
  }
  return report;
}

}  // namespace kestrelline::app
