#pragma once

#include <memory>
#include <string>
#include <vector>

#include "vanilladeck/customers/identification.h"
#include "vanilladeck/gateway/context.h"
#include "vanilladeck/gateway/response_slot.h"
#include "vanilladeck/steering/server_picker.h"

namespace vanilladeck::gateway {

/// Forwards one client request to a backend server and returns the response.
///
/// A non-idempotent request is sent to a second server only if the first one cannot have run it:
/// the connection failed, or the server stated that it did not run it. A status that promises this
/// to clients (408, 421, 429, 503) is sent only for a request that no server has run or will run; a
/// server's own one becomes 502 unless the server states the same. Each attempt obeys the policy in
/// force when it is sent, which may be newer than the one in force when the request was received.
///
/// A body that still arrives from the client is passed on as it does. Once a server was sent more
/// than its first part, the request isn't sent to another one.
class ProxiedRequest : public PendingRequest, public std::enable_shared_from_this<ProxiedRequest> {
 public:
  /// `arriving` is null if the body is whole.
  ProxiedRequest(Context& context, std::shared_ptr<ResponseSlot> slot, Request request,
                 RequestBodyPtr arriving);

  /// Returns null if the request was answered immediately.
  [[nodiscard]] static std::shared_ptr<PendingRequest> Start(
      Context& context, const std::shared_ptr<ResponseSlot>& slot, Request request,
      RequestBodyPtr arriving = nullptr);

  /// True if the request, of which only the header section is read, may run before those ahead of
  /// it on its connection have been answered: its route lets it be repeated.
  [[nodiscard]] static bool MayRunBeside(const Context& context, const Request& request);

  void OnClientGone() override;
  void OnExit() override;
  [[nodiscard]] bool MayRunBeside() const override;

 private:
  [[nodiscard]] bool Begin();
  [[nodiscard]] static const config::Route* MatchRoute(const steering::RouteTable& routes,
                                                       const Request& request);
  void ReadAffinityKey();
  /// Sets `customer_` by the keys of `routes_`; false, after an answer, if `route_` needs a key and
  /// the request has no valid one.
  [[nodiscard]] bool IdentifyCustomer();
  /// False, after an answer, if the customer has used up its rate and burst.
  [[nodiscard]] bool AdmitByAllotment();
  /// The identity by the keys of `routes`.
  [[nodiscard]] customers::Identity IdentityBy(const steering::RouteTable& routes,
                                               const config::Route& route) const;
  /// Ends a request that no server has run, because its key is refused.
  void RefuseKey(std::string_view reason);
  /// True for fields of the client that servers must not see.
  [[nodiscard]] bool IsHiddenFromServers(const Request::value_type& field) const;
  /// Makes the policy in force the one of this request; false, without effect, if it doesn't allow
  /// the request to be sent (again). The deadline stays as it was.
  [[nodiscard]] bool AdoptPolicyInForce();
  /// False if another policy with other allowed regions for the request may be binding by now.
  [[nodiscard]] bool AreRegionsBinding() const;
  /// True if the request may still be sent to `server_`, chosen earlier.
  [[nodiscard]] bool AssignmentStands();
  /// False if this instance is stopping and the request may not end before its exit.
  [[nodiscard]] bool EndsBeforeExit() const;
  void StartAttempt();
  /// Ends the request because no further attempt is allowed.
  void GiveUp(std::string_view reason);
  void OnConnection(const UpstreamPool::ConnectionPtr& connection, AcquireStatus status,
                    const std::string& detail);
  void OnConnectFailure(AcquireStatus status, const std::string& detail);
  void Send(const UpstreamPool::ConnectionPtr& connection);
  void OnOutcome(const ExchangeOutcome& outcome);
  void OnResponse(const Response& response);
  void OnNotRun(const Response& response);
  /// Sends the request to another server if its attempts, deadline and retry budget permit it.
  [[nodiscard]] bool Retry(bool reached_server);
  void EndAttempt(steering::AttemptEnd end, const std::string& detail,
                  const std::optional<steering::ServerLoad>& load = std::nullopt);
  /// False if too many bodies are being passed on to servers of the service.
  [[nodiscard]] bool MayPassBodyOn();
  [[nodiscard]] OutgoingRequest UpstreamRequest(core::TimePoint now) const;
  /// `reused` states that the connection has carried other requests before.
  [[nodiscard]] bool BelongsToRequest(const Response& response, bool reused) const;
  /// The load that the server reports, if any. A report that cannot be read is counted and logged.
  [[nodiscard]] std::optional<steering::ServerLoad> ReadLoadReport(const Response& response);
  /// Notes whether the server states that it leaves. It gets no further requests then.
  void NoteLeaving(steering::Server& server, const Response& response);
  /// Notes the rate that the server accepts, which each of its responses states anew.
  void NoteServerLimit(const Response& response);

  void Forward(const Response& response);
  void Refuse(std::string_view reason);
  void Fail(unsigned status, std::string_view reason);
  void Answer(unsigned status, RequestEnd end, std::string_view reason);
  void Finish(RequestEnd end, unsigned status, std::string_view reason);
  void OnDeadline();
  /// Ends the request although an attempt is under way.
  void BreakOff(std::string_view reason);
  /// The client's body is malformed, too large or doesn't fit into the memory.
  void OnBodyBroken(unsigned status);

  Context& context_;
  std::shared_ptr<ResponseSlot> slot_;
  Request request_;                          ///< Without its body.
  std::shared_ptr<const std::string> body_;  ///< Null if it is empty or still arrives.
  RequestBodyPtr arriving_;                  ///< Null if the body is whole.
  std::shared_ptr<void> arriving_count_;
  std::string id_;
  std::string affinity_key_;
  std::uint64_t spread_ = 0;
  std::shared_ptr<const steering::RouteTable> routes_;  ///< Keeps `route_` and `service_` alive.
  const config::Route* route_ = nullptr;
  const config::ServiceLimits* service_ = nullptr;
  /// Holder of the request's key in `routes_`; null without a known key.
  const config::Customer* customer_ = nullptr;
  bool key_removed_ = false;  ///< The policy in force refuses the key that an older one allowed.
  std::string service_name_;
  core::TimePoint received_at_;
  core::Duration retry_after_{0};  ///< Set for a request beyond its customer's limit.
  core::TimePoint deadline_;
  Deadlines::Id deadline_id_ = 0;

  steering::ServerPtr server_;  ///< Of the current attempt.
  UpstreamPool::ConnectionPtr connection_;
  core::TimePoint sent_at_;
  double load_when_sent_ = 0;
  std::uint32_t position_ = 0;
  std::uint64_t object_ = 0;  ///< Hash of the affinity key; 0 if there is none.
  std::vector<std::string> tried_;
  std::string region_;                  ///< Of the server that the request was sent to last.
  std::uint32_t attempts_sent_ = 0;     ///< Attempts whose bytes may have reached a server.
  std::uint32_t connect_failures_ = 0;  ///< Attempts that got no connection.
  bool may_have_run_ = false;
  bool finished_ = false;
};

}  // namespace vanilladeck::gateway
