// SPDX-License-Identifier: Apache-2.0
//
// relay PORT TARGET_PORT: passes bytes between each connection and one of its own to the target, on loopback,
// and looks at none of them. The least that a proxy on this library can cost: the floor of cost_bench.
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

class Pair : public std::enable_shared_from_this<Pair> {
 public:
  explicit Pair(Tcp::socket client) : client_(std::move(client)), server_(client_.get_executor()) {}
  void Start(const Tcp::endpoint& target) {
    server_.async_connect(target, [self = shared_from_this()](const Error& failed) {
      if (failed) return;
      Error ignored;
      self->client_.set_option(Tcp::no_delay(true), ignored);
      self->server_.set_option(Tcp::no_delay(true), ignored);
      self->Pass(self->client_, self->server_, self->up_);
      self->Pass(self->server_, self->client_, self->down_);
    });
  }

 private:
  using Buffer = std::array<char, 16 * 1024>;
  void Pass(Tcp::socket& from, Tcp::socket& to, Buffer& buffer) {
    from.async_read_some(asio::buffer(buffer), [this, self = shared_from_this(), &from, &to, &buffer](
                                                   const Error& failed, std::size_t n) {
      if (failed) return End();
      asio::async_write(to, asio::buffer(buffer.data(), n),
                        [this, self, &from, &to, &buffer](const Error& lost, std::size_t) {
                          if (lost) return End();
                          Pass(from, to, buffer);
                        });
    });
  }
  void End() {
    Error ignored;
    client_.close(ignored);
    server_.close(ignored);
  }
  Tcp::socket client_, server_;
  Buffer up_{}, down_{};
};

void Accept(Tcp::acceptor& acceptor, const Tcp::endpoint& target) {
  acceptor.async_accept([&](const Error& failed, Tcp::socket socket) {
    if (failed) return;
    std::make_shared<Pair>(std::move(socket))->Start(target);
    Accept(acceptor, target);
  });
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: %s PORT TARGET_PORT\n", argv[0]);
    return 2;
  }
  const auto at = [](const char* port) {
    return Tcp::endpoint(asio::ip::address_v4::loopback(), static_cast<unsigned short>(std::atoi(port)));
  };
  asio::io_context io(1);
  asio::signal_set ends(io, SIGTERM);
  ends.async_wait([&](const Error&, int) { io.stop(); });
  Tcp::acceptor acceptor(io, at(argv[1]));
  const Tcp::endpoint target = at(argv[2]);
  Accept(acceptor, target);
  io.run();
  return 0;
}
