// SPDX-License-Identifier: Apache-2.0
//
// Proxy: the path of a request from its client to the balancer, as attempts to the backends, and back as one
// response.
#include <algorithm>
#include <utility>

#include "proxy.h"
#include "request_views.h"

namespace kestrelline::proxy {
namespace {

constexpr Duration kLocalRetryAfter{1000};  // Retry-After of responses for want of local resources

// The result of an attempt that was never sent.
AttemptEnded MootAttempt(const Dispatch& action, int attempt, bool settled) {
  AttemptEnded end;
  end.request = action.request;
  end.attempt = attempt;
  end.server = action.server;
  end.settled = settled;
  end.outcome = Outcome::kMoot;
  return end;
}

}  // namespace

// A request that is being tagged by plug-ins, with the routes in force when it arrived. The plug-ins are kept
// alive by its ticket.
struct Proxy::TaggingRequest {
  Submit submit;
  Routes routes;
};

RequestId Proxy::OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) {
  const RequestId id = ++last_request_;
  Submit submit;
  submit.request = id;
  submit.due = clock_.FromSteady(request.due);
  submit.request_class = request.request_class;
  submit.tenant = request.tenant;
  submit.key = request.key;
  submit.has_hint = request.has_hint;
  submit.client_retry = request.client_retry;
  submit.work_ms = request.work_ms;
  submit.body_follows = request.upload && !request.upload->complete();
  auto route = kestrelline::routing::RouteTable::kNone;
  if (routes_) {
    const auto match = routes_->Find(RoutedRequest(request.message, request.request_class, request.tenant));
    submit.limits = *match.limits;
    route = match.route;
  }
  Pending& pending = pending_[id];
  open_ids_.emplace(request.message["Req-Id"]);
  pending.message = std::make_shared<const HttpRequest>(std::move(request.message));
  pending.due = request.due;
  if ((pending.upload = request.upload))
    pending.upload->SetProgressCallback([this, id] { OnUploadProgress(id); });
  pending.request_class = static_cast<std::size_t>(submit.request_class);
  pending.responder = std::move(responder);
  if (tagger_ && tagger_->Reads(route)) {
    RunPlugins(id, std::make_shared<const TaggingRequest>(TaggingRequest{submit, routes_}), route);
  } else {
    SubmitToBalancer(std::move(submit));
  }
  return id;
}

void Proxy::OnUploadProgress(RequestId id) {
  const auto entry = pending_.find(id);
  if (entry == pending_.end()) return;
  const Upload& upload = *entry->second.upload;
  BodyProgress progress;
  progress.request = id;
  progress.body_dropped = upload.body_dropped();
  progress.complete = upload.complete();
  if (progress.complete) entry->second.due = upload.due();
  progress.due = clock_.FromSteady(entry->second.due);
  Feed(progress);
}

// Delays the request until its plug-ins have answered or failed, within their time limit.
void Proxy::RunPlugins(RequestId id, const std::shared_ptr<const TaggingRequest>& tagging_request,
                       std::uint32_t route) {
  const Pending& pending = pending_.at(id);
  const Submit& submit = tagging_request->submit;
  const Duration left = pending.due - Steady::now();
  auto ticket = tagger_->Tag(PluginView(*pending.message, config_, submit.request_class, submit.tenant, left),
                             submit.request_class, route, left,
                             [this, id, tagging_request](const kestrelline::plugin::Verdict& verdict) {
                               OnPluginVerdict(id, *tagging_request, verdict);
                             });
  // The verdict, and even the response, may have been delivered within the call.
  const auto entry = pending_.find(id);
  if (entry != pending_.end()) entry->second.tagging = std::move(ticket);
}

void Proxy::OnPluginVerdict(RequestId id, const TaggingRequest& tagging_request,
                            const kestrelline::plugin::Verdict& verdict) {
  const auto entry = pending_.find(id);
  if (entry == pending_.end()) return;
  const auto finished_ticket = std::move(entry->second.tagging);
  Submit submit = tagging_request.submit;
  submit.withheld = verdict.refuse;
  submit.request_class = verdict.request_class.value_or(submit.request_class);
  submit.tenant = verdict.tenant.value_or(submit.tenant);
  if (verdict.key) submit.key = HashKey(*verdict.key);
  if (verdict.cost_ms) {
    submit.has_hint = true;
    submit.work_ms = *verdict.cost_ms;
  }
  if (tagging_request.routes) {
    const RoutedRequest tagged(*entry->second.message, submit.request_class, submit.tenant,
                               verdict.route_tag);
    submit.limits = *tagging_request.routes->Find(tagged).limits;
  }
  entry->second.request_class = static_cast<std::size_t>(submit.request_class);
  SubmitToBalancer(std::move(submit));
}

