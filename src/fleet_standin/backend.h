// SPDX-License-Identifier: Apache-2.0
//
// A stand-in of a backend on sockets: stages, handles, streams, refusals, and the faults that tests ask for.
// What it ran is on record by request id. A request may ask for its work: Work-Ms before a plain answer,
// Stream-Events and Stream-Between-Ms for a stream.
#ifndef KESTRELLINE_FLEET_STANDIN_BACKEND_H_
#define KESTRELLINE_FLEET_STANDIN_BACKEND_H_

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "fleet_standin/garbage.h"
#include "http/asio.h"
#include "node/settings.h"
#include "wire/messages.h"

namespace kestrelline::fleet_standin {

// What a backend does with the next request that reaches it (health, orders and deletions aside).
enum class Fault {
  kNone,
  kRefuse,           // 503, Not-Executed
  kMisdirect,        // 421, as another instance would
  kCloseUnanswered,  // runs it, then closes without a byte
  kBreakStream,      // closes in the middle of the third event
  kError,            // 500 of its own
  kNoStamp,          // a success without its stamp
  kStrayAnswer,      // first an answer to another request, then its own
  kNamelessAnswer,   // first an answer that tells no request, then its own
  kExtraAnswer,      // its own, then a second one to the same request
  kUnframed,         // no length: the body ends with the connection
  kUnframedReset,    // the same, and the connection is reset in the middle
  kEarlyRefusal,     // 503, Not-Executed, before the body is in, which is read on later
  kHang,             // runs it and says nothing
  kGarbage,          // sends garbage in its stream, see ExpectGarbage()
  kNoAnswer,         // bytes that are no answer
  kContradiction,    // a success that says it has not run
  kFalsePromise,     // runs it, then answers 503
  kTwoIds,           // a success with the id of another request beside its own
  kEncoded,          // a success with an encoded body
  kWrongType,        // a success that is no event stream
  kBadLoad,          // its own answer, with a load that is none
  kBadHandle,        // a prefill whose handle would begin a field of its own
};

// One arrival, as the backend saw it.
struct Arrival {
  std::string request_id;
  std::size_t id_fields = 0;  // Request-Id fields
  std::string target;
  std::string body;
  std::string stage;  // Serving-Stage
  std::string kv_from;
  std::string last_event_id;
  std::string deadline_ms;
  bool ran = false;
  Fault fault = Fault::kNone;
  http::steady_clock::time_point began;
  std::optional<http::steady_clock::time_point> ended;  // nothing while it is at work
};

struct BackendOptions {
  wire::Instance instance;  // its address is where it listens
  int events = 5;           // of a stream
  http::milliseconds between{2};
  std::size_t padding_bytes = 0;  // added to the data of each event
};

class Backend {
 public:
  Backend(http::asio::io_context& io, BackendOptions options);

  std::error_code Listen();
  void Close();
  // For the next requests, one each, in this order.
  void Expect(std::vector<Fault> faults);
  // The next request gets a stream with that garbage in it.
  void ExpectGarbage(const Garbage& garbage);
  // What was expected and has not come yet will not come.
  void ExpectNoFaults();
  std::vector<Arrival> arrivals() const;
  // How often it ran that request.
  int Runs(const std::string& request_id) const;
  std::size_t open_connections() const;
  wire::Instance instance() const;
  std::vector<std::string> orders() const;

 private:
  using Request = http::bhttp::request<http::bhttp::string_body>;

  http::Awaitable<void> Accept();
  http::Awaitable<void> Serve(http::Tcp::socket socket);
  // False: the connection ends.
  http::Awaitable<bool> Answer(http::beast::tcp_stream& stream, const Request& request);
  http::Awaitable<bool> Stream(http::beast::tcp_stream& stream, const Request& request, Fault fault);
  http::Awaitable<bool> StreamWithGarbage(http::beast::tcp_stream& stream, const Request& request,
                                          Garbage garbage);
  http::Awaitable<bool> Write(http::beast::tcp_stream& stream, std::string text);
  std::string Head(const std::string& status, const std::string& request_id, bool stamped,
                   bool bad_load = false) const;
  std::optional<std::string> SpoiledAnswer(const std::string& id, Fault fault) const;
  Fault Next();
  Garbage NextGarbage();
  std::string Report() const;
  bool TakeIfNext(Fault fault);
  http::Awaitable<bool> RefuseEarly(http::beast::tcp_stream& stream, const Request& head);
  http::Awaitable<bool> AnswerUnframed(http::beast::tcp_stream& stream, const std::string& id, bool reset);
  bool TakeHandle(const std::string& kv_from);
  void Record(const Request& request, bool ran, Fault fault = Fault::kNone);
  void RecordEnd(const std::string& request_id);

  http::asio::io_context& io_;
  BackendOptions options_;
  http::Tcp::acceptor acceptor_;
  mutable std::mutex mutex_;
  std::deque<Fault> faults_;
  std::deque<Garbage> garbage_;  // one for each Fault::kGarbage
  std::vector<Arrival> arrivals_;
  std::vector<std::string> orders_;
  std::size_t connections_ = 0;
};

// Handles of all backends of a process: whoever is given one takes it here.
class HandleTable {
 public:
  static HandleTable& Instance();
  std::string Add(const std::string& address);
  bool Take(const std::string& address_and_handle);
  std::size_t size() const;

 private:
  mutable std::mutex mutex_;
  std::set<std::string> handles_;
  int next_ = 1;
};

// Faults for single requests: the first backend of this process that runs such a request takes it.
class FaultTable {
 public:
  struct Entry {
    Fault fault = Fault::kNone;
    Garbage garbage;  // with Fault::kGarbage
  };
  static FaultTable& Instance();
  void Add(const std::string& request_id, const Entry& entry);
  std::optional<Entry> Take(const std::string& request_id);

 private:
  std::mutex mutex_;
  std::map<std::string, Entry> by_request_;
};

}  // namespace kestrelline::fleet_standin

#endif  // KESTRELLINE_FLEET_STANDIN_BACKEND_H_
