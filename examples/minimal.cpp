// SPDX-License-Identifier: Apache-2.0
//
// The smallest use of the library: one class, two servers, one request and its answer.
#include <cstdio>
#include <variant>
#include <vector>

#include "kestrelline/balancer.h"

int main() {
  using namespace kestrelline;
  using std::chrono::milliseconds;

  Settings settings;
  ClassSettings reads;
  reads.effect = Effect::kSafe;
  reads.aim = milliseconds(100);
  reads.deadline = milliseconds(400);
  settings.classes = {reads};
  settings.max_attempts = 3;
  Balancer balancer(settings, /*seed=*/42);

  // The caller owns the clock and the network: events in, actions out.
  TimePoint now{milliseconds(1000)};
  std::vector<Action> actions;
  ListUpdate list{ListKind::kFull, {}};
  for (ServerId id : {7u, 9u}) {
    ServerEntry entry;
    entry.server = id;
    list.entries.push_back(entry);
  }
  balancer.Handle(now, list, &actions);

  actions.clear();
  Submit submit;
  submit.request = 1;
  submit.due = now + milliseconds(400);
  balancer.Handle(now, submit, &actions);

  for (const Action& action : actions) {
    if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
      std::printf("request %llu goes to server %u\n", static_cast<unsigned long long>(dispatch->request),
                  dispatch->server);
      AttemptEnded end;
      end.request = dispatch->request;
      end.server = dispatch->server;
      end.outcome = Outcome::kOk;
      end.settled = true;
      end.took = milliseconds(12);
      std::vector<Action> none;
      balancer.Handle(now + end.took, end, &none);
      return 0;
    }
  }
  return 1;
}
