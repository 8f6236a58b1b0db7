// SPDX-License-Identifier: Apache-2.0
//
// The client side of the proxy: accepts connections, hands their requests to a RequestHandler and writes one
// response to each request.
#ifndef KESTRELLINE_PROXY_CLIENTS_H_
#define KESTRELLINE_PROXY_CLIENTS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "backends.h"
#include "clock.h"
#include "config.h"
#include "lifecycle/process_lifecycle.h"
#include "management/metrics.h"

namespace kestrelline::proxy {

// Sends the final response to a request. The first call is the response; later calls are ignored.
class Responder {
 public:
  virtual ~Responder() = default;
  // `rest`: the part of the body that follows answer.body(), or null if that is complete. `length`: of the
  // complete body, if known.
  virtual void Served(HttpResponse answer, std::shared_ptr<BodySource> rest,
                      std::optional<std::uint64_t> length) = 0;
  virtual void Refused(Duration retry_after) = 0;
  virtual void Failed() = 0;
  // A backend rejected the request itself with this 4xx status.
  virtual void Rejected(boost::beast::http::status status) = 0;
  // Whether the client has closed its connection. Asks the system, so that it is also true before the event
  // loop has noticed, and when pipelined bytes are still unread.
  virtual bool ClientClosed() const = 0;
};

// Receives the requests. No call may throw.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  virtual RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) = 0;
  virtual void OnClientGone(RequestId request) = 0;
  // Whether a request with this Req-Id has no response yet, or still has an attempt in flight.
  virtual bool IsOpen(std::string_view id) const = 0;
};

class Session;

class Clients {
 public:
  using Count = std::function<std::size_t()>;

  // Current limits on client connections: the client side's own share, and the maximum including borrowed
  // descriptors (see descriptors.h).
  struct ConnectionLimits {
    Count own, max;
  };

  // Starts to listen, or takes over the inherited listener; throws ConfigError or boost::system::system_error
  // on failure. `life` decides when connections are accepted; `figures` counts the outcome of each request.
  // All references must outlive this object.
  Clients(boost::asio::io_context& io, const Config& config, ConnectionLimits places,
          const kestrelline::lifecycle::ProcessLifecycle& life, kestrelline::management::Metrics& figures,
          kestrelline::bodies::Budget& bodies, RequestHandler& handler);
  ~Clients();
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  // Must be called after each change of `life`. Once the process is stopping, the drained callback is called
  // when no client is owed a response any more.
  void OnLifecycleChange();
  void SetDrainedCallback(std::function<void()> done) { on_drained_ = std::move(done); }
  // Sets this process's fraction of the configured memory; other processes of this proxy use the rest.
  void SetMemoryShare(double share);

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return sessions_.size(); }

 private:
  friend class Session;

  void Accept();
  void AddSession(boost::asio::ip::tcp::socket socket);
  void AcceptBacklog();
  void RetryAccept();
  bool EvictConnection();
  bool NearConnectionLimit() const;
  bool Reserve(std::size_t bytes);
  void Sweep();
  void Remove(Session* session);
  void CheckDrained();

  boost::asio::io_context& io_;
  const Config& config_;
  ConnectionLimits limits_;
  const kestrelline::lifecycle::ProcessLifecycle& life_;
  kestrelline::management::Metrics& figures_;
  kestrelline::bodies::Budget& bodies_;
  std::size_t max_body_bytes_ = 0, reserved_ = 0;  // bytes, for buffered bodies
  RequestHandler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_, drain_timer_, sweep_timer_;
  std::list<std::shared_ptr<Session>> sessions_;  // ordered by their last change of state
  std::uint64_t last_serial_ = 0;
  bool accept_blocked_ = false, accepting_ = false;
  std::function<void()> on_drained_;
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_CLIENTS_H_
