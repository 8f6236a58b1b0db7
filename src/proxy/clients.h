// SPDX-License-Identifier: Apache-2.0
//
// The side of the clients: accepts connections, reads requests, writes the one answer to each.
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
#include "management/figures.h"

namespace kestrelline::proxy {

// Where the one answer to a request goes.
class Responder {
 public:
  virtual ~Responder() = default;
  // `rest`: what follows the body in `answer`, null if that is whole. `length`: of the whole, if it is known.
  virtual void Served(HttpResponse answer, std::shared_ptr<BodySource> rest,
                      std::optional<std::uint64_t> length) = 0;
  virtual void Refused(Duration retry_after) = 0;
  virtual void Failed() = 0;
  // A backend found the request itself faulty.
  virtual void Rejected(boost::beast::http::status status) = 0;
  // Whether the client has closed its connection by now, whatever it sent ahead and whether or not anybody
  // has heard of it.
  virtual bool Gone() const = 0;
};

// What is done with requests. Neither call may throw.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  virtual RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) = 0;
  virtual void OnClientGone(RequestId request) = 0;
  // Whether a request of this Req-Id has no answer yet, or an attempt of it is out.
  virtual bool IsOpen(std::string_view id) const = 0;
};

class Session;

class Clients {
 public:
  using Count = std::function<std::size_t()>;

  // How many connections there may be now: those that are its own, near which places run short, and all, with
  // what is borrowed.
  struct Places {
    Count own, most;
  };

  // Listens at once, or takes over the listener that the configuration names; throws BadConfig or
  // boost::system::system_error if it cannot. Accepts when `life` says so. `figures` are told of each end.
  Clients(boost::asio::io_context& io, const Config& config, Places places,
          const kestrelline::lifecycle::ProcessLifecycle& life, kestrelline::management::Figures& figures,
          kestrelline::bodies::Budget& bodies, RequestHandler& handler);
  ~Clients();
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  // To be called after each change of `life`. Once it stops, `done` is called when nothing is owed to anybody
  // any more.
  void OnLife();
  void WhenOver(std::function<void()> done) { stopped_ = std::move(done); }
  // Of the memory of the configuration, where other processes have the rest.
  void SetMemoryShare(double share);

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return sessions_.size(); }

 private:
  friend class Session;

  void Accept();
  void Take(boost::asio::ip::tcp::socket socket);
  void TakeQueue();
  void AcceptLater();
  bool MakeRoom();
  bool PlacesRunShort() const;
  bool Reserve(std::size_t bytes);
  void Sweep();
  void Remove(Session* session);
  void LookWhetherOver();

  boost::asio::io_context& io_;
  const Config& config_;
  Places places_;
  const kestrelline::lifecycle::ProcessLifecycle& life_;
  kestrelline::management::Figures& figures_;
  kestrelline::bodies::Budget& bodies_;
  std::size_t most_bytes_ = 0, reserved_ = 0;  // of bodies that are held whole
  RequestHandler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_, over_, sweep_;
  std::list<std::shared_ptr<Session>> sessions_;  // in the order of their last change of state
  std::uint64_t last_serial_ = 0;
  bool waiting_for_room_ = false, accepting_ = false;
  std::function<void()> stopped_;
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_CLIENTS_H_
