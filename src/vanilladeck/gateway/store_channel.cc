#include "vanilladeck/gateway/store_channel.h"

namespace vanilladeck::gateway {
namespace {

using std::chrono::milliseconds;

// A round trip between regions takes 0.11 s.
constexpr core::Duration kConnectTimeout = milliseconds(600);

std::string RequestText(const store::EncodedCall& call, const std::string& host) {
  std::string text = call.method + ' ' + call.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
  if (!call.body.empty()) text += "Content-Type: application/json\r\n";
  if (call.method != "GET") text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  return text + "\r\n" + call.body;
}

std::optional<std::string> FieldValue(const Response& response, std::string_view name) {
  const auto it = response.find(name);
  if (it == response.end()) return std::nullopt;
  return std::string(it->value().data(), it->value().size());
}

}  // namespace

StoreChannel::StoreChannel(boost::asio::io_context& context, DeadlinesPtr deadlines,
                           core::ByteBudgetPtr budget, boost::asio::ip::tcp::endpoint store,
                           std::string host, const store::VersionedCodec& codec)
    : context_(context),
      deadlines_(std::move(deadlines)),
      budget_(std::move(budget)),
      store_(std::move(store)),
      host_(std::move(host)),
      codec_(codec) {}

void StoreChannel::Call(const store::VersionedCall& call, core::Duration timeout,
                        const Done& done) {
  const core::TimePoint now = core::RuntimeClock::now();
  core::TimePoint deadline = now + timeout;
  if (const auto* watch = std::get_if<store::WatchChanges>(&call)) deadline += watch->wait;
  if (connection_ && connection_->reusable() && connection_->IsStillIdle()) {
    Send(call, deadline, done);
    return;
  }
  if (connection_) connection_->Cancel();
  connection_ =
      std::make_shared<UpstreamConnection>(context_, deadlines_, budget_, UpstreamRole::kControl);
  connection_->SetProgressHandler(on_progress_);
  connection_->Connect(
      store_, std::min(deadline, now + kConnectTimeout),
      [this, call, deadline, done](boost::system::error_code ec) {
        if (ec) {
          done(store::CallError{store::CallErrorCode::kUnreachable, ec.message()}, {});
          return;
        }
        Send(call, deadline, done);
      });
}

void StoreChannel::Send(const store::VersionedCall& call, core::TimePoint deadline,
                        const Done& done) {
  const auto connection = connection_;
  const store::Era sent_in = known_era_ ? known_era_() : 0;
  connection->Exchange(
      RequestText(codec_.Encode(call), host_), false, deadline, nullptr,
      [this, connection, call, sent_in, done](ExchangeOutcome outcome) {
        if (connection->reusable()) connection->WatchIdle(nullptr);
        if (outcome.status != ExchangeStatus::kResponse) {
          const auto name = kExchangeStatusNames[static_cast<std::size_t>(outcome.status)];
          done(store::CallError{store::CallErrorCode::kNoAnswer,
                                std::string(name) + ": " + outcome.detail},
               outcome.transfer);
          return;
        }
        const auto field = [&outcome](std::string_view name) {
          return FieldValue(outcome.response, name);
        };
        const auto era = on_era_ ? on_era_(codec_.DecodeEra(field), sent_in) : sent_in;
        if (!era) {
          done(store::CallError{store::CallErrorCode::kOtherEra,
                                "status " + std::to_string(outcome.response.result_int())},
               outcome.transfer);
          return;
        }
        done(codec_.Decode(call, outcome.response.result_int(), outcome.response.body(), *era),
             outcome.transfer);
      });
}

}  // namespace vanilladeck::gateway
