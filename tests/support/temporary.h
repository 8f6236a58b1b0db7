// SPDX-License-Identifier: Apache-2.0
//
// A folder of a test's own that goes with it.
#ifndef KESTRELLINE_TESTS_SUPPORT_TEMPORARY_H_
#define KESTRELLINE_TESTS_SUPPORT_TEMPORARY_H_

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace kestrelline::testing {

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "kestrelline-test-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no temporary folder");
    path_ = name;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::string path() const { return path_.string(); }
  std::string operator/(const std::string& name) const { return (path_ / name).string(); }
  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(path_ / name, std::ios::binary | std::ios::trunc) << text;
  }
  std::string Read(const std::string& name) const {
    std::ifstream file(path_ / name, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }
  // As an operator should: the file is the old one or the new one at every moment.
  void Replace(const std::string& name, const std::string& text) const {
    Write(name + ".next", text);
    std::filesystem::rename(path_ / (name + ".next"), path_ / name);
  }

 private:
  std::filesystem::path path_;
};

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_TEMPORARY_H_
