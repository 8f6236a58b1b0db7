// SPDX-License-Identifier: Apache-2.0
//
// Connection pool to the backends, and the attempts that it carries.
//
// The pool makes no decisions: each Send is one attempt on one connection and ends in exactly one result.
#ifndef KESTRELLINE_PROXY_BACKENDS_H_
#define KESTRELLINE_PROXY_BACKENDS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "bodies/budget.h"
#include "body_source.h"
#include "framing.h"
#include "kestrelline/balancer.h"
#include "upload.h"

namespace kestrelline::proxy {

struct AttemptResult {
  Outcome outcome = Outcome::kUnknown;
  HttpResponse response;  // for kOk, and for kUnknown if the backend rejected the request
  // For kOk: the part of the body that follows response.body(). Null if response.body() is complete.
  std::shared_ptr<BodySource> rest_of_body;
  std::optional<std::uint64_t> length;  // of the complete body, if the backend announced it
  bool local_failure =
      false;  // for kMoot: descriptors or pool connections ran out, so the attempt never began
  bool connection_broke =
      false;  // the connection failed after part of the request was sent and before any byte of the response
  Duration since_first_byte{0};  // since the first byte of the request was written
  Duration since_last_byte{0};   // since the last byte of the request was written
};
using AttemptDone = std::function<void(AttemptResult)>;

class Connection;

// Refers to one attempt, also after it has ended.
class AttemptHandle {
 public:
  AttemptHandle(std::weak_ptr<Connection> connection, std::uint64_t use)
      : connection_(std::move(connection)), use_(use) {}
  // Cancels the attempt if the last byte of its request has not been written yet; it then ends at once as
  // kMoot. Has no effect otherwise.
  void Abandon() const;

 private:
  std::weak_ptr<Connection> connection_;
  std::uint64_t use_;  // which use of the connection: it carries other attempts later
};

class Backends {
 public:
  // Called before the backend could start executing an attempt that was delayed after Send. If it returns
  // false, the attempt ends as kMoot.
  using Wanted = std::function<bool()>;

  struct Limits {
    Duration connect_timeout{250};
    Duration conn_idle{15000};
    std::function<std::size_t()> connections = [] {
      return std::size_t{300};
    };  // current limit over all backends
    Timeouts timeouts{};
    kestrelline::bodies::Budget* bodies = nullptr;  // memory for streamed responses; null refuses to stream
    std::function<void()> on_written = [] {};       // called when a request was written completely
  };

  Backends(boost::asio::io_context& io, Limits limits);
  ~Backends();
  Backends(const Backends&) = delete;
  Backends& operator=(const Backends&) = delete;

  // Sets the address and the start time of a backend. If either has changed, its idle connections are closed.
  void Set(ServerId server, const boost::asio::ip::tcp::endpoint& address, double up_since);
  // Stops using a backend: closes its idle connections, cancels attempts of which nothing was written, and
  // closes connections in use after their response.
  void Retire(ServerId server);
  // Retires every backend that a full list does not contain.
  void RetireAllExcept(const std::unordered_set<ServerId>& named);
  void CloseIdle(ServerId server);

  // Closes idle connections, longest idle first, while the number of connections exceeds the limit.
  void TrimIdle();

  // Erases the entry of a retired backend that has no connections.
  void Forget(ServerId server);

  // Makes one attempt. The request is sent as received, except that Req-Deadline-Ms becomes the time that is
  // left.
  //
  // `hold`: delays the last byte of the request by this time. If the connection fails first, that byte is
  // never written, and so the attempt cannot have been executed. `upload`: the request body, if it is
  // streamed; `timeout` then counts from its last byte. `done` is called exactly once, never from within
  // Send, and not after the destructor.
  AttemptHandle Send(ServerId server, std::shared_ptr<const HttpRequest> request, Duration timeout,
                     Duration hold, AttemptDone done, Wanted wanted,
                     std::shared_ptr<Upload> upload = nullptr);

  std::size_t connections() const { return open_; }
  std::size_t opened() const { return opened_; }  // connections since the start of the process
  std::size_t known() const { return backends_.size(); }

 private:
  friend class Connection;
  struct Backend {
    boost::asio::ip::tcp::endpoint address;
    double up_since = 0;
    std::uint64_t generation = 0;  // connections of an earlier generation are closed after use
    bool usable = false;
    std::vector<std::shared_ptr<Connection>> idle;  // most recently used last
    std::size_t live = 0;                           // number of connections, in use and idle
  };

  // Whether the connection was opened to the current address and incarnation of its backend.
  bool IsCurrent(const Connection& connection) const;
  std::shared_ptr<Connection> TakeIdle(Backend& backend);
  bool CloseOldestIdle();
  void ReturnIdle(const std::shared_ptr<Connection>& connection);
  void Remove(const Connection* connection);

  boost::asio::io_context& io_;
  Limits limits_;
  std::unordered_map<ServerId, Backend> backends_;
  std::unordered_map<const Connection*, std::weak_ptr<Connection>> live_;
  std::size_t open_ = 0, opened_ = 0;
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_BACKENDS_H_
