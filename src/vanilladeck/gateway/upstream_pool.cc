#include "vanilladeck/gateway/upstream_pool.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include "vanilladeck/http/endpoint.h"

namespace vanilladeck::gateway {
namespace {

using std::chrono::milliseconds;

// Assumed idle timeout of servers that do not state one.
constexpr core::Duration kDefaultKeepAlive = std::chrono::seconds(5);
// Time until the server's close is noticed, due to transmission and queueing.
constexpr core::Duration kCloseMargin = milliseconds(500);
// Non-idempotent requests reuse connections only within the first half of the idle timeout.
constexpr int kNonIdempotentDivisor = 2;
constexpr std::size_t kMaxIdlePerServer = 16;

}  // namespace

UpstreamPool::ConnectionPtr UpstreamPool::TakeIdle(std::uint64_t serial, config::RequestKind kind,
                                                   core::TimePoint now) {
  const auto it = idle_.find(serial);
  if (it == idle_.end()) return nullptr;
  while (!it->second.empty()) {
    ConnectionPtr connection = it->second.back();
    it->second.pop_back();
    core::Duration limit = connection->keep_alive().value_or(kDefaultKeepAlive) - kCloseMargin;
    if (kind == config::RequestKind::kNonIdempotent) limit /= kNonIdempotentDivisor;
    if (connection->reusable() && now - connection->idle_since() < limit &&
        connection->IsStillIdle()) {
      return connection;
    }
    connection->Cancel();
  }
  return nullptr;
}

UpstreamPool::ConnectionPtr UpstreamPool::NewConnection() {
  ++opened_;
  ++*open_;
  return {new UpstreamConnection(context_, deadlines_, budget_, UpstreamRole::kServer),
          [open = open_](UpstreamConnection* it) {
            --*open;
            delete it;
          }};
}

bool UpstreamPool::CloseLongestIdle() {
  std::vector<ConnectionPtr>* longest = nullptr;
  for (auto& [serial, list] : idle_) {
    // The front of a list has been idle longest.
    if (list.empty()) continue;
    if (longest == nullptr || list.front()->idle_since() < longest->front()->idle_since()) {
      longest = &list;
    }
  }
  if (longest == nullptr) return false;
  longest->front()->Cancel();
  longest->erase(longest->begin());
  return true;
}

void UpstreamPool::Acquire(const steering::Server& server, config::RequestKind kind,
                           core::TimePoint deadline, AcquireDone done) {
  if (const ConnectionPtr idle = TakeIdle(server.serial, kind, core::RuntimeClock::now())) {
    done(idle, AcquireStatus::kReused, {});
    return;
  }
  const auto fail = [this, &done](AcquireStatus status, const char* detail) {
    boost::asio::post(context_,
                      [done = std::move(done), status, detail] { done(nullptr, status, detail); });
  };
  const auto endpoint = http::ParseEndpoint(server.report.address);
  if (!endpoint) {
    fail(AcquireStatus::kUnreachable, "address");
    return;
  }
  if (*open_ >= max_open_ && !CloseLongestIdle()) {
    fail(AcquireStatus::kNoDescriptor, "all connections are in use");
    return;
  }
  const ConnectionPtr connection = NewConnection();
  connection->Connect(
      *endpoint, deadline, [connection, done = std::move(done)](boost::system::error_code ec) {
        if (!ec) {
          done(connection, AcquireStatus::kConnected, {});
          return;
        }
        const bool local = ec == boost::asio::error::no_descriptors ||
                           ec == boost::system::errc::too_many_files_open_in_system;
        done(nullptr, local ? AcquireStatus::kNoDescriptor : AcquireStatus::kUnreachable,
             ec.message());
      });
}

void UpstreamPool::Release(const steering::Server& server, const ConnectionPtr& connection) {
  if (!connection->reusable() || server.gone || server.draining) {
    connection->Cancel();
    return;
  }
  auto& list = idle_[server.serial];
  if (list.size() >= kMaxIdlePerServer) {
    connection->Cancel();
    return;
  }
  list.push_back(connection);
  connection->WatchIdle(nullptr);
}

void UpstreamPool::CloseIdleConnections(const steering::Server& server) {
  const auto it = idle_.find(server.serial);
  if (it == idle_.end()) return;
  for (const ConnectionPtr& connection : it->second) connection->Cancel();
  idle_.erase(it);
}

void UpstreamPool::CloseExpired(core::TimePoint now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& list = it->second;
    list.erase(
        std::remove_if(list.begin(), list.end(),
                       [&](const ConnectionPtr& connection) {
                         const auto limit =
                             connection->keep_alive().value_or(kDefaultKeepAlive) - kCloseMargin;
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
