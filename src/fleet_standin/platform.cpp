// SPDX-License-Identifier: Apache-2.0
#include "fleet_standin/platform.h"

#include <utility>

namespace kestrelline::fleet_standin {
namespace {

using namespace http;

std::string Entry(const wire::Instance& instance) {
  const std::string stage = instance.prefill ? "prefill" : "decode";
  std::string entry = "{\"cluster\":\"" + instance.service + "\",\"address\":\"" + instance.address +
                      "\",\"zone\":\"" + instance.zone +
                      "\",\"version\":\"v1\",\"slots\":" + std::to_string(instance.slots) + ",\"state\":\"" +
                      (instance.draining ? "draining" : "ready") + "\",\"warmup_left_ms\":0,";
  if (instance.prefill || instance.decode) entry += "\"stage\":\"" + stage + "\",";
  return entry + "\"id\":\"" + instance.id + "\"}";
}

}  // namespace

Platform::Platform(asio::io_context& io, std::function<std::vector<wire::Instance>()> list)
    : list_(std::move(list)),
      server_(io, [this](ApiRequest request) { return Answer(std::move(request)); }) {}

int Platform::calls() const {
  const std::lock_guard lock(mutex_);
  return calls_;
}

Awaitable<ApiResponse> Platform::Answer(ApiRequest request) {
  {
    const std::lock_guard lock(mutex_);
    ++calls_;
  }
  const std::string target(request.target());
  const std::size_t token = target.find("page_token=p-");
  const std::size_t begin =
      token == std::string::npos ? 0 : static_cast<std::size_t>(std::stoul(target.substr(token + 13)));
  const auto all = list_();
  std::string entries;
  std::size_t at = begin;
  for (; at < all.size() && at < begin + kPage; ++at) entries += (at == begin ? "" : ",") + Entry(all[at]);
  const std::string next = at < all.size() ? "\"p-" + std::to_string(at) + "\"" : "null";
  co_return JsonResponse(bhttp::status::ok,
                         "{\"instances\":[" + entries + "],\"next_page_token\":" + next + "}");
}

}  // namespace kestrelline::fleet_standin
