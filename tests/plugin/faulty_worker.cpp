// SPDX-License-Identifier: Apache-2.0
//
// A worker for tests with a Lua function fault(kind), which makes it crash, hang or corrupt its next reply.
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <lua.hpp>
#include <string>
#include <string_view>

#include "plugin/wire.h"
#include "plugin/worker/run.h"

namespace {

using namespace kestrelline::plugin;

std::string next_reply_fault;

int Misbehave(lua_State* lua) {
  const std::string_view kind = luaL_checkstring(lua, 1);
  if (kind == "segv") {
    signal(SIGSEGV, SIG_DFL);  // the handler of a sanitizer would take long
    raise(SIGSEGV);
  }
  if (kind == "abort") {
    signal(SIGABRT, SIG_DFL);
    raise(SIGABRT);
  }
  if (kind == "kill") raise(SIGKILL);
  if (kind == "exit") _exit(3);
  if (kind == "block") {
    for (;;) pause();  // a call that never returns
  }
  next_reply_fault = kind;
  return 0;
}

void Send(int socket, const std::string& bytes) { send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

bool SendFaultyReply(int socket, const std::string& reply) {
  const std::string kind = std::exchange(next_reply_fault, "");
  if (kind == "silent") return true;
  if (kind == "double") return Send(socket, reply), false;
  if (kind == "nonsense") return Send(socket, "\x05 what is this"), true;
  if (kind == "long") return Send(socket, std::string(30000, 'x')), true;
  if (kind == "half") return Send(socket, reply.substr(0, reply.size() / 2)), true;
  if (kind == "other") return Send(socket, wire::Write(wire::Reply{123456789, {}})), true;
  if (kind == "ready") return Send(socket, wire::Write(wire::Ready{})), true;
  if (kind == "late") {
    usleep(20000);
    return Send(socket, reply), true;
  }
  return false;
}

}  // namespace

int main() {
  TestHooks hooks;
  hooks.extras = [](lua_State* lua) { lua_register(lua, "fault", Misbehave); };
  hooks.send = SendFaultyReply;
  return RunWorker(wire::kWorkerSocket, hooks);
}
