// SPDX-License-Identifier: Apache-2.0
#include "request_views.h"

#include <boost/beast/http/field.hpp>
#include <chrono>

namespace kestrelline::proxy {
namespace {

bool IsForm(const HttpRequest& message) {
  return View(message[boost::beast::http::field::content_type])
      .starts_with("application/x-www-form-urlencoded");
}

}  // namespace

kestrelline::plugin::RequestView PluginView(const HttpRequest& message, const Config& config,
                                            int request_class, int tenant, Duration left) {
  using namespace kestrelline::plugin;
  kestrelline::plugin::RequestView view;
  view.method = View(message.method_string());
  view.target = View(message.target());
  view.request_class = config.classes[static_cast<std::size_t>(request_class)];
  if (!config.tenants.empty()) view.tenant = config.tenants[static_cast<std::size_t>(tenant)];
  view.deadline_ms = left.count();
  view.now_ms = Duration(std::chrono::system_clock::now().time_since_epoch()).count();
  if (message.body().size() <= kMaxFormBytes && IsForm(message)) view.form = message.body();
  std::size_t bytes = view.target.size() + view.form.size();
  for (const auto& header : message) {
    bytes += header.name_string().size() + header.value().size();
    if (view.headers.size() == kMaxHeaders || bytes > kMaxViewBytes) {
      view.cut = true;
      break;
    }
    view.headers.emplace_back(View(header.name_string()), View(header.value()));
  }
  return view;
}

}  // namespace kestrelline::proxy
