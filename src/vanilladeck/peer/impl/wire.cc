#include "vanilladeck/peer/impl/wire.h"

#include <utility>

namespace vanilladeck::peer::impl {
namespace {

using Headers = std::vector<std::pair<std::string, std::string>>;

std::string Text(capnp::Text::Reader from) { return {from.begin(), from.size()}; }

std::string Bytes(capnp::Data::Reader from) {
  return {reinterpret_cast<const char*>(from.begin()), from.size()};
}

capnp::Data::Reader AsData(const std::string& from) {
  return {reinterpret_cast<const kj::byte*>(from.data()), from.size()};
}

// An out-of-range value from a peer of another release maps to the lowest rank.
core::Rank RankFromWire(std::uint8_t value) {
  return value < core::kRankCount ? static_cast<core::Rank>(value) : core::Rank::kBulk;
}

// An out-of-range value maps to `kUnknown`: it does not say whether the request ran.
core::Outcome OutcomeFromWire(std::uint8_t value) {
  return value <= static_cast<std::uint8_t>(core::Outcome::kRan) ? static_cast<core::Outcome>(value)
                                                                 : core::Outcome::kUnknown;
}

void EncodeHeaders(const Headers& from, capnp::List<wire::Header>::Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    to[i].setName(from[i].first);
    to[i].setValue(from[i].second);
  }
}

Headers DecodeHeaders(capnp::List<wire::Header>::Reader from) {
  Headers headers;
  headers.reserve(from.size());
  for (auto it : from) headers.emplace_back(Text(it.getName()), Text(it.getValue()));
  return headers;
}

void EncodeMember(const membership::Member& from, wire::Member::Builder to) {
  Encode(from.id, to.initId());
  to.setStartedMs(from.started_ms);
  to.setFailureDomain(from.failure_domain);
  to.setCallerAddress(from.caller_address);
  to.setSequence(from.sequence);
  to.setLeaving(from.leaving);
  to.setGone(from.gone);
  to.setConfigVersion(from.config_version);
  to.setConfigHash(from.config_hash);
  auto seats = to.initSeats(static_cast<unsigned>(from.seats.size()));
  for (unsigned i = 0; i < from.seats.size(); ++i) seats.set(i, from.seats[i]);
  Encode(from.shards, to.initShards(static_cast<unsigned>(from.shards.size())));
}

membership::Member DecodeMember(wire::Member::Reader from) {
  membership::Member member;
  member.id = Decode(from.getId());
  member.started_ms = from.getStartedMs();
  member.failure_domain = Text(from.getFailureDomain());
  member.caller_address = Text(from.getCallerAddress());
  member.sequence = from.getSequence();
  member.leaving = from.getLeaving();
  member.gone = from.getGone();
  member.config_version = from.getConfigVersion();
  member.config_hash = Text(from.getConfigHash());
  for (std::uint32_t seat : from.getSeats()) member.seats.push_back(seat);
  member.shards = Decode(from.getShards());
  return member;
}

void EncodeAnswer(const operations::RecordedAnswer& from, wire::RecordedAnswer::Builder to) {
  to.setStatus(from.status);
  to.setContentType(from.content_type);
  to.setBody(AsData(from.body));
}

operations::RecordedAnswer DecodeAnswer(wire::RecordedAnswer::Reader from) {
  return {from.getStatus(), Text(from.getContentType()), Bytes(from.getBody())};
}

/// Sets the union member that corresponds to each alternative of `operations::ClaimReply`.
struct ClaimReplyEncoder {
  wire::ClaimReply::Builder to;
  void operator()(const operations::Granted& reply) { to.setGranted(reply.attempt); }
  void operator()(const operations::RecordedAnswer& reply) {
    EncodeAnswer(reply, to.initRecorded());
  }
  void operator()(const operations::InProgress&) { to.setInProgress(); }
  void operator()(const operations::OutcomeUnknown&) { to.setOutcomeUnknown(); }
  void operator()(const operations::Mismatch&) { to.setMismatch(); }
  void operator()(const operations::Expired&) { to.setExpired(); }
  void operator()(const operations::Unavailable& reply) { to.setUnavailable(reply.retry_after_ms); }
};

}  // namespace

