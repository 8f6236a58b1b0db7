// SPDX-License-Identifier: Apache-2.0
#include "plugin/wire.h"

#include <array>
#include <cmath>
#include <cstring>
#include <type_traits>

namespace kestrelline::plugin {

std::string_view Name(Fault fault) {
  constexpr std::array<std::string_view, 13> kNames{"none",    "error",     "fuel",  "memory",   "output",
                                                    "timeout", "late",      "crash", "protocol", "forbidden",
                                                    "full",    "suspended", "load"};
  return kNames[static_cast<std::size_t>(fault)];
}

namespace wire {
namespace {

enum class Type : std::uint8_t { kLoad = 1, kCall, kReady, kRefused, kReply };

class Writer {
 public:
  explicit Writer(Type type) { Put(type); }
  template <typename T>
  requires(std::is_arithmetic_v<T> || std::is_enum_v<T>) Writer& Put(T value) {
    char bytes[sizeof value];
    std::memcpy(bytes, &value, sizeof value);
    bytes_.append(bytes, sizeof value);
    return *this;
  }
  Writer& Put(std::string_view text) {
    Put(static_cast<std::uint32_t>(text.size()));
    bytes_.append(text);
    return *this;
  }
  Writer& Maybe(const std::optional<std::string>& text) {
    Put(static_cast<std::uint8_t>(text.has_value()));
    return text ? Put(std::string_view(*text)) : *this;
  }
  std::string Take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

// Fails for good at the first thing that is not there.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : left_(bytes) {}

  template <typename T>
  T Get() {
    T value{};
    if (left_.size() < sizeof value) return Fail(), value;
    std::memcpy(&value, left_.data(), sizeof value);
    left_.remove_prefix(sizeof value);
    return value;
  }
  std::string_view Text(std::size_t most = kMostMessage) {
    const auto size = Get<std::uint32_t>();
    if (size > most || size > left_.size()) return Fail(), std::string_view();
    const auto text = left_.substr(0, size);
    left_.remove_prefix(size);
    return text;
  }
  bool Flag() {
    const auto value = Get<std::uint8_t>();
    if (value > 1) Fail();
    return value == 1;
  }
  std::optional<std::string> Maybe(std::size_t most) {
    if (!Flag()) return std::nullopt;
    return std::string(Text(most));
  }
  double Finite() {
    const double value = Get<double>();
    if (!std::isfinite(value)) return Fail(), 0;
    return value;
  }
  void Fail() { good_ = false; }
  bool Whole() const { return good_ && left_.empty(); }
  bool good() const { return good_; }

