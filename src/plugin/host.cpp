// SPDX-License-Identifier: Apache-2.0
#include "plugin/host.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstring>
#include <unordered_map>
#include <utility>
#include <variant>

#include "plugin/wire.h"

namespace kestrelline::plugin {
namespace {

using Steady = std::chrono::steady_clock;

TimePoint Now() { return TimePoint(Duration(Steady::now().time_since_epoch())); }
Steady::time_point ToSteady(TimePoint at) {
  return Steady::time_point(std::chrono::ceil<Steady::duration>(at.time_since_epoch()));
}
constexpr TimePoint kUnarmed{Duration(1e300)};
constexpr Duration kFarthest{3600e3};

// What a script says is no line of the log's own.
std::string Clean(std::string text) {
  for (char& c : text) {
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) c = '?';
  }
  return text;
}

}  // namespace

// ---- one version of one plug-in -------------------------------------------------------------------------
class Host::Version : public std::enable_shared_from_this<Version> {
 public:
  using Finished = std::function<void(Outcome)>;

  Version(boost::asio::io_context& io, std::shared_ptr<Reaper> reaper, const Options& options, Plugin plugin)
      : io_(io),
        reaper_(std::move(reaper)),
        options_(options),
        plugin_(std::move(plugin)),
        supervisor_(plugin_.supervision),
        timer_(io) {}
  ~Version() {
    supervisor_.Unload(&actions_);
    Run();
  }

  const Plugin& plugin() const { return plugin_; }
  const Supervisor& supervisor() const { return supervisor_; }
  pid_t worker() const { return process_ ? process_->pid() : -1; }

  void Start() {
    supervisor_.Start(Now(), &actions_);
    Run();
  }

  // It serves, or did: a plug-in that is suspended was fit once, and comes back by itself.
  bool Settled() const {
    return supervisor_.state() != Supervisor::State::kIdle &&
           supervisor_.state() != Supervisor::State::kLoading;
  }
  const std::string& rejected() const { return rejected_; }  // why it was; empty if it was not
  void OnSettled(std::function<void()> settled) { settled_.push_back(std::move(settled)); }

  void Call(CallId id, std::shared_ptr<const std::string> message, Duration left, Finished finished) {
    if (held_bytes_ + message->size() > kMostHeldBytes) {
      Outcome outcome;
      outcome.fault = Fault::kFull;
      return finished(std::move(outcome));
    }
    held_bytes_ += message->size();
    calls_.emplace(id, Held{std::move(message), std::move(finished)});
    const TimePoint now = Now();
    supervisor_.Call(now, id, now + left, &actions_);
    Run();
  }
  void Cancel(CallId id) {
    Take(id);
    supervisor_.Cancel(id);
  }
  void OnForbidden() {
    supervisor_.OnForbidden(Now(), &actions_);
    Run();
  }

 private:
  struct Held {
    std::shared_ptr<const std::string> message;
    Finished finished;
  };

