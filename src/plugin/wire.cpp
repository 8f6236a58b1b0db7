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

// After the first error all further reads fail.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : remaining_(bytes) {}

  template <typename T>
  T Get() {
    T value{};
    if (remaining_.size() < sizeof value) return Fail(), value;
    std::memcpy(&value, remaining_.data(), sizeof value);
    remaining_.remove_prefix(sizeof value);
    return value;
  }
  std::string_view Text(std::size_t max_bytes = kMaxMessageBytes) {
    const auto size = Get<std::uint32_t>();
    if (size > max_bytes || size > remaining_.size()) return Fail(), std::string_view();
    const auto text = remaining_.substr(0, size);
    remaining_.remove_prefix(size);
    return text;
  }
  bool Flag() {
    const auto value = Get<std::uint8_t>();
    if (value > 1) Fail();
    return value == 1;
  }
  std::optional<std::string> Maybe(std::size_t max_bytes) {
    if (!Flag()) return std::nullopt;
    return std::string(Text(max_bytes));
  }
  double Finite() {
    const double value = Get<double>();
    if (!std::isfinite(value)) return Fail(), 0;
    return value;
  }
  void Fail() { valid_ = false; }
  bool Complete() const { return valid_ && remaining_.empty(); }
  bool valid() const { return valid_; }

 private:
  std::string_view remaining_;
  bool valid_ = true;
};

template <typename Message, typename All>
std::optional<All> IfComplete(const Reader& reader, Message message) {
  if (!reader.Complete()) return std::nullopt;
  return All(std::move(message));
}

Load GetLoad(Reader& in) {
  Load load;
  load.name = in.Text(kMaxTagBytes);
  load.source = in.Text(kMaxSourceBytes);
  load.budgets.wall = Duration(in.Finite());
  load.budgets.fuel = in.Get<std::uint64_t>();
  load.budgets.memory = in.Get<std::uint64_t>();
  load.budgets.output = in.Get<std::uint64_t>();
  load.budgets.load = Duration(in.Finite());
  load.budgets.load_fuel = in.Get<std::uint64_t>();
  return load;
}

Call GetCall(Reader& in) {
  Call call;
  call.id = in.Get<std::uint64_t>();
  RequestView& request = call.request;
  request.method = in.Text(), request.target = in.Text();
  request.request_class = in.Text(), request.tenant = in.Text();
  request.deadline_ms = in.Finite(), request.now_ms = in.Finite();
  request.form = in.Text();
  request.cut = in.Flag();
  const auto headers = in.Get<std::uint32_t>();
  if (headers > kMaxHeaders) return in.Fail(), call;
  request.headers.reserve(headers);
  for (std::uint32_t i = 0; i < headers && in.valid(); ++i) {
    const auto name = in.Text();
    request.headers.emplace_back(name, in.Text());
  }
  return call;
}

Reply GetReply(Reader& in) {
  Reply reply;
  reply.id = in.Get<std::uint64_t>();
  const auto fault = in.Get<std::uint8_t>();
  // Only these faults are reported by a worker; the proxy detects the others.
  if (fault > static_cast<std::uint8_t>(Fault::kOutput)) in.Fail();
  reply.outcome.fault = static_cast<Fault>(fault);
  reply.outcome.fuel = in.Get<std::uint64_t>();
  reply.outcome.text = in.Text(kMaxFaultTextBytes);
  Tags& tags = reply.outcome.tags;
  tags.request_class = in.Maybe(kMaxTagBytes);
  tags.tenant = in.Maybe(kMaxTagBytes);
  tags.key = in.Maybe(kMaxTagBytes);
  tags.route = in.Maybe(kMaxTagBytes);
  if (in.Flag()) {
    tags.cost_ms = in.Finite();
    if (*tags.cost_ms < 0 || *tags.cost_ms > kMaxCostMs) in.Fail();
  }
  if (reply.outcome.fault != Fault::kNone && !tags.empty()) in.Fail();
  return reply;
}

}  // namespace

std::string Write(const Load& message) {
  Writer out(Type::kLoad);
  out.Put(message.name).Put(message.source);
  out.Put(message.budgets.wall.count()).Put(message.budgets.fuel);
  out.Put(std::uint64_t{message.budgets.memory}).Put(std::uint64_t{message.budgets.output});
  out.Put(message.budgets.load.count()).Put(message.budgets.load_fuel);
  return out.Take();
}

std::string Write(const Call& message) {
  Writer out(Type::kCall);
  const RequestView& request = message.request;
  out.Put(message.id).Put(request.method).Put(request.target).Put(request.request_class).Put(request.tenant);
  out.Put(request.deadline_ms)
      .Put(request.now_ms)
      .Put(request.form)
      .Put(static_cast<std::uint8_t>(request.cut));
  out.Put(static_cast<std::uint32_t>(request.headers.size()));
  for (const auto& [name, value] : request.headers) out.Put(name).Put(value);
  return out.Take();
}

std::string Write(const Ready& message) { return Writer(Type::kReady).Put(message.fuel).Take(); }

std::string Write(const Refused& message) {
  return Writer(Type::kRefused).Put(std::string_view(message.text).substr(0, kMaxFaultTextBytes)).Take();
}

std::string Write(const Reply& message) {
  Writer out(Type::kReply);
  const Outcome& outcome = message.outcome;
  out.Put(message.id).Put(static_cast<std::uint8_t>(outcome.fault)).Put(outcome.fuel);
  out.Put(std::string_view(outcome.text).substr(0, kMaxFaultTextBytes));
  out.Maybe(outcome.tags.request_class)
      .Maybe(outcome.tags.tenant)
      .Maybe(outcome.tags.key)
      .Maybe(outcome.tags.route);
  out.Put(static_cast<std::uint8_t>(outcome.tags.cost_ms.has_value()));
  if (outcome.tags.cost_ms) out.Put(*outcome.tags.cost_ms);
  return out.Take();
}

std::optional<ToWorker> ReadToWorker(std::string_view bytes) {
  Reader in(bytes);
  switch (in.Get<Type>()) {
    case Type::kLoad: {
      Load message = GetLoad(in);
      return IfComplete<Load, ToWorker>(in, std::move(message));
    }
    case Type::kCall: {
      Call message = GetCall(in);
      return IfComplete<Call, ToWorker>(in, std::move(message));
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
      return IfComplete<Ready, FromWorker>(in, message);
    }
    case Type::kRefused: {
      Refused message{std::string(in.Text(kMaxFaultTextBytes))};
      return IfComplete<Refused, FromWorker>(in, std::move(message));
    }
    case Type::kReply: {
      Reply message = GetReply(in);
      return IfComplete<Reply, FromWorker>(in, std::move(message));
    }
    default:
      return std::nullopt;
  }
}

}  // namespace wire
}  // namespace kestrelline::plugin
