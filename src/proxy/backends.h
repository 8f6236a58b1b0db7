// SPDX-License-Identifier: Apache-2.0
//
// Attempts at backends and the pool of connections that carries them. It decides nothing: each Send is one
// attempt on one connection and ends in exactly one result.
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
  HttpResponse response;  // of kOk; of kUnknown, where the backend turned the request away as faulty
  // Of kOk: what follows the body in `response`, which is its beginning then. Null where it is whole.
  std::shared_ptr<BodySource> rest_of_body;
  std::optional<std::uint64_t> length;  // of the whole body, where it was announced
  bool local_failure = false;           // of kMoot: it could not begin for want of descriptors or places here
  bool connection_broke = false;  // its connection broke before any byte of an answer, after some of its own
  Duration since_first_byte{0};   // since its first byte was
  Duration since_last_byte{0};    // since its last byte was
};
using AttemptDone = std::function<void(AttemptResult)>;

class Connection;

// An attempt that is out, or was.
class AttemptHandle {
 public:
  AttemptHandle(std::weak_ptr<Connection> connection, std::uint64_t use)
      : connection_(std::move(connection)), use_(use) {}
  // Nobody wants it any more. If its last byte is not written it never is, and the attempt is over at once.
  void Abandon() const;

 private:
  std::weak_ptr<Connection> connection_;
  std::uint64_t use_;  // of the connection, which others use later
};

class Backends {
 public:
  // Asked right before the server could begin with an attempt that has waited since its Send.
  using Wanted = std::function<bool()>;

  struct Limits {
    Duration connect_timeout{250};
    Duration conn_idle{15000};
    std::function<std::size_t()> connections = [] { return std::size_t{300}; };  // over all backends, now
    Timeouts timeouts{};
    kestrelline::bodies::Budget* bodies = nullptr;  // for answers that pass in pieces
    std::function<void()> on_written = [] {};       // the last byte of an attempt is
  };

  Backends(boost::asio::io_context& io, Limits limits);
  ~Backends();
  Backends(const Backends&) = delete;
  Backends& operator=(const Backends&) = delete;

  // Where a backend listens now, and since when it runs. Idle connections to what has moved or restarted go.
  void Set(ServerId server, const boost::asio::ip::tcp::endpoint& address, double up_since);
  // Nothing new will go there: idle connections go, attempts with nothing written are over, and connections
  // in use go when their answers are in.
  void Retire(ServerId server);
  // All but those that a complete list names.
  void RetireAllExcept(const std::unordered_set<ServerId>& named);
  void CloseIdle(ServerId server);

  // Closes idle connections, the oldest first, while there are more than may be now.
  void TrimIdle();

  // Drops what is known of a backend that is retired.
  void Forget(ServerId server);

  // One attempt with the request as it came, but for how long its answer will be waited for. `hold`: its last
  // byte is written this much after the others, or never, if the connection breaks first; that attempt has
  // not run then. `upload`: its body, where that is passed on as it comes; `timeout` counts from its last
  // byte then. `done` is called once, never from within this call, and not after the destructor.
  AttemptHandle Send(ServerId server, std::shared_ptr<const HttpRequest> request, Duration timeout,
                     Duration hold, AttemptDone done, Wanted wanted,
                     std::shared_ptr<Upload> upload = nullptr);

  std::size_t connections() const { return open_; }
  std::size_t opened() const { return opened_; }  // since the start
  std::size_t known() const { return backends_.size(); }

 private:
  friend class Connection;
  struct Backend {
    boost::asio::ip::tcp::endpoint address;
    double up_since = 0;
    std::uint64_t generation = 0;  // connections of an older one are not kept
    bool usable = false;
    std::vector<std::shared_ptr<Connection>> idle;  // the most recently used last
    std::size_t live = 0;                           // connections, in use and idle
  };

  // Whether it leads to what the list says of its server now.
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
