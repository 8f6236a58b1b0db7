// SPDX-License-Identifier: Apache-2.0
//
// Cuts a text/event-stream into whole events, so that a stream that breaks never ends inside one. No I/O.
#ifndef KESTRELLINE_DATA_PLANE_EVENT_SPLITTER_H_
#define KESTRELLINE_DATA_PLANE_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace kestrelline::data_plane {

class EventSplitter {
 public:
  // The longest event that is held back for its end; a longer one passes in pieces.
  static constexpr std::size_t kLongestEvent = 256 * 1024;

  // Takes bytes of the stream; returns all whole events that are complete by them.
  std::string Take(std::string_view bytes) {
    pending_.append(bytes);
    std::size_t end = pending_.rfind("\n\n");
    end = end == std::string::npos ? 0 : end + 2;
    if (end == 0 && pending_.size() > kLongestEvent) end = pending_.size();
    std::string whole = pending_.substr(0, end);
    pending_.erase(0, end);
    NoteLastId(whole);
    return whole;
  }
  // What is left once the stream has come to its end.
  std::string Rest() { return std::exchange(pending_, {}); }
  // Forgets the beginning of an event that will not be completed.
  void DropPartial() { pending_.clear(); }
  // The id of the last whole event; empty before the first.
  const std::string& last_id() const { return last_id_; }

 private:
  void NoteLastId(std::string_view events) {
    constexpr std::string_view kField = "id:";
    std::size_t at = events.size();
    while (at != std::string_view::npos && at > 0) {
      const std::size_t line = events.rfind('\n', at - 1);
      const std::size_t begin = line == std::string_view::npos ? 0 : line + 1;
      std::string_view text = events.substr(begin, at - begin);
      if (text.starts_with(kField)) {
        text.remove_prefix(kField.size());
        while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
        while (!text.empty() && text.back() == '\r') text.remove_suffix(1);
        last_id_ = text;
        return;
      }
      at = line;
    }
  }

  std::string pending_;
  std::string last_id_;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_EVENT_SPLITTER_H_
