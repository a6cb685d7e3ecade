#include "vanilladeck/gateway/peer_channel.h"

#include "vanilladeck/http/endpoint.h"

namespace vanilladeck::gateway {

PeerChannel::PeerChannel(boost::asio::io_context& context, DeadlinesPtr deadlines,
                         core::ByteBudgetPtr budget)
    : context_(context), deadlines_(std::move(deadlines)), budget_(std::move(budget)) {}

void PeerChannel::Call(const membership::FeedPeer& peer, const std::string& request,
                       core::TimePoint deadline, const Done& done) {
  busy_ = true;
  if (connection_ && address_ == peer.address && connection_->reusable() &&
      connection_->IsStillIdle()) {
    Send(request, deadline, done);
    return;
  }
  if (connection_) connection_->Cancel();
  address_ = peer.address;
  connection_ =
      std::make_shared<UpstreamConnection>(context_, deadlines_, budget_, UpstreamRole::kControl);
  const auto endpoint = http::ParseEndpoint(peer.address);
  if (!endpoint) {
    busy_ = false;
    ExchangeOutcome outcome;
    outcome.detail = "malformed address";
    done(outcome);
    return;
  }
  connection_->Connect(*endpoint, deadline,
                       [this, request, deadline, done](boost::system::error_code ec) {
                         if (!ec) {
                           Send(request, deadline, done);
                           return;
                         }
                         busy_ = false;
                         ExchangeOutcome outcome;
                         outcome.detail = ec.message();
                         done(outcome);
                       });
}

void PeerChannel::Send(const std::string& request, core::TimePoint deadline, const Done& done) {
  const auto connection = connection_;
  connection->Exchange(request, false, deadline, nullptr,
                       [this, connection, done](const ExchangeOutcome& outcome) {
                         busy_ = false;
                         if (connection->reusable()) connection->WatchIdle(nullptr);
                         done(outcome);
                       });
}

}  // namespace vanilladeck::gateway
