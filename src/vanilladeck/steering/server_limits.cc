#include "vanilladeck/steering/server_limits.h"

#include <algorithm>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::steering {

void ServerLimits::SetInstances(
    std::map<std::string, std::vector<std::string>> instances_by_region) {
  if (instances_by_region == instances_by_region_) return;
  instances_by_region_ = std::move(instances_by_region);
  ++generation_;
}

void ServerLimits::OnResponse(const std::string& server, const std::string& region,
                              std::optional<double> limit, core::TimePoint now) {
  auto it = entries_.find(server);
  if (it == entries_.end()) {
    // Without a limit there is nothing to note, unless others state one.
    if (!limit && lowest_stated_.count(server) == 0) return;
    it = entries_.emplace(server, Entry{}).first;
    it->second.refilled_at = now;
  }
  Entry& entry = it->second;
  entry.limit = limit;
  entry.responded_at = now;
  entry.states = limit && OwnPart(server, region, *limit) > 0;
}

void ServerLimits::OnStated(const std::string& instance, Limits limits) {
  if (instance == instance_) return;
  if (limits.empty()) {
    stated_.erase(instance);
  } else {
    stated_[instance] = std::move(limits);
  }
  lowest_stated_.clear();
  for (const auto& [name, of_instance] : stated_) {
    for (const auto& [server, limit] : of_instance) {
      const auto [it, added] = lowest_stated_.try_emplace(server, limit);
      if (!added) it->second = std::min(it->second, limit);
    }
  }
}

std::optional<double> ServerLimits::LimitOf(const std::string& server, const Entry* entry,
                                            core::TimePoint now) const {
  if (entry != nullptr && now - entry->responded_at < kResponseLifetime) return entry->limit;
  const auto it = lowest_stated_.find(server);
  if (it == lowest_stated_.end()) return std::nullopt;
  return it->second;
}

double ServerLimits::OwnPart(const std::string& server, const std::string& region,
                             double limit) const {
  // An instance of another region sends only if the server's own region has none.
  const auto names = instances_by_region_.find(region);
  const std::vector<std::string> self{instance_};
  const std::vector<std::string>& candidates =
      names == instances_by_region_.end() ? self : names->second;
  const auto senders = static_cast<std::size_t>(
      std::clamp(limit / kMinPart, 1.0, static_cast<double>(candidates.size())));
  const std::uint64_t seed = core::Hash64(server);
  const std::uint64_t own = core::Hash64(instance_, seed);
  std::size_t before = 0;
  bool listed = false;
  for (const std::string& it : candidates) {
    listed = listed || it == instance_;
    if (core::Hash64(it, seed) < own) ++before;
  }
  return listed && before < senders ? limit / static_cast<double>(senders) : 0;
}

void ServerLimits::Refill(const std::string& server, const std::string& region, Entry& entry,
                          double limit, core::TimePoint now) const {
  if (entry.part_generation != generation_ || entry.part_of != limit) {
    entry.part = OwnPart(server, region, limit);
    entry.part_of = limit;
    entry.part_generation = generation_;
  }
  const double seconds = std::chrono::duration<double>(now - entry.refilled_at).count();
  entry.tokens = std::min(1.0, entry.tokens + entry.part * seconds);
  entry.refilled_at = now;
}

bool ServerLimits::Allows(const std::string& server, const std::string& region,
                          core::TimePoint now) {
  if (entries_.empty() && stated_.empty()) return true;
  auto it = entries_.find(server);
  const auto limit = LimitOf(server, it == entries_.end() ? nullptr : &it->second, now);
  if (!limit) {
    // An expired entry ends here; one without a limit outweighs the statements of others.
    if (it != entries_.end() && now - it->second.responded_at >= kResponseLifetime) {
      entries_.erase(it);
    }
    return true;
  }
  if (it == entries_.end()) {
    it = entries_.emplace(server, Entry{}).first;
    it->second.refilled_at = now;
    it->second.responded_at = now - kResponseLifetime;
  }
  Refill(server, region, it->second, *limit, now);
  return it->second.tokens >= 1;
}

void ServerLimits::OnSent(const std::string& server, core::TimePoint now) {
  const auto it = entries_.find(server);
  if (it != entries_.end()) it->second.tokens = std::max(0.0, it->second.tokens - 1);
}

ServerLimits::Limits ServerLimits::Stated(core::TimePoint now) const {
  Limits limits;
  for (const auto& [server, entry] : entries_) {
    const bool current = now - entry.responded_at < kResponseLifetime;
    if (entry.states && entry.limit && current) limits.emplace(server, *entry.limit);
  }
  return limits;
}

}  // namespace vanilladeck::steering
