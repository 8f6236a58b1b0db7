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

constexpr int kAttempts = 3;  // reads of a file that changes meanwhile

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

// Judged by size and modification time.
bool SameContent(const struct stat& a, const struct stat& b) {
  return a.st_size == b.st_size && a.st_mtim.tv_sec == b.st_mtim.tv_sec &&
         a.st_mtim.tv_nsec == b.st_mtim.tv_nsec;
}

enum class ReadResult { kComplete, kChanged, kFailed };

ReadResult ReadOnce(int fd, const struct stat& before, std::string* text) {
  // Reads one byte more than the reported size, to detect a file that grows.
  text->resize(static_cast<std::size_t>(before.st_size) + 1);
  std::size_t size = 0;
  while (size < text->size()) {
    const ssize_t bytes = ::pread(fd, text->data() + size, text->size() - size, static_cast<off_t>(size));
    if (bytes < 0 && errno == EINTR) continue;
    if (bytes < 0) return ReadResult::kFailed;
    if (bytes == 0) break;
    size += static_cast<std::size_t>(bytes);
  }
  text->resize(size);
  struct stat after {};
  if (::fstat(fd, &after) != 0) return ReadResult::kFailed;
  return size == static_cast<std::size_t>(before.st_size) && SameContent(before, after)
             ? ReadResult::kComplete
             : ReadResult::kChanged;
}

}  // namespace

std::optional<std::string> ReadFileSnapshot(const std::string& path, std::size_t max_bytes,
                                            Diagnostics* diagnostics) {
  const auto reject = [&](std::string_view rule, const std::string& text) {
    diagnostics->Add({}, rule, text);
    return std::nullopt;
  };
  // O_NONBLOCK: opening a FIFO would otherwise wait for a writer.
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC | O_NOCTTY));
  if (file.get() < 0) return reject("read", std::string("cannot be opened: ") + std::strerror(errno));
  std::string text;
  for (int i = 0; i < kAttempts; ++i) {
    struct stat status {};
    if (::fstat(file.get(), &status) != 0)
      return reject("read", std::string("cannot be read: ") + std::strerror(errno));
    if (!S_ISREG(status.st_mode)) return reject("read", "is no regular file");
    if (static_cast<std::uintmax_t>(status.st_size) > max_bytes)
      return reject("size", "holds " + std::to_string(status.st_size) + " bytes; " +
                                std::to_string(max_bytes) + " at most with this proxy's memory");
    switch (ReadOnce(file.get(), status, &text)) {
      case ReadResult::kComplete:
        return text;
      case ReadResult::kFailed:
        return reject("read", std::string("cannot be read: ") + std::strerror(errno));
      case ReadResult::kChanged:
        break;
    }
  }
  return reject("changing", "was written to while it was read; replace it by a rename instead");
}

}  // namespace kestrelline::operator_file
