// SPDX-License-Identifier: Apache-2.0
//
// One sending of a request to one backend, up to the head of its answer.
#ifndef KESTRELLINE_DATA_PLANE_ATTEMPT_H_
#define KESTRELLINE_DATA_PLANE_ATTEMPT_H_

#include <memory>
#include <string>

#include "data_plane/client_connection.h"
#include "data_plane/edge_state.h"

namespace kestrelline::data_plane {

enum class AttemptEnd {
  kAnswered,     // the head of an answer is there; it has run, or is running
  kNotExecuted,  // the backend says that it has not run and will not
  kNotSent,      // no byte reached the backend
  kBroken,       // may have run: the connection broke, or what came is no answer
  kTimedOut,     // may have run: nothing came in time
};

// Why a backend did not run a request, as far as its answer tells.
enum class AttemptRefusal { kNone, kBusy, kOther };

class Attempt {
 public:
  Attempt(EdgeState& state, BackendPtr backend);
  ~Attempt();
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  // `head` is the request's, complete. Counts towards the backend's health.
  Awaitable<AttemptEnd> Run(const std::string& head, const std::string& body, const std::string& request_id,
                            steady_clock::time_point until);
  // The next bytes of the body, empty at its end. An error means that the answer is not whole.
  Awaitable<error_code> ReadPiece(std::string& piece, steady_clock::time_point until);
  // The whole of a body up to `limit` bytes.
  Awaitable<error_code> ReadBody(std::string& body, std::size_t limit, steady_clock::time_point until);
  // After the whole answer: keeps the connection for others where that is possible.
  void Finish();
  void Abort();
  void RecordFailure();
  void RecordSuccess();

  Backend& backend() { return *backend_; }
  const BackendPtr& backend_ptr() const { return backend_; }
  const http::bhttp::response<http::bhttp::buffer_body>& head() const { return connection_->head(); }
  // After kNotExecuted.
  AttemptRefusal Refused() const { return refused_; }
  bool has_stamp() const { return head().count("Server-Stamp") > 0; }

 private:
  AttemptEnd Classify();
  void NoteLoad();
  void NoteRefusal(unsigned status);
  void Land();

  EdgeState& state_;
  BackendPtr backend_;
  BackendConnectionPtr connection_;
  bool in_flight_ = false;
  bool aborted_ = false;
  AttemptRefusal refused_ = AttemptRefusal::kNone;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_ATTEMPT_H_
