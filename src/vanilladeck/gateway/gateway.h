#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "vanilladeck/gateway/allotment_exchange.h"
#include "vanilladeck/gateway/client_session.h"
#include "vanilladeck/gateway/compressed_items.h"
#include "vanilladeck/gateway/context.h"
#include "vanilladeck/gateway/listener.h"
#include "vanilladeck/gateway/metrics_text.h"
#include "vanilladeck/gateway/peer_channel.h"
#include "vanilladeck/gateway/peer_request.h"
#include "vanilladeck/gateway/platform_port.h"
#include "vanilladeck/gateway/policy_check.h"
#include "vanilladeck/gateway/store_channel.h"
#include "vanilladeck/membership/change_log.h"
#include "vanilladeck/membership/entry_choice.h"
#include "vanilladeck/membership/feed_source.h"
#include "vanilladeck/membership/load_meter.h"
#include "vanilladeck/membership/registration.h"
#include "vanilladeck/membership/store_follower.h"
#include "vanilladeck/steering/departed_servers.h"
#include "vanilladeck/store/era_tracker.h"

namespace vanilladeck::gateway {

/// Configuration that an instance gets at startup.
struct GatewaySettings {
  std::string instance;
  std::string failure_domain;
  std::string region;
  std::map<std::string, std::string> region_of_domain;
  boost::asio::ip::tcp::endpoint clients;    ///< Listener for client requests.
  boost::asio::ip::tcp::endpoint readiness;  ///< Listener for readiness checks.
  boost::asio::ip::tcp::endpoint lookups;    ///< Listener for lookups.
  boost::asio::ip::tcp::endpoint metrics;    ///< Listener for metrics; port 0: none.
  boost::asio::ip::tcp::endpoint store;
  boost::asio::ip::tcp::endpoint peers;  ///< Listener for other instances; port 0: none.
  /// Peer listeners of instances that may be running; queried if the store is unreachable at
  /// startup.
  std::vector<boost::asio::ip::tcp::endpoint> seeds;
  ProcessLimits process;
  /// Number of instances whose loss at the same time must be tolerated.
  std::size_t tolerated_losses = 2;
  WireNames names;
  FleetLimits fleet;
  membership::FollowerSettings follower;
  /// Time after which a policy that the store has accepted is binding.
  core::Duration policy_delay = std::chrono::milliseconds(2500);
  /// Time from SIGTERM until the platform kills the process.
  core::Duration stop_grace = std::chrono::seconds(6);
};

/// One instance: proxies client requests, follows the store, answers lookups and readiness checks.
class Gateway {
 public:
  Gateway(boost::asio::io_context& context, GatewaySettings settings, const PlatformCodec& codec,
          telemetry::EventStream& events);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Starts serving. Listeners that cannot be opened are retried until they can.
  void Start();

  /// Graceful shutdown: leaves lookups and fails readiness checks at once, lets requests finish,
  /// then runs `stopped`.
  void BeginDrain(std::function<void()> stopped);

  [[nodiscard]] bool Ready() const noexcept;

 private:
  /// Stands for the reader that relays the limits that others state; no instance has this name.
  static constexpr std::string_view kRelay{};

  /// Source of what another instance stated, in the log.
  static constexpr std::string_view kPeerSource =
      membership::kItemSourceNames[static_cast<std::size_t>(membership::ItemSource::kPeer)];

  /// A listener and its endpoint.
  struct Binding {
    Listener& listener;
    boost::asio::ip::tcp::endpoint endpoint;
    std::string_view name;
    bool required;  ///< The instance is not ready while it is closed.
    bool failed = false;
  };

  /// Record of an instance that had left, from a copy of the store. Used if it is still listed when
  /// its lease would have ended.
  struct ReturnedRecord {
    membership::InstanceRecord record;
    core::TimePoint due;
  };
  /// What the grace period after a change of the era has changed so far.
  struct EraSettling {
    core::TimePoint since;
    std::size_t removed = 0;
    std::size_t brought_back = 0;
  };

