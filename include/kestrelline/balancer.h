// SPDX-License-Identifier: Apache-2.0
//
// Public interface of kestrelline: settings, events, actions and the Balancer that maps events to actions.
//
// A Balancer is a deterministic state machine. It has no clock, I/O, threads or globals: the current time is
// passed in with each event, and all randomness derives from the seed. Classes, tenants, zones and kinds are
// indices into the lists of the settings, so that no decision can depend on a name.
#ifndef KESTRELLINE_BALANCER_H_
#define KESTRELLINE_BALANCER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kestrelline {

// Type of the caller's clock, in milliseconds. Its origin is arbitrary and it never goes backwards.
struct Clock {
  using duration = std::chrono::duration<double, std::milli>;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;
};
using Duration = Clock::duration;
using TimePoint = Clock::time_point;

using RequestId = std::uint64_t;
using ServerId = std::uint32_t;

// Whether a request may run more than once: always, with an idempotency key, or never.
enum class Effect { kSafe, kKeyed, kUnsafe };
// Scope within which servers deduplicate requests by idempotency key.
enum class Group { kAll, kZone, kCell };

struct ClassSettings {
  Effect effect = Effect::kUnsafe;
  Group group = Group::kAll;  // keyed classes: the servers that share one deduplication record
  Duration window{0};         // keyed classes: how long servers remember a key
  Duration aim{0};            // target response time
  Duration deadline{0};       // total time that clients allow, over all of their tries
  double worth = 1;           // value of an answer within the target time
  double late_worth = 0;      // fraction of `worth` that an answer after the target time still earns
};

struct TenantSettings {
  double quota_per_s = 0;  // requests per second within the quota, summed over all proxies
};

// Defaults are the documented meaning of an absent optional setting.
struct Settings {
  int balancers = 1;  // number of proxies that share the fleet
  int me = 0;         // index of this proxy among them
  int zone = 0;       // zone of this proxy
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_share_worth = 1;     // factor on the worth of a request over its tenant's quota
  double price_cross_zone = 0;     // cost of serving a request in another zone, as a fraction of its worth
  bool warm_keys = false;          // a server that recently served a key serves it again with less work
  bool must_ask_for_list = false;  // discovery does not push: the proxy has to subscribe
  int max_attempts = 1;
  bool parallel_tries = false;  // a request that is safe to repeat may have two attempts in flight
  Duration max_retry_after{0};  // upper bound of the retry-after sent with a refusal; 0: none is sent
  Duration tick{1};             // time step of the caller; requests are refused two ticks before they are due
  Duration must_ask_within{0};  // if must_ask_for_list: time within which a subscription is due
  double cold_from = 1;         // fraction of its capacity that a starting server has at least
  Duration warm_up{0};          // time after its start by which a server has its full capacity
  double fall_multiple = 1;     // a server fails when it gets more than this multiple of its capacity
  Duration overload_for{0};     // for this long
};

enum class ServerState { kGone, kReady, kDraining };
enum class ListKind { kDelta, kFull, kCached, kFailed };

struct ServerEntry {
  ServerId server = 0;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  ServerState state = ServerState::kReady;
  double weight = 1;
  TimePoint up_since{};  // when the process started; zero: long ago
};

// How an attempt ended. After kFull, kConnectFailed and kMoot it is certain that the server did not run it.
enum class Outcome { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kMoot, kUnknown };

// ---- limits of a route ------------------------------------------------------------------------------------
// Limits retries to a fraction of first attempts: within any `window`, `share` of them plus `at_least`.
struct RetryBudget {
  std::uint64_t id = 0;  // routes whose budgets have the same id share one budget
  double share = 0;      // retries per first attempt, 0 to 1
  Duration window{10000};
  int at_least = 0;  // retries allowed whatever the traffic

  bool operator==(const RetryBudget&) const = default;
};

// A place where another try with the same idempotency key may have run, reported by a peer that recorded it.
// Until `until` the servers of that group deduplicate the key: the request may be sent only to them, and not
// at all afterwards. Not needed for classes that are deduplicated by all servers together.
struct KeyClaim {
  int zone = 0;
  int cell = 0;
  TimePoint until{};

  bool operator==(const KeyClaim&) const = default;
};

