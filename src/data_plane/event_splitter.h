// SPDX-License-Identifier: Apache-2.0
//
// Splits a text/event-stream into complete events, so that a truncated stream never ends inside an event. No
// I/O.
#ifndef KESTRELLINE_DATA_PLANE_EVENT_SPLITTER_H_
#define KESTRELLINE_DATA_PLANE_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace kestrelline::data_plane {

class EventSplitter {
 public:
  // Longer incomplete events are forwarded in pieces instead of being buffered.
  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

  // Appends bytes of the stream; returns all events that are complete.
  std::string Append(std::string_view bytes) {
    pending_.append(bytes);
    std::size_t end = pending_.rfind("\n\n");
    end = end == std::string::npos ? 0 : end + 2;
    if (end == 0 && pending_.size() > kMaxEventBytes) end = pending_.size();
    std::string complete = pending_.substr(0, end);
    pending_.erase(0, end);
    UpdateLastId(complete);
    return complete;
  }
  // Returns the buffered remainder at the end of the stream.
  std::string TakeRemainder() { return std::exchange(pending_, {}); }
  // Discards an incomplete event that will not be completed.
  void DropPartial() { pending_.clear(); }
  // The id of the last complete event; empty before the first.
  const std::string& last_id() const { return last_id_; }

 private:
  void UpdateLastId(std::string_view events) {
    constexpr std::string_view kField = "id:";
    std::size_t line_end = events.size();
    while (line_end != std::string_view::npos && line_end > 0) {
      const std::size_t line = events.rfind('\n', line_end - 1);
      const std::size_t begin = line == std::string_view::npos ? 0 : line + 1;
      std::string_view text = events.substr(begin, line_end - begin);
      if (text.starts_with(kField)) {
        text.remove_prefix(kField.size());
        while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
        while (!text.empty() && text.back() == '\r') text.remove_suffix(1);
        last_id_ = text;
        return;
      }
      line_end = line;
    }
  }

  std::string pending_;
  std::string last_id_;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_EVENT_SPLITTER_H_