// Adds the known claims on the request's key, if claims are shared.
void Proxy::SubmitToBalancer(Submit submit) {
  if (!claims_) return Feed(std::move(submit));
  Pending& pending = pending_.at(submit.request);
  const ClassSettings& c = config_.settings.classes[pending.request_class];
  if (const int mode = claims_->ModeOf(c, submit.limits.get()); mode >= 0) {
    const auto hash = kestrelline::replica::KeyHash(config_.classes[pending.request_class],
                                                    View((*pending.message)["Idempotency-Key"]));
    pending.claim_state = std::make_unique<ClaimState>(ClaimState{{hash, mode, &c}, {}});
    auto known =
        claims_->KnownClaims(pending.claim_state->key, [this](auto at) { return clock_.FromSteady(at); });
    if (!known.empty()) {
      claims_->CountBound();
      submit.claims = std::make_shared<const std::vector<KeyClaim>>(std::move(known));
    }
  }
  Feed(std::move(submit));
}

void Proxy::OnClientGone(RequestId request) {
  if (!TakeResponder(request)) return;
  // Requests that are not written completely are cancelled: on a connection that is still being established
  // they could be sent much later.
  const auto sent = pending_.at(request).sent;
  for (const AttemptHandle& attempt : sent) attempt.Abandon();
  EraseIfDone(request);
  Feed(ClientGone{request});
}

void Proxy::Execute(const Dispatch& action) {
  const auto entry = pending_.find(action.request);
  const auto now = Steady::now();
  // Attempts are numbered in the order of their Dispatch. One that cannot be sent ends at once as kMoot.
  const int attempt = entry == pending_.end() ? 0 : entry->second.attempts++;
  const bool wanted = entry != pending_.end() && IsWanted(entry->second);
  if (!wanted || entry->second.attempts_in_flight >= MaxAttemptsInFlight() || now >= entry->second.due ||
      attempt >= config_.settings.max_attempts) {
    return Feed(MootAttempt(action, attempt, /*settled=*/!wanted));
  }
  Pending& pending = entry->second;
  ++pending.attempts_in_flight;
  if (!pending.claim_state) return SendAttempt(action, attempt);
  // Claim the key for the group of the backend before sending.
  const Group kind = config_.settings.classes[pending.request_class].group;
  const auto group = claims_->groups().IdOf(kind, action.zone, action.cell);
  pending.claim_state->groups.resize(static_cast<std::size_t>(attempt) + 1, group);
  claims_->BeforeAttempt(pending.claim_state->key, group,
                         [this, action, attempt](auto go) { OnClaimResult(action, attempt, go); });
}

// Sends the attempt if its claim was granted; ends it as kMoot otherwise.
void Proxy::OnClaimResult(const Dispatch& action, int attempt, kestrelline::replica::Claims::Decision go) {
  using Go = kestrelline::replica::Claims::Decision;
  const auto entry = pending_.find(action.request);
  if (entry == pending_.end()) return;
  Pending& pending = entry->second;
  const auto now = Steady::now();
  const bool late = !IsWanted(pending) || now >= pending.due || now > clock_.ToSteady(action.begin_by);
  if (go == Go::kSend && !late) return SendAttempt(action, attempt);
  const ClaimState claim_state = *pending.claim_state;
  if (go == Go::kSend)
    claims_->AfterAttempt(claim_state.key, claim_state.groups[static_cast<std::size_t>(attempt)], false);
  --pending.attempts_in_flight;
  const auto known = claims_->KnownClaims(claim_state.key, [this](auto at) { return clock_.FromSteady(at); });
  if (go == Go::kUnconfirmed) {
    // Too few proxies recorded the claim, so another attempt would fail as well. This one was not sent.
    if (const auto responder = TakeResponder(action.request))
      attempt == 0 && known.empty() ? responder->Refused(kLocalRetryAfter) : responder->Failed();
  }
  const AttemptEnded end = MootAttempt(action, attempt, !pending.responder);
  EraseIfDone(action.request);
  if (go == Go::kOtherGroup) {
    for (const KeyClaim& claim : known) Feed(KeyClaimed{action.request, claim});
  }
  Feed(end);
}

