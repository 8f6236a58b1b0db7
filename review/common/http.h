// SPDX-License-Identifier: Apache-2.0
//
// Blocking HTTP/1.1 over loopback for the review's stand-ins: one message at a time, a thread per connection.
#ifndef KESTRELLINE_REVIEW_COMMON_HTTP_H_
#define KESTRELLINE_REVIEW_COMMON_HTTP_H_

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct Address {
  std::string ip;
  std::uint16_t port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in SocketAddress(const Address& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &raw.sin_addr);
  return raw;
}

// A listening socket, or -1 if the address is taken.
inline int Listen(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in raw = SocketAddress(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) == 0 && listen(fd, 1024) == 0) return fd;
  close(fd);
  return -1;
}

inline int Connect(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in raw = SocketAddress(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

struct Message {
  std::string start;                          // the request line or the status line
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;
  int status() const { return start.size() >= 12 ? std::atoi(start.c_str() + 9) : 0; }
  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    const std::size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
  }
};

inline bool WriteAll(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (count <= 0) return false;
    done += static_cast<std::size_t>(count);
  }
  return true;
}

// Reads messages from one connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  // Empty if the connection ended first, or at `until`.
  std::optional<Message> Read(Clock::time_point until) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) return std::nullopt;
    }
    Message message;
    ParseHead(buffer_.substr(0, end), message);
    buffer_.erase(0, end + 4);
    const std::string length = message.field("content-length");
    if (length.empty()) return message;
    const std::size_t size = std::strtoull(length.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (!Fill(until)) return std::nullopt;
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return message;
  }

 private:
  bool Fill(Clock::time_point until) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd wait{fd_, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) return false;
    char bytes[16384];
    const ssize_t count = recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  static void ParseHead(const std::string& head, Message& message) {
    std::size_t line = head.find("\r\n");
    message.start = head.substr(0, line);
    while (line != std::string::npos) {
      const std::size_t begin = line + 2;
      line = head.find("\r\n", begin);
      const std::string text = head.substr(begin, line == std::string::npos ? line : line - begin);
      const std::size_t colon = text.find(':');
      if (colon == std::string::npos) continue;
      const std::size_t value = text.find_first_not_of(' ', colon + 1);
      message.fields[Lower(text.substr(0, colon))] = value == std::string::npos ? "" : text.substr(value);
    }
  }

  int fd_;
  std::string buffer_;
};

// Accepts connections for the rest of the process's life, each served by a thread of its own. False if the
// address is taken.
inline bool Serve(const Address& address, std::function<void(int)> serve) {
  const int listener = Listen(address);
  if (listener < 0) return false;
  std::thread([listener, serve] {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      std::thread([fd, serve] {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        serve(fd);
        close(fd);
      }).detach();
    }
  }).detach();
  return true;
}

inline std::string Answer(int status, const std::string& reason, const std::string& fields,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review

#endif  // KESTRELLINE_REVIEW_COMMON_HTTP_H_
