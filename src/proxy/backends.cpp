// SPDX-License-Identifier: Apache-2.0
#include "backends.h"

#include <algorithm>
#include <utility>

#include "clock.h"
#include "connection.h"

namespace kestrelline::proxy {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr double kIdleTimeoutShare =
    0.8;  // of the time after which backends close idle connections: the proxy must close them first

}  // namespace

Backends::Backends(asio::io_context& io, Limits limits) : io_(io), limits_(std::move(limits)) {}

Backends::~Backends() {
  const auto live = std::move(live_);
  live_.clear();
  for (const auto& [key, weak] : live) {
    if (const auto connection = weak.lock()) connection->Detach();
  }
}

void Backends::Set(ServerId server, const Tcp::endpoint& address, double up_since) {
  Backend& backend = backends_[server];
  if (backend.usable && backend.address == address && backend.up_since == up_since) return;
  Retire(server);
  backend.address = address;
  backend.up_since = up_since;
  backend.usable = true;
}

void Backends::Retire(ServerId server) {
  const auto entry = backends_.find(server);
  if (entry == backends_.end()) return;
  ++entry->second.generation;
  entry->second.usable = false;
  CloseIdle(server);
  if (entry->second.live == 0) return;
  for (const auto& [key, weak] : live_) {
    const auto connection = weak.lock();
    if (connection && connection->server() == server) connection->AbandonUnwritten();
  }
}

bool Backends::IsCurrent(const Connection& connection) const {
  const auto entry = backends_.find(connection.server());
  return entry != backends_.end() && entry->second.usable &&
         entry->second.generation == connection.generation();
}

void Backends::RetireAllExcept(const std::unordered_set<ServerId>& named) {
  for (const auto& [server, backend] : backends_) {
    if (!named.contains(server)) Retire(server);
  }
}

void Backends::CloseIdle(ServerId server) {
  const auto entry = backends_.find(server);
  if (entry == backends_.end()) return;
  const auto idle = std::move(entry->second.idle);
  entry->second.idle.clear();
  for (const auto& connection : idle) connection->Close();
}

void Backends::Forget(ServerId server) {
  const auto entry = backends_.find(server);
  if (entry != backends_.end() && !entry->second.usable && entry->second.live == 0) backends_.erase(entry);
}

AttemptHandle Backends::Send(ServerId server, std::shared_ptr<const HttpRequest> request, Duration timeout,
                             Duration hold, AttemptDone done, Wanted wanted, std::shared_ptr<Upload> upload) {
  Backend& backend = backends_[server];
  std::shared_ptr<Connection> connection = TakeIdle(backend);
  if (connection) {
    connection->Assign(std::move(request), std::move(upload), timeout, hold, std::move(done),
                       std::move(wanted));
    connection->Reuse();
    return {connection, connection->use()};
  }
  connection = std::make_shared<Connection>(*this, server, backend.generation);
  live_.emplace(connection.get(), connection);
  ++open_;
  ++backend.live;
  connection->Assign(std::move(request), std::move(upload), timeout, hold, std::move(done),
                     std::move(wanted));
  // Without a known address the backend counts as unreachable. A pool in which every connection carries an
  // attempt is not the fault of a backend.
  if (backend.address.port() == 0) {
    connection->PostFinish(Outcome::kConnectFailed);
  } else if (open_ > limits_.connections() && !CloseOldestIdle()) {
    connection->PostFinish(Outcome::kMoot);
  } else {
    ++opened_;
    connection->Open(backend.address, limits_.connect_timeout);
  }
  return {connection, connection->use()};
}

void AttemptHandle::Abandon() const {
  if (const auto connection = connection_.lock()) connection->Abandon(use_);
}

// Returns the most recently used connection that has been idle for reuse_delay. A backend may close a
// connection right after a response, or send excess bytes; after the delay both are visible.
std::shared_ptr<Connection> Backends::TakeIdle(Backend& backend) {
  const auto rested_since = Steady::now() - limits_.timeouts.reuse_delay;
  auto end = backend.idle.end();
  while (end != backend.idle.begin() && (*std::prev(end))->idle_since() > rested_since) --end;
  while (end != backend.idle.begin()) {
    const auto connection = *--end;
    end = backend.idle.erase(end);
    if (connection->IsQuiet()) return connection;
    const auto place = end - backend.idle.begin();
    connection->Close();
    end = backend.idle.begin() + place;
  }
  return nullptr;
}

void Backends::TrimIdle() {
  while (open_ > limits_.connections() && CloseOldestIdle()) {
  }
}

bool Backends::CloseOldestIdle() {
  std::shared_ptr<Connection> oldest;
  for (const auto& [server, backend] : backends_) {
    if (backend.idle.empty()) continue;
    const auto& candidate = backend.idle.front();
    if (!oldest || candidate->idle_since() < oldest->idle_since()) oldest = candidate;
  }
  if (oldest) oldest->Close();
  return oldest != nullptr;
}

void Backends::ReturnIdle(const std::shared_ptr<Connection>& connection) {
  if (!IsCurrent(*connection)) return connection->Close();
  backends_.at(connection->server()).idle.push_back(connection);
  connection->WatchIdle(limits_.conn_idle * kIdleTimeoutShare);
}

void Backends::Remove(const Connection* connection) {
  const bool was_live = live_.erase(connection) > 0;
  open_ -= was_live;
  const auto entry = backends_.find(connection->server());
  if (entry == backends_.end()) return;
  entry->second.live -= was_live;
  std::erase_if(entry->second.idle, [&](const auto& idle) { return idle.get() == connection; });
}

}  // namespace kestrelline::proxy
