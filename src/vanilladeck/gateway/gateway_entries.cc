#include <sys/resource.h>

#include <nlohmann/json.hpp>

#include "vanilladeck/gateway/gateway.h"

/// Selects the instances that lookups name, and states how much of its capacity this one uses.
namespace vanilladeck::gateway {
namespace {

// Clients use the first 64 addresses of a response.
constexpr std::size_t kMaxLookupAddresses = 64;
// Lookups use the current records in any case; this only bounds the cost of the log and gauges.
constexpr core::Duration kUpdateInterval = std::chrono::seconds(1);
// Names of instances in one log line; the counts are complete.
constexpr std::size_t kLoggedNames = 8;

std::vector<std::string> FirstNames(const std::set<std::string>& names,
                                    const std::set<std::string>& without) {
  std::vector<std::string> first;
  for (const std::string& it : names) {
    if (first.size() == kLoggedNames) break;
    if (without.count(it) == 0) first.push_back(it);
  }
  return first;
}

/// Processor time that this process has used, or 0 if it cannot be determined.
core::Duration ProcessorTime() {
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) != 0) return core::Duration{0};
  const auto duration = [](const timeval& time) -> core::Duration {
    return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
  };
  return duration(usage.ru_utime) + duration(usage.ru_stime);
}

}  // namespace

membership::EntryChoice Gateway::ChooseEntries(membership::EntryQuery query,
                                               const membership::InstanceRecord& self) const {
  query.losses = settings_.tolerated_losses;
  query.lost = &lost_instances_.records();
  return membership::ChooseEntryAddresses(instances_, query, self, kMaxLookupAddresses);
}

void Gateway::MeasureLoad(core::TimePoint now) {
  const core::ByteBudget& messages = *context_.messages;
  membership::LoadSample sample;
  sample.bytes_received = messages.received();
  sample.bytes_sent = messages.sent();
  sample.processor_time = ProcessorTime();
  sample.memory_share =
      static_cast<double>(messages.used()) / static_cast<double>(messages.capacity());
  load_meter_.OnTick(sample, now);
  entries_.load = load_meter_.load();
  entries_.speed = load_meter_.speed();
  // A change costs a write to the store.
  if (!equal_instances_) registration_.SetLoad(entries_.load, entries_.speed, now);
}

void Gateway::UpdateEntries(core::TimePoint now) {
  if (now < next_entries_update_ || !follower_.synced()) return;
  next_entries_update_ = now + kUpdateInterval;
  lost_instances_.Expire(now);
  membership::InstanceRecord self = registration_.record();
  self.ready = Ready();
  const auto choice = ChooseEntries({settings_.region, settings_.failure_domain, {}}, self);
  const auto& selection = choice.selection;
  equal_instances_ = selection.equal;
  entries_.named = selection.named.size();
  entries_.ready = choice.candidates;
  entries_.demand = selection.demand.value_or(0);
  entries_.carried = selection.carried;
  // In a region without a ready instance, lookups depend on the host.
  std::set<std::string> named;
  for (const membership::InstanceRecord* it : selection.named) {
    if (!choice.remote) named.insert(it->name);
  }
  if (named == named_instances_) return;
  events_.Write(telemetry::StreamEvent::kEntryChoice,
                {{"named", named.size()},
                 {"ready", choice.remote ? 0 : choice.candidates},
                 {"demand", selection.demand.value_or(-1)},
                 {"carried", selection.carried},
                 {"lost", selection.lost},
                 {"load", entries_.load},
                 {"speed", entries_.speed},
                 {"added", FirstNames(named, named_instances_)},
                 {"removed", FirstNames(named_instances_, named)}});
  named_instances_ = std::move(named);
}

}  // namespace vanilladeck::gateway
