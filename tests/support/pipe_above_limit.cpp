// SPDX-License-Identifier: Apache-2.0
//
// Preloaded into a program under the sanitizers that is to run out of file descriptors. To check the type of
// an object, UndefinedBehaviorSanitizer writes its memory to a pipe; without descriptors it takes a valid
// object for an invalid one and ends the program. This pipe() may exceed the soft limit, up to the hard one.
#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

extern "C" int pipe(int ends[2]) noexcept {
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const rlimit raised{before.rlim_max, before.rlim_max};
  setrlimit(RLIMIT_NOFILE, &raised);
  const long result = syscall(SYS_pipe2, ends, 0);
  setrlimit(RLIMIT_NOFILE, &before);
  return static_cast<int>(result);
}
