// SPDX-License-Identifier: Apache-2.0
//
// Round trips of all messages of the internal protocol, compression, and rejection of damaged input.
#include "wire/codec.h"

#include <gtest/gtest.h>

#include <random>

#include "wire/compression.h"

namespace kestrelline::wire {
namespace {

// Encodes and decodes.
Message RoundTrip(const Body& body) {
  const std::string frame = EncodeFrame({"10.0.0.1", body});
  const auto length = DecodeLength(frame);
  EXPECT_EQ(length, frame.size() - kLengthBytes);
  const auto message = DecodeEnvelope(std::string_view(frame).substr(kLengthBytes));
  EXPECT_TRUE(message);
  EXPECT_EQ(message->sender, "10.0.0.1");
  return *message;
}
template <typename T>
T RoundTripAs(const T& body) {
  const Message message = RoundTrip(body);
  EXPECT_TRUE(std::holds_alternative<T>(message.body));
  return std::get<T>(message.body);
}

Record SampleRecord() {
  Record record;
  record.position = {7, 12};
  record.members = {"10.0.0.1", "10.0.0.2"};
  record.next_members = {"10.0.0.3"};
  record.version = 5;
  record.configuration = std::string(100000, 'c');
  record.history = {{1, {2, 3}}, {4, {5, 6}}};
  return record;
}
void ExpectSample(const Record& record) {
  const Record sample = SampleRecord();
  EXPECT_EQ(record.position, sample.position);
  EXPECT_EQ(record.members, sample.members);
  EXPECT_EQ(record.next_members, sample.next_members);
  EXPECT_EQ(record.version, sample.version);
  EXPECT_EQ(record.configuration, sample.configuration);
  EXPECT_EQ(record.history, sample.history);
}

TEST(Codec, EveryMessageRoundTrips) {
  const auto record = std::make_shared<const Record>(SampleRecord());
  EXPECT_TRUE(RoundTripAs(Hello{true, 3}).counts_for_quorum);
  const auto request = RoundTripAs(VoteRequest{4, true, {1, 2}, true});
  EXPECT_EQ(request.epoch, 4u);
  EXPECT_TRUE(request.pre_vote && request.nobody_leads);
  EXPECT_EQ(request.held, (Position{1, 2}));
  const auto vote = RoundTripAs(VoteReply{4, true, true, 9, record, true, true});
  ASSERT_TRUE(vote.record);
  ExpectSample(*vote.record);
  EXPECT_TRUE(vote.granted && vote.restarted_lately && vote.leading);
  const auto heartbeat = RoundTripAs(Heartbeat{4, 5, {1, 2}, {3, 4}, 6, true, true, 11, true});
  EXPECT_EQ(heartbeat.committed, (Position{3, 4}));
  EXPECT_TRUE(heartbeat.leased && heartbeat.resigning && heartbeat.successor_waits);
  EXPECT_EQ(heartbeat.echo, 11u);
  const auto reply = RoundTripAs(HeartbeatReply{4, 5, 6, {7, 8}, 9, 12, 13, {14, 15}, true});
  EXPECT_EQ(reply.stored, (Position{7, 8}));
  EXPECT_EQ(reply.proxies, 9u);
  EXPECT_EQ(reply.probe, 12u);
  EXPECT_EQ(reply.disk, 13u);
  EXPECT_EQ(reply.writing, (Position{14, 15}));
  EXPECT_TRUE(reply.leaving);
  ExpectSample(*RoundTripAs(Append{4, record}).record);
  EXPECT_EQ(RoundTripAs(LearnRequest{8, true}).nonce, 8u);
  EXPECT_TRUE(RoundTripAs(LearnRequest{8, true}).founding);
  const auto learned = RoundTripAs(LearnReply{8, 9, true, record});
  ExpectSample(*learned.record);
  EXPECT_EQ(RoundTripAs(Subscribe{1, 2, "zone", 16}).zone, "zone");
  EXPECT_EQ(RoundTripAs(Subscribe{1, 2, "zone", 16}).probe, 16u);
  EXPECT_EQ(RoundTripAs(Probe{17}).value, 17u);
  EXPECT_EQ(RoundTripAs(Echo{18}).value, 18u);
}

TEST(Codec, PublicationsRoundTrip) {
  InstanceList list;
  list.revision = 3;
  list.instances = {{"i-1", "s", "10.0.0.9:80", "z", 8, true, true, false, 5, {"m", "n"}}, {}};
  list.instances[1].id = "i-2";
  Publication publication;
  publication.certain = true;
  publication.age_ms = 4;
  publication.version = 5;
  publication.configuration = "text";
  publication.instances = std::make_shared<const InstanceList>(list);
  publication.control_peers = {"10.0.0.1", "10.0.0.2"};
  publication.instances_revision = 6;
  publication.instances_age_ms = 7;
  publication.hops = 8;
  publication.configuration_base = 3;
  publication.configuration_patches = {"first", "second"};
  const auto decoded = RoundTripAs(publication);
  EXPECT_EQ(decoded.configuration_base, 3u);
  EXPECT_EQ(decoded.configuration_patches, publication.configuration_patches);
  ASSERT_TRUE(decoded.instances);
  EXPECT_EQ(decoded.instances->instances, list.instances);
  EXPECT_EQ(decoded.control_peers, publication.control_peers);
  EXPECT_EQ(decoded.configuration, "text");
  EXPECT_EQ(decoded.instances_revision, 6u);
  EXPECT_EQ(decoded.hops, 8u);
  EXPECT_EQ(RoundTripAs(list).instances, list.instances);
}

TEST(Codec, LoadsAndDemandsRoundTrip) {
  const LoadReport report{{{1, 2, 3}, {4, 5, 6}}, {{"s", 7, 8}}, 9};
  const auto decoded = RoundTripAs(report);
  EXPECT_EQ(decoded.loads, report.loads);
  EXPECT_EQ(decoded.demands, report.demands);
  EXPECT_EQ(decoded.proxies, 9u);
  const auto changes = RoundTripAs(LoadChanges{{{9, 8, 7}, {10, 0, 0}}, {{"s", 5, 6}}, 4});
  EXPECT_EQ(changes.loads, (std::vector<BackendLoad>{{9, 8, 7}, {10, 0, 0}}));
  EXPECT_EQ(changes.demands, (std::vector<Demand>{{"s", 5, 6}}));
  EXPECT_EQ(changes.proxies, 4u);
  EXPECT_EQ(RoundTripAs(ListAge{1ull << 40, 250}).revision, 1ull << 40);
  EXPECT_EQ(RoundTripAs(ListAge{3, 250}).age_ms, 250u);
  EXPECT_EQ(RoundTripAs(ListRequest{77}).held_revision, 77u);
  Instance changed;
  changed.id = "i-1";
  const auto list_changes = RoundTripAs(ListChanges{7, 8, {changed}, {"i-2", "i-3"}});
  EXPECT_EQ(list_changes.base, 7u);
  EXPECT_EQ(list_changes.revision, 8u);
  EXPECT_EQ(list_changes.changed, (std::vector<Instance>{changed}));
  EXPECT_EQ(list_changes.removed, (std::vector<std::string>{"i-2", "i-3"}));
  const auto referral = RoundTripAs(Referral{{"10.0.0.7:7"}, {"10.0.0.8", "10.0.0.9"}, "10.0.0.9"});
  EXPECT_EQ(referral.proxies, (std::vector<std::string>{"10.0.0.7:7"}));
  EXPECT_EQ(referral.members, (std::vector<std::string>{"10.0.0.8", "10.0.0.9"}));
  EXPECT_EQ(referral.leader, "10.0.0.9");
  EXPECT_EQ(RoundTripAs(LoadSummary{report.loads, true}).loads, report.loads);
  EXPECT_TRUE(RoundTripAs(LoadSummary{report.loads, true}).whole);
}

TEST(Codec, StoredRecordsRoundTrip) {
  const auto decoded = DecodeRecord(EncodeRecord(SampleRecord()));
  ASSERT_TRUE(decoded);
  ExpectSample(*decoded);
}

TEST(Codec, FieldsOfALaterProtocolAreSkipped) {
  std::string frame = EncodeFrame({"10.0.0.1", LearnRequest{8, false}});
  std::string envelope = frame.substr(kLengthBytes);
  envelope += std::string("\xa2\x1f\x03xyz", 6);  // field 500, three bytes
  const auto message = DecodeEnvelope(envelope);
  ASSERT_TRUE(message);
  EXPECT_EQ(std::get<LearnRequest>(message->body).nonce, 8u);
}

TEST(Codec, RejectsLengthsOverTheLimit) {
  EXPECT_FALSE(DecodeLength(std::string("\x7f\xff\xff\xff", 4)));
  EXPECT_FALSE(DecodeLength("abc"));
}

TEST(Codec, LongEnvelopesAreCompressed) {
  const Body body = VoteReply{4, true, true, 9, std::make_shared<Record>(SampleRecord())};
  const std::string frame = EncodeFrame({"10.0.0.1", body});
  EXPECT_TRUE(IsCompressed(std::string_view(frame).substr(kLengthBytes)));
  EXPECT_LT(frame.size(), SampleRecord().configuration.size() / 10);
  ExpectSample(*std::get<VoteReply>(RoundTrip(body).body).record);
  EXPECT_FALSE(IsCompressed(EncodeFrame({"10.0.0.1", LearnRequest{8, false}}).substr(kLengthBytes)));
}

TEST(Codec, RejectsDamagedCompressedEnvelopes) {
  const Body body = VoteReply{4, true, true, 9, std::make_shared<Record>(SampleRecord())};
  const std::string envelope = EncodeFrame({"10.0.0.1", body}).substr(kLengthBytes);
  EXPECT_FALSE(DecodeEnvelope(envelope.substr(0, envelope.size() - 1)));
  std::string flipped = envelope;
  flipped.back() ^= 1;  // in the checksum
  EXPECT_FALSE(DecodeEnvelope(flipped));
  std::string longer = envelope;
  longer[1] = '\x7f';  // in its length
  EXPECT_FALSE(DecodeEnvelope(longer));
  EXPECT_FALSE(DecodeEnvelope(std::string(3, '\0')));
}

// The plain envelope is truncated, so that the damaged bytes are often those of fields rather than of the
// long configuration.
TEST(Codec, RandomBytesDoNotCrashTheDecoder) {
  std::mt19937_64 random(1);
  const std::string compressed =
      EncodeFrame({"10.0.0.1", VoteReply{4, true, true, 9, std::make_shared<Record>(SampleRecord())}})
          .substr(kLengthBytes);
  std::string plain = *Decompress(compressed, kMaxEnvelopeBytes);
  plain.resize(4000 - kLengthBytes);
  for (const std::string& base : {plain, compressed}) {
    for (int round = 0; round < 20000; ++round) {
      std::string bytes = base.substr(0, random() % base.size());
      for (int flips = 0; flips < 4 && !bytes.empty(); ++flips)
        bytes[random() % std::min<std::size_t>(bytes.size(), 80)] = static_cast<char>(random());
      DecodeEnvelope(bytes);
      DecodeRecord(bytes);
    }
  }
}

}  // namespace
}  // namespace kestrelline::wire
