#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::gateway {

/// Final outcome of a client request; used as the label of its counter.
enum class RequestEnd : std::uint8_t {
  kServed,         ///< A server's response with a status below 500.
  kServerError,    ///< A server's own 5xx response, forwarded.
  kRefused,        ///< 503: no server ran the request.
  kNoRoute,        ///< 404
  kNoCustomer,     ///< 401: the request has no valid key.
  kOverAllotment,  ///< 429: the customer's rate and burst are used up.
  kBadRequest,     ///< 400
  kFailed,         ///< 502: a server may have run the request.
  kTimedOut,       ///< 504
  kClientGone,
};

inline constexpr std::array<std::string_view, 10> kRequestEndNames{
    "served",         "server-error", "refused", "no-route",  "no-customer",
    "over-allotment", "bad-request",  "failed",  "timed-out", "client-gone"};

/// Upper bounds of the latency histograms in seconds.
inline constexpr std::array<double, 12> kGatewayLatencyBounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
                                                              0.3,   0.5,  0.8,   1.5,  3,   6};

struct LatencyHistogram {
  std::array<std::uint64_t, kGatewayLatencyBounds.size() + 1> buckets{};  ///< Not cumulative.
  double sum_s = 0;
  std::uint64_t count = 0;

  void Add(core::Duration latency) noexcept;
};

/// Counters and histograms of the request path. Single-threaded.
struct GatewayMetrics {
  using EndCounters = std::array<std::uint64_t, kRequestEndNames.size()>;
  struct RouteCounters {
    EndCounters ends{};
    LatencyHistogram latency;
  };

  std::map<std::string, RouteCounters> routes;    ///< Bounded: only configured routes.
  std::map<std::string, EndCounters> customers;   ///< At most `kMaxCountedCustomers` and others.
  std::map<std::string, std::uint64_t> refusals;  ///< By reason, of which there is a fixed set.
  std::array<std::uint64_t, 8> attempts{};        ///< By `steering::AttemptEnd`.
  std::array<std::uint64_t, 16> store_calls{};    ///< By kind of call.
  std::array<std::uint64_t, 16> store_errors{};   ///< By `store::CallErrorCode`.
  std::array<std::uint64_t, 8> store_eras{};      ///< Responses, by `store::EraFinding`.
  std::uint64_t store_era_changes = 0;            ///< Told by the store or by other instances.
  /// Of servers that had left, from a copy that the store returned from.
  std::uint64_t server_reports_dropped = 0;
  std::uint64_t servers_leaving = 0;  ///< By a response, before their report said so.
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;
  std::uint64_t control_bytes = 0;  ///< Received from the store and other instances.
  std::uint64_t lookups = 0;
  std::uint64_t lookups_refused = 0;
  std::uint64_t remote_lookups = 0;  ///< Lookups that named instances of other regions only.
  std::uint64_t load_reports_read = 0;
  std::uint64_t load_reports_unreadable = 0;
  std::uint64_t load_reports_absent = 0;  ///< Responses of servers without a load report.
  /// Requests whose bodies were passed on while they arrived.
  std::uint64_t bodies_passed_on = 0;
  LatencyHistogram server_latency;
  LatencyHistogram connect_latency;

  void CountRequest(const std::string& route, RequestEnd end, core::Duration latency);
  void CountCustomer(const std::string& customer, RequestEnd end);

  /// The largest known deployment has 86 customers; a line of the metrics has about 80 bytes.
  static constexpr std::size_t kMaxCountedCustomers = 256;
  /// Counts the requests of all further customers; no customer's name contains a blank.
  static constexpr std::string_view kFurtherCustomers = "(all others)";
};

}  // namespace vanilladeck::gateway
