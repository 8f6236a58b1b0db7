// SPDX-License-Identifier: Apache-2.0
//
// A request's way through the proxy: from its client to the module, as attempts to servers, and back as the
// one answer.
#include <algorithm>
#include <utility>

#include "proxy.h"
#include "request_views.h"

namespace kestrelline::proxy {
namespace {

constexpr Duration kLocalRest{1000};  // for clients turned away for want of descriptors

// Of an attempt that never left.
AttemptEnded MootEnd(const Dispatch& action, int attempt, bool settled) {
  AttemptEnded end;
  end.request = action.request;
  end.attempt = attempt;
  end.server = action.server;
  end.settled = settled;
  end.outcome = Outcome::kMoot;
  return end;
}

}  // namespace

// A request that is with its plug-ins, and the routes by which it came. Its ticket holds the plug-ins.
struct Proxy::Arrival {
  Submit submit;
  Routes routes;
};

RequestId Proxy::OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) {
  const RequestId id = ++last_request_;
  Submit submit;
  submit.request = id;
  submit.due = clock_.At(request.due);
  submit.request_class = request.request_class;
  submit.tenant = request.tenant;
  submit.key = request.key;
  submit.has_hint = request.has_hint;
  submit.client_retry = request.client_retry;
  submit.work_ms = request.work_ms;
  submit.body_follows = request.upload && !request.upload->whole();
  auto route = kestrelline::routing::RouteTable::kNone;
  if (routes_) {
    const auto found = routes_->Find(RoutedRequest(request.message, request.request_class, request.tenant));
    submit.limits = *found.limits;
    route = found.route;
  }
  Pending& pending = pending_[id];
  open_ids_.emplace(request.message["Req-Id"]);
  pending.message = std::make_shared<const HttpRequest>(std::move(request.message));
  pending.due = request.due;
  if ((pending.upload = request.upload)) pending.upload->OnNews([this, id] { OnUploadNews(id); });
  pending.request_class = static_cast<std::size_t>(submit.request_class);
  pending.responder = std::move(responder);
  if (tagger_ && tagger_->Reads(route)) {
    TagFirst(id, std::make_shared<const Arrival>(Arrival{submit, routes_}), route);
  } else {
    GiveToModule(std::move(submit));
  }
  return id;
}

void Proxy::OnUploadNews(RequestId id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  const Upload& upload = *found->second.upload;
  BodyProgress news;
  news.request = id;
  news.body_dropped = upload.bound();
  news.complete = upload.whole();
  if (news.complete) found->second.due = upload.due();
  news.due = clock_.At(found->second.due);
  Feed(news);
}

// Holds the request until its plug-ins have answered or failed, within their bound.
void Proxy::TagFirst(RequestId id, const std::shared_ptr<const Arrival>& arrival, std::uint32_t route) {
  const Pending& pending = pending_.at(id);
  const Submit& submit = arrival->submit;
  const Duration left = pending.due - Steady::now();
  auto ticket = tagger_->Tag(
      PluginView(*pending.message, config_, submit.request_class, submit.tenant, left), submit.request_class,
      route, left,
      [this, id, arrival](const kestrelline::plugin::Verdict& verdict) { OnTagged(id, *arrival, verdict); });
  // The verdict may have come within the call, and the answer too.
  const auto found = pending_.find(id);
  if (found != pending_.end()) found->second.tagging = std::move(ticket);
}

void Proxy::OnTagged(RequestId id, const Arrival& arrival, const kestrelline::plugin::Verdict& verdict) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  const auto over = std::move(found->second.tagging);
  Submit submit = arrival.submit;
  submit.withheld = verdict.refuse;
  submit.request_class = verdict.request_class.value_or(submit.request_class);
  submit.tenant = verdict.tenant.value_or(submit.tenant);
  if (verdict.key) submit.key = KeyOf(*verdict.key);
  if (verdict.cost_ms) {
    submit.has_hint = true;
    submit.work_ms = *verdict.cost_ms;
  }
  if (arrival.routes) {
    const RoutedRequest tagged(*found->second.message, submit.request_class, submit.tenant,
                               verdict.route_tag);
    submit.limits = *arrival.routes->Find(tagged).limits;
  }
  found->second.request_class = static_cast<std::size_t>(submit.request_class);
  GiveToModule(std::move(submit));
}

// With what is known of its key, where that is shared.
void Proxy::GiveToModule(Submit submit) {
  if (!claims_) return Feed(std::move(submit));
  Pending& pending = pending_.at(submit.request);
  const ClassSettings& c = config_.settings.classes[pending.request_class];
  if (const int mode = claims_->ModeOf(c, submit.limits.get()); mode >= 0) {
    const auto hash = kestrelline::replica::KeyHash(config_.classes[pending.request_class],
                                                    View((*pending.message)["Idempotency-Key"]));
    pending.keyed = std::make_unique<Keyed>(Keyed{{hash, mode, &c}, {}});
    auto known = claims_->Known(pending.keyed->key, [this](auto at) { return clock_.At(at); });
    if (!known.empty()) {
      claims_->CountBound();
      submit.claims = std::make_shared<const std::vector<KeyClaim>>(std::move(known));
    }
  }
  Feed(std::move(submit));
}

void Proxy::OnClientGone(RequestId request) {
  if (!Conclude(request)) return;
  // What has not gone out whole never does: on a connection that is still coming up it could be late by long.
  const auto sent = pending_.at(request).sent;
  for (const AttemptHandle& attempt : sent) attempt.Abandon();
  ForgetIfOver(request);
  Feed(ClientGone{request});
}

