// SPDX-License-Identifier: Apache-2.0
#include "peers/gossip.h"

#include "peers/wire.h"

namespace kestrelline::peers {
namespace {

// Newer news first among those that have been told equally often.
std::uint64_t Backwards(std::uint64_t serial) { return ~serial; }

}  // namespace

void Gossip::Add(Statement statement) {
  const std::string name = statement.member.name;
  Drop(name);
  if (news_.size() >= kMostNews) Drop(std::string(std::prev(order_.end())->second));
  News& news = news_[name];
  news.statement = std::move(statement);
  news.serial = Backwards(++last_);
  order_.emplace(Key{0, news.serial}, name);
}

void Gossip::Drop(std::string_view name) {
  const auto found = news_.find(name);
  if (found == news_.end()) return;
  order_.erase({found->second.told, found->second.serial});
  news_.erase(found);
}

void Gossip::Fill(std::size_t room, unsigned times, std::vector<Statement>* into) {
  std::vector<std::string> told;
  for (const auto& [key, name] : order_) {
    if (room < 24) break;  // nothing is as short
    const Statement& statement = news_.find(name)->second.statement;
    const std::size_t bytes = wire::MostBytes(statement);
    if (bytes > room) continue;
    room -= bytes;
    into->push_back(statement);
    told.push_back(name);
  }
  for (const std::string& name : told) {
    News& news = news_.find(name)->second;
    order_.erase({news.told, news.serial});
    if (++news.told >= times) {
      news_.erase(name);
    } else {
      order_.emplace(Key{news.told, news.serial}, name);
    }
  }
}

}  // namespace kestrelline::peers
