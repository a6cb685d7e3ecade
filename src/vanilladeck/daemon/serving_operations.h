#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "vanilladeck/daemon/serving_context.h"
#include "vanilladeck/daemon/serving_pending.h"

namespace vanilladeck::daemon {

/// Runs non-idempotent requests at most once: claim, dispatch, complete.
class OperationRunner {
 public:
  using Route = std::function<boost::asio::awaitable<RouteResult>(const RoutedRequest&)>;

  explicit OperationRunner(ServingContext& context);

  /// Calls `route` at most once, and only with a claim. The result is returned after its outcome
  /// was recorded, or after recording failed.
  [[nodiscard]] boost::asio::awaitable<RouteResult> Run(const RoutedRequest& request, Route route);

  /// A grant that comes after `Run` gave up is ignored: giving up released the claim.
  void OnClaimAnswered(ClaimAnswered& answer);
  void OnCompleteAnswered(CompleteAnswered& answer);

 private:
  [[nodiscard]] boost::asio::awaitable<operations::ClaimReply> Claim(const RoutedRequest& request,
                                                                     std::uint64_t claim_id);
  void GiveUp(const RoutedRequest& request, std::uint64_t claim_id);
  [[nodiscard]] boost::asio::awaitable<bool> Complete(CompleteAsked asked);

  ServingContext& context_;
  Pending<operations::ClaimReply> claims_;
  Pending<operations::CompleteReply> completions_;
};

}  // namespace vanilladeck::daemon
