// SPDX-License-Identifier: Apache-2.0
//
// The views of a request that routes and plug-ins get.
#ifndef KESTRELLINE_PROXY_REQUEST_VIEWS_H_
#define KESTRELLINE_PROXY_REQUEST_VIEWS_H_

#include <iterator>
#include <string_view>

#include "config.h"
#include "framing.h"
#include "plugin/api.h"
#include "routing/table.h"

namespace kestrelline::proxy {

// An empty value has a non-null pointer, which tells it from an absent one.
inline std::string_view View(boost::beast::string_view text) {
  return text.empty() ? std::string_view("") : std::string_view(text.data(), text.size());
}

// A header that occurs more than once counts as absent.
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

// The view is bounded in size, so that a client cannot inflate what is sent to a plug-in. It refers to
// `message` and `config` and must not outlive them.
kestrelline::plugin::RequestView PluginView(const HttpRequest& message, const Config& config,
                                            int request_class, int tenant, Duration left);

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_REQUEST_VIEWS_H_
