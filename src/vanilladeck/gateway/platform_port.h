#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "vanilladeck/config/route.h"
#include "vanilladeck/steering/server.h"
#include "vanilladeck/store/versioned_call.h"

namespace vanilladeck::gateway {

/// The entry of a backend server.
struct ServerItem {
  steering::ServerReport report;
};

/// The newest routing policy.
struct PolicyItem {
  config::RoutingPolicy policy;
};

/// A request by operators to send nothing to the servers of a failure domain.
struct EvacuationItem {
  std::string failure_domain;
};

/// An item under any other key, such as an instance's record.
struct OtherItem {};

/// An item that cannot be used, with the reason.
struct UnusableItem {
  std::string reason;
};

using DecodedItem = std::variant<ServerItem, PolicyItem, EvacuationItem, OtherItem, UnusableItem>;

/// The kinds of items that a removed key may have named.
struct RemovedServer {
  std::string id;
};
struct RemovedEvacuation {
  std::string failure_domain;
};
struct RemovedOther {};
using RemovedItem = std::variant<RemovedServer, RemovedEvacuation, RemovedOther>;

/// A client's query for addresses to connect to.
struct LookupQuery {
  std::string host;
  std::string region;
  std::string failure_domain;
};

/// Translates a platform's store items, readiness checks and lookups; implemented by its adapter.
class PlatformCodec : public store::VersionedCodec {
 public:
  [[nodiscard]] virtual DecodedItem DecodeItem(const store::Item& item) const = 0;
  [[nodiscard]] virtual RemovedItem DecodeRemoval(const std::string& key) const = 0;
  /// The key of the routing policy.
  [[nodiscard]] virtual std::string_view policy_key() const noexcept = 0;
  [[nodiscard]] virtual bool IsReadinessCheck(std::string_view target) const = 0;
  [[nodiscard]] virtual std::optional<LookupQuery> DecodeLookup(std::string_view target) const = 0;
  [[nodiscard]] virtual std::string EncodeLookup(const std::vector<std::string>& addresses,
                                                 core::Duration ttl) const = 0;
};

}  // namespace vanilladeck::gateway