  Finished Take(CallId id) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) return nullptr;
    held_bytes_ -= found->second.message->size();
    Finished finished = std::move(found->second.finished);
    calls_.erase(found);
    return finished;
  }

  // What an action brings about at once waits its turn here.
  void Run() {
    if (running_) return;
    running_ = true;
    const auto self = weak_from_this().lock();  // the last holder may let go meanwhile
    // Requests go first: to start a worker takes a millisecond, in which this process stands still.
    while (!actions_.empty()) {
      Supervisor::Actions now = std::exchange(actions_, {});
      const auto others = std::stable_partition(now.begin(), now.end(), [](const auto& action) {
        return std::holds_alternative<Supervisor::Finish>(action);
      });
      for (auto it = now.begin(); it != others; ++it) Do(std::get<Supervisor::Finish>(*it));
      for (auto it = others; it != now.end(); ++it) std::visit([this](const auto& a) { Do(a); }, *it);
    }
    running_ = false;
    Arm();
  }

  void Do(const Supervisor::StartWorker& action) {
    WorkerProcess::Events events;
    events.message = [this, worker = action.worker](std::string_view bytes) { OnMessage(worker, bytes); };
    events.end = [this, worker = action.worker] {
      supervisor_.OnGone(Now(), worker, &actions_);
      Run();
    };
    std::string why;
    process_ = WorkerProcess::Start(io_, *reaper_, options_.worker, std::move(events), &why);
    if (!process_) return supervisor_.OnRefused(Now(), action.worker, why, &actions_);
    process_->Send(wire::Write(wire::Load{plugin_.name, plugin_.source, plugin_.supervision.budgets}));
  }
  void Do(const Supervisor::KillWorker&) {
    if (process_) process_->Kill();
    process_.reset();
  }
  void Do(const Supervisor::Send& action) {
    const auto found = calls_.find(action.call);
    if (found != calls_.end() && process_) process_->Send(*found->second.message);
  }
  void Do(const Supervisor::Finish& action) {
    if (const Finished finished = Take(action.call)) finished(action.outcome);
  }
  void Do(const Supervisor::Changed& action) {
    if (action.to == Supervisor::State::kUnloaded) return;
    const bool first = action.from == Supervisor::State::kLoading;
    if (!first && action.from != Supervisor::State::kIdle) {
      std::string line = "plug-in " + plugin_.name + " is " + std::string(Name(action.to));
      if (action.why != Fault::kNone) line += ": " + std::string(Name(action.why));
      Log(line);
    }
    if (!first) return;
    if (action.to == Supervisor::State::kRejected)
      rejected_ = action.text.empty() ? "ended" : Clean(action.text);
    for (const auto& settled : std::exchange(settled_, {})) settled();
  }
  void Do(const Supervisor::Faulted& action) {
    Log("plug-in " + plugin_.name + ": " + std::string(Name(action.fault)) + ": " + Clean(action.text));
  }
  void Log(const std::string& line) const {
    if (options_.log) options_.log(line);
  }

  void OnMessage(WorkerId worker, std::string_view bytes) {
    const TimePoint now = Now();
    auto message = wire::ReadFromWorker(bytes);
    if (!message) {
      supervisor_.OnNonsense(now, worker, &actions_);
    } else if (std::holds_alternative<wire::Ready>(*message)) {
      supervisor_.OnReady(now, worker, &actions_);
    } else if (auto* refused = std::get_if<wire::Refused>(&*message)) {
      supervisor_.OnRefused(now, worker, refused->text, &actions_);
    } else {
      auto& reply = std::get<wire::Reply>(*message);
      supervisor_.OnReply(now, worker, reply.id, std::move(reply.outcome), &actions_);
    }
    Run();
  }

  void Arm() {
    const TimePoint next = supervisor_.NextWake();
    if (next >= armed_for_) return;  // wakes early, finds nothing, and arms anew
    armed_for_ = next;
    timer_.expires_at(ToSteady(std::min(next, Now() + kFarthest)));
    timer_.async_wait([this, weak = weak_from_this()](const boost::system::error_code& cancelled) {
      const auto self = weak.lock();
      if (cancelled || !self) return;
      armed_for_ = kUnarmed;
      // A reply that is here already has come in time.
      if (const auto process = process_) process->Drain();
      const TimePoint now = Now();
      if (now >= supervisor_.NextWake()) supervisor_.Tick(now, &actions_);
      Run();
    });
  }

  boost::asio::io_context& io_;
  std::shared_ptr<Reaper> reaper_;
  const Options options_;
  const Plugin plugin_;
  Supervisor supervisor_;
  std::shared_ptr<WorkerProcess> process_;
  boost::asio::steady_timer timer_;
  TimePoint armed_for_ = kUnarmed;
  std::unordered_map<CallId, Held> calls_;
  std::size_t held_bytes_ = 0;
  Supervisor::Actions actions_;
  bool running_ = false;
  std::string rejected_;
  std::vector<std::function<void()>> settled_;
};

// ---- all plug-ins of one file -----------------------------------------------------------------------------
class Host::Generation : public Tagger, public std::enable_shared_from_this<Generation> {
 public:
  Generation(std::shared_ptr<const PluginTable> table, std::vector<std::shared_ptr<Version>> versions,
             std::shared_ptr<CallId> last_call)
      : table_(std::move(table)), versions_(std::move(versions)), last_call_(std::move(last_call)) {}

  const std::vector<std::shared_ptr<Version>>& versions() const { return versions_; }
  const PluginTable& table() const { return *table_; }

  bool Reads(std::uint32_t route) const override { return !table_->Of(route).empty(); }

  Ticket Tag(const RequestView& request, int request_class, std::uint32_t route, Duration left,
             Done done) override;

 private:
  class Job;
  friend class Job;

  std::shared_ptr<const PluginTable> table_;
  std::vector<std::shared_ptr<Version>> versions_;
  std::shared_ptr<CallId> last_call_;  // of the host: generations share versions
};

