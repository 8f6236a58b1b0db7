// SPDX-License-Identifier: Apache-2.0
//
// What clients and the stand-in fleet saw of a run, written down as it happened, so that the ledger can judge
// it afterwards from the files of several processes.
//
// The form is text. First line: "KLEVENTS 1 " and a JSON object, which in the fleet's file holds the figures
// of the rules. Then one event a line, in the order of their times: its letter, the time, request, proxy,
// subject, number, span, work, cold (see Event; "-" for an empty text). The last line is ".": a file without
// it was cut short, and says so when it is read.
//
// Times are microseconds of the machine's steady clock, which all its processes share.
#ifndef KESTRELLINE_LOAD_EVENTS_H_
#define KESTRELLINE_LOAD_EVENTS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <istream>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "load/ledger.h"

namespace kestrelline::load {

struct Event {
  enum class Kind : char {
    // Of clients. Subject: the class; span: how long the client waits.
    kSent = 'S',
    kAnswered = 'A',  // subject: the Req-Id that the body was made for; number: Answer
    kGaveUp = 'G',
    kEnded = 'E',    // the connection, without a whole answer
    kCrossed = 'C',  // the same, of a kept connection before any of the answer: it may not have been read
    // Of converters. Subject: the converter, in all of them.
    kStarted = 'U',   // number: cell; span: warm-up; work: seconds a second; cold: share at the start
    kKeyed = 'Y',     // before it began; proxy: the request's key
    kBegan = 'B',     // span: from the first byte to the last; work: seconds
    kFinished = 'F',  // number: 1 if it may have run
    // Of what proxies know, and what was done to them.
    kTold = 'T',    // subject: the converter; number: Listed
    kKilled = 'K',  // it is dead by now
    kPaused = 'P',  // stopped by the machine, as are all its times
    kResumed = 'R',
  };
  Kind kind = Kind::kSent;
  Microseconds at{0};
  std::string request, proxy, subject;
  int number = 0;
  Microseconds span{0};
  double work = 0, cold = 0;

  bool operator==(const Event&) const = default;
};

// How the body of a stand-in converter's answer begins; the Req-Id and a newline follow.
inline constexpr std::string_view kMadeFor = "made for ";

using OnEvent = std::function<void(const Event&)>;

// The clock of events.
inline Microseconds EventTime(std::chrono::steady_clock::time_point at) {
  return std::chrono::duration_cast<Microseconds>(at.time_since_epoch());
}

// Hands one event on to the ledger.
void Tell(Ledger& ledger, const RuleFigures& figures, const Event& event);

// what() names the line.
class BadEvents : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class EventWriter {
 public:
  // `figures`: of the rules, in the file of whoever knows them.
  explicit EventWriter(std::ostream& out, const RuleFigures* figures = nullptr);
  ~EventWriter() { Close(); }
  EventWriter(const EventWriter&) = delete;
  EventWriter& operator=(const EventWriter&) = delete;

  // Texts from outside are cut at 64 bytes, and what is not printable is replaced.
  void Add(const Event& event);
  void Close();

 private:
  std::ostream& out_;
  bool closed_ = false;
};

// Reads line by line: memory does not grow with the file.
class EventReader {
 public:
  // `name`: of the file, for messages.
  EventReader(std::istream& in, std::string name);

  const std::optional<RuleFigures>& figures() const { return figures_; }
  // Nothing after the last. Throws BadEvents.
  std::optional<Event> Next();
  // False if the file was cut short; known once Next has returned nothing.
  bool whole() const { return whole_; }

 private:
  [[noreturn]] void Bad(const std::string& what) const;

  std::istream& in_;
  std::string name_;
  std::uint64_t line_ = 0;
  std::optional<RuleFigures> figures_;
  Microseconds last_{0};
  bool whole_ = false, over_ = false;
};

// Merges the files by time and judges them. Throws BadEvents; also if none of them, or more than one, holds
// the figures of the rules. Files that were cut short are judged up to there, and the verdict is not
// complete.
Ledger::Verdict Judge(const std::vector<EventReader*>& files);

// {"complete", "clean", "requests", ..., "rules": [{"rule", "broken"}], "violations": [{"rule", "at_us",
// "subject", "text", "history"}]}
nlohmann::json ToJson(const Ledger::Verdict& verdict);

// The verdict in words: one line a rule, then every violation with its history.
std::string Shown(const Ledger::Verdict& verdict);

}  // namespace kestrelline::load

#endif  // KESTRELLINE_LOAD_EVENTS_H_
