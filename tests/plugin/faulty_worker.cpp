// SPDX-License-Identifier: Apache-2.0
//
// A worker whose scripts can break it: fault(how) ends it, hangs it, or spoils its next reply.
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

std::string spoil;  // of the next reply

int Misbehave(lua_State* lua) {
  const std::string_view how = luaL_checkstring(lua, 1);
  if (how == "segv") {
    signal(SIGSEGV, SIG_DFL);  // the sanitizers' handler would take its time
    raise(SIGSEGV);
  }
  if (how == "abort") {
    signal(SIGABRT, SIG_DFL);
    raise(SIGABRT);
  }
  if (how == "kill") raise(SIGKILL);
  if (how == "exit") _exit(3);
  if (how == "block") {
    for (;;) pause();  // a call that never comes back
  }
  spoil = how;
  return 0;
}

void Say(int socket, const std::string& bytes) { send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

bool Spoiled(int socket, const std::string& reply) {
  const std::string how = std::exchange(spoil, "");
  if (how == "silent") return true;
  if (how == "double") return Say(socket, reply), false;
  if (how == "nonsense") return Say(socket, "\x05 what is this"), true;
  if (how == "long") return Say(socket, std::string(30000, 'x')), true;
  if (how == "half") return Say(socket, reply.substr(0, reply.size() / 2)), true;
  if (how == "other") return Say(socket, wire::Write(wire::Reply{123456789, {}})), true;
  if (how == "ready") return Say(socket, wire::Write(wire::Ready{})), true;
  if (how == "late") {
    usleep(20000);
    return Say(socket, reply), true;
  }
  return false;
}

}  // namespace

int main() {
  Sabotage sabotage;
  sabotage.extras = [](lua_State* lua) { lua_register(lua, "fault", Misbehave); };
  sabotage.send = Spoiled;
  return RunWorker(wire::kWorkerSocket, sabotage);
}
