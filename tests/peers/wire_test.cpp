// SPDX-License-Identifier: Apache-2.0
//
// Bytes of the peers: forms old and new, bounds, seals, replays; whatever is wrong is dropped, and crashes
// nothing.
#include "peers/wire.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <random>

#include "peers/seal.h"
#include "support/temporary.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace kestrelline::peers {
namespace {

constexpr const char* kFirst = "1 00112233445566778899aabbccddeeff";
constexpr const char* kSecond = "2 ffeeddccbbaa99887766554433221100";

Keys KeysOf(const std::string& text) {
  std::string why;
  const auto keys = ParseKeys(text, &why);
  EXPECT_TRUE(keys) << why;
  return keys.value_or(Keys{});
}

std::string HexOf(const wire::Bytes& bytes) {
  std::string text;
  char digits[3];
  for (const std::uint8_t b : bytes) text += (std::snprintf(digits, sizeof digits, "%02x", b), digits);
  return text;
}

Message Drawn(std::mt19937_64& draw) {
  const auto text = [&](std::size_t most) { return std::string(draw() % (most + 1), 'a' + draw() % 26); };
  const auto member = [&](bool full) {
    Member m{"n" + text(kMaxNameBytes - 1),
             draw() | 1,
             draw() >> 1,
             static_cast<State>(draw() % kStates),
             {},
             "",
             "",
             1};
    if (full) {
      m.address = {static_cast<std::uint32_t>(draw()), static_cast<std::uint16_t>(draw() | 1)};
      m.zone = text(kMaxZoneBytes), m.version = text(kMaxVersionBytes), m.wire = 2;
    }
    return m;
  };
  Message m;
  m.kind = static_cast<Message::Kind>(1 + draw() % 7);
  m.from = member(true);
  m.view = draw(), m.number = draw(), m.target = text(kMaxNameBytes), m.target_boot = draw();
  m.target_address = {static_cast<std::uint32_t>(draw()), static_cast<std::uint16_t>(draw())};
  if (draw() % 2) {
    m.digest.resize(kBuckets);
    for (auto& bucket : m.digest) bucket = static_cast<std::uint32_t>(draw());
  }
  for (auto& word : m.whole) word = draw();
  m.reply = draw() % 2;
  while (true) {
    const Statement s{member(draw() % 2), static_cast<std::uint32_t>(draw())};
    if (wire::MaxBytes(m) + wire::MaxBytes(s) > wire::kMaxBodyBytes) return m;
    m.statements.push_back(s);
  }
}

TEST(PeersWire, WhatIsWrittenIsReadAndNoLongerThanForetold) {
  std::mt19937_64 draw(7);
  for (int i = 0; i < 300; ++i) {
    Message m = Drawn(draw);
    const auto bytes = wire::Encode(m, 2);
    EXPECT_LE(bytes.size(), wire::MaxBytes(m));
    EXPECT_EQ(wire::Decode(bytes, 2), m);
    const auto old = wire::Decode(wire::Encode(m, 1), 1);  // the first form has no view
    m.view = 0;
    EXPECT_EQ(old, m);
  }
}

// What the fuzzer has found worth keeping: each of it breaks no promise of datagram_fuzz.cpp, which ends the
// program where one is broken.
TEST(PeersWire, TheCorpusOfTheFuzzerBreaksNoPromise) {
  int files = 0;
  for (const auto& file : std::filesystem::directory_iterator(SOURCE_PATH "/tests/peers/corpus")) {
    std::ifstream in(file.path(), std::ios::binary);
    const std::string bytes((std::istreambuf_iterator<char>(in)), {});
    SCOPED_TRACE(file.path());
    EXPECT_EQ(LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()), 0);
    ++files;
  }
  EXPECT_GT(files, 20);
}

TEST(PeersWire, WhatANewerOneAddsIsLeftAlone) {
  std::mt19937_64 draw(8);
  const Message m = Drawn(draw);
  EXPECT_EQ(wire::Decode(wire::Encode(m, 2), 1).has_value(), true);  // one element more than it knows
  EXPECT_FALSE(wire::Decode(wire::Encode(m, 1), 2));                 // one fewer
  EXPECT_FALSE(wire::Decode(wire::Encode(m, 2), 3));
}

TEST(PeersWire, RandomAndCutAndChangedBytesAreNoMessageOrOneWithinBounds) {
  std::mt19937_64 draw(9);
  int read = 0;
  for (int i = 0; i < 20000; ++i) {
    auto bytes = wire::Encode(Drawn(draw), 2);
    switch (draw() % 3) {
      case 0:
        bytes.resize(draw() % bytes.size());
        break;
      case 1:
        for (auto& b : bytes) b = static_cast<std::uint8_t>(draw());
        break;
      default:
        for (int n = 0; n < 3; ++n) bytes[draw() % bytes.size()] = static_cast<std::uint8_t>(draw());
    }
    const auto m = wire::Decode(bytes, 2);
    if (!m) continue;
    ++read;
    EXPECT_TRUE(m->digest.empty() || m->digest.size() == kBuckets);
    EXPECT_LE(m->from.name.size(), kMaxNameBytes);
    EXPECT_NE(m->from.address.port, 0);
    for (const Statement& s : m->statements) EXPECT_LT(static_cast<std::size_t>(s.member.state), kStates);
  }
  EXPECT_GT(read, 0);  // changed numbers are messages too: it is the seal that keeps them out
}