 private:
  std::string_view left_;
  bool good_ = true;
};

template <typename Message, typename All>
std::optional<All> IfWhole(const Reader& reader, Message message) {
  if (!reader.Whole()) return std::nullopt;
  return All(std::move(message));
}

Load GetLoad(Reader& in) {
  Load m;
  m.name = in.Text(kMostTagBytes);
  m.source = in.Text(kMostSource);
  m.budgets.wall = Duration(in.Finite());
  m.budgets.fuel = in.Get<std::uint64_t>();
  m.budgets.memory = in.Get<std::uint64_t>();
  m.budgets.output = in.Get<std::uint64_t>();
  m.budgets.load = Duration(in.Finite());
  m.budgets.load_fuel = in.Get<std::uint64_t>();
  return m;
}

Call GetCall(Reader& in) {
  Call m;
  m.id = in.Get<std::uint64_t>();
  RequestView& r = m.request;
  r.method = in.Text(), r.target = in.Text();
  r.request_class = in.Text(), r.tenant = in.Text();
  r.deadline_ms = in.Finite(), r.now_ms = in.Finite();
  r.form = in.Text();
  r.cut = in.Flag();
  const auto headers = in.Get<std::uint32_t>();
  if (headers > kMostHeaders) return in.Fail(), m;
  r.headers.reserve(headers);
  for (std::uint32_t i = 0; i < headers && in.good(); ++i) {
    const auto name = in.Text();
    r.headers.emplace_back(name, in.Text());
  }
  return m;
}

Reply GetReply(Reader& in) {
  Reply m;
  m.id = in.Get<std::uint64_t>();
  const auto fault = in.Get<std::uint8_t>();
  // What a worker can tell of itself; the rest is found out about it.
  if (fault > static_cast<std::uint8_t>(Fault::kOutput)) in.Fail();
  m.outcome.fault = static_cast<Fault>(fault);
  m.outcome.fuel = in.Get<std::uint64_t>();
  m.outcome.text = in.Text(kMostFaultText);
  Tags& t = m.outcome.tags;
  t.request_class = in.Maybe(kMostTagBytes);
  t.tenant = in.Maybe(kMostTagBytes);
  t.key = in.Maybe(kMostTagBytes);
  t.route = in.Maybe(kMostTagBytes);
  if (in.Flag()) {
    t.cost_ms = in.Finite();
    if (*t.cost_ms < 0 || *t.cost_ms > kMostCostMs) in.Fail();
  }
  if (m.outcome.fault != Fault::kNone && !t.empty()) in.Fail();
  return m;
}

}  // namespace

std::string Write(const Load& m) {
  Writer out(Type::kLoad);
  out.Put(m.name).Put(m.source);
  out.Put(m.budgets.wall.count()).Put(m.budgets.fuel);
  out.Put(std::uint64_t{m.budgets.memory}).Put(std::uint64_t{m.budgets.output});
  out.Put(m.budgets.load.count()).Put(m.budgets.load_fuel);
  return out.Take();
}

std::string Write(const Call& m) {
  Writer out(Type::kCall);
  const RequestView& r = m.request;
  out.Put(m.id).Put(r.method).Put(r.target).Put(r.request_class).Put(r.tenant);
  out.Put(r.deadline_ms).Put(r.now_ms).Put(r.form).Put(static_cast<std::uint8_t>(r.cut));
  out.Put(static_cast<std::uint32_t>(r.headers.size()));
  for (const auto& [name, value] : r.headers) out.Put(name).Put(value);
  return out.Take();
}

std::string Write(const Ready& m) { return Writer(Type::kReady).Put(m.fuel).Take(); }

std::string Write(const Refused& m) {
  return Writer(Type::kRefused).Put(std::string_view(m.text).substr(0, kMostFaultText)).Take();
}

std::string Write(const Reply& m) {
  Writer out(Type::kReply);
  const Outcome& o = m.outcome;
  out.Put(m.id).Put(static_cast<std::uint8_t>(o.fault)).Put(o.fuel);
  out.Put(std::string_view(o.text).substr(0, kMostFaultText));
  out.Maybe(o.tags.request_class).Maybe(o.tags.tenant).Maybe(o.tags.key).Maybe(o.tags.route);
  out.Put(static_cast<std::uint8_t>(o.tags.cost_ms.has_value()));
  if (o.tags.cost_ms) out.Put(*o.tags.cost_ms);
  return out.Take();
}

std::optional<ToWorker> ReadToWorker(std::string_view bytes) {
  Reader in(bytes);
  switch (in.Get<Type>()) {
    case Type::kLoad: {
      Load message = GetLoad(in);
      return IfWhole<Load, ToWorker>(in, std::move(message));
    }
    case Type::kCall: {
      Call message = GetCall(in);
      return IfWhole<Call, ToWorker>(in, std::move(message));
    }
    default:
      return std::nullopt;
  }
}

std::optional<FromWorker> ReadFromWorker(std::string_view bytes) {
  Reader in(bytes);
  switch (in.Get<Type>()) {
    case Type::kReady: {
      const Ready message{in.Get<std::uint64_t>()};
      return IfWhole<Ready, FromWorker>(in, message);
    }
    case Type::kRefused: {
      Refused message{std::string(in.Text(kMostFaultText))};
      return IfWhole<Refused, FromWorker>(in, std::move(message));
    }
    case Type::kReply: {
      Reply message = GetReply(in);
      return IfWhole<Reply, FromWorker>(in, std::move(message));
    }
    default:
      return std::nullopt;
  }
}

}  // namespace wire
}  // namespace kestrelline::plugin
