// SPDX-License-Identifier: Apache-2.0
#include "charts/page.h"

namespace kestrelline::charts {

std::string Escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

std::string PageHead(const std::string& title) {
  return "<!doctype html><html lang='en'><meta charset='utf-8'><title>" + Escaped(title) +
         "</title><style>body{font:15px sans-serif;max-width:960px;margin:2em auto;padding:0 1em}"
         "svg{max-width:100%;height:auto}pre{overflow:auto}</style><h1>" +
         Escaped(title) + "</h1>";
}

}  // namespace kestrelline::charts
