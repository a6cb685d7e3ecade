#pragma once

#include "vanilladeck/peer/call.h"
#include "vanilladeck/peer/peer.capnp.h"

/// Conversions between the C++ message types and their Cap'n Proto encoding.
namespace vanilladeck::peer::impl {

void Encode(const core::InstanceId& from, wire::InstanceId::Builder to);
void Encode(const membership::Heartbeat& from, wire::Heartbeat::Builder to);
void Encode(const ForwardRequest& from, wire::ForwardRequest::Builder to);
void Encode(const ForwardReply& from, wire::ForwardReply::Builder to);
void Encode(const operations::ClaimRequest& from, wire::ClaimRequest::Builder to);
void Encode(const operations::ClaimReply& from, wire::ClaimReply::Builder to);
void Encode(const operations::CompleteRequest& from, wire::CompleteRequest::Builder to);
void Encode(const SeatClaim& from, wire::SeatClaim::Builder to);
void Encode(const std::vector<store::ListedInstance>& from, capnp::List<wire::Server>::Builder to);
void Encode(const CreditRequest& from, wire::CreditRequest::Builder to);
void Encode(const CreditGrant& from, wire::CreditGrant::Builder to);
void Encode(const std::vector<std::string>& from, capnp::List<capnp::Text>::Builder to);

[[nodiscard]] core::InstanceId Decode(wire::InstanceId::Reader from);
[[nodiscard]] membership::Heartbeat Decode(wire::Heartbeat::Reader from);
[[nodiscard]] ForwardRequest Decode(wire::ForwardRequest::Reader from);
[[nodiscard]] ForwardReply Decode(wire::ForwardReply::Reader from);
[[nodiscard]] operations::ClaimRequest Decode(wire::ClaimRequest::Reader from);
[[nodiscard]] operations::ClaimReply Decode(wire::ClaimReply::Reader from);
[[nodiscard]] operations::CompleteRequest Decode(wire::CompleteRequest::Reader from);
[[nodiscard]] SeatClaim Decode(wire::SeatClaim::Reader from);
[[nodiscard]] std::vector<store::ListedInstance> Decode(capnp::List<wire::Server>::Reader from);
[[nodiscard]] CreditRequest Decode(wire::CreditRequest::Reader from);
[[nodiscard]] CreditGrant Decode(wire::CreditGrant::Reader from);
[[nodiscard]] std::vector<std::string> Decode(capnp::List<capnp::Text>::Reader from);

}  // namespace vanilladeck::peer::impl