void Proxy::SendAttempt(const Dispatch& action, int attempt) {
  Pending& pending = pending_.at(action.request);
  const auto now = Steady::now();
  Duration timeout = pending.upload ? Duration(pending.upload->deadline()) : pending.due - now;
  if (action.timeout.count() != 0) timeout = std::clamp(action.timeout, Duration(0), timeout);
  pending.begin_by = clock_.ToSteady(action.begin_by);
  const ClassSettings& c = config_.settings.classes[pending.request_class];
  const Duration hold = last_byte_.WaitFor(clock_.FromSteady(now), c.effect, c.aim);
  pending.sent.push_back(backends_->Send(
      action.server, pending.message, timeout, hold,
      [this, id = action.request, attempt, server = action.server, now](AttemptResult result) {
        OnAttemptDone(id, attempt, server, now, std::move(result));
      },
      [this, id = action.request] {
        const auto entry = pending_.find(id);
        return entry != pending_.end() && IsWanted(entry->second) && Steady::now() <= entry->second.begin_by;
      },
      pending.upload));
}

void Proxy::OnAttemptDone(RequestId request, int attempt, ServerId server, Steady::time_point sent,
                          AttemptResult result) {
  AttemptEnded end;
  end.request = request;
  end.attempt = attempt;
  end.server = server;
  end.outcome = result.outcome;
  const auto now = Steady::now();
  const auto entry = pending_.find(request);
  // The time to receive an uploaded body does not count against the backend.
  end.took = entry != pending_.end() && entry->second.upload ? result.since_last_byte : Duration(now - sent);
  if (result.since_first_byte.count() > 0)
    last_byte_.OnEnded(clock_.FromSteady(now), result.since_first_byte, result.connection_broke);
  if (entry != pending_.end()) --entry->second.attempts_in_flight;
  if (entry != pending_.end() && entry->second.claim_state) {
    const bool never_ran = result.outcome == Outcome::kFull || result.outcome == Outcome::kConnectFailed ||
                           result.outcome == Outcome::kMoot;
    claims_->AfterAttempt(entry->second.claim_state->key,
                          entry->second.claim_state->groups[static_cast<std::size_t>(attempt)], !never_ran);
  }
  const bool other_out = entry != pending_.end() && entry->second.attempts_in_flight > 0;
  if (result.outcome == Outcome::kOk) {
    if (const auto responder = TakeResponder(request)) {
      responder->Served(std::move(result.response), std::move(result.rest_of_body), result.length);
    } else if (result.rest_of_body) {
      result.rest_of_body->Drop();
    }
  } else if (result.outcome == Outcome::kUnknown) {
    if (const auto responder = TakeResponder(request)) responder->Rejected(result.response.result());
  } else if (result.local_failure && !other_out) {
    // A resource of this process is exhausted: not the fault of the backend, and another attempt would fail
    // as well.
    if (const auto responder = TakeResponder(request)) {
      if (attempt == 0) {
        responder->Refused(kLocalRetryAfter);
      } else {
        responder->Failed();
      }
    }
  }
  end.settled = entry == pending_.end() || !entry->second.responder;
  EraseIfDone(request);
  Feed(end);
}

// Ends the request: the caller that gets the responder sends the final response. Null if it was sent already.
std::shared_ptr<Responder> Proxy::TakeResponder(RequestId request) {
  const auto entry = pending_.find(request);
  return entry == pending_.end() ? nullptr : std::exchange(entry->second.responder, nullptr);
}

void Proxy::EraseIfDone(RequestId request) {
  const auto entry = pending_.find(request);
  if (entry == pending_.end() || entry->second.responder || entry->second.attempts_in_flight > 0) return;
  open_ids_.erase(std::string((*entry->second.message)["Req-Id"]));
  pending_.erase(entry);
}

void Proxy::Execute(const Refuse& action) {
  if (const auto responder = TakeResponder(action.request)) responder->Refused(action.retry_after);
  EraseIfDone(action.request);
}

void Proxy::Execute(const Fail& action) {
  if (const auto responder = TakeResponder(action.request)) responder->Failed();
  EraseIfDone(action.request);
}

}  // namespace kestrelline::proxy
