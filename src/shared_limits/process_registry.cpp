// SPDX-License-Identifier: Apache-2.0
#include "shared_limits/process_registry.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstring>

namespace kestrelline::shared_limits {
namespace {

// The contents of a file. Anything else is treated as no usage published.
struct Record {
  std::uint32_t magic = 0x6b6c7031;  // "klp1"
  std::int32_t descriptors = 0;
  std::int32_t stopping = 0;
};
constexpr int kMaxDescriptors = 1 << 20;

struct flock WholeFile(short type) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  return lock;
}

// The name comes from the platform and may contain characters that are not allowed in a file name.
std::string FileName(const std::string& name, int slot) {
  std::string text = "kestrelline-";
  for (const char c : name.substr(0, 64)) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-';
    text += plain ? c : '_';
  }
  return text + '.' + std::to_string(slot) + ".lock";
}

}  // namespace

ProcessRegistry::ProcessRegistry(const std::string& folder, const std::string& name) {
  files_.fill(-1);
  for (int slot = 0; slot < kSlots; ++slot) {
    const std::string path = folder + '/' + FileName(name, slot);
    int& file = files_[static_cast<std::size_t>(slot)];
    file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK, 0600);
    if (file < 0) {
      failure_reason_ = path + ": " + std::strerror(errno);
      continue;
    }
    if (own_slot_ >= 0) continue;
    struct flock lock = WholeFile(F_WRLCK);
    if (::fcntl(file, F_OFD_SETLK, &lock) == 0) own_slot_ = slot;
  }
  if (own_slot_ < 0 && failure_reason_.empty())
    failure_reason_ = "all " + std::to_string(kSlots) + " slots are in use";
  if (own_slot_ >= 0) Publish({});
}

ProcessRegistry::~ProcessRegistry() {
  for (const int file : files_) {
    if (file >= 0) ::close(file);
  }
}

void ProcessRegistry::Publish(const ProcessUsage& usage) {
  if (own_slot_ < 0 || (usage.descriptors == published_.descriptors && usage.stopping == published_.stopping))
    return;
  published_ = usage;
  Record record;
  record.descriptors = usage.descriptors;
  record.stopping = usage.stopping;
  // If the file system is full, the others go on reading the previous usage; nothing else is affected.
  [[maybe_unused]] const ssize_t written =
      ::pwrite(files_[static_cast<std::size_t>(own_slot_)], &record, sizeof record, 0);
}

std::vector<ProcessUsage> ProcessRegistry::OtherProcesses() const {
  std::vector<ProcessUsage> others;
  if (own_slot_ < 0) return others;
  for (int slot = 0; slot < kSlots; ++slot) {
    const int file = files_[static_cast<std::size_t>(slot)];
    if (slot == own_slot_ || file < 0) continue;
    struct flock lock = WholeFile(F_WRLCK);
    if (::fcntl(file, F_OFD_GETLK, &lock) != 0 || lock.l_type == F_UNLCK) continue;
    Record record;
    const bool complete = ::pread(file, &record, sizeof record, 0) == sizeof record;
    ProcessUsage usage;
    if (complete && record.magic == Record().magic) {
      usage.descriptors = std::clamp(record.descriptors, 0, kMaxDescriptors);
      usage.stopping = record.stopping != 0;
    }
    others.push_back(usage);
  }
  return others;
}

}  // namespace kestrelline::shared_limits
