#pragma once

#include <memory>
#include <string>
#include <vector>

#include "vanilladeck/gateway/client_session.h"
#include "vanilladeck/gateway/context.h"
#include "vanilladeck/steering/server_picker.h"

namespace vanilladeck::gateway {

/// One client attempt on its way to a backend server and back.
///
/// A non-idempotent request is sent to a second server only when the first one cannot have run it:
/// no connection came about, or the server said so. A 503 is sent only for a request that no server
/// has run or will run.
class ProxiedRequest : public PendingRequest, public std::enable_shared_from_this<ProxiedRequest> {
 public:
  ProxiedRequest(Context& context, std::shared_ptr<ClientSession> session, Request request);

  /// Null if the request was answered at once.
  [[nodiscard]] static std::shared_ptr<PendingRequest> Start(
      Context& context, const std::shared_ptr<ClientSession>& session, Request request);

  void OnClientGone() override;

 private:
  [[nodiscard]] bool Begin();
  void StartAttempt();
  void OnConnection(const UpstreamPool::ConnectionPtr& connection, AcquireStatus status,
                    const std::string& detail);
  void OnConnectFailure(AcquireStatus status, const std::string& detail);
  void Send(const UpstreamPool::ConnectionPtr& connection);
  void OnOutcome(const ExchangeOutcome& outcome);
  void OnResponse(const Response& response);
  void OnNotRun(const Response& response);
  /// Sends the request to another server if everything permits it.
  [[nodiscard]] bool Retry(bool reached_server);
  void EndAttempt(steering::AttemptEnd end, const std::string& detail,
                  const std::optional<steering::ServerLoad>& load = std::nullopt);
  [[nodiscard]] std::string UpstreamRequestText(core::TimePoint now) const;
  [[nodiscard]] bool BelongsToRequest(const Response& response) const;
  [[nodiscard]] std::optional<steering::ServerLoad> ParseServerLoad(const Response& response) const;

  void Forward(const Response& response);
  void Refuse(std::string_view reason);
  void Fail(unsigned status, std::string_view reason);
  void Answer(unsigned status, RequestOutcome outcome, std::string_view reason);
  void Finish(RequestOutcome outcome, unsigned status, std::string_view reason);
  void OnDeadline();

  Context& context_;
  std::shared_ptr<ClientSession> session_;
  Request request_;
  std::string id_;
  std::string affinity_key_;
  std::uint64_t spread_ = 0;
  std::shared_ptr<const steering::RouteTable> routes_;  ///< Keeps `route_` and `service_` alive.
  const config::Route* route_ = nullptr;
  const config::ServiceLimits* service_ = nullptr;
  std::string service_name_;
  core::TimePoint received_at_;
  core::TimePoint deadline_;
  Deadlines::Id deadline_id_ = 0;

  steering::ServerPtr server_;  ///< Of the attempt under way.
  UpstreamPool::ConnectionPtr connection_;
  core::TimePoint sent_at_;
  double load_when_sent_ = 0;
  std::uint32_t position_ = 0;
  std::vector<std::string> tried_;
  std::uint32_t attempts_sent_ = 0;     ///< Attempts of which bytes may have reached a server.
  std::uint32_t connect_failures_ = 0;  ///< Attempts without a connection.
  bool may_have_run_ = false;
  bool finished_ = false;
};

}  // namespace vanilladeck::gateway