// Limits that a route sets for its requests. They narrow what the settings and rules allow and never widen
// it: of a route's limit and that of the settings the stricter one holds. Zero means that the route sets no
// limit, unless stated otherwise.
struct RouteLimits {
  std::uint64_t route = 0;      // id under which max_in_flight is counted
  Duration patience{0};         // request timeout: from Submit to the final answer
  Duration attempt_timeout{0};  // timeout of one attempt
  Duration pause{0};            // backoff before a retry; jitter shortens it by up to a quarter
  // Hedging delay: after it a second copy is sent, one at a time, for classes that are safe to repeat and
  // where the settings allow it.
  Duration second_copy_after{0};
  int max_attempts = 0;
  int max_in_flight = 0;    // requests without an answer or with an attempt in flight; more are refused
  unsigned retry_on = ~0u;  // bits of RetryAfter(outcome): the outcomes that may be retried
  // Key affinity with bounded load: requests of one key go to the same server at all proxies while that
  // server holds at most this multiple of its even share of the requests that this proxy has in flight
  // (rounded up). Over that, they go to the next server in the order given by the key.
  double affinity_bound = 0;
  // How many peers have to record a keyed request before it is sent (see KeyClaim). The Balancer ignores
  // this; the proxy that embeds it acts on it. Absent: the proxy's default.
  std::optional<int> claim;          // -1: none; 0: peers are told without waiting; n: n peers confirm
  std::vector<RetryBudget> budgets;  // a retry draws on the first budget that allows it; empty: no limit

  bool operator==(const RouteLimits&) const = default;
  static constexpr unsigned RetryAfter(Outcome outcome) { return 1u << static_cast<unsigned>(outcome); }
};

// ---- events -------------------------------------------------------------------------------------------
struct ListUpdate {
  ListKind kind = ListKind::kDelta;
  std::vector<ServerEntry> entries;
};
struct Submit {
  RequestId request = 0;
  TimePoint due{};  // when the client gives up this try
  int request_class = 0;
  int tenant = 0;
  std::uint64_t key = 0;  // 0: none
  bool has_hint = false;
  bool client_retry = false;
  // The body is still being received: `due` is an estimate until BodyProgress, and no attempt runs before
  // then.
  bool body_follows = false;
  bool withheld = false;  // the peers' claims on the key could not be learned: refused without being sent
  double work_ms = 0;     // hinted work in ms on a standard core
  std::shared_ptr<const RouteLimits> limits;  // null: the settings alone apply
  // Claims known for the key; they only narrow what is allowed. Null: none.
  std::shared_ptr<const std::vector<KeyClaim>> claims;
};
// Another claim became known for a request that has no final answer yet.
struct KeyClaimed {
  RequestId request = 0;
  KeyClaim claim;
};
// Progress of a request body, for a request submitted with body_follows.
struct BodyProgress {
  RequestId request = 0;
  bool body_dropped = false;  // part of the body is no longer buffered: no further attempt is possible
  bool complete = false;      // the last byte was received, and `due` is final
  TimePoint due{};
};
// This proxy's fraction of what all proxies share (tenant quotas, concurrency at servers, budgets of cold
// servers): `share` until `until`, `after` from then on. Without this event it is 1 / Settings::balancers.
// The event is ignored unless both are above 0 and at most 1.
struct Share {
  double share = 1;
  TimePoint until{};
  double after = 1;
};
// Rate limit of a class over all proxies, in requests per second; this proxy enforces its share of it and
// refuses requests above that on arrival. 0 admits none; a negative rate removes the limit.
struct ClassLimit {
  int request_class = 0;
  double per_s = -1;
};
struct StreamStarted {
  RequestId request = 0;
  int attempt = 0;
};
struct AttemptEnded {
  RequestId request = 0;
  int attempt = 0;
  ServerId server = 0;
  bool settled = false;  // the client got its final answer
  Outcome outcome = Outcome::kUnknown;
  Duration took{0};
};
struct ClientGone {
  RequestId request = 0;
};
struct TimerFired {
  std::uint64_t token = 0;
};
using Event = std::variant<ListUpdate, Submit, BodyProgress, KeyClaimed, Share, ClassLimit, StreamStarted,
                           AttemptEnded, ClientGone, TimerFired>;

// ---- actions ------------------------------------------------------------------------------------------
struct Dispatch {
  RequestId request = 0;
  ServerId server = 0;
  Duration timeout{0};     // 0: until the client gives up
  int zone = 0, cell = 0;  // location of the server
  TimePoint begin_by{
      Duration(1e300)};  // the last byte must be sent by then: deduplication may end afterwards
};
struct Refuse {  // final answer: the request did not run, or the client may safely retry it
  RequestId request = 0;
  Duration retry_after{0};  // 0: none is given
};
struct Fail {  // final answer: the request may have run
  RequestId request = 0;
};
struct SetTimer {
  TimePoint at{};
  std::uint64_t token = 0;
};
struct Subscribe {};  // request updates of the server list from discovery
struct CloseIdle {    // close this proxy's idle connections to a server
  ServerId server = 0;
};
struct Log {
  std::string text;
};
using Action = std::variant<Dispatch, Refuse, Fail, SetTimer, Subscribe, CloseIdle, Log>;

class Balancer {
 public:
  Balancer(Settings settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Appends to `actions` what has to be done at `now` in response to `event`. Events about unknown requests
  // are ignored; no content of an event makes it throw.
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions);

  // Number of servers that are listed as ready and currently ejected.
  std::size_t Ejected() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kestrelline

#endif  // KESTRELLINE_BALANCER_H_
