// SPDX-License-Identifier: Apache-2.0
//
// Per-request accounting against the retry budget. Every attempt that reaches a backend counts, except the
// first prefill that a backend accepted. All counted attempts after the first must acquire retry budget
// before they are sent. No I/O.
#ifndef KESTRELLINE_DATA_PLANE_RETRY_ACCOUNT_H_
#define KESTRELLINE_DATA_PLANE_RETRY_ACCOUNT_H_

namespace kestrelline::data_plane {

class RetryAccount {
 public:
  // Whether the next attempt, if it counts, must acquire retry budget first.
  bool NeedsBudget() const { return counted_ > budgeted_; }
  void RecordBudget() { ++budgeted_; }
  // An attempt to execute the request. Not called if no byte was sent.
  void RecordExecution() { ++counted_; }
  // A prefill-only attempt. It counts if the backend may not have accepted it.
  void RecordPrefill(bool accepted) {
    if (accepted && !prefill_accepted_) {
      prefill_accepted_ = true;
    } else {
      ++counted_;
    }
  }
  // Whether no attempt has reached any backend.
  bool empty() const { return counted_ == 0 && !prefill_accepted_; }

 private:
  int counted_ = 0;
  int budgeted_ = 0;
  bool prefill_accepted_ = false;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_RETRY_ACCOUNT_H_