  void Tick();
  void OpenListeners();
  void LogEvictions();
  void SendStoreCalls();
  void QueryPeer(const membership::FeedPeer& peer);
  [[nodiscard]] PeerSender Sender() const;
  /// Queries another instance while the store does not answer this one: a seed for its state before
  /// the first listing, a known instance for changes.
  void QueryFallback(core::TimePoint now);
  void OnFallbackResponse(const membership::FeedPeer& peer, const ExchangeOutcome& outcome);
  /// Reads an item that `peer` referred to, unless one is being read.
  void ReadAwaitedItem(const membership::FeedPeer& peer);
  void OnItemResponse(const membership::FeedPeer& peer, const membership::ItemReference& awaited,
                      const ExchangeOutcome& outcome);
  /// Answers the request of another instance for an item.
  void ServeItem(ResponseSlot& slot, const std::string& key);
  /// Instances of all regions that can relay changes.
  [[nodiscard]] std::vector<membership::FeedPeer> KnownPeers() const;
  void OnPeerResponse(const membership::FeedPeer& peer, const ExchangeOutcome& outcome);
  void UpdateFeedPeers();
  void UpdatePolicyAge();
  void OnItem(const store::Item& item);
  void OnRemoved(const std::string& key);
  void OnSynced();
  /// Puts the policy of `item` in force unless it is older, or holds it back during a start.
  void ApplyPolicy(config::RoutingPolicy policy, const store::Item& item, std::string_view source);
  /// Passes an item on to other instances. What the store has under the policy's key may be older
  /// than the policy in force, which takes its place.
  void RelayItem(const store::Item& item, bool matters);
  /// Version of the policy in force; 0 if there is none.
  [[nodiscard]] std::uint64_t PolicyVersion() const noexcept;
  /// Asks other instances for a newer policy if one may be in force there, reads it, and puts a
  /// policy in force that was held back for this.
  void CheckPolicy();
  /// Instances that can be asked, those of the own region first.
  [[nodiscard]] std::vector<membership::FeedPeer> PolicyPeers() const;
  /// Returns a channel without a request in flight, or null if all are in use.
  PeerChannel* IdlePolicyChannel();
  void AskPolicyVersion(const membership::FeedPeer& peer, PeerChannel& channel);
  void ReadPolicy(const membership::FeedPeer& peer, PeerChannel& channel);
  /// Another instance states the version of the policy in force there.
  void OnPeerPolicy(const membership::FeedPeer& peer, std::uint64_t version);
  /// Returns the policy in force as an item, as `ServeItem` passes it on; null if there is none.
  [[nodiscard]] const store::Item* PolicyItemInForce() const noexcept;
  /// True if the change must be passed on to other instances.
  bool ApplyServerReport(steering::ServerReport report, store::Era era);
  /// False, and logged, if a copy of the store brought back the report, read in `era`, of a server
  /// that has left. A server that had reported that it leaves still does.
  bool JudgeReturned(steering::ServerReport& report, store::Era era);
  /// What another instance must know of servers that have left, or leave, to judge reports of
  /// `era`.
  [[nodiscard]] std::vector<steering::DepartedServers::Departure> DeparturesBefore(
      store::Era era) const;
  /// Another instance states, in `body`, which servers have left or leave: what is known of them
  /// here may be from a copy of the store.
  void OnPeerDepartures(const std::string& peer, std::string_view body);
  void OnPeerDeparture(const steering::DepartedServers::Departure& departure);
  /// The server's entry was removed from the store.
  void RemoveServer(const std::string& id);
  void DropServer(const steering::Server& server, std::string_view reason, std::string_view source);
  void LogServer(telemetry::StreamEvent event, const steering::ServerReport& report,
                 std::string_view source);
  void LogDropped(const steering::ServerReport& report, store::Era era,
                  const steering::DepartedServers::Departure& departure, std::string_view source);
  /// Logs servers that got their address back.
  void LogReturned();
  /// Logs that the address of a listed server belongs to another one.
  void LogSuperseded(const steering::Server& superseded);
  /// Name of the source of the item that is being applied.
  [[nodiscard]] std::string_view SourceName() const noexcept;
  void ApplyEvacuations();
  void UpdateFleet();
  void LogSplits();
  void LogPaces();
  void UpdateReadiness();
  /// Does what the schedule of the stop asks for by now.
  void DrainTick();
  /// Counts the bytes received from the store or an instance, and logs a transfer that was slow.
  void CountTransfer(std::string_view source, std::string_view call, const Transfer& transfer);
  void CountCall(const store::VersionedCall& call, const store::VersionedResult& result,
                 const Transfer& transfer);
  /// Logs a watch that returned many changes, with the revisions that it led from and to.
  void LogChanges(const store::VersionedCall& call, const store::VersionedResult& result);
  /// Returns the era of a response of the store, or none if it must not be used.
  std::optional<store::Era> JudgeEra(std::string_view channel, const store::EraReading& reading,
                                     store::Era sent_in);
  /// Another instance states the era of its state.
  void OnPeerEra(const std::string& peer, store::Era era);
  void ApplyRecord(const membership::InstanceRecord& record);
  void DeferReturnedRecord(const store::Item& item, const membership::InstanceRecord& record);
  /// The store's revisions have gone back, in an era of which it does not tell.
  void OnDataLost();
  /// The era has changed: all state is ordered anew. `source` told of it.
  void AdoptEra(store::Era known, std::string_view source);
  /// Applies what is due by now, and logs the end of the grace period after a change of the era.
  void TickFollower(core::TimePoint now);
  /// Logs what a listing brought, if it followed a lost history or did not apply everything.
  void LogListing();
  /// Serves readiness checks, lookups and metrics, which clients may ask for.
  void ServeLocalRequest(ResponseSlot& slot, const Request& request);
  /// Serves what other instances ask for as well: state and policy, with the customers' keys, and
  /// allotments. For their listener only.
  void ServePeerRequest(ResponseSlot& slot, const Request& request);
  /// Addresses for a lookup response; empty, and logged, if the lookup must be refused.
  [[nodiscard]] std::vector<std::string> LookupAddresses(const LookupQuery& query);
  /// Selects the instances that a lookup names; `query` needs no losses.
  [[nodiscard]] membership::EntryChoice ChooseEntries(membership::EntryQuery query,
                                                      const membership::InstanceRecord& self) const;
  /// Forgets instances lost long ago, and logs changes of the own region's entries.
  void UpdateEntries(core::TimePoint now);
  /// Measures the load of this instance, and states it if the choice of the entries depends on it.
  void MeasureLoad(core::TimePoint now);
  [[nodiscard]] std::string MetricsText() const;

