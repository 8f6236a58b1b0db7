// SPDX-License-Identifier: Apache-2.0
//
// Datagrams between proxies: both formats, limits, seals and replays. Whatever is malformed is dropped
// without a crash.
#include "peers/wire.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <random>

#include "peers/authenticator.h"
#include "support/temporary.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace kestrelline::peers {
namespace {

constexpr const char* kFirstKey = "1 00112233445566778899aabbccddeeff";
constexpr const char* kSecondKey = "2 ffeeddccbbaa99887766554433221100";

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

Message RandomMessage(std::mt19937_64& random) {
  const auto text = [&](std::size_t max) { return std::string(random() % (max + 1), 'a' + random() % 26); };
  const auto member = [&](bool full) {
    Member m{"n" + text(kMaxNameBytes - 1),
             random() | 1,
             random() >> 1,
             static_cast<State>(random() % kStates),
             {},
             "",
             "",
             1};
    if (full) {
      m.address = {static_cast<std::uint32_t>(random()), static_cast<std::uint16_t>(random() | 1)};
      m.zone = text(kMaxZoneBytes), m.version = text(kMaxVersionBytes), m.wire = 2;
    }
    return m;
  };
  Message m;
  m.kind = static_cast<Message::Kind>(1 + random() % 7);
  m.from = member(true);
  m.view = random(), m.number = random(), m.target = text(kMaxNameBytes), m.target_boot = random();
  m.target_address = {static_cast<std::uint32_t>(random()), static_cast<std::uint16_t>(random())};
  if (random() % 2) {
    m.digest.resize(kBuckets);
    for (auto& bucket : m.digest) bucket = static_cast<std::uint32_t>(random());
  }
  for (auto& word : m.whole) word = random();
  m.reply = random() % 2;
  while (true) {
    const Statement s{member(random() % 2), static_cast<std::uint32_t>(random())};
    if (wire::MaxBytes(m) + wire::MaxBytes(s) > wire::kMaxBodyBytes) return m;
    m.statements.push_back(s);
  }
}

TEST(PeersWire, RoundTripsWithinMaxBytes) {
  std::mt19937_64 random(7);
  for (int i = 0; i < 300; ++i) {
    Message m = RandomMessage(random);
    const auto bytes = wire::Encode(m, 2);
    EXPECT_LE(bytes.size(), wire::MaxBytes(m));
    EXPECT_EQ(wire::Decode(bytes, 2), m);
    const auto old = wire::Decode(wire::Encode(m, 1), 1);  // format 1 has no view hash
    m.view = 0;
    EXPECT_EQ(old, m);
  }
}

// Replays the fuzzer's corpus through datagram_fuzz.cpp, which aborts if an invariant is broken.
TEST(PeersWire, FuzzerCorpusKeepsTheInvariants) {
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

TEST(PeersWire, IgnoresTrailingElements) {
  std::mt19937_64 random(8);
  const Message m = RandomMessage(random);
  EXPECT_EQ(wire::Decode(wire::Encode(m, 2), 1).has_value(), true);  // one element more than format 1 has
  EXPECT_FALSE(wire::Decode(wire::Encode(m, 1), 2));                 // one element fewer
  EXPECT_FALSE(wire::Decode(wire::Encode(m, 2), 3));
}

TEST(PeersWire, DamagedBytesAreRejectedOrWithinLimits) {
  std::mt19937_64 random(9);
  int read = 0;
  for (int i = 0; i < 20000; ++i) {
    auto bytes = wire::Encode(RandomMessage(random), 2);
    switch (random() % 3) {
      case 0:
        bytes.resize(random() % bytes.size());
        break;
      case 1:
        for (auto& b : bytes) b = static_cast<std::uint8_t>(random());
        break;
      default:
        for (int n = 0; n < 3; ++n) bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    }
    const auto m = wire::Decode(bytes, 2);
    if (!m) continue;
    ++read;
    EXPECT_TRUE(m->digest.empty() || m->digest.size() == kBuckets);
    EXPECT_LE(m->from.name.size(), kMaxNameBytes);
    EXPECT_NE(m->from.address.port, 0);
    for (const Statement& s : m->statements) EXPECT_LT(static_cast<std::size_t>(s.member.state), kStates);
  }
  EXPECT_GT(read, 0);  // a changed number still makes a valid message: only the seal detects it
}

TEST(Authenticator, OpensOnlyWhatItsKeysSealed) {
  std::mt19937_64 random(10);
  Message m = RandomMessage(random), read;
  m.from.boot = 77;
  Authenticator sender(KeysOf(kFirstKey), 77), same(KeysOf(kFirstKey), 1),
      other(KeysOf(std::string("1 0011223344556677") + "8899aabbccddeefe"), 2);
  auto bytes = sender.Seal(m, 2);
  EXPECT_EQ(other.Open(bytes, &read), DropReason::kSeal);
  EXPECT_EQ(Authenticator(KeysOf(kSecondKey), 3).Open(bytes, &read), DropReason::kKey);
  EXPECT_EQ(same.Open(bytes, &read), DropReason::kNone);
  EXPECT_EQ(read, m);
  EXPECT_EQ(same.Open(bytes, &read), DropReason::kReplay);
  bytes = sender.Seal(m, 2);
  for (std::size_t i = 0; i < bytes.size(); ++i) {  // every byte is covered by the seal
    auto changed = bytes;
    changed[i] ^= 1;
    EXPECT_NE(same.Open(changed, &read), DropReason::kNone) << i;
  }
  EXPECT_EQ(same.Open(std::span(bytes).first(bytes.size() - 1), &read), DropReason::kSeal);
  EXPECT_EQ(same.Open(std::span(bytes).first(36), &read), DropReason::kSize);
  EXPECT_EQ(same.Open(wire::Bytes(1201), &read), DropReason::kSize);
  EXPECT_EQ(same.Open(bytes, &read), DropReason::kNone);  // none of the rejected copies used up the number
  // A key holder can send only under its own boot.
  m.from.boot = 78;
  EXPECT_EQ(same.Open(sender.Seal(m, 2), &read), DropReason::kBody);
}

// The expected bytes were computed independently of this code, from RFC 8949 and RFC 2104.
TEST(Authenticator, TheSealIsHmacSha256) {
  Message m;
  m.from = {"n0", 5, 0, State::kAlive, {0x7f000001, 7000}, "a", "1", 2};
  m.from.boot = 5;
  const auto bytes = Authenticator(KeysOf(kFirstKey), 5).Seal(m, 1);
  EXPECT_EQ(HexOf(bytes),
            "6b700101000000000000000500000000000000018b0189626e30050000001b00007f0000011b5861"
            "6161310200600000800000008004a37337edc060c4bb7a1449bb7e691b");
}

TEST(Authenticator, KeysRotateWithoutLosingDatagrams) {
  std::mt19937_64 random(11);
  Message m = RandomMessage(random), read;
  m.from.boot = 5;
  const std::string first = kFirstKey, second = kSecondKey;
  // Each proxy adds the new key, then puts it first, then drops the old one. Proxies one step apart
  // understand each other.
  const std::vector<std::string> steps{first, first + "\n" + second, second + "\n" + first, second};
  for (std::size_t s = 0; s + 1 < steps.size(); ++s) {
    Authenticator behind(KeysOf(steps[s]), 5), ahead(KeysOf(steps[s + 1]), 5);
    EXPECT_EQ(ahead.Open(behind.Seal(m, 2), &read), DropReason::kNone) << s;
    EXPECT_EQ(behind.Open(ahead.Seal(m, 2), &read), DropReason::kNone) << s;
  }
}

TEST(Authenticator, AcceptsEachNumberOnceWithinTheWindow) {
  ReplayWindow window;
  EXPECT_FALSE(window.Accept(0));
  std::vector<std::uint64_t> numbers;
  for (std::uint64_t n = 1; n <= 200; ++n) numbers.push_back(n);
  std::shuffle(numbers.begin(), numbers.end(), std::mt19937_64(3));
  for (const auto n : numbers) EXPECT_TRUE(window.Accept(n));
  for (const auto n : numbers) EXPECT_FALSE(window.Accept(n));
  EXPECT_TRUE(window.Accept(100000));
  EXPECT_FALSE(window.Accept(100000 - ReplayWindow::kWindowSize));
  EXPECT_TRUE(window.Accept(100000 - ReplayWindow::kWindowSize + 1));
  EXPECT_FALSE(window.Accept(200));
}

TEST(Keys, ReportsErrors) {
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
    std::string error;
    EXPECT_FALSE(ParseKeys(text, &error));
    EXPECT_EQ(error, why);
  }
  const kestrelline::testing::TemporaryFolder folder;
  folder.Write("key", kFirstKey);
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
