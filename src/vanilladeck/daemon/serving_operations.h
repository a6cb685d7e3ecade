#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "vanilladeck/daemon/serving_context.h"
#include "vanilladeck/daemon/serving_pending.h"

namespace vanilladeck::daemon {

/// Runs non-idempotent requests at most once: claims the key, dispatches, records the outcome.
class OperationRunner {
 public:
  using Route = std::function<boost::asio::awaitable<RouteResult>(const RoutedRequest&)>;

  explicit OperationRunner(ServingContext& context);

  /// Calls `route` at most once, and only if the claim was granted. Returns its result after the
  /// outcome was recorded or recording failed.
  [[nodiscard]] boost::asio::awaitable<RouteResult> Run(const RoutedRequest& request, Route route);

  /// A grant that arrives after `Run` has timed out is ignored: `Run` has released the claim.
  void OnClaimAnswered(ClaimAnswered& answer);
  void OnCompleteAnswered(CompleteAnswered& answer);

 private:
  [[nodiscard]] boost::asio::awaitable<operations::ClaimReply> Claim(const RoutedRequest& request,
                                                                     std::uint64_t claim_id);
  void ReleaseClaim(const RoutedRequest& request, std::uint64_t claim_id);
  [[nodiscard]] boost::asio::awaitable<bool> Complete(CompleteAsked asked);

  ServingContext& context_;
  PendingReplies<operations::ClaimReply> claims_;
  PendingReplies<operations::CompleteReply> completions_;
};

}  // namespace vanilladeck::daemon
