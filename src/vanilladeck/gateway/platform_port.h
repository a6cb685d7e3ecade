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

/// A backend server's entry.
struct ServerItem {
  steering::ServerReport report;
};

/// The newest routing policy.
struct PolicyItem {
  config::RoutingPolicy policy;
};

/// Operators ask that a failure domain's servers get nothing.
struct EvacuationItem {
  std::string failure_domain;
};

/// An item of the product's own.
struct OtherItem {};

/// An item that cannot be used; `reason` says why.
struct UnusableItem {
  std::string reason;
};

using DecodedItem = std::variant<ServerItem, PolicyItem, EvacuationItem, OtherItem, UnusableItem>;

/// What a removed key stood for.
struct RemovedServer {
  std::string id;
};
struct RemovedEvacuation {
  std::string failure_domain;
};
struct RemovedOther {};
using RemovedItem = std::variant<RemovedServer, RemovedEvacuation, RemovedOther>;

/// A client's question where to connect.
struct LookupQuery {
  std::string host;
  std::string region;
  std::string failure_domain;
};

/// Translates a platform's items and entry calls; implemented by its adapter.
class PlatformCodec : public store::VersionedCodec {
 public:
  [[nodiscard]] virtual DecodedItem DecodeItem(const store::Item& item) const = 0;
  [[nodiscard]] virtual RemovedItem DecodeRemoval(const std::string& key) const = 0;
  [[nodiscard]] virtual bool IsReadinessCheck(std::string_view target) const = 0;
  [[nodiscard]] virtual std::optional<LookupQuery> DecodeLookup(std::string_view target) const = 0;
  [[nodiscard]] virtual std::string EncodeLookup(const std::vector<std::string>& addresses,
                                                 core::Duration ttl) const = 0;
};

}  // namespace vanilladeck::gateway
