#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "vanilladeck/gateway/connection_fields.h"
#include "vanilladeck/gateway/proxied_request.h"
#include "vanilladeck/gateway/proxied_request_impl.h"

/// Answers to the client: a server's response, or one of this instance.

namespace vanilladeck::gateway {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using telemetry::StreamEvent;

// Jitter of Retry-After, as a fraction of the route's latency.
constexpr double kRetryAfterJitter = 0.5;
constexpr milliseconds kMinRetryAfter{50};

void AppendRetryAfter(std::string& head, core::Duration wait) {
  std::array<char, 32> buf{};
  const int n =
      std::snprintf(buf.data(), buf.size(), "%.3f", std::chrono::duration<double>(wait).count());
  head.append("Retry-After: ").append(buf.data(), static_cast<std::size_t>(n)).append("\r\n");
}

}  // namespace

void ProxiedRequest::Forward(const Response& response) {
  std::string head = "HTTP/1.1 " + std::to_string(response.result_int()) + " ";
  head.append(response.reason().data(), response.reason().size()).append("\r\n");
  const ConnectionFields dropped(response);
  for (const auto& it : response) {
    if (dropped.Contains(it)) continue;
    head.append(it.name_string().data(), it.name_string().size()).append(": ");
    head.append(it.value().data(), it.value().size()).append("\r\n");
  }
  const unsigned status = response.result_int();
  if (status != 204 && status != 304) {
    head += "Content-Length: " + std::to_string(response.body().size()) + "\r\n";
  }
  slot_->Reply(std::move(head), response.body());
  Finish(status >= kFirstServerError ? RequestEnd::kServerError : RequestEnd::kServed, status, {});
}

void ProxiedRequest::Refuse(std::string_view reason) {
  Answer(kUnavailable, RequestEnd::kRefused, reason);
}

void ProxiedRequest::Fail(unsigned status, std::string_view reason) {
  Answer(status, status == kGatewayTimeout ? RequestEnd::kTimedOut : RequestEnd::kFailed, reason);
}

void ProxiedRequest::Answer(unsigned status, RequestEnd end, std::string_view reason) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  const auto text = http::obsolete_reason(http::int_to_status(status));
  head.append(text.data(), text.size()).append("\r\nContent-Length: 0\r\n");
  if (!id_.empty()) head += context_.names.request_id + ": " + id_ + "\r\n";
  if (status == kUnauthorized) head += "WWW-Authenticate: " + context_.names.key_scheme + "\r\n";
  if (end == RequestEnd::kOverAllotment) AppendRetryAfter(head, retry_after_);
  if (status == kUnavailable) {
    // Servers finish their current work after about the route's latency; the jitter keeps clients
    // that were rejected together from returning together.
    core::Duration wait = kMinRetryAfter;
    // Another instance can take at once what this one refuses because it stops.
    if (route_ != nullptr && reason != kStopping) {
      const double spread = std::uniform_real_distribution<double>(
          1 - kRetryAfterJitter, 1 + kRetryAfterJitter)(context_.random);
      const auto usual =
          static_cast<double>(context_.picker.Expected(*route_, service_name_).count());
      wait =
          std::max<core::Duration>(wait, core::Duration(static_cast<std::int64_t>(usual * spread)));
    }
    AppendRetryAfter(head, wait);
  }
  slot_->Reply(std::move(head), {});
  Finish(end, status, reason);
}

void ProxiedRequest::Finish(RequestEnd end, unsigned status, std::string_view reason) {
  finished_ = true;
  context_.deadlines->Remove(deadline_id_);
  const core::Duration latency = core::RuntimeClock::now() - received_at_;
  const std::string route_name = route_ == nullptr ? "none" : route_->name;
  context_.metrics.CountRequest(route_name, end, latency);
  if (customer_ != nullptr) context_.metrics.CountCustomer(customer_->name, end);
  if (!reason.empty()) ++context_.metrics.refusals[std::string(reason)];
  const bool failure = end != RequestEnd::kServed && end != RequestEnd::kClientGone;
  if (failure || telemetry::EventStream::Sampled(id_)) {
    StreamEvent event = StreamEvent::kRequest;
    if (end == RequestEnd::kRefused) event = StreamEvent::kRefused;
    if (end == RequestEnd::kOverAllotment) event = StreamEvent::kOverAllotment;
    if (end == RequestEnd::kFailed || end == RequestEnd::kTimedOut) event = StreamEvent::kFailed;
    context_.events.Write(
        event, {{"id", id_},
                {"route", route_name},
                {"service", service_name_},
                {"customer", customer_ == nullptr ? "" : customer_->name},
                {"policy", routes_ ? routes_->version() : 0},
                {"end", kRequestEndNames[static_cast<std::size_t>(end)]},
                {"status", status},
                {"reason", reason},
                {"ms", Ms(latency)},
                {"left_ms", route_ == nullptr ? 0 : Ms(deadline_ - core::RuntimeClock::now())},
                {"servers", tried_},
                {"region", region_},
                {"position", position_},
                {"may_have_run", may_have_run_}});
  }
  arriving_ = nullptr;
  arriving_count_ = nullptr;
  slot_ = nullptr;
}

}  // namespace vanilladeck::gateway