TEST(Authenticator, OpensWhatItsKeysSealedAndNothingElse) {
  std::mt19937_64 draw(10);
  Message m = Drawn(draw), read;
  m.from.boot = 77;
  Authenticator sender(KeysOf(kFirst), 77), same(KeysOf(kFirst), 1),
      other(KeysOf(std::string("1 0011223344556677") + "8899aabbccddeefe"), 2);
  auto bytes = sender.Seal(m, 2);
  EXPECT_EQ(other.Open(bytes, &read), DropReason::kSeal);
  EXPECT_EQ(Authenticator(KeysOf(kSecond), 3).Open(bytes, &read), DropReason::kKey);
  EXPECT_EQ(same.Open(bytes, &read), DropReason::kNone);
  EXPECT_EQ(read, m);
  EXPECT_EQ(same.Open(bytes, &read), DropReason::kReplay);
  bytes = sender.Seal(m, 2);
  for (std::size_t i = 0; i < bytes.size(); ++i) {  // each byte counts
    auto changed = bytes;
    changed[i] ^= 1;
    EXPECT_NE(same.Open(changed, &read), DropReason::kNone) << i;
  }
  EXPECT_EQ(same.Open(std::span(bytes).first(bytes.size() - 1), &read), DropReason::kSeal);
  EXPECT_EQ(same.Open(std::span(bytes).first(36), &read), DropReason::kSize);
  EXPECT_EQ(same.Open(wire::Bytes(1201), &read), DropReason::kSize);
  EXPECT_EQ(same.Open(bytes, &read), DropReason::kNone);  // none of those counted as having come
  // Whoever holds the key still speaks for its own boot alone.
  m.from.boot = 78;
  EXPECT_EQ(same.Open(sender.Seal(m, 2), &read), DropReason::kBody);
}

// Every byte, worked out by other means from RFC 8949 and RFC 2104.
TEST(Authenticator, TheSealIsHmacSha256) {
  Message m;
  m.from = {"n0", 5, 0, State::kAlive, {0x7f000001, 7000}, "a", "1", 2};
  m.from.boot = 5;
  const auto bytes = Authenticator(KeysOf(kFirst), 5).Seal(m, 1);
  EXPECT_EQ(HexOf(bytes),
            "6b700101000000000000000500000000000000018b0189626e30050000001b00007f0000011b5861"
            "6161310200600000800000008004a37337edc060c4bb7a1449bb7e691b");
}

TEST(Authenticator, AKeyIsChangedOneByOneWithoutASilentMoment) {
  std::mt19937_64 draw(11);
  Message m = Drawn(draw), read;
  m.from.boot = 5;
  const std::string first = kFirst, second = kSecond;
  // Added at each, then first at each, then alone at each: two neighbours in the change always understand.
  const std::vector<std::string> steps{first, first + "\n" + second, second + "\n" + first, second};
  for (std::size_t s = 0; s + 1 < steps.size(); ++s) {
    Authenticator behind(KeysOf(steps[s]), 5), ahead(KeysOf(steps[s + 1]), 5);
    EXPECT_EQ(ahead.Open(behind.Seal(m, 2), &read), DropReason::kNone) << s;
    EXPECT_EQ(behind.Open(ahead.Seal(m, 2), &read), DropReason::kNone) << s;
  }
}

TEST(Authenticator, NumbersComeOnceInWhateverOrderWithinTheWindow) {
  ReplayWindow window;
  EXPECT_FALSE(window.Take(0));
  std::vector<std::uint64_t> numbers;
  for (std::uint64_t n = 1; n <= 200; ++n) numbers.push_back(n);
  std::shuffle(numbers.begin(), numbers.end(), std::mt19937_64(3));
  for (const auto n : numbers) EXPECT_TRUE(window.Take(n));
  for (const auto n : numbers) EXPECT_FALSE(window.Take(n));
  EXPECT_TRUE(window.Take(100000));
  EXPECT_FALSE(window.Take(100000 - ReplayWindow::kWindowSize));
  EXPECT_TRUE(window.Take(100000 - ReplayWindow::kWindowSize + 1));
  EXPECT_FALSE(window.Take(200));
}

TEST(Keys, WhatIsWrongIsSaid) {
  struct Case {
    const char* text;
    const char* why;
  };
  for (const auto& [text, why] : {
           Case{"", "there is no key in it"},
           Case{"# none\n\n", "there is no key in it"},
           Case{"1\n", "line 1: a key is 'ID HEX', its id 0 to 255"},
           Case{"256 00112233445566778899aabbccddeeff", "line 1: a key is 'ID HEX', its id 0 to 255"},
           Case{"\n1 0011", "line 2: a secret is 32 to 128 hexadecimal digits"},
           Case{"1 00112233445566778899aabbccddeefg", "line 1: a secret is 32 to 128 hexadecimal digits"},
           Case{"1 00112233445566778899aabbccddeeff\n1 00112233445566778899aabbccddeeff",
                "line 2: key 1 is there twice"},
           Case{"1 00112233445566778899aabbccddeeff\n2 00112233445566778899aabbccddeeff\n3 "
                "00112233445566778899aabbccddeeff",
                "line 3: more than two keys"},
       }) {
    std::string said;
    EXPECT_FALSE(ParseKeys(text, &said));
    EXPECT_EQ(said, why);
  }
  const kestrelline::testing::TemporaryFolder folder;
  folder.Write("key", kFirst);
  std::string why;
  ::chmod((folder / "key").c_str(), 0640);
  EXPECT_FALSE(ReadKeys(folder / "key", &why));
  EXPECT_EQ(why, "others than its owner may use it; chmod 600 is accepted");
  ::chmod((folder / "key").c_str(), 0600);
  EXPECT_EQ(ReadKeys(folder / "key", &why)->size(), 1u);
  EXPECT_FALSE(ReadKeys(folder / "none", &why));
  EXPECT_FALSE(ReadKeys(folder.path(), &why));
}

}  // namespace
}  // namespace kestrelline::peers
