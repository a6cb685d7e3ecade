#pragma once

#include <map>
#include <string>

#include "vanilladeck/gateway/gateway_metrics.h"
#include "vanilladeck/membership/registration.h"
#include "vanilladeck/membership/store_follower.h"

namespace vanilladeck::gateway {

/// The choice of the instances that lookups of the own region name, and the own measured values.
struct EntryGauges {
  std::uint64_t named = 0;
  std::uint64_t ready = 0;
  double demand = 0;  ///< In multiples of the widest instance; 0 if unknown.
  double load = 0;    ///< Share of the own capacity in use, in steps.
  double speed = 1;
  double carried = 0;  ///< What the named ones carry after the losses to be tolerated.
};

/// Gauges that are sampled when the metrics are scraped.
struct ProcessGauges {
  std::uint64_t policy_version = 0;
  double policy_age_s = 0;
  double policy_unconfirmed_s = 0;  ///< Since the policy was known to be the newest.
  double store_silence_s = 0;       ///< Time since the store's last response.
  std::int64_t store_era = 0;       ///< Of the store; 0 if it states none.
  /// Items read that were not applied, by `membership::DropReason`.
  membership::DropCounts items_dropped{};
  membership::Registration::LeaseLossCounts leases_lost{};  ///< By `membership::LeaseLoss`.
  std::uint64_t customers = 0;                              ///< Of the policy in force.
  std::uint64_t customer_keys = 0;
  std::uint64_t instances = 0;
  std::uint64_t servers = 0;
  std::uint64_t usable_servers = 0;
  std::uint64_t draining_servers = 0;
  std::uint64_t cold_servers = 0;
  std::uint64_t paced_servers = 0;  ///< Servers with a pace: started or recovered not long ago.
  std::uint64_t pace_raises = 0;
  std::uint64_t pace_halvings = 0;
  std::uint64_t requests_offered = 0;  ///< Sent to a fresh server to fill its cache.
  std::uint64_t servers_withheld = 0;  ///< Times that a pace excluded a server from a choice.
  std::uint64_t connections_opened = 0;
  std::uint64_t dropped_lines = 0;
  std::uint64_t client_sessions = 0;
  std::uint64_t ran_beside = 0;  ///< Requests started before those ahead of them were answered.
  std::uint64_t responses_waiting = 0;  ///< For those before them on their client's connection.
  std::uint64_t server_connections = 0;
  std::uint64_t message_bytes = 0;  ///< Held by all readers and writers.
  std::uint64_t message_bytes_limit = 0;
  std::uint64_t messages_evicted = 0;
  EntryGauges entries;
  /// Part of `message_bytes` for bodies that are passed on while they arrive.
  std::uint64_t arriving_body_bytes = 0;
  std::uint64_t arriving_bodies_refused = 0;  ///< Since others had used up their part.
  std::uint64_t resident_bytes = 0;           ///< Resident memory of the process; 0 if unknown.
  std::uint64_t allotments_admitted = 0;
  std::uint64_t allotments_refused = 0;
  double allotment_share = 0;           ///< Part of all limits that this instance may use or lend.
  std::uint64_t allotment_lenders = 0;  ///< Instances that lend their share to this one.
  std::map<std::string, double> allotment_portions;  ///< Requests per second, by customer.
};

/// Formats the metrics in the Prometheus text format, version 0.0.4.
[[nodiscard]] std::string PrometheusText(const GatewayMetrics& metrics,
                                         const ProcessGauges& gauges);

}  // namespace vanilladeck::gateway
