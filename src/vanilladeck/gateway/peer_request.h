#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "vanilladeck/gateway/message_reader.h"
#include "vanilladeck/membership/change_log.h"

namespace vanilladeck::gateway {

/// The instance that sends a request, with the limits of servers that it states.
struct PeerSender {
  std::string name;
  std::map<std::string, double> server_limits;
  store::Era era = 0;  ///< That it knows; its position may still be of an earlier one.
  std::uint64_t policy_version = 0;  ///< In force there; 0 if none is or none is stated.
};

/// The eras that a request states.
struct PeerEras {
  store::Era known = 0;     ///< That the sender knows.
  store::Era position = 0;  ///< Of the sender's position.
};

/// The policy that an instance has in force, as it answers a request for it.
struct PolicyStatement {
  std::uint64_t version = 0;  ///< 0 if none is in force.
  store::Era era = 0;         ///< That the instance knows.
};

/// Builds the HTTP request for the changes of a peer since `known`.
[[nodiscard]] std::string EncodePeerRequest(const membership::PeerPosition& known,
                                            const PeerSender& sender);

/// Name of the instance that sends a request; empty if it is not stated.
[[nodiscard]] std::string DecodeSenderName(const MessageReader<true>::Message& request);

/// Returns none if the request does not state a sender.
[[nodiscard]] std::optional<PeerSender> DecodePeerSender(
    const MessageReader<true>::Message& request);

/// Returns none if the request states no era, as those of an earlier version do, or a malformed
/// one.
[[nodiscard]] std::optional<PeerEras> DecodePeerEras(const MessageReader<true>::Message& request);

/// Returns none if `target` is another resource or malformed. `era` is that of the position.
[[nodiscard]] std::optional<membership::PeerPosition> DecodePeerRequest(std::string_view target,
                                                                        store::Era era);

/// Builds the HTTP request for the version of the policy that a peer has in force.
[[nodiscard]] std::string EncodePolicyRequest(const PeerSender& sender);

[[nodiscard]] bool IsPolicyRequest(std::string_view target);

/// Builds the header section of the response to `EncodePolicyRequest`, whose body, if any, is that
/// of `EncodeDepartures`.
[[nodiscard]] std::string EncodePolicyResponse(const PolicyStatement& statement,
                                               std::size_t body_bytes = 0);

/// Returns none if the peer is of an earlier version, which does not state it, or the response is
/// malformed.
[[nodiscard]] std::optional<PolicyStatement> DecodePolicyResponse(
    const MessageReader<false>::Message& response);

/// Largest value of an item that is accepted from a peer.
inline constexpr std::size_t kMaxItemBytes = 4U << 20U;

/// Builds the HTTP request for the item with `key`.
[[nodiscard]] std::string EncodeItemRequest(std::string_view key);

/// Returns the key, or none if `target` is another resource or malformed.
[[nodiscard]] std::optional<std::string> DecodeItemRequest(std::string_view target);

/// Builds the header fields of the response with an item, whose body is the deflated value.
[[nodiscard]] std::string EncodeItemFields(store::Position position);

/// Returns none if there is no such item or the response is malformed.
[[nodiscard]] std::optional<store::Item> DecodeItemResponse(
    const std::string& key, const MessageReader<false>::Message& response);

}  // namespace vanilladeck::gateway
