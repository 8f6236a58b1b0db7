// SPDX-License-Identifier: Apache-2.0
//
// What one request owes the retry budget. Every arrival at a backend counts but the first reading of its
// prompt that a backend took up; those beyond the first that counts are paid for, before they are sent. No
// I/O.
#ifndef KESTRELLINE_DATA_PLANE_ARRIVAL_ACCOUNT_H_
#define KESTRELLINE_DATA_PLANE_ARRIVAL_ACCOUNT_H_

namespace kestrelline::data_plane {

class ArrivalAccount {
 public:
  // Whether one more arrival, if it counts, would be one that is not paid for.
  bool NeedsPayment() const { return counted_ > paid_; }
  void NotePayment() { ++paid_; }
  // An arrival that was to run; not one of which no byte was sent.
  void NoteRun() { ++counted_; }
  // An arrival that was only to read the prompt. One that may not have been taken up counts.
  void NoteReading(bool taken) {
    if (taken && !reading_taken_) {
      reading_taken_ = true;
    } else {
      ++counted_;
    }
  }
  // Whether nothing has arrived anywhere.
  bool empty() const { return counted_ == 0 && !reading_taken_; }

 private:
  int counted_ = 0;
  int paid_ = 0;
  bool reading_taken_ = false;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_ARRIVAL_ACCOUNT_H_
