#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "vanilladeck/gateway/upstream_connection.h"
#include "vanilladeck/membership/feed_source.h"

namespace vanilladeck::gateway {

/// Sends requests to other instances, one at a time, over a persistent connection to the last one.
class PeerChannel {
 public:
  using Done = std::function<void(const ExchangeOutcome&)>;

  PeerChannel(boost::asio::io_context& context, DeadlinesPtr deadlines, core::ByteBudgetPtr budget);

  /// `deadline` is that of the first byte of the response. `done` runs exactly once.
  void Call(const membership::FeedPeer& peer, const std::string& request, core::TimePoint deadline,
            const Done& done);

  /// Time to the first byte of an item, which the peer may have to compress first.
  static constexpr core::Duration kItemTimeout = std::chrono::milliseconds(1000);

  /// True while a request is in flight.
  [[nodiscard]] bool busy() const noexcept { return busy_; }

 private:
  void Send(const std::string& request, core::TimePoint deadline, const Done& done);

  boost::asio::io_context& context_;
  DeadlinesPtr deadlines_;
  core::ByteBudgetPtr budget_;
  std::shared_ptr<UpstreamConnection> connection_;
  std::string address_;  ///< Of the other end of `connection_`.
  bool busy_ = false;
};

}  // namespace vanilladeck::gateway
