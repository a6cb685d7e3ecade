#include "vanilladeck/http/connection_pool.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "vanilladeck/http/header_fields.h"

namespace vanilladeck::http {
namespace {

// Within a data centre network, a connect that takes longer than 1 s is considered failed.
constexpr core::Duration kConnectTimeout = std::chrono::seconds(1);
constexpr core::Duration kProbeTimeout = std::chrono::milliseconds(500);

Request HealthRequest(const std::string& server) {
  Request request(boost::beast::http::verb::get, "/health", 11);
  request.set("Host", server);
  return request;
}

}  // namespace

ConnectionPool::ConnectionPool(boost::asio::any_io_executor executor, const BackendLimits& limits,
                               admission::ConnectionHealth health)
    : executor_(std::move(executor)), limits_(limits), health_(std::move(health)) {}

boost::asio::awaitable<core::Result<ConnectionPool::Lease, Problem>> ConnectionPool::Acquire(
    std::string server, std::uint32_t limit, core::TimePoint deadline) {
  const core::TimePoint now = core::RuntimeClock::now();
  if (std::optional<Lease> lease = TakeUsable(server, now)) co_return std::move(*lease);
  const auto endpoint = ParseEndpoint(server);
  if (!endpoint) {
    co_return Problem{ProblemCode::kNoServer, core::Outcome::kNotRun, "bad address", {}};
  }
  if (Count(server) + connecting_[server] >= limit && !EvictUnusable(server)) {
    const std::string detail = "all connections to the server are in use";
    co_return Problem{ProblemCode::kNoServer, core::Outcome::kNotRun, detail,
                      std::chrono::seconds(1)};
  }
  auto connection = std::make_shared<BackendConnection>(executor_, limits_);
  ++connecting_[server];
  const core::TimePoint connect_deadline = std::min(deadline, now + kConnectTimeout);
  std::optional<Problem> problem = co_await connection->Connect(*endpoint, connect_deadline);
  --connecting_[server];
  if (problem) co_return std::move(*problem);
  Lease lease{server, next_id_++, std::move(connection)};
  health_.OnOpened(lease.id, std::move(server), core::RuntimeClock::now());
  co_return lease;
}

boost::asio::awaitable<ExchangeResult> ConnectionPool::Exchange(const Lease& lease,
                                                                const Request& request,
                                                                core::TimePoint deadline,
                                                                const SendCheck& check) {
  const SendCheck check_and_record = [&]() -> std::optional<Problem> {
    std::optional<Problem> problem = check ? check() : std::nullopt;
    if (!problem) health_.OnRequestSent(lease.id, deadline);
    return problem;
  };
  ExchangeResult result = co_await lease.connection->Exchange(request, deadline, check_and_record);
  if (result.has_value()) {
    health_.OnResponse(lease.id, core::RuntimeClock::now());
  } else if (result.error().problem.code == ProblemCode::kResponseTimeout) {
    health_.OnSilent(lease.id);
  }
  co_return result;
}

void ConnectionPool::Release(Lease lease) {
  if (!lease.connection->Reusable()) {
    lease.connection->Close();
    health_.OnClosed(lease.id);
    return;
  }
  server_of_idle_[lease.id] = lease.server;
  idle_[lease.server].push_back(std::move(lease));
}

std::optional<ConnectionPool::Lease> ConnectionPool::TakeUsable(const std::string& server,
                                                                core::TimePoint now) {
  IdleList& idle = idle_[server];
  for (std::size_t i = idle.size(); i-- > 0;) {
    if (!health_.Usable(idle[i].id, now)) continue;
    std::optional<Lease> lease = TakeIdle(server, idle[i].id);
    if (lease->connection->Reusable()) return lease;
    health_.OnClosed(lease->id);
  }
  return std::nullopt;
}

std::optional<ConnectionPool::Lease> ConnectionPool::TakeIdle(const std::string& server,
                                                              admission::ConnectionId id) {
  IdleList& idle = idle_[server];
  const auto it =
      std::find_if(idle.begin(), idle.end(), [id](const Lease& lease) { return lease.id == id; });
  if (it == idle.end()) return std::nullopt;
  Lease lease = std::move(*it);
  idle.erase(it);
  server_of_idle_.erase(id);
  return lease;
}

bool ConnectionPool::EvictUnusable(const std::string& server) {
  const IdleList& idle = idle_[server];
  if (idle.empty()) return false;
  std::optional<Lease> lease = TakeIdle(server, idle.front().id);
  lease->connection->Close();
  health_.OnClosed(lease->id);
  return true;
}

void ConnectionPool::CloseIdle(const std::string& server) {
  const auto it = idle_.find(server);
  if (it == idle_.end()) return;
  for (const Lease& lease : it->second) {
    lease.connection->Close();
    health_.OnClosed(lease.id);
    server_of_idle_.erase(lease.id);
  }
  idle_.erase(it);
}

void ConnectionPool::Check() {
  const admission::ConnectionActions actions = health_.Check(core::RuntimeClock::now());
  for (const admission::ConnectionId id : actions.close) {
    const auto it = server_of_idle_.find(id);
    if (it == server_of_idle_.end()) continue;
    if (std::optional<Lease> lease = TakeIdle(std::string(it->second), id)) {
      lease->connection->Close();
    }
  }
  for (const admission::ConnectionId id : actions.probe) {
    const auto it = server_of_idle_.find(id);
    if (it == server_of_idle_.end()) continue;
    std::optional<Lease> lease = TakeIdle(std::string(it->second), id);
    if (!lease) continue;
    boost::asio::co_spawn(executor_, Probe(std::move(*lease)), boost::asio::detached);
  }
}

boost::asio::awaitable<void> ConnectionPool::Probe(Lease lease) {
  const Request request = HealthRequest(lease.server);
  const core::TimePoint deadline = core::RuntimeClock::now() + kProbeTimeout;
  const ExchangeResult result = co_await lease.connection->Exchange(request, deadline, SendCheck{});
  if (result.has_value()) {
    health_.OnResponse(lease.id, core::RuntimeClock::now());
  } else if (result.error().problem.code == ProblemCode::kResponseTimeout) {
    health_.OnSilent(lease.id);
  }
  Release(std::move(lease));
}

}  // namespace vanilladeck::http
