// SPDX-License-Identifier: Apache-2.0
//
// A request as routes and as plug-ins see it.
#ifndef KESTRELLINE_PROXY_REQUEST_VIEWS_H_
#define KESTRELLINE_PROXY_REQUEST_VIEWS_H_

#include <iterator>
#include <string_view>

#include "config.h"
#include "framing.h"
#include "plugin/api.h"
#include "routing/table.h"

namespace kestrelline::proxy {

// An empty value is one too: its data is never null.
inline std::string_view View(boost::beast::string_view text) {
  return text.empty() ? std::string_view("") : std::string_view(text.data(), text.size());
}

// A header that is given twice has no one value.
class RoutedRequest : public kestrelline::routing::RequestView {
 public:
  RoutedRequest(const HttpRequest& message, int request_class, int tenant, std::string_view tag = {})
      : message_(message), class_(request_class), tenant_(tenant), tag_(tag) {}
  int request_class() const override { return class_; }
  int tenant() const override { return tenant_; }
  std::string_view target() const override { return View(message_.target()); }
  std::string_view Header(std::string_view name) const override {
    if (name == kestrelline::routing::kTagHeader) return tag_.empty() ? std::string_view() : tag_;
    const auto [first, last] = message_.equal_range({name.data(), name.size()});
    return first != last && std::next(first) == last ? View(first->value()) : std::string_view();
  }

 private:
  const HttpRequest& message_;
  int class_, tenant_;
  std::string_view tag_;
};

// Bounded: what a client sends must not grow what a plug-in is sent. Holds as long as `message` and `config`.
kestrelline::plugin::RequestView PluginView(const HttpRequest& message, const Config& config,
                                            int request_class, int tenant, Duration left);

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_REQUEST_VIEWS_H_
