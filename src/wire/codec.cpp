// SPDX-License-Identifier: Apache-2.0
#include "wire/codec.h"

#include <pb_decode.h>
#include <pb_encode.h>

#include <type_traits>
#include <utility>

#include "wire/compression.h"
#include "wire/fleet.pb.h"

namespace kestrelline::wire {
namespace {

// --- nanopb callbacks for strings, bytes and repeated fields ---

bool WriteString(pb_ostream_t* stream, const pb_field_t* field, void* const* argument) {
  const auto& text = *static_cast<const std::string*>(*argument);
  if (text.empty()) return true;
  return pb_encode_tag_for_field(stream, field) &&
         pb_encode_string(stream, reinterpret_cast<const pb_byte_t*>(text.data()), text.size());
}

bool WriteStrings(pb_ostream_t* stream, const pb_field_t* field, void* const* argument) {
  for (const std::string& text : *static_cast<const std::vector<std::string>*>(*argument)) {
    if (!pb_encode_tag_for_field(stream, field)) return false;
    if (!pb_encode_string(stream, reinterpret_cast<const pb_byte_t*>(text.data()), text.size())) return false;
  }
  return true;
}

bool ReadString(pb_istream_t* stream, const pb_field_t*, void** argument) {
  auto& text = *static_cast<std::string*>(*argument);
  text.resize(stream->bytes_left);
  return pb_read(stream, reinterpret_cast<pb_byte_t*>(text.data()), text.size());
}

bool ReadStrings(pb_istream_t* stream, const pb_field_t* field, void** argument) {
  auto& texts = *static_cast<std::vector<std::string>*>(*argument);
  void* last = &texts.emplace_back();
  return ReadString(stream, field, &last);
}

pb_callback_t Writing(const std::string& text) {
  pb_callback_t callback{};
  callback.funcs.encode = WriteString;
  callback.arg = const_cast<std::string*>(&text);
  return callback;
}
pb_callback_t Writing(const std::vector<std::string>& texts) {
  pb_callback_t callback{};
  callback.funcs.encode = WriteStrings;
  callback.arg = const_cast<std::vector<std::string>*>(&texts);
  return callback;
}
pb_callback_t Reading(std::string& text) {
  pb_callback_t callback{};
  callback.funcs.decode = ReadString;
  callback.arg = &text;
  return callback;
}
pb_callback_t Reading(std::vector<std::string>& texts) {
  pb_callback_t callback{};
  callback.funcs.decode = ReadStrings;
  callback.arg = &texts;
  return callback;
}

kestrelline_wire_Position ToRaw(const Position& position) { return {position.epoch, position.sequence}; }
Position FromRaw(const kestrelline_wire_Position& raw) { return {raw.epoch, raw.sequence}; }

// --- accepted changes ---

bool WriteHistory(pb_ostream_t* stream, const pb_field_t* field, void* const* argument) {
  for (const AcceptedChange& change : *static_cast<const std::vector<AcceptedChange>*>(*argument)) {
    const kestrelline_wire_AcceptedChange raw{change.version, change.digest.high, change.digest.low};
    if (!pb_encode_tag_for_field(stream, field)) return false;
    if (!pb_encode_submessage(stream, kestrelline_wire_AcceptedChange_fields, &raw)) return false;
  }
  return true;
}

bool ReadHistory(pb_istream_t* stream, const pb_field_t*, void** argument) {
  kestrelline_wire_AcceptedChange raw = kestrelline_wire_AcceptedChange_init_zero;
  if (!pb_decode(stream, kestrelline_wire_AcceptedChange_fields, &raw)) return false;
  static_cast<std::vector<AcceptedChange>*>(*argument)->push_back(
      {raw.version, {raw.digest_high, raw.digest_low}});
  return true;
}

// --- records ---

kestrelline_wire_Record ToRaw(const Record& record) {
  kestrelline_wire_Record raw = kestrelline_wire_Record_init_zero;
  raw.has_position = true;
  raw.position = ToRaw(record.position);
  raw.members = Writing(record.members);
  raw.next_members = Writing(record.next_members);
  raw.version = record.version;
  raw.configuration = Writing(record.configuration);
  raw.history.funcs.encode = WriteHistory;
  raw.history.arg = const_cast<std::vector<AcceptedChange>*>(&record.history);
  return raw;
}

void PrepareToRead(kestrelline_wire_Record& raw, Record& record) {
  raw.members = Reading(record.members);
  raw.next_members = Reading(record.next_members);
  raw.configuration = Reading(record.configuration);
  raw.history.funcs.decode = ReadHistory;
  raw.history.arg = &record.history;
}

void Finish(const kestrelline_wire_Record& raw, Record& record) {
  record.position = FromRaw(raw.position);
  record.version = raw.version;
}

// --- instances ---

bool WriteInstances(pb_ostream_t* stream, const pb_field_t* field, void* const* argument) {
  for (const Instance& instance : *static_cast<const std::vector<Instance>*>(*argument)) {
    kestrelline_wire_Instance raw = kestrelline_wire_Instance_init_zero;
    raw.id = Writing(instance.id);
    raw.service = Writing(instance.service);
    raw.address = Writing(instance.address);
    raw.zone = Writing(instance.zone);
    raw.slots = instance.slots;
    raw.draining = instance.draining;
    raw.prefill = instance.prefill;
    raw.decode = instance.decode;
    raw.warmup_left_ms = instance.warmup_left_ms;
    raw.models = Writing(instance.models);
    if (!pb_encode_tag_for_field(stream, field)) return false;
    if (!pb_encode_submessage(stream, kestrelline_wire_Instance_fields, &raw)) return false;
  }
  return true;
}

bool ReadInstances(pb_istream_t* stream, const pb_field_t*, void** argument) {
  Instance instance;
  kestrelline_wire_Instance raw = kestrelline_wire_Instance_init_zero;
  raw.id = Reading(instance.id);
  raw.service = Reading(instance.service);
  raw.address = Reading(instance.address);
  raw.zone = Reading(instance.zone);
  raw.models = Reading(instance.models);
  if (!pb_decode(stream, kestrelline_wire_Instance_fields, &raw)) return false;
  instance.slots = raw.slots;
  instance.draining = raw.draining;
  instance.prefill = raw.prefill;
  instance.decode = raw.decode;
  instance.warmup_left_ms = raw.warmup_left_ms;
  static_cast<std::vector<Instance>*>(*argument)->push_back(std::move(instance));
  return true;
}

// --- loads ---

bool WriteLoads(pb_ostream_t* stream, const pb_field_t* field, void* const* argument) {
  for (const BackendLoad& load : *static_cast<const std::vector<BackendLoad>*>(*argument)) {
    const kestrelline_wire_BackendLoad raw{load.backend, load.prefill_ms, load.running};
    if (!pb_encode_tag_for_field(stream, field)) return false;
    if (!pb_encode_submessage(stream, kestrelline_wire_BackendLoad_fields, &raw)) return false;
  }
  return true;
}

bool ReadLoads(pb_istream_t* stream, const pb_field_t*, void** argument) {
  kestrelline_wire_BackendLoad raw = kestrelline_wire_BackendLoad_init_zero;
  if (!pb_decode(stream, kestrelline_wire_BackendLoad_fields, &raw)) return false;
  static_cast<std::vector<BackendLoad>*>(*argument)->push_back({raw.backend, raw.reading_ms, raw.running});
  return true;
}

pb_callback_t Writing(const std::vector<BackendLoad>& loads) {
  pb_callback_t callback{};
  callback.funcs.encode = WriteLoads;
  callback.arg = const_cast<std::vector<BackendLoad>*>(&loads);
  return callback;
}
pb_callback_t Reading(std::vector<BackendLoad>& loads) {
  pb_callback_t callback{};
  callback.funcs.decode = ReadLoads;
  callback.arg = &loads;
  return callback;
}

bool WriteDemands(pb_ostream_t* stream, const pb_field_t* field, void* const* argument) {
  for (const Demand& demand : *static_cast<const std::vector<Demand>*>(*argument)) {
    kestrelline_wire_Demand raw = kestrelline_wire_Demand_init_zero;
    raw.service = Writing(demand.service);
    raw.reading_ms_per_s = demand.prefill_ms_per_s;
    raw.generating_ms_per_s = demand.decode_ms_per_s;
    if (!pb_encode_tag_for_field(stream, field)) return false;
    if (!pb_encode_submessage(stream, kestrelline_wire_Demand_fields, &raw)) return false;
  }
  return true;
}

bool ReadDemands(pb_istream_t* stream, const pb_field_t*, void** argument) {
  Demand demand;
  kestrelline_wire_Demand raw = kestrelline_wire_Demand_init_zero;
  raw.service = Reading(demand.service);
  if (!pb_decode(stream, kestrelline_wire_Demand_fields, &raw)) return false;
  demand.prefill_ms_per_s = raw.reading_ms_per_s;
  demand.decode_ms_per_s = raw.generating_ms_per_s;
  static_cast<std::vector<Demand>*>(*argument)->push_back(std::move(demand));
  return true;
}

kestrelline_wire_InstanceList ToRaw(const InstanceList& list) {
  kestrelline_wire_InstanceList raw = kestrelline_wire_InstanceList_init_zero;
  raw.revision = list.revision;
  raw.age_ms = list.age_ms;
  raw.instances.funcs.encode = WriteInstances;
  raw.instances.arg = const_cast<std::vector<Instance>*>(&list.instances);
  return raw;
}

void PrepareToRead(kestrelline_wire_InstanceList& raw, InstanceList& list) {
  raw.instances.funcs.decode = ReadInstances;
  raw.instances.arg = &list.instances;
}

void Finish(const kestrelline_wire_InstanceList& raw, InstanceList& list) {
  list.revision = raw.revision;
  list.age_ms = raw.age_ms;
}

kestrelline_wire_ListChanges ToRaw(const ListChanges& changes) {
  kestrelline_wire_ListChanges raw = kestrelline_wire_ListChanges_init_zero;
  raw.base = changes.base;
  raw.revision = changes.revision;
  raw.changed.funcs.encode = WriteInstances;
  raw.changed.arg = const_cast<std::vector<Instance>*>(&changes.changed);
  raw.removed = Writing(changes.removed);
  return raw;
}

void PrepareToRead(kestrelline_wire_ListChanges& raw, ListChanges& changes) {
  raw.changed.funcs.decode = ReadInstances;
  raw.changed.arg = &changes.changed;
  raw.removed = Reading(changes.removed);
}

void Finish(const kestrelline_wire_ListChanges& raw, ListChanges& changes) {
  changes.base = raw.base;
  changes.revision = raw.revision;
}

// LoadReport and LoadChanges have the same fields.
template <typename RawWork, typename Work>
void FillWork(RawWork& raw, const Work& work) {
  raw.loads = Writing(work.loads);
  raw.proxies = work.proxies;
  raw.demands.funcs.encode = WriteDemands;
  raw.demands.arg = const_cast<std::vector<Demand>*>(&work.demands);
}

template <typename RawWork, typename Work>
void PrepareToReadWork(RawWork& raw, Work& work) {
  raw.loads = Reading(work.loads);
  raw.demands.funcs.decode = ReadDemands;
  raw.demands.arg = &work.demands;
}

// --- one overload for each body, which fills its part of the envelope ---

using RawEnvelope = kestrelline_wire_Envelope;

void Put(RawEnvelope&, const std::monostate&) {}
void Put(RawEnvelope& raw, const Hello& hello) {
  raw.has_hello = true;
  raw.hello = {hello.counts_for_quorum, hello.incarnation};
}
void Put(RawEnvelope& raw, const VoteRequest& request) {
  raw.has_vote_request = true;
  raw.vote_request = {request.epoch, request.pre_vote, true, ToRaw(request.held), request.nobody_leads};
}
void Put(RawEnvelope& raw, const VoteReply& reply) {
  raw.has_vote_reply = true;
  raw.vote_reply.epoch = reply.epoch;
  raw.vote_reply.pre_vote = reply.pre_vote;
  raw.vote_reply.granted = reply.granted;
  raw.vote_reply.promised = reply.promised;
  raw.vote_reply.restarted_lately = reply.restarted_lately;
  raw.vote_reply.leading = reply.leading;
  raw.vote_reply.has_record = reply.record != nullptr;
  if (reply.record) raw.vote_reply.record = ToRaw(*reply.record);
}
void Put(RawEnvelope& raw, const Heartbeat& heartbeat) {
  raw.has_heartbeat = true;
  raw.heartbeat = {heartbeat.epoch,
                   heartbeat.sent_ms,
                   true,
                   ToRaw(heartbeat.held),
                   true,
                   ToRaw(heartbeat.committed),
                   heartbeat.proxies,
                   heartbeat.leased,
                   heartbeat.resigning,
                   heartbeat.echo,
                   heartbeat.successor_waits};
}
void Put(RawEnvelope& raw, const HeartbeatReply& reply) {
  raw.has_heartbeat_reply = true;
  raw.heartbeat_reply = {reply.epoch,   reply.sent_ms, reply.promised, true, ToRaw(reply.stored),
                         reply.proxies, reply.probe,   reply.disk,     true, ToRaw(reply.writing),
                         reply.leaving};
}
void Put(RawEnvelope& raw, const Append& append) {
  raw.has_append = true;
  raw.append.epoch = append.epoch;
  raw.append.has_record = append.record != nullptr;
  if (append.record) raw.append.record = ToRaw(*append.record);
}
void Put(RawEnvelope& raw, const LearnRequest& request) {
  raw.has_learn_request = true;
  raw.learn_request = {request.nonce, request.founding};
}
void Put(RawEnvelope& raw, const LearnReply& reply) {
  raw.has_learn_reply = true;
  raw.learn_reply.nonce = reply.nonce;
  raw.learn_reply.promised = reply.promised;
  raw.learn_reply.voter = reply.voter;
  raw.learn_reply.has_record = reply.record != nullptr;
  if (reply.record) raw.learn_reply.record = ToRaw(*reply.record);
}
void Put(RawEnvelope& raw, const InstanceList& list) {
  raw.has_instances = true;
  raw.instances = ToRaw(list);
}
void Put(RawEnvelope& raw, const Subscribe& subscribe) {
  raw.has_subscribe = true;
  raw.subscribe.version = subscribe.version;
  raw.subscribe.instances_revision = subscribe.instances_revision;
  raw.subscribe.zone = Writing(subscribe.zone);
  raw.subscribe.probe = subscribe.probe;
  raw.subscribe.takes_list_changes = subscribe.takes_list_changes;
  raw.subscribe.takes_configuration_patches = subscribe.takes_configuration_patches;
}
void Put(RawEnvelope& raw, const Publication& publication) {
  raw.has_publication = true;
  raw.publication.age_ms = publication.age_ms;
  raw.publication.certain = publication.certain;
  raw.publication.version = publication.version;
  raw.publication.configuration = Writing(publication.configuration);
  raw.publication.has_instances = publication.instances != nullptr;
  if (publication.instances) raw.publication.instances = ToRaw(*publication.instances);
  raw.publication.proxies = publication.proxies;
  raw.publication.control_peers = Writing(publication.control_peers);
  raw.publication.instances_revision = publication.instances_revision;
  raw.publication.instances_age_ms = publication.instances_age_ms;
  raw.publication.hops = publication.hops;
  raw.publication.has_list_changes = publication.list_changes.has_value();
  if (publication.list_changes) raw.publication.list_changes = ToRaw(*publication.list_changes);
  raw.publication.configuration_base = publication.configuration_base;
  raw.publication.configuration_patches = Writing(publication.configuration_patches);
}

void Put(RawEnvelope& raw, const LoadReport& report) {
  raw.has_load_report = true;
  FillWork(raw.load_report, report);
}
void Put(RawEnvelope& raw, const LoadSummary& summary) {
  raw.has_load_summary = true;
  raw.load_summary.loads = Writing(summary.loads);
  raw.load_summary.whole = summary.whole;
}
void Put(RawEnvelope& raw, const LoadChanges& changes) {
  raw.has_load_changes = true;
  FillWork(raw.load_changes, changes);
}
void Put(RawEnvelope& raw, const ListAge& age) {
  raw.has_list_age = true;
  raw.list_age = {age.revision, age.age_ms};
}
void Put(RawEnvelope& raw, const ListChanges& changes) {
  raw.has_list_changes = true;
  raw.list_changes = ToRaw(changes);
}
void Put(RawEnvelope& raw, const ListRequest& request) {
  raw.has_list_request = true;
  raw.list_request.held_revision = request.held_revision;
}

void Put(RawEnvelope& raw, const Probe& probe) {
  raw.has_probe = true;
  raw.probe.value = probe.value;
}
void Put(RawEnvelope& raw, const Echo& echo) {
  raw.has_echo = true;
  raw.echo.value = echo.value;
}
void Put(RawEnvelope& raw, const Referral& referral) {
  raw.has_referral = true;
  raw.referral.proxies = Writing(referral.proxies);
  raw.referral.members = Writing(referral.members);
  raw.referral.leader = Writing(referral.leader);
}

// Encodes `raw` behind `header_bytes` zero bytes; empty on an error.
template <typename Raw>
std::string EncodeRaw(const pb_msgdesc_t* fields, const Raw& raw, std::size_t header_bytes) {
  std::size_t size = 0;
  if (!pb_get_encoded_size(&size, fields, &raw)) return {};
  std::string bytes(header_bytes + size, '\0');
  pb_ostream_t stream =
      pb_ostream_from_buffer(reinterpret_cast<pb_byte_t*>(bytes.data() + header_bytes), size);
  if (!pb_encode(&stream, fields, &raw)) return {};
  return bytes;
}

// The targets of the callbacks while an envelope is decoded.
struct Parts {
  std::string sender;
  Record vote_record, append_record, learn_record;
  InstanceList instances, published_instances;
  Subscribe subscribe;
  Publication publication;
  ListChanges published_changes, list_changes;
  LoadReport load_report;
  LoadSummary load_summary;
  LoadChanges load_changes;
  Referral referral;
};

RecordPtr Shared(bool present, const kestrelline_wire_Record& raw, Record& record) {
  if (!present) return nullptr;
  Finish(raw, record);
  return std::make_shared<const Record>(std::move(record));
}

Publication FinishPublication(const kestrelline_wire_Publication& raw, Parts& parts) {
  Publication publication = std::move(parts.publication);
  publication.age_ms = raw.age_ms;
  publication.certain = raw.certain;
  publication.version = raw.version;
  publication.proxies = raw.proxies;
  publication.instances_revision = raw.instances_revision;
  publication.instances_age_ms = raw.instances_age_ms;
  publication.hops = raw.hops;
  publication.configuration_base = raw.configuration_base;
  if (raw.has_list_changes) {
    Finish(raw.list_changes, parts.published_changes);
    publication.list_changes = std::move(parts.published_changes);
  }
  if (raw.has_instances) {
    Finish(raw.instances, parts.published_instances);
    publication.instances = std::make_shared<const InstanceList>(std::move(parts.published_instances));
  }
  return publication;
}

Body TakeBody(const RawEnvelope& raw, Parts& parts) {
  if (raw.has_hello) return Hello{raw.hello.counts_for_quorum, raw.hello.incarnation};
  if (raw.has_vote_request) {
    return VoteRequest{raw.vote_request.epoch, raw.vote_request.pre_vote, FromRaw(raw.vote_request.held),
                       raw.vote_request.nobody_leads};
  }
  if (raw.has_vote_reply) {
    const auto& reply = raw.vote_reply;
    return VoteReply{reply.epoch,
                     reply.pre_vote,
                     reply.granted,
                     reply.promised,
                     Shared(reply.has_record, reply.record, parts.vote_record),
                     reply.restarted_lately,
                     reply.leading};
  }
  if (raw.has_heartbeat) {
    const auto& heartbeat = raw.heartbeat;
    return Heartbeat{
        heartbeat.epoch,          heartbeat.sent_ms, FromRaw(heartbeat.held), FromRaw(heartbeat.committed),
        heartbeat.proxies,        heartbeat.leased,  heartbeat.resigning,     heartbeat.echo,
        heartbeat.successor_waits};
  }
  if (raw.has_heartbeat_reply) {
    const auto& reply = raw.heartbeat_reply;
    return HeartbeatReply{reply.epoch,   reply.sent_ms, reply.promised, FromRaw(reply.stored),
                          reply.proxies, reply.probe,   reply.disk,     FromRaw(reply.writing),
                          reply.leaving};
  }
  if (raw.has_append) {
    return Append{raw.append.epoch, Shared(raw.append.has_record, raw.append.record, parts.append_record)};
  }
  if (raw.has_learn_request) return LearnRequest{raw.learn_request.nonce, raw.learn_request.founding};
  if (raw.has_learn_reply) {
    const auto& reply = raw.learn_reply;
    return LearnReply{reply.nonce, reply.promised, reply.voter,
                      Shared(reply.has_record, reply.record, parts.learn_record)};
  }
  if (raw.has_instances) {
    Finish(raw.instances, parts.instances);
    return std::move(parts.instances);
  }
  if (raw.has_subscribe) {
    parts.subscribe.version = raw.subscribe.version;
    parts.subscribe.instances_revision = raw.subscribe.instances_revision;
    parts.subscribe.probe = raw.subscribe.probe;
    parts.subscribe.takes_list_changes = raw.subscribe.takes_list_changes;
    parts.subscribe.takes_configuration_patches = raw.subscribe.takes_configuration_patches;
    return std::move(parts.subscribe);
  }
  if (raw.has_publication) return FinishPublication(raw.publication, parts);
  if (raw.has_load_report) {
    parts.load_report.proxies = raw.load_report.proxies;
    return std::move(parts.load_report);
  }
  if (raw.has_probe) return Probe{raw.probe.value};
  if (raw.has_echo) return Echo{raw.echo.value};
  if (raw.has_referral) return std::move(parts.referral);
  if (raw.has_load_summary) {
    parts.load_summary.whole = raw.load_summary.whole;
    return std::move(parts.load_summary);
  }
  if (raw.has_load_changes) {
    parts.load_changes.proxies = raw.load_changes.proxies;
    return std::move(parts.load_changes);
  }
  if (raw.has_list_age) return ListAge{raw.list_age.revision, raw.list_age.age_ms};
  if (raw.has_list_request) return ListRequest{raw.list_request.held_revision};
  if (raw.has_list_changes) {
    Finish(raw.list_changes, parts.list_changes);
    return std::move(parts.list_changes);
  }
  return std::monostate{};
}

}  // namespace

std::string EncodeFrame(const Message& message) {
  RawEnvelope raw = kestrelline_wire_Envelope_init_zero;
  raw.protocol = kProtocolVersion;
  raw.sender = Writing(message.sender);
  std::visit([&raw](const auto& body) { Put(raw, body); }, message.body);
  std::string frame = EncodeRaw(kestrelline_wire_Envelope_fields, raw, kLengthBytes);
  if (frame.size() >= kMinCompressedBytes) {
    const auto compressed = Compress(std::string_view(frame).substr(kLengthBytes));
    if (compressed) frame.replace(kLengthBytes, std::string::npos, *compressed);
  }
  const std::size_t length = frame.size() - kLengthBytes;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    frame[i] = static_cast<char>((length >> (8 * (kLengthBytes - 1 - i))) & 0xff);
  }
  return frame;
}

