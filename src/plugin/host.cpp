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
Steady::time_point ToSteady(TimePoint time) {
  return Steady::time_point(std::chrono::ceil<Steady::duration>(time.time_since_epoch()));
}
constexpr TimePoint kUnarmed{Duration(1e300)};
constexpr Duration kMaxTimer{3600e3};  // 1 h

// Replaces control characters, so that text from a script cannot forge log lines.
std::string Sanitize(std::string text) {
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

  // True once the first load has succeeded or failed. A suspended plug-in counts as loaded: it recovers by
  // itself.
  bool LoadFinished() const {
    return supervisor_.state() != Supervisor::State::kIdle &&
           supervisor_.state() != Supervisor::State::kLoading;
  }
  // Why the first load failed; empty if it did not.
  const std::string& load_error() const { return load_error_; }
  void OnLoadFinished(std::function<void()> callback) { load_callbacks_.push_back(std::move(callback)); }

  void Call(CallId id, std::shared_ptr<const std::string> message, Duration left, Finished finished) {
    if (pending_bytes_ + message->size() > kMaxPendingBytes) {
      Outcome outcome;
      outcome.fault = Fault::kFull;
      return finished(std::move(outcome));
    }
    pending_bytes_ += message->size();
    calls_.emplace(id, PendingCall{std::move(message), std::move(finished)});
    const TimePoint now = Now();
    supervisor_.Call(now, id, now + left, &actions_);
    Run();
  }
  void Cancel(CallId id) {
    Remove(id);
    supervisor_.Cancel(id);
  }
  void OnForbidden() {
    supervisor_.OnForbidden(Now(), &actions_);
    Run();
  }

 private:
  struct PendingCall {
    std::shared_ptr<const std::string> message;
    Finished finished;
  };

  Finished Remove(CallId id) {
    const auto call = calls_.find(id);
    if (call == calls_.end()) return nullptr;
    pending_bytes_ -= call->second.message->size();
    Finished finished = std::move(call->second.finished);
    calls_.erase(call);
    return finished;
  }

  // Carries out the pending actions. Actions that these cause in turn are carried out by the same loop.
  void Run() {
    if (running_) return;
    running_ = true;
    const auto self = weak_from_this().lock();  // the last reference may be released meanwhile
    // Requests are finished first: starting a worker blocks this process for about 1 ms.
    while (!actions_.empty()) {
      Supervisor::Actions batch = std::exchange(actions_, {});
      const auto others = std::stable_partition(batch.begin(), batch.end(), [](const auto& action) {
        return std::holds_alternative<Supervisor::Finish>(action);
      });
      for (auto it = batch.begin(); it != others; ++it) Execute(std::get<Supervisor::Finish>(*it));
      for (auto it = others; it != batch.end(); ++it)
        std::visit([this](const auto& action) { Execute(action); }, *it);
    }
    running_ = false;
    ArmTimer();
  }

  void Execute(const Supervisor::StartWorker& action) {
    WorkerProcess::Events events;
    events.message = [this, worker = action.worker](std::string_view bytes) { OnMessage(worker, bytes); };
    events.end = [this, worker = action.worker] {
      supervisor_.OnExit(Now(), worker, &actions_);
      Run();
    };
    std::string why;
    process_ = WorkerProcess::Start(io_, *reaper_, options_.worker, std::move(events), &why);
    if (!process_) return supervisor_.OnRefused(Now(), action.worker, why, &actions_);
    process_->Send(wire::Write(wire::Load{plugin_.name, plugin_.source, plugin_.supervision.budgets}));
  }
  void Execute(const Supervisor::KillWorker&) {
    if (process_) process_->Kill();
    process_.reset();
  }
  void Execute(const Supervisor::Send& action) {
    const auto call = calls_.find(action.call);
    if (call != calls_.end() && process_) process_->Send(*call->second.message);
  }
  void Execute(const Supervisor::Finish& action) {
    if (const Finished finished = Remove(action.call)) finished(action.outcome);
  }
  void Execute(const Supervisor::StateChanged& action) {
    if (action.to == Supervisor::State::kUnloaded) return;
    const bool first = action.from == Supervisor::State::kLoading;
    if (!first && action.from != Supervisor::State::kIdle) {
      std::string line = "plug-in " + plugin_.name + " is " + std::string(Name(action.to));
      if (action.cause != Fault::kNone) line += ": " + std::string(Name(action.cause));
      Log(line);
    }
    if (!first) return;
    if (action.to == Supervisor::State::kRejected)
      load_error_ = action.text.empty() ? "ended" : Sanitize(action.text);
    for (const auto& callback : std::exchange(load_callbacks_, {})) callback();
  }
  void Execute(const Supervisor::FaultCounted& action) {
    Log("plug-in " + plugin_.name + ": " + std::string(Name(action.fault)) + ": " + Sanitize(action.text));
  }
  void Log(const std::string& line) const {
    if (options_.log) options_.log(line);
  }

  void OnMessage(WorkerId worker, std::string_view bytes) {
    const TimePoint now = Now();
    auto message = wire::ReadFromWorker(bytes);
    if (!message) {
      supervisor_.OnInvalidMessage(now, worker, &actions_);
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

  void ArmTimer() {
    const TimePoint next = supervisor_.NextWake();
    if (next >= armed_for_) return;  // the armed timer fires earlier and arms again
    armed_for_ = next;
    timer_.expires_at(ToSteady(std::min(next, Now() + kMaxTimer)));
    timer_.async_wait([this, weak = weak_from_this()](const boost::system::error_code& cancelled) {
      const auto self = weak.lock();
      if (cancelled || !self) return;
      armed_for_ = kUnarmed;
      // A reply that has already arrived is in time.
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
  std::unordered_map<CallId, PendingCall> calls_;
  std::size_t pending_bytes_ = 0;
  Supervisor::Actions actions_;
  bool running_ = false;
  std::string load_error_;
  std::vector<std::function<void()>> load_callbacks_;
};

// ---- the plug-ins of one file -----------------------------------------------------------------------------
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
  std::shared_ptr<CallId> last_call_;  // shared with the host, as generations share versions
};

// The calls of one request. Keeps the generation alive, so that the request finishes with the versions it
// started with.
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
    std::vector<const Grants*> grants;
    grants.reserve(plugins.size());
    for (const std::uint32_t plugin : plugins) grants.push_back(&table.plugins()[plugin].grants);
    return grants;
  }

  void Take(std::size_t slot, const Outcome& outcome) {
    const Fault fault = tagging_.Record(slot, outcome);
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
  job->Start(std::move(message), std::min(left, kMaxWall));
  return job;
}

// ---- Host ---------------------------------------------------------------------------------------------
Host::Host(boost::asio::io_context& io, Options options)
    : io_(io), options_(std::move(options)), reaper_(std::make_shared<Reaper>(io)) {}

Host::~Host() = default;

std::shared_ptr<Host::Version> Host::Find(const Plugin& plugin) const {
  for (const auto& weak : versions_) {
    const auto version = weak.lock();
    if (version && version->plugin().SameVersion(plugin) && version->load_error().empty()) return version;
  }
  return nullptr;
}

void Host::Load(std::shared_ptr<const PluginTable> table, Loaded loaded) {
  std::erase_if(versions_, [](const auto& weak) { return weak.expired(); });
  std::vector<std::shared_ptr<Version>> versions, new_versions;
  for (const Plugin& plugin : table->plugins()) {
    auto version = Find(plugin);
    if (!version) {
      version = std::make_shared<Version>(io_, reaper_, options_, plugin);
      versions_.push_back(version);
      new_versions.push_back(version);
    }
    versions.push_back(std::move(version));
  }
  const auto generation = std::make_shared<Generation>(std::move(table), std::move(versions), last_call_);
  loading_ = generation;
  const auto check_loaded = [this, weak = std::weak_ptr(generation), loaded = std::move(loaded)] {
    const auto loading = weak.lock();
    if (!loading || loading_ != loading) return;
    std::vector<Problem> problems;
    for (std::size_t i = 0; i < loading->versions().size(); ++i) {
      const Version& version = *loading->versions()[i];
      if (!version.LoadFinished()) return;
      if (!version.load_error().empty())
        problems.push_back(
            {loading->table().plugins()[i].at,
             "plug-in '" + version.plugin().name + "' does not load: " + version.load_error()});
    }
    loading_.reset();
    loaded(problems.empty() ? loading : nullptr, problems);
  };
  const auto post_check = [this, check_loaded] { boost::asio::post(io_, check_loaded); };
  for (const auto& version : generation->versions()) {
    if (!version->LoadFinished()) version->OnLoadFinished(post_check);
  }
  for (const auto& version : new_versions) version->Start();
  post_check();
}

std::vector<Host::Status> Host::status() const {
  std::vector<Status> statuses;
  for (const auto& weak : versions_) {
    if (const auto version = weak.lock())
      statuses.push_back({version->plugin().name, version->supervisor().state(),
                          version->supervisor().counts(), version->supervisor().pending(),
                          version->worker()});
  }
  return statuses;
}

}  // namespace kestrelline::plugin
