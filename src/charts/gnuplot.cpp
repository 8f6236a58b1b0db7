// SPDX-License-Identifier: Apache-2.0
#include "charts/gnuplot.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

extern char** environ;

namespace kestrelline::charts {
namespace {

// Scripts, pictures and messages of one call; gone with it.
class Folder {
 public:
  Folder() {
    char name[] = "/tmp/kestrelline-charts-XXXXXX";
    if (mkdtemp(name)) path_ = name;
  }
  ~Folder() {
    std::error_code ignored;
    if (!path_.empty()) std::filesystem::remove_all(path_, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

std::string Read(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return std::move(text).str();
}

bool Run(const std::string& script, const std::string& path, std::string* why) {
  const Folder folder;
  if (folder.path().empty()) return *why = std::string("no temporary folder: ") + std::strerror(errno), false;
  const std::string file = folder.path() + "/script", said = folder.path() + "/said";
  std::ofstream(file) << script;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, said.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  // -d: nobody's own settings.
  const char* arguments[] = {"gnuplot", "-d", file.c_str(), nullptr};
  pid_t child = -1;
  const int failed =
      posix_spawnp(&child, "gnuplot", &actions, nullptr, const_cast<char**>(arguments), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0)
    return *why = std::string("gnuplot (package gnuplot-nox): ") + std::strerror(failed), false;
  int status = 0;
  while (waitpid(child, &status, 0) < 0 && errno == EINTR) {
  }
  if (WIFEXITED(status) && WEXITSTATUS(status) == 0) return true;
  *why = "gnuplot failed: " + Read(said).substr(0, 400);
  return false;
}

// The picture at `path`, which stays there.
std::optional<std::string> SvgAt(const Chart& chart, const std::string& path, std::string* why) {
  if (!Run(Script(chart, Format::kSvg), path, why)) return std::nullopt;
  const std::string text = Read(path);
  const auto begin = text.find("<svg");
  if (begin == std::string::npos) return *why = "gnuplot drew nothing", std::nullopt;
  return text.substr(begin);
}

}  // namespace

std::optional<std::string> Draw(const Chart& chart, const std::string& folder, const std::string& name,
                                std::string* why) {
  auto svg = SvgAt(chart, folder + "/" + name + ".svg", why);
  if (svg && !Run(Script(chart, Format::kPng), folder + "/" + name + ".png", why)) svg.reset();
  return svg;
}

std::optional<std::string> Svg(const Chart& chart, std::string* why) {
  const Folder folder;
  if (folder.path().empty())
    return *why = std::string("no temporary folder: ") + std::strerror(errno), std::nullopt;
  return SvgAt(chart, folder.path() + "/chart.svg", why);
}

}  // namespace kestrelline::charts
