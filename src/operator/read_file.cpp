// SPDX-License-Identifier: Apache-2.0
#include "operator/read_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace kestrelline::operator_file {
namespace {

constexpr int kTries = 3;

class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

bool SameContent(const struct stat& a, const struct stat& b) {
  return a.st_size == b.st_size && a.st_mtim.tv_sec == b.st_mtim.tv_sec &&
         a.st_mtim.tv_nsec == b.st_mtim.tv_nsec;
}

enum class Read { kWhole, kChanged, kFailed };

Read ReadOnce(int fd, const struct stat& before, std::string* text) {
  // One byte more than it is said to hold: a file that grows shows.
  text->resize(static_cast<std::size_t>(before.st_size) + 1);
  std::size_t got = 0;
  while (got < text->size()) {
    const ssize_t n = ::pread(fd, text->data() + got, text->size() - got, static_cast<off_t>(got));
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return Read::kFailed;
    if (n == 0) break;
    got += static_cast<std::size_t>(n);
  }
  text->resize(got);
  struct stat after {};
  if (::fstat(fd, &after) != 0) return Read::kFailed;
  return got == static_cast<std::size_t>(before.st_size) && SameContent(before, after) ? Read::kWhole
                                                                                       : Read::kChanged;
}

}  // namespace

std::optional<std::string> ReadWhole(const std::string& path, std::size_t most_bytes,
                                     Diagnostics* diagnostics) {
  const auto refuse = [&](std::string_view rule, const std::string& text) {
    diagnostics->Add({}, rule, text);
    return std::nullopt;
  };
  // Not blocking: the open of a FIFO would wait for a writer.
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC | O_NOCTTY));
  if (file.get() < 0) return refuse("read", std::string("cannot be opened: ") + std::strerror(errno));
  std::string text;
  for (int i = 0; i < kTries; ++i) {
    struct stat status {};
    if (::fstat(file.get(), &status) != 0)
      return refuse("read", std::string("cannot be read: ") + std::strerror(errno));
    if (!S_ISREG(status.st_mode)) return refuse("read", "is no regular file");
    if (static_cast<std::uintmax_t>(status.st_size) > most_bytes)
      return refuse("size", "holds " + std::to_string(status.st_size) + " bytes; " +
                                std::to_string(most_bytes) + " at most with this proxy's memory");
    switch (ReadOnce(file.get(), status, &text)) {
      case Read::kWhole:
        return text;
      case Read::kFailed:
        return refuse("read", std::string("cannot be read: ") + std::strerror(errno));
      case Read::kChanged:
        break;
    }
  }
  return refuse("changing", "was written to while it was read; replace it by a rename instead");
}

}  // namespace kestrelline::operator_file