std::optional<std::size_t> DecodeLength(std::string_view four_bytes) {
  if (four_bytes.size() < kLengthBytes) return std::nullopt;
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8) | static_cast<unsigned char>(four_bytes[i]);
  }
  if (length > kMaxEnvelopeBytes) return std::nullopt;
  return length;
}

std::optional<Message> DecodeEnvelope(std::string_view bytes) {
  if (IsCompressed(bytes)) {
    const auto envelope = Decompress(bytes, kMaxEnvelopeBytes);
    if (!envelope || IsCompressed(*envelope)) return std::nullopt;
    return DecodeEnvelope(*envelope);
  }
  Parts parts;
  RawEnvelope raw = kestrelline_wire_Envelope_init_zero;
  raw.sender = Reading(parts.sender);
  PrepareToRead(raw.vote_reply.record, parts.vote_record);
  PrepareToRead(raw.append.record, parts.append_record);
  PrepareToRead(raw.learn_reply.record, parts.learn_record);
  PrepareToRead(raw.instances, parts.instances);
  raw.subscribe.zone = Reading(parts.subscribe.zone);
  raw.publication.configuration = Reading(parts.publication.configuration);
  raw.publication.control_peers = Reading(parts.publication.control_peers);
  raw.publication.configuration_patches = Reading(parts.publication.configuration_patches);
  PrepareToRead(raw.publication.instances, parts.published_instances);
  PrepareToRead(raw.publication.list_changes, parts.published_changes);
  PrepareToRead(raw.list_changes, parts.list_changes);
  PrepareToReadWork(raw.load_report, parts.load_report);
  raw.load_summary.loads = Reading(parts.load_summary.loads);
  PrepareToReadWork(raw.load_changes, parts.load_changes);
  raw.referral.proxies = Reading(parts.referral.proxies);
  raw.referral.members = Reading(parts.referral.members);
  raw.referral.leader = Reading(parts.referral.leader);
  // PB_DECODE_NOINIT: the callbacks set above must survive; all other fields are zero already.
  pb_istream_t stream =
      pb_istream_from_buffer(reinterpret_cast<const pb_byte_t*>(bytes.data()), bytes.size());
  if (!pb_decode_ex(&stream, kestrelline_wire_Envelope_fields, &raw, PB_DECODE_NOINIT)) return std::nullopt;
  if (raw.protocol != kProtocolVersion) return std::nullopt;
  Message message;
  message.sender = std::move(parts.sender);
  message.body = TakeBody(raw, parts);
  return message;
}

std::string EncodeRecord(const Record& record) {
  return EncodeRaw(kestrelline_wire_Record_fields, ToRaw(record), 0);
}

std::optional<Record> DecodeRecord(std::string_view bytes) {
  Record record;
  kestrelline_wire_Record raw = kestrelline_wire_Record_init_zero;
  PrepareToRead(raw, record);
  pb_istream_t stream =
      pb_istream_from_buffer(reinterpret_cast<const pb_byte_t*>(bytes.data()), bytes.size());
  if (!pb_decode_ex(&stream, kestrelline_wire_Record_fields, &raw, PB_DECODE_NOINIT)) return std::nullopt;
  Finish(raw, record);
  return record;
}

}  // namespace kestrelline::wire
