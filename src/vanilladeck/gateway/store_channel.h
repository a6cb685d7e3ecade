#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "vanilladeck/gateway/upstream_connection.h"
#include "vanilladeck/store/versioned_call.h"

namespace vanilladeck::gateway {

/// Sends calls to the store over one persistent connection, one call at a time.
class StoreChannel {
 public:
  using Done = std::function<void(const store::VersionedResult&, const Transfer&)>;

  StoreChannel(boost::asio::io_context& context, DeadlinesPtr deadlines, core::ByteBudgetPtr budget,
               boost::asio::ip::tcp::endpoint store, std::string host,
               const store::VersionedCodec& codec);

  /// `on_progress` runs whenever part of a response has arrived.
  void SetProgressHandler(std::function<void()> on_progress) {
    on_progress_ = std::move(on_progress);
  }

  /// Runs with each response before it is decoded. `sent_in` is the era that was known when the
  /// call was sent. Returns the era of the response, or none if the response must not be used.
  using EraHandler =
      std::function<std::optional<store::Era>(const store::EraReading&, store::Era sent_in)>;
  /// `era` is the known one at any time.
  void SetEraHandler(std::function<store::Era()> era, EraHandler on_era) {
    known_era_ = std::move(era);
    on_era_ = std::move(on_era);
  }

  /// `timeout` is the time to the first byte of the response; the wait of a watch is added to it.
  /// `done` runs exactly once.
  void Call(const store::VersionedCall& call, core::Duration timeout, const Done& done);

 private:
  void Send(const store::VersionedCall& call, core::TimePoint deadline, const Done& done);

  boost::asio::io_context& context_;
  DeadlinesPtr deadlines_;
  core::ByteBudgetPtr budget_;
  boost::asio::ip::tcp::endpoint store_;
  std::string host_;
  const store::VersionedCodec& codec_;
  std::shared_ptr<UpstreamConnection> connection_;
  std::function<void()> on_progress_;
  std::function<store::Era()> known_era_;
  EraHandler on_era_;
};

}  // namespace vanilladeck::gateway
