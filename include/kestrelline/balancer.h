// SPDX-License-Identifier: Apache-2.0
//
// The whole interface of kestrelline: settings, events, actions and the Balancer that maps one to the other.
//
// A Balancer is pure and deterministic. It has no clock, I/O, threads or globals: time comes in with each
// event and randomness derives from the seed alone. Classes, tenants, zones and kinds are indices into the
// lists of the settings, so names cannot decide anything.
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

// The clock is the caller's; its origin is arbitrary and it only advances.
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

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class Group { kAll, kZone, kCell };

struct ClassSettings {
  Effect effect = Effect::kUnsafe;
  Group group = Group::kAll;  // keyed classes: the servers that drop each other's repeats
  Duration window{0};         // keyed classes: how long they remember
  Duration aim{0};
  Duration deadline{0};
  double worth = 1;
  double late_worth = 0;  // share of the worth that an answer after the aim still earns
};

struct TenantSettings {
  double quota_per_s = 0;  // requests a second within its share, over all proxies
};

// Defaults are the documented meaning of an absent optional setting; none of them steers a decision.
struct Settings {
  int balancers = 1;
  int me = 0;  // the number of this one among them
  int zone = 0;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_share_worth = 1;
  double price_cross_zone = 0;
  bool warm_keys = false;  // a server that served a key lately serves it again with less work
  bool must_ask_for_list = false;
  int max_attempts = 1;
  bool parallel_tries = false;  // a request that is safe to repeat may have two attempts out
  Duration max_retry_after{0};  // the longest that refused clients stay away when told; 0: they are not told
  Duration tick{1};
  Duration must_ask_within{0};  // where the list must be asked for
  double cold_from = 1;         // a starting server has at least this share of its capacity
  Duration warm_up{0};          // and all of it no later than this
  double fall_multiple = 1;     // it falls over when sent more than this multiple of its capacity
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
  TimePoint up_since{};  // zero: long ago
};

// How an attempt ended. Full, connect failed and moot prove that it never ran.
enum class Outcome { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kMoot, kUnknown };

// ---- what a route allows ----------------------------------------------------------------------------------
// Repeats that are paid for by first attempts: over any `window`, up to `share` of them and `at_least` more.
struct RetryBudget {
  std::uint64_t id = 0;  // budgets of one id are one budget, whichever routes draw on it
  double share = 0;      // 0 to 1
  Duration window{10000};
  int at_least = 0;

  bool operator==(const RetryBudget&) const = default;
};

// Where another try of a request's key may have run, as whoever remembers it tells. Until `until` the servers
// of that group drop the key's repeats: it may be sent to these alone, and not at all after that. Of classes
// whose repeats all servers drop there is nothing to be told.
struct KeyClaim {
  int zone = 0;
  int cell = 0;
  TimePoint until{};

  bool operator==(const KeyClaim&) const = default;
};

// Narrows what the settings and the four rules allow a request; it never widens it. The Balancer holds to the
// narrower of the two, whatever is in here. Zero, where it means nothing else, is no limit of the route's
// own.
struct RouteLimits {
  std::uint64_t route = 0;      // those in flight are counted together by it
  Duration patience{0};         // from Submit to the final answer
  Duration attempt_timeout{0};  // of one attempt
  Duration pause{0};            // before another attempt; up to a quarter less, by chance
  Duration second_copy_after{
      0};  // of classes safe to repeat, where the settings allow it; one copy at a time
  int max_attempts = 0;
  int max_in_flight = 0;    // requests that have no answer, or an attempt out; more are refused at once
  unsigned retry_on = ~0u;  // bits of RetryAfter(outcome): those after which there may be another attempt
  // Requests of one key go to one server, the same at all proxies, while it holds at most this multiple of
  // its even share of what this proxy has in flight (the next whole number); over it, to the next by the key.
  double affinity_bound = 0;
  // What others know of a keyed request before it is sent (KeyClaim): not the Balancer's business, but whose
  // who carries it. Absent: as for all others.
  std::optional<int> claim;          // -1: nobody; 0: they are told; more: so many know it
  std::vector<RetryBudget> budgets;  // a repeat is paid for by the first that can; empty: not limited

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
  TimePoint due{};  // the client gives this try up then
  int request_class = 0;
  int tenant = 0;
  std::uint64_t key = 0;  // 0: none
  bool has_hint = false;
  bool client_retry = false;
  // Its body is still coming: `due` is a guess until BodyNews, and no attempt of it runs before.
  bool body_follows = false;
  bool withheld = false;  // what must be known before it may be sent is not: it is refused, and never runs
  double work_ms = 0;     // hinted work on a standard core
  std::shared_ptr<const RouteLimits> limits;  // null: none but those of the settings
  // That are known of its key: they narrow, and never widen. Null: none.
  std::shared_ptr<const std::vector<KeyClaim>> claims;
};
// Of a request that has no final answer: one more is known.
struct Claimed {
  RequestId request = 0;
  KeyClaim claim;
};
// Of a request whose body was to follow.
struct BodyNews {
  RequestId request = 0;
  bool bound = false;  // part of it is no longer kept: there can be no other attempt
  bool whole = false;  // its last byte has come, and `due` is known
  TimePoint due{};
};
// How much of what all proxies have together (quotas of tenants, places at servers, budgets of cold ones) is
// this one's: `share` of it until `until`, from then on `after`. Without this, one part in as many as the
// settings say there are. Both are over 0 and 1 at most; else the event says nothing.
struct Share {
  double share = 1;
  TimePoint until{};
  double after = 1;
};
// So many requests of a class may all proxies take together from now on, a second, and this one its share of
// that; what is over it is refused when it comes. 0: none; below 0: any number, as without this.
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
  bool settled = false;  // the request has its final answer
  Outcome outcome = Outcome::kUnknown;
  Duration took{0};
};
struct ClientGone {
  RequestId request = 0;
};
struct TimerFired {
  std::uint64_t token = 0;
};
using Event = std::variant<ListUpdate, Submit, BodyNews, Claimed, Share, ClassLimit, StreamStarted,
                           AttemptEnded, ClientGone, TimerFired>;

// ---- actions ------------------------------------------------------------------------------------------
struct Dispatch {
  RequestId request = 0;
  ServerId server = 0;
  Duration timeout{0};                  // 0: until the client gives up
  int zone = 0, cell = 0;               // where the server stands
  TimePoint begin_by{Duration(1e300)};  // its last byte is not sent after this: what permits it ends then
};
struct Refuse {  // final; tells the client that another try is harmless
  RequestId request = 0;
  Duration retry_after{0};  // 0: no advice
};
struct Fail {  // final; promises nothing
  RequestId request = 0;
};
struct SetTimer {
  TimePoint at{};
  std::uint64_t token = 0;
};
struct Subscribe {};  // ask discovery for the changes from here on
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

  // Appends what is to be done at `now` because of `event`. Ignores what it does not know; never throws on
  // the content of an event.
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions);

  // Servers that are listed as ready and out of service now.
  std::size_t Ejected() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace kestrelline

#endif  // KESTRELLINE_BALANCER_H_
