#include "vanilladeck/membership/change_log.h"

#include <algorithm>

#include "vanilladeck/core/json.h"

namespace vanilladeck::membership {
namespace {

// Instances poll several times a second; one that was absent for longer gets a full snapshot.
constexpr core::Duration kTombstoneRetention = std::chrono::seconds(30);
// A watch may state a revision beyond changes that it left out, and so may the log of a reader
// until its next listing (`FollowerSettings::relist_interval`), which takes up to some seconds.
constexpr core::Duration kRepeatTime = std::chrono::seconds(25);

// Longer ages than that of the oldest state that an instance can hold do not occur, and would not
// fit into a duration.
constexpr std::int64_t kMaxAgeMs = std::int64_t{30} * 24 * 3600 * 1000;

/// The age that a message states; nullopt if it is missing, negative or too long.
std::optional<core::Duration> AgeOf(const nlohmann::json& message, const std::string& name) {
  const auto it = message.find(name);
  if (it == message.end() || !it->is_number_integer()) return std::nullopt;
  const auto ms = it->get<std::int64_t>();
  if (ms < 0 || ms > kMaxAgeMs) return std::nullopt;
  return std::chrono::milliseconds(ms);
}

bool IsUtf8(const nlohmann::json& text) {
  try {
    (void)text.dump();
    return true;
  } catch (const nlohmann::json::type_error&) {
    return false;
  }
}

/// The era that a message or one of its lines states; `inherited` without one, nullopt if it is not
/// an era.
std::optional<store::Era> EraOf(const nlohmann::json& object, store::Era inherited) {
  const auto it = object.find("era");
  if (it == object.end()) return inherited;
  if (!it->is_number_integer() || it->get<std::int64_t>() < 0) return std::nullopt;
  return it->get<store::Era>();
}

/// A line for an item. Its era is stated if it differs from that of the message.
nlohmann::json LineOf(const std::string& key, store::Position position, store::Era message_era) {
  nlohmann::json line{{"key", key}, {"revision", position.revision().number}};
  if (position.era() != message_era) line["era"] = position.era();
  return line;
}

std::optional<ItemReference> ReferenceOf(const nlohmann::json& line, store::Era message_era) {
  const auto key = line.find("key");
  const auto revision = line.find("revision");
  const auto era = EraOf(line, message_era);
  if (key == line.end() || !key->is_string() || revision == line.end() ||
      !revision->is_number_integer() || !era) {
    return std::nullopt;
  }
  return ItemReference{key->get<std::string>(), {*era, revision->get<std::int64_t>()}};
}

}  // namespace

std::string EncodePeerChanges(const PeerChanges& changes) {
  auto list = nlohmann::json::array();
  for (const store::Change& it : changes.changes) {
    nlohmann::json line = LineOf(it.item.key, it.item.position, changes.position.era());
    if (it.removed) {
      line["removed"] = true;
    } else {
      line["value"] = it.item.value;
    }
    list.push_back(std::move(line));
  }
  const auto ms = [](core::Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  };
  auto references = nlohmann::json::array();
  for (const ItemReference& it : changes.references) {
    references.push_back(LineOf(it.key, it.position, changes.position.era()));
  }
  nlohmann::json message{{"epoch", changes.epoch},
                         {"position", changes.log_position},
                         {"full", changes.full},
                         {"revision", changes.position.revision().number},
                         {"era", changes.position.era()},
                         {"age_ms", ms(changes.age)},
                         {"behind_ms", ms(changes.behind)},
                         {"changes", std::move(list)},
                         {"references", std::move(references)},
                         {"checked", changes.checked_prefix}};
  // Without it, the receiver takes the age.
  if (ms(changes.unheard) != ms(changes.age)) message["unheard_ms"] = ms(changes.unheard);
  if (changes.relayed) message["relayed"] = true;
  if (changes.grace_left > core::Duration::zero()) message["grace_ms"] = ms(changes.grace_left);
  for (const auto& [key, time] : changes.kept) message["kept"][key] = ms(time);
  if (changes.policy_version > 0) message["policy"] = changes.policy_version;
  if (!changes.server_limits.empty()) message["server_limits"] = changes.server_limits;
  try {
    return message.dump();
  } catch (const nlohmann::json::type_error&) {
    // Values from other writers may contain arbitrary bytes. Such a value becomes empty, since
    // replacing its bytes could yield one that can be used.
    for (auto& it : message["changes"]) {
      const auto value = it.find("value");
      if (value != it.end() && !IsUtf8(*value)) *value = "";
    }
    return message.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
}

std::optional<PeerChanges> DecodePeerChanges(const std::string& text) {
  const auto json = core::ParseJson(text);
  if (!json.is_object()) return std::nullopt;
  const auto field = [&json](const char* name) { return json.find(name); };
  const auto epoch = field("epoch");
  const auto position = field("position");
  const auto full = field("full");
  const auto revision = field("revision");
  // Instances of an earlier version do not state it.
  const auto era = EraOf(json, 0);
  const auto age = AgeOf(json, "age_ms");
  const auto behind = AgeOf(json, "behind_ms");
  const auto list = field("changes");
  if (epoch == json.end() || !epoch->is_string() || position == json.end() ||
      !position->is_number_unsigned() || full == json.end() || !full->is_boolean() ||
      revision == json.end() || !revision->is_number_integer() || !era || !age || !behind ||
      list == json.end() || !list->is_array()) {
    return std::nullopt;
  }
  PeerChanges changes;
  changes.epoch = epoch->get<std::string>();
  changes.log_position = position->get<std::uint64_t>();
  changes.full = full->get<bool>();
  changes.position = {*era, revision->get<std::int64_t>()};
  changes.age = *age;
  changes.behind = *behind;
  // Stated if it differs.
  changes.unheard = AgeOf(json, "unheard_ms").value_or(changes.age);
  const auto relayed = field("relayed");
  changes.relayed = relayed != json.end() && relayed->is_boolean() && relayed->get<bool>();
  const auto policy = field("policy");
  if (policy != json.end() && policy->is_number_unsigned()) {
    changes.policy_version = policy->get<std::uint64_t>();
  }
  for (const auto& it : *list) {
    auto reference = ReferenceOf(it, *era);
    if (!reference) return std::nullopt;
    const auto value = it.find("value");
    store::Change change;
    change.item.key = std::move(reference->key);
    change.item.position = reference->position;
    change.removed = value == it.end() || !value->is_string();
    if (!change.removed) change.item.value = value->get<std::string>();
    changes.changes.push_back(std::move(change));
  }
  // Instances of an earlier version send no references.
  if (const auto references = field("references"); references != json.end()) {
    if (!references->is_array()) return std::nullopt;
    for (const auto& it : *references) {
      auto reference = ReferenceOf(it, *era);
      if (!reference) return std::nullopt;
      changes.references.push_back(std::move(*reference));
    }
  }
  // Instances of an earlier version do not state what they keep.
  changes.grace_left = AgeOf(json, "grace_ms").value_or(core::Duration::zero());
  if (const auto kept = field("kept"); kept != json.end()) {
    if (!kept->is_object()) return std::nullopt;
    for (const auto& it : kept->items()) {
      const auto time = AgeOf(*kept, it.key());
      if (!time) return std::nullopt;
      changes.kept.emplace(it.key(), *time);
    }
  }
  if (const auto limits = field("server_limits"); limits != json.end()) {
    if (!limits->is_object()) return std::nullopt;
    for (const auto& [server, limit] : limits->items()) {
      if (!limit.is_number() || limit.get<double>() < 0) return std::nullopt;
      changes.server_limits.emplace(server, limit.get<double>());
    }
  }
  if (const auto checked = field("checked"); checked != json.end()) {
    if (!checked->is_string()) return std::nullopt;
    changes.checked_prefix = checked->get<std::string>();
  }
  return changes;
}

void ChangeLog::Put(const store::Item& item, bool relay, core::TimePoint now,
                    store::Position applied_at) {
  const auto [it, added] = entries_.try_emplace(item.key);
  Entry& entry = it->second;
  newest_era_ = std::max(newest_era_, item.position.era());
  const bool was_removed = entry.removed;
  relay = relay || entry.item.position.era() != item.position.era();
  entry.item = item;
  entry.removed = false;
  if (!added && !was_removed && !relay) return;
  entry.log_position = ++log_position_;
  entry.changed_at = std::max(item.position, applied_at);
  // The items of the first listing are not changes.
  if (complete_since_ && IsChecked(item.key)) {
    entry.repeat_until = now + kRepeatTime;
  }
}

void ChangeLog::OnListed(store::Position position) noexcept {
  if (complete_since_ && position.era() <= complete_since_->era()) return;
  // Up to here, the log does not tell what the older copy lacks.
  if (complete_since_ || restarting_) oldest_log_position_ = ++log_position_;
  restarting_ = false;
  complete_since_ = position;
}

void ChangeLog::Restart(core::TimePoint now) {
  std::erase_if(entries_, [](const auto& it) { return it.second.removed; });
  for (auto& [key, entry] : entries_) {
    entry.item.position = {};
    entry.changed_at = {};
  }
  complete_since_.reset();
  newest_era_ = 0;
  restarting_ = true;
  restarted_at_ = now;
}

void ChangeLog::Remove(const std::string& key, store::Position position, store::Position applied_at,
                       core::TimePoint now) {
  Prune(now);
  const auto it = entries_.find(key);
  if (it == entries_.end()) return;
  it->second.removed = true;
  it->second.removed_at = now;
  it->second.item.value.clear();
  it->second.item.position = std::max(it->second.item.position, position);
  it->second.log_position = ++log_position_;
  it->second.changed_at = applied_at;
}

void ChangeLog::Prune(core::TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const Entry& entry = it->second;
    if (entry.removed && now - entry.removed_at > kTombstoneRetention) {
      oldest_log_position_ = std::max(oldest_log_position_, entry.log_position);
      if (complete_since_) complete_since_ = std::max(*complete_since_, entry.changed_at);
      it = entries_.erase(it);
    } else {
      ++it;
    }
  }
}

bool ChangeLog::IsChecked(const std::string& key) const {
  return !checked_prefix_.empty() && key.rfind(checked_prefix_, 0) == 0;
}

const store::Item* ChangeLog::Find(const std::string& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() || it->second.removed ? nullptr : &it->second.item;
}

PeerChanges ChangeLog::Since(const PeerPosition& known, core::TimePoint now) const {
  PeerChanges changes;
  const store::Era known_era = known.position.era();
  const store::Era era = complete_since_ ? complete_since_->era() : known_era;
  // An instance of a later era uses nothing of an earlier one, and must not miss it later.
  // Between the pages of a listing, the log has items of both.
  const bool mixed = complete_since_ && newest_era_ > era;
  if (restarting_ || known_era > era || mixed) {
    changes.epoch = known.epoch;
    changes.log_position = known.log_position;
    return changes;
  }
  changes.epoch = epoch_;
  changes.log_position = log_position_;
  const bool by_position = known_era == era && known.epoch == epoch_ &&
                           known.log_position >= oldest_log_position_ &&
                           known.log_position <= log_position_;
  // An instance that switches readers is at most seconds behind. Sending a full snapshot to all
  // that switch at once would exceed their request timeout on a 10 Mbit/s link.
  const bool comparable = (known.states_era || era == 0) &&
                          (!restarted_at_ || now - *restarted_at_ > kTombstoneRetention);
  const bool by_store_position =
      !by_position && comparable && complete_since_ && known.position >= *complete_since_;
  changes.full = !by_position && !by_store_position;
  if (complete_since_) changes.checked_prefix = checked_prefix_;
  for (const auto& [key, entry] : entries_) {
    if (changes.full && entry.removed) continue;
    // Repeated in each message, as an instance may have lost its transfer of the value.
    const bool large = entry.item.value.size() > kMaxInlineBytes;
    if (large || (!entry.removed && IsChecked(key))) {
      changes.references.push_back({key, entry.item.position});
    }
    if (large) continue;
    if (by_position && entry.log_position <= known.log_position) continue;
    // All removals are sent: they are few, and a deferred one may have a position that the
    // requesting instance has already passed.
    const bool needed =
        entry.removed || entry.changed_at > known.position || now < entry.repeat_until;
    if (by_store_position && !needed) continue;
    changes.changes.push_back({entry.item, entry.removed});
  }
  return changes;
}

}  // namespace vanilladeck::membership
