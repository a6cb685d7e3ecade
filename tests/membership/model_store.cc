#include "membership/model_store.h"

#include <algorithm>
#include <utility>

namespace vanilladeck::testing {
namespace {

// Items of one page of a listing: small, so that listings take several calls.
constexpr std::size_t kPageItems = 4;
// A stale read may miss this time.
constexpr core::Duration kStaleness = Ms(800);

}  // namespace

bool ModelStore::Put(const std::string& key, const std::string& value, core::Duration ttl) {
  if (silent()) return false;
  Append(key, value, false);
  const auto expires =
      ttl == core::Duration::zero() ? core::TimePoint::max() : timeline_.now() + ttl;
  items_[key] = {value, revision_, expires};
  KeepCopy();
  AnswerWatches();
  return true;
}

bool ModelStore::Delete(const std::string& key) {
  if (silent()) return false;
  if (items_.count(key) > 0) Remove(key);
  return true;
}

void ModelStore::Remove(const std::string& key) {
  Append(key, "", true);
  items_.erase(key);
  KeepCopy();
  AnswerWatches();
}

void ModelStore::Append(const std::string& key, const std::string& value, bool removed) {
  ++revision_;
  store::Change change;
  change.item = {key, value, {era_, revision_}};
  change.removed = removed;
  history_ = std::make_shared<const History>(History{change, revision_, history_});
}

void ModelStore::ReturnFromCopy(core::Duration age, core::Duration ttl) {
  const core::TimePoint now = timeline_.now();
  const auto later = std::find_if(copies_.rbegin(), copies_.rend(),
                                  [&](const Copy& it) { return it.at <= now - age; });
  const Copy copy = later == copies_.rend() ? copies_.front() : *later;
  ++era_;
  revision_ = copy.revision;
  items_ = copy.items;
  history_ = copy.history;
  for (auto& [key, entry] : items_) {
    if (entry.expires != core::TimePoint::max()) entry.expires = now + ttl;
  }
  KeepCopy();
  AnswerWatches();
}

void ModelStore::Call(const store::VersionedCall& call, Done done) {
  if (silent()) return;
  if (const auto* read = std::get_if<store::ReadRange>(&call)) {
    done(Read(*read));
  } else if (const auto* watch = std::get_if<store::WatchChanges>(&call)) {
    watches_.push_back(
        {watch->after.revision().number, timeline_.now() + watch->wait, std::move(done)});
    AnswerWatches();
  }
}

ModelResponse ModelStore::Read(const store::ReadRange& call) const {
  const auto* items = &items_;
  std::int64_t revision = revision_;
  if (call.may_be_stale) {
    const auto stale = std::find_if(copies_.rbegin(), copies_.rend(), [&](const Copy& it) {
      return it.at <= timeline_.now() - kStaleness || it.era != era_;
    });
    if (stale != copies_.rend() && stale->era == era_) {
      items = &stale->items;
      revision = stale->revision;
    }
  }
  store::RangePage page;
  page.position = {era_, revision};
  for (auto it = items->upper_bound(call.after_key); it != items->end(); ++it) {
    if (it->first.rfind(call.prefix, 0) != 0) continue;
    page.more = page.items.size() == kPageItems;
    if (page.more) break;
    page.items.push_back({it->first, it->second.value, {era_, it->second.revision}});
  }
  return {era_, store::VersionedAnswer(std::move(page))};
}

std::optional<ModelResponse> ModelStore::ChangesAfter(std::int64_t after) const {
  if (after > revision_) {
    return ModelResponse{era_, store::CallError{store::CallErrorCode::kHistoryLost, "410"}};
  }
  store::Changes changes;
  changes.position = {era_, revision_};
  for (auto it = history_; it && it->revision > after; it = it->previous) {
    changes.changes.push_back(it->change);
    // The store states only its own era.
    changes.changes.back().item.position = {era_, it->revision};
  }
  if (changes.changes.empty()) return std::nullopt;
  std::reverse(changes.changes.begin(), changes.changes.end());
  return ModelResponse{era_, store::VersionedAnswer(std::move(changes))};
}

void ModelStore::AnswerWatches() {
  if (silent()) return;
  for (auto& it : std::exchange(watches_, {})) {
    auto response = ChangesAfter(it.after);
    if (!response && it.until <= timeline_.now()) {
      store::Changes none;
      none.position = {era_, revision_};
      response = ModelResponse{era_, store::VersionedAnswer(std::move(none))};
    }
    if (response) {
      it.done(*response);
    } else {
      watches_.push_back(std::move(it));
    }
  }
}

void ModelStore::Tick() {
  std::vector<std::string> ended;
  for (const auto& [key, entry] : items_) {
    if (entry.expires <= timeline_.now()) ended.push_back(key);
  }
  for (const std::string& it : ended) Remove(it);
  AnswerWatches();
}

}  // namespace vanilladeck::testing