void Encode(const core::InstanceId& from, wire::InstanceId::Builder to) {
  to.setAddress(from.address);
  to.setIncarnation(from.incarnation);
}

void Encode(const membership::Heartbeat& from, wire::Heartbeat::Builder to) {
  to.setDeployment(from.deployment);
  EncodeMember(from.self, to.initSelf());
  auto relayed = to.initRelayed(static_cast<unsigned>(from.relayed.size()));
  for (unsigned i = 0; i < from.relayed.size(); ++i) EncodeMember(from.relayed[i], relayed[i]);
}

void Encode(const ForwardRequest& from, wire::ForwardRequest::Builder to) {
  to.setService(from.service);
  to.setMethod(from.method);
  to.setTarget(from.target);
  EncodeHeaders(from.headers, to.initHeaders(static_cast<unsigned>(from.headers.size())));
  to.setBody(AsData(from.body));
  to.setRank(static_cast<std::uint8_t>(from.rank));
  to.setTimeoutMs(from.timeout_ms);
  to.setTraceparent(from.traceparent);
  to.setFromRegion(from.from_region);
  Encode(from.sender, to.initSender());
}

void Encode(const ForwardReply& from, wire::ForwardReply::Builder to) {
  to.setOutcome(static_cast<std::uint8_t>(from.outcome));
  to.setStatus(from.status);
  EncodeHeaders(from.headers, to.initHeaders(static_cast<unsigned>(from.headers.size())));
  to.setBody(AsData(from.body));
  to.setError(from.error);
  to.setRetryAfterMs(from.retry_after_ms);
}

void Encode(const operations::ClaimRequest& from, wire::ClaimRequest::Builder to) {
  to.setKey(from.key);
  to.setClient(from.client);
  to.setService(from.service);
  to.setFingerprint(from.fingerprint);
  to.setRank(static_cast<std::uint8_t>(from.rank));
  Encode(from.holder, to.initHolder());
  to.setClaimId(from.claim_id);
}

void Encode(const operations::ClaimReply& from, wire::ClaimReply::Builder to) {
  std::visit(ClaimReplyEncoder{to}, from);
}

void Encode(const operations::CompleteRequest& from, wire::CompleteRequest::Builder to) {
  to.setKey(from.key);
  to.setAttempt(from.attempt);
  to.setClaimId(from.claim_id);
  Encode(from.holder, to.initHolder());
  to.setOutcome(static_cast<std::uint8_t>(from.outcome));
  EncodeAnswer(from.answer, to.initAnswer());
}

void Encode(const SeatClaim& from, wire::SeatClaim::Builder to) {
  to.setFailureDomain(from.failure_domain);
  to.setSeat(from.seat);
  Encode(from.holder, to.initHolder());
  to.setTerm(from.term);
}

void Encode(const std::vector<store::ListedInstance>& from, capnp::List<wire::Server>::Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    to[i].setService(from[i].service);
    to[i].setAddress(from[i].address);
    to[i].setFailureDomain(from[i].failure_domain);
    to[i].setLeaving(from[i].state == store::InstanceState::kLeaving);
  }
}

void Encode(const CreditRequest& from, wire::CreditRequest::Builder to) {
  Encode(from.sender, to.initSender());
  to.setFromRegion(from.from_region);
  to.setService(from.service);
  to.setWanted(from.wanted);
}

void Encode(const CreditGrant& from, wire::CreditGrant::Builder to) {
  to.setCount(from.count);
  to.setLifeMs(from.ttl_ms);
  Encode(from.granter, to.initGranter());
}

void Encode(const std::vector<std::string>& from, capnp::List<capnp::Text>::Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) to.set(i, from[i]);
}

core::InstanceId Decode(wire::InstanceId::Reader from) {
  return {Text(from.getAddress()), from.getIncarnation()};
}

