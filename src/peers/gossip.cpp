// SPDX-License-Identifier: Apache-2.0
#include "peers/gossip.h"

#include "peers/wire.h"

namespace kestrelline::peers {
namespace {

// Sort key that puts newer updates first among those sent equally often.
std::uint64_t NewestFirst(std::uint64_t serial) { return ~serial; }

// Less than wire::MaxBytes of any statement.
constexpr std::size_t kMinStatementBytes = 24;

}  // namespace

void Gossip::Add(Statement statement) {
  const std::string name = statement.member.name;
  Drop(name);
  if (updates_.size() >= kMaxUpdates) Drop(std::string(std::prev(queue_.end())->second));
  Update& update = updates_[name];
  update.statement = std::move(statement);
  update.serial = NewestFirst(++last_serial_);
  queue_.emplace(Key{0, update.serial}, name);
}

void Gossip::Drop(std::string_view name) {
  const auto entry = updates_.find(name);
  if (entry == updates_.end()) return;
  queue_.erase({entry->second.transmissions, entry->second.serial});
  updates_.erase(entry);
}

void Gossip::Fill(std::size_t room, unsigned max_transmissions, std::vector<Statement>* into) {
  std::vector<std::string> sent;
  for (const auto& [key, name] : queue_) {
    if (room < kMinStatementBytes) break;
    const Statement& statement = updates_.find(name)->second.statement;
    const std::size_t bytes = wire::MaxBytes(statement);
    if (bytes > room) continue;
    room -= bytes;
    into->push_back(statement);
    sent.push_back(name);
  }
  for (const std::string& name : sent) {
    Update& update = updates_.find(name)->second;
    queue_.erase({update.transmissions, update.serial});
    if (++update.transmissions >= max_transmissions) {
      updates_.erase(name);
    } else {
      queue_.emplace(Key{update.transmissions, update.serial}, name);
    }
  }
}

}  // namespace kestrelline::peers
