#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <unordered_set>
#include <vector>

#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/daemon/config_manager.h"
#include "vanilladeck/daemon/control.h"
#include "vanilladeck/daemon/operations_manager.h"
#include "vanilladeck/daemon/operators_listener.h"
#include "vanilladeck/daemon/peer_calls.h"
#include "vanilladeck/daemon/seat_manager.h"
#include "vanilladeck/daemon/store_gateway.h"
#include "vanilladeck/membership/view.h"
#include "vanilladeck/peer/node.h"

namespace vanilladeck::daemon {

/// State of the control thread. Only the mailboxes may be used from other threads.
class Control::Impl {
 public:
  Impl(Settings settings, core::InstanceId self);
  ~Impl();

  /// Opens the listeners and the store client; returns the error of the first that failed.
  [[nodiscard]] std::optional<ControlError> Open();

  void Start(const std::string& caller_address, PostToServing post);
  void Drain();
  void Join();

  [[nodiscard]] core::Mailbox<ToControl>& mailbox() noexcept { return mailbox_; }

 private:
  using Interval = core::Duration;

  // control.cc: life cycle and periodic work
  void RunPeriodically(Interval interval, core::Timer& timer, void (Impl::*work)());
  void TickFast();
  void TickSlow();
  void TickOneSecond();
  void OnConfiguration();
  void ContinueDrain();
  void Finish();

  // control_membership.cc: heartbeats, the platform's instance list, snapshots
  void SendHeartbeats(const std::vector<std::string>& targets);
  /// Addresses of the live instances of this failure domain that are not leaving.
  [[nodiscard]] std::vector<std::string> DomainPeers() const;
  void AnnounceToDomain();
  void OnPeerHeartbeat(const membership::Heartbeat& heartbeat);
  void RecordRoundTrip(const std::string& failure_domain, core::Duration round_trip);
  void HandleRemovedInstances();
  void RefreshInstanceLists();
  void FetchServersFromPeer();
  void RegisterSelf();
  [[nodiscard]] store::ListedInstance MakeSelfRegistration() const;
  void PublishSnapshot();
  [[nodiscard]] std::shared_ptr<const Snapshot> MakeSnapshot() const;
  [[nodiscard]] bool IsReader() const;

  // control_messages.cc: messages from the serving thread and from peers
  void DrainMailboxes();
  void Handle(ClaimAsked& message);
  void Handle(CompleteAsked& message);
  void Handle(ForwardAsked& message);
  void Handle(ForwardServed& message);
  void Handle(CreditsAsked& message);
  void Handle(CreditsServed& message);
  void Handle(const Drained& message);
  void Handle(peer::IncomingCall& event);
  void Handle(const peer::IncomingCallCancelled& event);
  void Handle(peer::CallFinished& event);
  void Serve(std::uint64_t id, const membership::Heartbeat& call);
  void Serve(std::uint64_t id, peer::ForwardRequest& call);
  void Serve(std::uint64_t id, const operations::ClaimRequest& call);
  void Serve(std::uint64_t id, const operations::CompleteRequest& call);
  void Serve(std::uint64_t id, const peer::CreditRequest& call);
  void Serve(std::uint64_t id, const peer::FetchVersions& call);
  void Serve(std::uint64_t id, const peer::FetchServers& call);
  void Serve(std::uint64_t id, const peer::ConfirmSeat& call);
  void Serve(std::uint64_t id, const peer::AnnounceSeat& call);
  void Respond(std::uint64_t id, const peer::Answer& answer);
  void PostServing(const ToServing& message);

  // control_operators.cc
  [[nodiscard]] std::string DaemonStatus() const;
  [[nodiscard]] config::OperatorResponse Explain(const config::ExplainRequest& request) const;
  void OnOperator(const config::OperatorRequest& request,
                  const OperatorsListener::Respond& respond);

  Settings settings_;
  core::InstanceId self_;
  boost::asio::io_context context_;
  core::Mailbox<ToControl> mailbox_;
  core::Mailbox<peer::Event> peer_mailbox_;
  PostToServing post_;
  std::thread thread_;
  std::mt19937_64 random_;

  std::unique_ptr<peer::Node> node_;
  std::unique_ptr<OperatorsListener> operators_;
  std::unique_ptr<StoreGateway> store_;
  std::unique_ptr<PeerCalls> peers_;
  std::unique_ptr<membership::View> view_;
  std::unique_ptr<ConfigManager> config_;
  std::unique_ptr<SeatManager> seats_;
  std::unique_ptr<OperationsManager> operations_;  ///< Null until a configuration is in force.

  core::Timer fast_timer_;
  core::Timer slow_timer_;
  core::Timer one_second_timer_;
  std::vector<store::ListedInstance> servers_;
  std::map<std::string, core::Duration> domain_latency_;  ///< Smoothed latency by failure domain.
  bool servers_loaded_ = false;  ///< `servers_` was read from the platform or a peer.
  core::TimePoint next_list_refresh_;
  core::TimePoint next_register_;
  bool snapshot_due_ = true;
  std::unordered_set<std::uint64_t> active_forwards_;  ///< Forwarded requests being served.
  bool draining_ = false;
  bool drained_ = false;
  bool releasing_ = false;
  core::TimePoint release_deadline_;
};

}  // namespace vanilladeck::daemon