// One request with its plug-ins. Holds the generation: what it began with, it ends with.
class Host::Generation::Job : public std::enable_shared_from_this<Job> {
 public:
  Job(std::shared_ptr<Generation> generation, int request_class, const std::vector<std::uint32_t>& plugins,
      CallId id, Done done)
      : generation_(std::move(generation)),
        plugins_(plugins),
        id_(id),
        tagging_(generation_->table_->site(), request_class, GrantsOf(*generation_->table_, plugins)),
        done_(std::move(done)) {}
  ~Job() {
    if (!done_) return;
    for (const std::uint32_t plugin : plugins_) generation_->versions_[plugin]->Cancel(id_);
  }

  void Start(const std::shared_ptr<const std::string>& message, Duration left) {
    for (std::size_t slot = 0; slot < plugins_.size(); ++slot) {
      generation_->versions_[plugins_[slot]]->Call(id_, message, left,
                                                   [weak = weak_from_this(), slot](Outcome outcome) {
                                                     if (const auto self = weak.lock())
                                                       self->Take(slot, outcome);
                                                   });
    }
  }

 private:
  static std::vector<const Grants*> GrantsOf(const PluginTable& table,
                                             const std::vector<std::uint32_t>& plugins) {
    std::vector<const Grants*> all;
    all.reserve(plugins.size());
    for (const std::uint32_t plugin : plugins) all.push_back(&table.plugins()[plugin].grants);
    return all;
  }

  void Take(std::size_t slot, const Outcome& outcome) {
    const Fault fault = tagging_.Take(slot, outcome);
    if (fault == Fault::kForbidden) generation_->versions_[plugins_[slot]]->OnForbidden();
    if (!tagging_.Complete() || !done_) return;
    const Done done = std::exchange(done_, nullptr);
    done(tagging_.Decide());
  }

  std::shared_ptr<Generation> generation_;
  const std::vector<std::uint32_t>& plugins_;  // of the generation's table
  const CallId id_;
  Tagging tagging_;
  Done done_;
};

Tagger::Ticket Host::Generation::Tag(const RequestView& request, int request_class, std::uint32_t route,
                                     Duration left, Done done) {
  const CallId id = ++*last_call_;
  auto message = std::make_shared<const std::string>(wire::Write(wire::Call{id, request}));
  const auto job =
      std::make_shared<Job>(shared_from_this(), request_class, table_->Of(route), id, std::move(done));
  job->Start(std::move(message), std::min(left, kMostWall));
  return job;
}

// ---- Host ---------------------------------------------------------------------------------------------
Host::Host(boost::asio::io_context& io, Options options)
    : io_(io), options_(std::move(options)), reaper_(std::make_shared<Reaper>(io)) {}

Host::~Host() = default;

std::shared_ptr<Host::Version> Host::Find(const Plugin& plugin) const {
  for (const auto& weak : versions_) {
    const auto version = weak.lock();
    if (version && version->plugin().SameVersion(plugin) && version->rejected().empty()) return version;
  }
  return nullptr;
}

void Host::Load(std::shared_ptr<const PluginTable> table, Loaded loaded) {
  std::erase_if(versions_, [](const auto& weak) { return weak.expired(); });
  std::vector<std::shared_ptr<Version>> versions, fresh;
  for (const Plugin& plugin : table->plugins()) {
    auto version = Find(plugin);
    if (!version) {
      version = std::make_shared<Version>(io_, reaper_, options_, plugin);
      versions_.push_back(version);
      fresh.push_back(version);
    }
    versions.push_back(std::move(version));
  }
  const auto generation = std::make_shared<Generation>(std::move(table), std::move(versions), last_call_);
  loading_ = generation;
  const auto look = [this, weak = std::weak_ptr(generation), loaded = std::move(loaded)] {
    const auto all = weak.lock();
    if (!all || loading_ != all) return;
    std::vector<Problem> problems;
    for (std::size_t i = 0; i < all->versions().size(); ++i) {
      const Version& version = *all->versions()[i];
      if (!version.Settled()) return;
      if (!version.rejected().empty())
        problems.push_back({all->table().plugins()[i].at,
                            "plug-in '" + version.plugin().name + "' does not load: " + version.rejected()});
    }
    loading_.reset();
    loaded(problems.empty() ? all : nullptr, problems);
  };
  const auto look_soon = [this, look] { boost::asio::post(io_, look); };
  for (const auto& version : generation->versions()) {
    if (!version->Settled()) version->OnSettled(look_soon);
  }
  for (const auto& version : fresh) version->Start();
  look_soon();
}

std::vector<Host::Status> Host::status() const {
  std::vector<Status> all;
  for (const auto& weak : versions_) {
    if (const auto version = weak.lock())
      all.push_back({version->plugin().name, version->supervisor().state(), version->supervisor().counts(),
                     version->supervisor().open(), version->worker()});
  }
  return all;
}

}  // namespace kestrelline::plugin
