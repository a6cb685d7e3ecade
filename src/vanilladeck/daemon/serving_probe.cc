#include "vanilladeck/daemon/serving_probe.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/string.hpp>
#include <limits>
#include <nlohmann/json.hpp>

#include "vanilladeck/http/connection_pool.h"
#include "vanilladeck/telemetry/event.h"

namespace vanilladeck::daemon {
namespace {

using admission::HealthState;

// A leaving server must be detected within 3 s, even if one probe is lost.
constexpr core::Duration kProbePeriod = std::chrono::seconds(1);
constexpr core::Duration kProbeTimeout = std::chrono::milliseconds(500);
constexpr std::size_t kMaxProbeResponseBytes = 16'384;

http::Request ProbeRequest(const std::string& address, std::string_view target) {
  http::Request request(boost::beast::http::verb::get, target, 11);
  request.set("Host", address);
  return request;
}

}  // namespace

void ServerProber::Tick(core::TimePoint now) {
  for (auto& [key, target] : targets_) target->listed = false;
  for (const auto& [service, queue] : queues_.all()) {
    const std::vector<std::string> due = queue->pool().ProbesDue(now);
    for (const std::string& address : queue->pool().Addresses()) {
      std::shared_ptr<Target>& target = targets_[{service, address}];
      if (!target) {
        target = std::make_shared<Target>();
        target->address = address;
      }
      target->listed = true;
      const bool probe_due = std::find(due.begin(), due.end(), address) != due.end();
      if (target->probing || (now < target->next_probe && !probe_due)) continue;
      target->probing = true;
      target->next_probe = now + kProbePeriod;
      boost::asio::co_spawn(context_.io, Probe(queue, target), boost::asio::detached);
    }
  }
  std::erase_if(targets_, [](const auto& it) { return !it.second->listed && !it.second->probing; });
}

boost::asio::awaitable<void> ServerProber::Probe(std::shared_ptr<ServiceQueue> queue,
                                                 std::shared_ptr<Target> target) {
  const core::TimePoint deadline = core::RuntimeClock::now() + kProbeTimeout;
  const HealthState state = co_await ProbeHealth(*target, deadline);
  queue->pool().OnHealth(target->address, state, core::RuntimeClock::now());
  UpdateHealth(*target, state);
  if (state != HealthState::kUnreachable) {
    const std::optional<std::uint32_t> busy = co_await ProbeLoad(*target, deadline);
    if (busy) queue->pool().OnLoadReport(target->address, *busy, core::RuntimeClock::now());
  }
  target->probing = false;
}

boost::asio::awaitable<HealthState> ServerProber::ProbeHealth(Target& target,
                                                              core::TimePoint deadline) {
  if (!target.connection || !target.connection->Reusable()) {
    const auto endpoint = http::ParseEndpoint(target.address);
    if (!endpoint) co_return HealthState::kUnreachable;
    const http::BackendLimits limits{kMaxProbeResponseBytes, kMaxProbeResponseBytes};
    target.connection =
        std::make_shared<http::BackendConnection>(context_.io.get_executor(), limits);
    const auto problem = co_await target.connection->Connect(*endpoint, deadline);
    if (problem) co_return HealthState::kUnreachable;
  }
  const http::Request request = ProbeRequest(target.address, "/health");
  const http::SendCheck no_check;
  const http::ExchangeResult result =
      co_await target.connection->Exchange(request, deadline, no_check);
  if (result.has_error()) co_return HealthState::kUnreachable;
  const http::Response& response = result.value();
  const bool leaving = response.result() == boost::beast::http::status::service_unavailable ||
                       boost::beast::iequals(response[http::kServerState], "leaving");
  if (leaving) co_return HealthState::kLeaving;
  co_return response.result() == boost::beast::http::status::ok ? HealthState::kHealthy
                                                                : HealthState::kUnreachable;
}

boost::asio::awaitable<std::optional<std::uint32_t>> ServerProber::ProbeLoad(
    Target& target, core::TimePoint deadline) {
  if (!target.connection->Reusable()) co_return std::nullopt;
  const http::Request request = ProbeRequest(target.address, "/load");
  const http::SendCheck no_check;
  const http::ExchangeResult result =
      co_await target.connection->Exchange(request, deadline, no_check);
  if (result.has_error() || result.value().result() != boost::beast::http::status::ok) {
    co_return std::nullopt;
  }
  const auto body = nlohmann::json::parse(result.value().body(), nullptr, false);
  if (!body.is_object() || !body.contains("busy") || !body["busy"].is_number_unsigned()) {
    co_return std::nullopt;
  }
  const auto busy = body["busy"].get<std::uint64_t>();
  co_return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(busy, std::numeric_limits<std::uint32_t>::max()));
}

void ServerProber::UpdateHealth(Target& target, HealthState state) {
  const Health before = target.health;
  switch (state) {
    case HealthState::kHealthy:
      target.health = Health::kReachable;
      if (before == Health::kUnreachable) {
        telemetry::Log(telemetry::Event::kServerReachable, target.address);
      }
      break;
    case HealthState::kLeaving:
      target.health = Health::kLeaving;
      if (before != Health::kLeaving) {
        telemetry::Log(telemetry::Event::kServerLeaving, target.address);
      }
      break;
    case HealthState::kUnreachable:
      target.health = Health::kUnreachable;
      if (before != Health::kUnreachable) {
        telemetry::Log(telemetry::Event::kServerUnreachable, target.address);
      }
      break;
  }
}

}  // namespace vanilladeck::daemon
