// SPDX-License-Identifier: Apache-2.0
//
// How late the generator is by itself, and what a request costs it: 1,000, 10,000 and 50,000 requests a
// second to a responder on another thread that answers at once. Figures: docs/design/load.md.
#include <sys/resource.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <memory>
#include <string_view>
#include <thread>

#include "load/engine.h"

namespace {

using namespace kestrelline::load;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::string_view kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr double kSeconds = 5;

// Answers every request without a body, one at a time on a connection.
class Responder : public std::enable_shared_from_this<Responder> {
 public:
  explicit Responder(Tcp::socket socket) : socket_(std::move(socket)) {}
  void Read() {
    socket_.async_read_some(
        asio::buffer(buffer_), [self = shared_from_this()](const Error& failed, std::size_t n) {
          if (failed) return;
          const std::string_view got(self->buffer_.data(), n);
          if (!got.ends_with("\r\n\r\n")) return self->Read();
          asio::async_write(self->socket_, asio::buffer(kAnswer), [self](const Error& lost, std::size_t) {
            if (!lost) self->Read();
          });
        });
  }

 private:
  Tcp::socket socket_;
  std::array<char, 4096> buffer_{};
};

void Accept(Tcp::acceptor& acceptor) {
  acceptor.async_accept([&](const Error& failed, Tcp::socket socket) {
    if (failed) return;
    Error ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    std::make_shared<Responder>(std::move(socket))->Read();
    Accept(acceptor);
  });
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

}  // namespace

int main() {
  asio::io_context server(1);
  Tcp::acceptor acceptor(server, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  Accept(acceptor);
  std::thread thread([&] { server.run(); });
  std::printf("%9s %9s %9s %12s %12s %12s %12s %12s\n", "planned/s", "served/s", "not sent", "late p50 us",
              "late p99 us", "late p99.9", "latency p99", "CPU us each");
  for (const double rate : {1000.0, 10000.0, 50000.0}) {
    Plan plan;
    plan.classes = {{"look", Effect::kSafe, Microseconds(2000000)}};
    plan.mixture.shapes = {Constant{rate}};
    plan.mixture.classes = {{"look", 1, 0, 0}};
    plan.mixture.seconds = kSeconds;
    plan.connections = 64;
    Results results({"look"});
    asio::io_context io(1);
    Arrivals arrivals(plan.mixture, plan.seed);
    Engine engine(
        io, plan, {acceptor.local_endpoint()}, [&] { return arrivals.Next(); },
        [&](const Arrival&, Outcome outcome, const Timing& t) { results.Add(0, outcome, t); });
    const double before = CpuSeconds();
    const auto begun = std::chrono::steady_clock::now();
    engine.Start([&] { io.stop(); });
    io.run();
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
    const auto served = static_cast<double>(results.Count(Outcome::kServed));
    const auto us = [&](double q) { return static_cast<long long>(results.lateness().Quantile(q).count()); };
    std::printf("%9.0f %9.0f %9llu %12lld %12lld %12lld %12lld %12.1f\n", rate, served / took.count(),
                static_cast<unsigned long long>(results.Count(Outcome::kUnsent)), us(0.5), us(0.99),
                us(0.999), static_cast<long long>(results.Served(true).Quantile(0.99).count()),
                1e6 * (CpuSeconds() - before) / served);
  }
  server.stop();
  thread.join();
  return 0;
}
