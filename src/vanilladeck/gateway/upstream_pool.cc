#include "vanilladeck/gateway/upstream_pool.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include "vanilladeck/http/endpoint.h"

namespace vanilladeck::gateway {
namespace {

using std::chrono::milliseconds;

// Servers close idle connections; without a stated time this is taken as theirs.
constexpr core::Duration kUnknownKeepAlive = std::chrono::seconds(5);
// Time on the wire and in queues before the server's close is seen.
constexpr core::Duration kCloseMargin = milliseconds(500);
// A request that must not be repeated uses only the first half of the idle time.
constexpr int kCautionDivisor = 2;
constexpr std::size_t kMaxIdlePerServer = 16;

}  // namespace

std::string UpstreamPool::KeyOf(const steering::Server& server) {
  return server.report.id + '/' + std::to_string(server.report.born_ms) + '/' +
         server.report.address;
}

UpstreamPool::ConnectionPtr UpstreamPool::TakeIdle(const std::string& key, config::RequestKind kind,
                                                   core::TimePoint now) {
  const auto it = idle_.find(key);
  if (it == idle_.end()) return nullptr;
  while (!it->second.empty()) {
    ConnectionPtr connection = it->second.back();
    it->second.pop_back();
    core::Duration limit = connection->keep_alive().value_or(kUnknownKeepAlive) - kCloseMargin;
    if (kind == config::RequestKind::kNonIdempotent) limit /= kCautionDivisor;
    if (connection->reusable() && now - connection->idle_since() < limit &&
        connection->QuietNow()) {
      return connection;
    }
    connection->Cancel();
  }
  return nullptr;
}

void UpstreamPool::Acquire(const steering::Server& server, config::RequestKind kind,
                           core::TimePoint deadline, AcquireDone done) {
  if (const ConnectionPtr idle = TakeIdle(KeyOf(server), kind, core::RuntimeClock::now())) {
    done(idle, false, {});
    return;
  }
  const auto endpoint = http::ParseEndpoint(server.report.address);
  if (!endpoint) {
    boost::asio::post(context_, [done = std::move(done)] { done(nullptr, true, "address"); });
    return;
  }
  ++opened_;
  auto connection = std::make_shared<UpstreamConnection>(context_, deadlines_);
  connection->Connect(*endpoint, deadline,
                      [connection, done = std::move(done)](boost::system::error_code ec) {
                        if (ec) {
                          done(nullptr, true, ec.message());
                        } else {
                          done(connection, true, {});
                        }
                      });
}

void UpstreamPool::Release(const steering::Server& server, const ConnectionPtr& connection) {
  if (!connection->reusable() || server.gone) {
    connection->Cancel();
    return;
  }
  auto& list = idle_[KeyOf(server)];
  if (list.size() >= kMaxIdlePerServer) {
    connection->Cancel();
    return;
  }
  list.push_back(connection);
  connection->WatchIdle(nullptr);
}

void UpstreamPool::Forget(const steering::Server& server) {
  const auto it = idle_.find(KeyOf(server));
  if (it == idle_.end()) return;
  for (const ConnectionPtr& connection : it->second) connection->Cancel();
  idle_.erase(it);
}

void UpstreamPool::Trim(core::TimePoint now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& list = it->second;
    list.erase(
        std::remove_if(list.begin(), list.end(),
                       [&](const ConnectionPtr& connection) {
                         const auto limit =
                             connection->keep_alive().value_or(kUnknownKeepAlive) - kCloseMargin;
                         if (connection->reusable() && now - connection->idle_since() < limit) {
                           return false;
                         }
                         connection->Cancel();
                         return true;
                       }),
        list.end());
    it = list.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace vanilladeck::gateway