  boost::asio::io_context& io_;
  GatewaySettings settings_;
  const PlatformCodec& codec_;
  telemetry::EventStream& events_;
  Context context_;
  membership::StoreFollower follower_;
  membership::Registration registration_;
  membership::LoadMeter load_meter_;
  StoreChannel follower_channel_;
  StoreChannel check_channel_;
  StoreChannel lease_channel_;
  membership::ChangeLog change_log_;
  membership::FeedSource feed_source_;
  AllotmentExchange allotment_exchange_;
  PeerChannel peer_channel_;
  PeerChannel item_channel_;
  PeerChannel fallback_channel_;
  CompressedItems compressed_items_;
  PolicyCheck policy_check_;
  std::vector<std::unique_ptr<PeerChannel>> policy_channels_;
  store::Item policy_in_force_;             ///< Without a key if there is none.
  std::optional<store::Item> held_policy_;  ///< Known, but not in force before `policy_check_`.
  core::TimePoint policy_held_since_;
  /// Position in the change log of each peer queried so far. The store position is set when it is
  /// sent.
  std::map<std::string, membership::PeerPosition> peer_positions_;
  std::map<std::string, membership::InstanceRecord> instances_;
  membership::LostInstances lost_instances_;
  core::TimePoint next_entries_update_;
  bool equal_instances_ = true;  ///< Of the own region, in what they state of their capacity.
  EntryGauges entries_;          ///< Of the own region, as of the last update.
  std::set<std::string> named_instances_;  ///< In lookups of the own region, as last logged.
  std::set<std::string> evacuated_;
  steering::DepartedServers departed_servers_;
  /// Servers whose last item is an older report than the known one, from a copy of the store.
  std::set<std::string> outdated_items_;
  /// Shares by region of each service, as last logged.
  std::map<std::string, std::map<std::string, double>> logged_splits_;
  std::unique_ptr<RequestHandler> proxy_handler_;
  std::unique_ptr<RequestHandler> local_handler_;
  std::unique_ptr<RequestHandler> peer_handler_;
  Listener clients_;
  Listener readiness_;
  Listener lookups_;
  Listener metrics_;
  Listener peers_;
  std::vector<Binding> bindings_;
  core::TimePoint next_listener_attempt_;
  std::uint64_t logged_evictions_ = 0;
  std::size_t next_seed_ = 0;
  bool seed_asked_last_ = false;
  core::TimePoint next_fallback_query_;  ///< The clock's epoch until the first tick.
  core::TimePoint policy_applied_at_;
  core::TimePoint record_missing_since_;
  std::uint32_t fleet_peak_ = 1;
  core::TimePoint fleet_peak_at_;
  std::uint32_t last_fleet_size_ = 0;  ///< Instances at the last count.
  core::TimePoint fleet_size_changed_at_;
  bool fleet_settled_ = false;
  bool instances_changed_ = false;  ///< Since the last update of the peers.
  bool stopped_ = false;
  bool was_ready_ = false;
  bool policy_outdated_ = false;
  store::EraTracker era_tracker_;
  std::optional<EraSettling> era_settling_;
  /// The item that is being applied was removed before the store returned from a copy that contains
  /// it, and was not written again within the grace period.
  bool applying_held_ = false;
  std::map<std::string, ReturnedRecord> returned_records_;  ///< By key.
  bool history_lost_ = false;  ///< A watch was refused since the last listing.
  std::function<void()> on_stopped_;
};

}  // namespace vanilladeck::gateway