void Proxy::Do(const Dispatch& action) {
  const auto found = pending_.find(action.request);
  const auto now = Steady::now();
  // Numbered by the order of their Dispatch; one that cannot go out is over at once, and never ran.
  const int attempt = found == pending_.end() ? 0 : found->second.attempts++;
  const bool wanted = found != pending_.end() && Wanted(found->second);
  if (!wanted || found->second.attempts_out >= MostOut() || now >= found->second.due ||
      attempt >= config_.settings.max_attempts) {
    return Feed(MootEnd(action, attempt, /*settled=*/!wanted));
  }
  Pending& pending = found->second;
  ++pending.attempts_out;
  if (!pending.keyed) return SendAttempt(action, attempt);
  // What it may run is claimed first.
  const Group kind = config_.settings.classes[pending.request_class].group;
  const auto group = claims_->groups().Of(kind, action.zone, action.cell);
  pending.keyed->groups.resize(static_cast<std::size_t>(attempt) + 1, group);
  claims_->Before(pending.keyed->key, group,
                  [this, action, attempt](auto go) { OnClaimed(action, attempt, go); });
}

// Its claim holds; or it does not, and the attempt never leaves.
void Proxy::OnClaimed(const Dispatch& action, int attempt, kestrelline::replica::Claims::Go go) {
  using Go = kestrelline::replica::Claims::Go;
  const auto found = pending_.find(action.request);
  if (found == pending_.end()) return;
  Pending& pending = found->second;
  const auto now = Steady::now();
  const bool late = !Wanted(pending) || now >= pending.due || now > clock_.ToSteady(action.begin_by);
  if (go == Go::kSend && !late) return SendAttempt(action, attempt);
  const Keyed keyed = *pending.keyed;
  if (go == Go::kSend) claims_->After(keyed.key, keyed.groups[static_cast<std::size_t>(attempt)], false);
  --pending.attempts_out;
  const auto known = claims_->Known(keyed.key, [this](auto at) { return clock_.At(at); });
  if (go == Go::kNot) {
    // Too few know of it: no other attempt would fare better. Nothing of this one ran.
    if (const auto responder = Conclude(action.request))
      attempt == 0 && known.empty() ? responder->Refused(kLocalRest) : responder->Failed();
  }
  const AttemptEnded end = MootEnd(action, attempt, !pending.responder);
  ForgetIfOver(action.request);
  if (go == Go::kElsewhere) {
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
  const Duration hold = last_byte_.WaitFor(clock_.At(now), c.effect, c.aim);
  pending.sent.push_back(backends_->Send(
      action.server, pending.message, timeout, hold,
      [this, id = action.request, attempt, server = action.server, now](AttemptResult result) {
        OnAttemptDone(id, attempt, server, now, std::move(result));
      },
      [this, id = action.request] {
        const auto found = pending_.find(id);
        return found != pending_.end() && Wanted(found->second) && Steady::now() <= found->second.begin_by;
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
  const auto found = pending_.find(request);
  // What its body took is no time of the server's.
  end.took = found != pending_.end() && found->second.upload ? result.answering : Duration(now - sent);
  if (result.written.count() > 0) last_byte_.OnEnded(clock_.At(now), result.written, result.broke);
  if (found != pending_.end()) --found->second.attempts_out;
  if (found != pending_.end() && found->second.keyed) {
    const bool never_ran = result.outcome == Outcome::kFull || result.outcome == Outcome::kConnectFailed ||
                           result.outcome == Outcome::kMoot;
    claims_->After(found->second.keyed->key, found->second.keyed->groups[static_cast<std::size_t>(attempt)],
                   !never_ran);
  }
  const bool other_out = found != pending_.end() && found->second.attempts_out > 0;
  if (result.outcome == Outcome::kOk) {
    if (const auto responder = Conclude(request)) {
      responder->Served(std::move(result.response), std::move(result.rest), result.length);
    } else if (result.rest) {
      result.rest->Drop();
    }
  } else if (result.outcome == Outcome::kUnknown) {
    if (const auto responder = Conclude(request)) responder->Rejected(result.response.result());
  } else if (result.local && !other_out) {
    // Over a limit of this process: no backend is to blame, and another attempt would fare no better.
    if (const auto responder = Conclude(request)) {
      if (attempt == 0) {
        responder->Refused(kLocalRest);
      } else {
        responder->Failed();
      }
    }
  }
  end.settled = found == pending_.end() || !found->second.responder;
  ForgetIfOver(request);
  Feed(end);
}

// Ends the request: whoever gets the responder gives the one final answer.
std::shared_ptr<Responder> Proxy::Conclude(RequestId request) {
  const auto found = pending_.find(request);
  return found == pending_.end() ? nullptr : std::exchange(found->second.responder, nullptr);
}

void Proxy::ForgetIfOver(RequestId request) {
  const auto found = pending_.find(request);
  if (found == pending_.end() || found->second.responder || found->second.attempts_out > 0) return;
  open_ids_.erase(std::string((*found->second.message)["Req-Id"]));
  pending_.erase(found);
}

void Proxy::Do(const Refuse& action) {
  if (const auto responder = Conclude(action.request)) responder->Refused(action.retry_after);
  ForgetIfOver(action.request);
}

void Proxy::Do(const Fail& action) {
  if (const auto responder = Conclude(action.request)) responder->Failed();
  ForgetIfOver(action.request);
}

}  // namespace kestrelline::proxy
