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
  const Statement* statement = FindStatement(server, now);
  // Without any limit there is nothing to note.
  if (!limit && statement == nullptr && entries_.count(server) == 0) return;
  Entry& entry = EntryOf(server, now);
  UpdatePart(entry, server, region, limit.value_or(entry.part_of));
  entry.limit = limit;
  entry.since = now;
  entry.adopted = false;
  entry.stated = limit && (entry.stated || statement == nullptr);
}

void ServerLimits::OnStated(const std::string& instance, Limits limits, core::TimePoint now) {
  if (instance == instance_) return;
  if (limits.empty()) {
    if (stated_.erase(instance) == 0) return;
  } else {
    Limits& stated = stated_[instance];
    if (stated == limits) return;
    stated = std::move(limits);
  }
  for (auto it = statements_.begin(); it != statements_.end();) {
    Statement& statement = it->second;
    statement.valid_until = std::min(statement.valid_until, now + kStatementGrace);
    it = statement.valid_until <= now ? statements_.erase(it) : std::next(it);
  }
  std::map<std::string, Statement> current;
  for (const auto& [name, of_instance] : stated_) {
    for (const auto& [server, limit] : of_instance) {
      Statement& statement =
          current.try_emplace(server, Statement{limit, core::TimePoint::max()}).first->second;
      statement.limit = std::min(statement.limit, limit);
    }
  }
  for (const auto& [server, statement] : current) statements_[server] = statement;
}

ServerLimits::Entry& ServerLimits::EntryOf(const std::string& server, core::TimePoint now) {
  const auto [it, added] = entries_.try_emplace(server);
  if (added) it->second.refilled_at = now;
  return it->second;
}

const ServerLimits::Statement* ServerLimits::FindStatement(const std::string& server,
                                                           core::TimePoint now) const {
  const auto it = statements_.find(server);
  return it == statements_.end() || it->second.valid_until <= now ? nullptr : &it->second;
}

bool ServerLimits::IsCurrent(const Entry& entry, core::TimePoint now) {
  core::Duration lifetime = kResponseLifetime;
  if (entry.adopted) {
    lifetime = kAdoptionLifetime;
  } else if (entry.part > 0) {
    lifetime = kSenderLifetime;
  }
  return now - entry.since < lifetime;
}

std::optional<double> ServerLimits::LimitOf(const std::string& server, const std::string& region,
                                            core::TimePoint now) {
  const auto it = entries_.find(server);
  if (it != entries_.end()) {
    UpdatePart(it->second, server, region, it->second.limit.value_or(it->second.part_of));
    if (IsCurrent(it->second, now)) return it->second.limit;
  }
  const Statement* statement = FindStatement(server, now);
  if (statement == nullptr) {
    if (it != entries_.end()) entries_.erase(it);
    return std::nullopt;
  }
  Entry& entry = EntryOf(server, now);
  UpdatePart(entry, server, region, statement->limit);
  entry.stated = false;
  if (entry.part > 0) {
    entry.limit = statement->limit;
    entry.since = now;
    entry.adopted = true;
  }
  return statement->limit;
}

void ServerLimits::UpdatePart(Entry& entry, const std::string& server, const std::string& region,
                              double limit) const {
  if (entry.part_generation == generation_ && entry.part_of == limit) return;
  entry.part_generation = generation_;
  entry.part_of = limit;
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
  entry.part = listed && before < senders ? limit / static_cast<double>(senders) : 0;
}

bool ServerLimits::Allows(const std::string& server, const std::string& region,
                          core::TimePoint now) {
  if (entries_.empty() && statements_.empty()) return true;
  if (!LimitOf(server, region, now)) return true;
  Entry& entry = EntryOf(server, now);
  const double seconds = std::chrono::duration<double>(now - entry.refilled_at).count();
  entry.tokens = std::min(1.0, entry.tokens + entry.part * seconds);
  entry.refilled_at = now;
  return entry.tokens >= 1;
}

void ServerLimits::OnSent(const std::string& server) {
  const auto it = entries_.find(server);
  if (it != entries_.end()) it->second.tokens = std::max(0.0, it->second.tokens - 1);
}

ServerLimits::Limits ServerLimits::Stated(core::TimePoint now) const {
  Limits limits;
  for (const auto& [server, entry] : entries_) {
    if (!entry.limit || !IsCurrent(entry, now)) continue;
    if (entry.part > 0 || entry.stated) limits.emplace(server, *entry.limit);
  }
  return limits;
}

ServerLimits::Limits ServerLimits::RelayedTo(const std::string& instance,
                                             core::TimePoint now) const {
  Limits limits = Stated(now);
  for (const auto& [name, of_instance] : stated_) {
    if (name == instance) continue;
    for (const auto& [server, limit] : of_instance) {
      const auto [it, added] = limits.try_emplace(server, limit);
      if (!added) it->second = std::min(it->second, limit);
    }
  }
  return limits;
}

}  // namespace vanilladeck::steering
