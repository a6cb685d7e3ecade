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

/// Sender's side: sends requests on to entry instances of other failure domains, with credits.
class ForwardSender {
 public:
  explicit ForwardSender(ServingContext& context);

  /// Applies the context's present snapshot.
  void Apply();

  /// None when no credit could be had: nothing was sent. `may_wait` allows to wait for credits,
  /// which only a request without any own server does.
  [[nodiscard]] boost::asio::awaitable<std::optional<RouteResult>> Forward(
      const RoutedRequest& request, bool may_wait);

  void OnForwardAnswered(ForwardAnswered& answer);
  void OnCreditsAnswered(CreditsAnswered& answer);

 private:
  struct Ask {
    core::InstanceId target;
    std::string service;
    core::TimePoint asked_at;
  };
  struct AskState {
    bool outstanding = false;
    core::TimePoint not_before;
  };
  using Candidates = std::vector<core::InstanceId>;

  [[nodiscard]] Candidates FindCandidates(const std::string& service) const;
  /// Candidates in the order for one request; equally near ones rotate.
  [[nodiscard]] Candidates Order(const std::string& service);
  [[nodiscard]] std::optional<steering::CreditUse> TakeCredit(const Candidates& candidates,
                                                              const std::string& service);
  [[nodiscard]] AskState& StateOf(const core::InstanceId& target, const std::string& service) {
    return ask_states_[target][service];
  }
  /// Id of the question; none when one is outstanding or the target refused lately.
  [[nodiscard]] std::optional<std::uint64_t> AskForCredits(const core::InstanceId& target,
                                                           const std::string& service);
  [[nodiscard]] boost::asio::awaitable<std::optional<steering::CreditUse>> AwaitCredit(
      const Candidates& candidates, const RoutedRequest& request);
  [[nodiscard]] boost::asio::awaitable<RouteResult> Send(const RoutedRequest& request,
                                                         const steering::CreditUse& credit);

  ServingContext& context_;
  steering::SenderCredits wallet_;
  Pending<peer::ForwardReply> replies_;
  Pending<peer::CreditGrant> grants_;
  std::unordered_map<std::uint64_t, Ask> asks_;
  std::unordered_map<core::InstanceId, std::map<std::string, AskState>> ask_states_;
  std::map<std::string, Candidates> candidates_;  ///< By service, nearest region first.
  std::map<std::string, double> demand_;          ///< Wanted forwards by service, decaying.
  std::shared_ptr<const Snapshot> snapshot_;
  std::uint64_t rotation_ = 0;
};

/// Receiver's side: admits and runs the requests of other failure domains.
class ForwardReceiver {
 public:
  ForwardReceiver(ServingContext& context, ServiceQueues& queues, Dispatcher& dispatcher)
      : context_(context), queues_(queues), dispatcher_(dispatcher) {}

  void Apply();

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
