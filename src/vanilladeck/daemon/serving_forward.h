#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "vanilladeck/daemon/serving_context.h"
#include "vanilladeck/daemon/serving_dispatcher.h"
#include "vanilladeck/daemon/serving_pending.h"
#include "vanilladeck/daemon/serving_services.h"
#include "vanilladeck/steering/credit_ledger.h"
#include "vanilladeck/steering/sender_credits.h"

namespace vanilladeck::daemon {

/// Sender side of forwarding: sends requests to entry instances of other failure domains. Each
/// forwarded request uses up one credit of its receiver.
class ForwardSender {
 public:
  explicit ForwardSender(ServingContext& context);

  void ApplySnapshot();

  /// None if no credit was available and nothing was sent. With `may_wait`, meant for requests that
  /// no own server can run, it requests credits and waits for them.
  [[nodiscard]] boost::asio::awaitable<std::optional<RouteResult>> Forward(
      const RoutedRequest& request, bool may_wait);

  void OnForwardAnswered(ForwardAnswered& answer);
  void OnCreditsAnswered(CreditsAnswered& answer);

 private:
  struct PendingCreditRequest {
    core::InstanceId target;
    std::string service;
    core::TimePoint sent_at;
  };
  struct CreditRequestState {
    bool outstanding = false;
    core::TimePoint not_before;
  };
  using Candidates = std::vector<core::InstanceId>;

  [[nodiscard]] Candidates FindCandidates(const std::string& service) const;
  /// The first candidates for `service`, own region first; cached until the snapshot changes.
  [[nodiscard]] Candidates SelectCandidates(const std::string& service);
  [[nodiscard]] std::optional<steering::CreditUse> TakeCredit(const Candidates& candidates,
                                                              const std::string& service);
  [[nodiscard]] CreditRequestState& StateOf(const core::InstanceId& target,
                                            const std::string& service) {
    return credit_request_states_[target][service];
  }
  /// Id of the credit request; none if one is outstanding or the target recently granted nothing.
  [[nodiscard]] std::optional<std::uint64_t> RequestCredits(const core::InstanceId& target,
                                                            const std::string& service);
  [[nodiscard]] boost::asio::awaitable<std::optional<steering::CreditUse>> AwaitCredit(
      const Candidates& candidates, const RoutedRequest& request);
  [[nodiscard]] boost::asio::awaitable<RouteResult> Send(const RoutedRequest& request,
                                                         const steering::CreditUse& credit);

  ServingContext& context_;
  steering::SenderCredits credits_;
  PendingReplies<peer::ForwardReply> replies_;
  PendingReplies<peer::CreditGrant> grants_;
  std::unordered_map<std::uint64_t, PendingCreditRequest> pending_credit_requests_;
  std::unordered_map<core::InstanceId, std::map<std::string, CreditRequestState>>
      credit_request_states_;
  std::map<std::string, Candidates> candidates_;  ///< By service, own region first.
  std::map<std::string, double> demand_;  ///< Decaying number of forwards wanted per service.
  std::shared_ptr<const Snapshot> snapshot_;
  std::uint64_t rotation_ = 0;
};

/// Receiver side of forwarding: admits and runs requests from other failure domains.
class ForwardReceiver {
 public:
  ForwardReceiver(ServingContext& context, ServiceQueues& queues, Dispatcher& dispatcher)
      : context_(context), queues_(queues), dispatcher_(dispatcher) {}

  void ApplySnapshot();

  void OnForwardArrived(ForwardArrived arrived);
  void OnForwardCancelled(const ForwardCancelled& cancelled);
  void OnCreditsArrived(const CreditsArrived& arrived);

  [[nodiscard]] std::size_t active_requests() const noexcept { return active_.size(); }

 private:
  [[nodiscard]] boost::asio::awaitable<void> Serve(ForwardArrived arrived);
  [[nodiscard]] boost::asio::awaitable<RouteResult> Run(const peer::ForwardRequest& request,
                                                        const RoutedRequest& routed,
                                                        Cancellation& cancellation);

  ServingContext& context_;
  ServiceQueues& queues_;
  Dispatcher& dispatcher_;
  std::optional<steering::CreditLedger> ledger_;
  std::shared_ptr<const config::Deployment> deployment_;
  std::unordered_map<std::uint64_t, Cancellation*> active_;
};

}  // namespace vanilladeck::daemon