membership::Heartbeat Decode(wire::Heartbeat::Reader from) {
  membership::Heartbeat heartbeat{Text(from.getDeployment()), DecodeMember(from.getSelf()), {}};
  for (auto it : from.getRelayed()) heartbeat.relayed.push_back(DecodeMember(it));
  return heartbeat;
}

ForwardRequest Decode(wire::ForwardRequest::Reader from) {
  ForwardRequest request;
  request.service = Text(from.getService());
  request.method = Text(from.getMethod());
  request.target = Text(from.getTarget());
  request.headers = DecodeHeaders(from.getHeaders());
  request.body = Bytes(from.getBody());
  request.rank = RankFromWire(from.getRank());
  request.timeout_ms = from.getTimeoutMs();
  request.traceparent = Text(from.getTraceparent());
  request.from_region = Text(from.getFromRegion());
  request.sender = Decode(from.getSender());
  return request;
}

ForwardReply Decode(wire::ForwardReply::Reader from) {
  ForwardReply reply;
  reply.outcome = OutcomeFromWire(from.getOutcome());
  reply.status = from.getStatus();
  reply.headers = DecodeHeaders(from.getHeaders());
  reply.body = Bytes(from.getBody());
  reply.error = Text(from.getError());
  reply.retry_after_ms = from.getRetryAfterMs();
  return reply;
}

operations::ClaimRequest Decode(wire::ClaimRequest::Reader from) {
  return {Text(from.getKey()),
          Text(from.getClient()),
          Text(from.getService()),
          Text(from.getFingerprint()),
          RankFromWire(from.getRank()),
          Decode(from.getHolder()),
          from.getClaimId()};
}

operations::ClaimReply Decode(wire::ClaimReply::Reader from) {
  switch (from.which()) {
    case wire::ClaimReply::GRANTED:
      return operations::Granted{from.getGranted()};
    case wire::ClaimReply::RECORDED:
      return DecodeAnswer(from.getRecorded());
    case wire::ClaimReply::IN_PROGRESS:
      return operations::InProgress{};
    case wire::ClaimReply::OUTCOME_UNKNOWN:
      return operations::OutcomeUnknown{};
    case wire::ClaimReply::MISMATCH:
      return operations::Mismatch{};
    case wire::ClaimReply::EXPIRED:
      return operations::Expired{};
    case wire::ClaimReply::UNAVAILABLE:
      return operations::Unavailable{from.getUnavailable()};
  }
  return operations::OutcomeUnknown{};  // A newer release's reply: nothing is known.
}

operations::CompleteRequest Decode(wire::CompleteRequest::Reader from) {
  return {Text(from.getKey()),
          from.getAttempt(),
          from.getClaimId(),
          Decode(from.getHolder()),
          OutcomeFromWire(from.getOutcome()),
          DecodeAnswer(from.getAnswer())};
}

SeatClaim Decode(wire::SeatClaim::Reader from) {
  return {Text(from.getFailureDomain()), from.getSeat(), Decode(from.getHolder()), from.getTerm()};
}

std::vector<store::ListedInstance> Decode(capnp::List<wire::Server>::Reader from) {
  std::vector<store::ListedInstance> servers;
  servers.reserve(from.size());
  for (auto it : from) {
    servers.push_back(
        {Text(it.getService()), Text(it.getAddress()), Text(it.getFailureDomain()),
         it.getLeaving() ? store::InstanceState::kLeaving : store::InstanceState::kLive});
  }
  return servers;
}

CreditRequest Decode(wire::CreditRequest::Reader from) {
  return {Decode(from.getSender()), Text(from.getFromRegion()), Text(from.getService()),
          from.getWanted()};
}

CreditGrant Decode(wire::CreditGrant::Reader from) {
  return {from.getCount(), from.getLifeMs(), Decode(from.getGranter())};
}

std::vector<std::string> Decode(capnp::List<capnp::Text>::Reader from) {
  std::vector<std::string> texts;
  texts.reserve(from.size());
  for (auto it : from) texts.push_back(Text(it));
  return texts;
}

}  // namespace vanilladeck::peer::impl
