#include "vanilladeck/config/replica.h"

#include <algorithm>
#include <utility>

#include "vanilladeck/config/parse_deployment.h"

namespace vanilladeck::config {
namespace {

constexpr core::Duration kInitialRetryDelay = std::chrono::milliseconds(200);
/// Upper bound of the time in which all readers reconnect after a long outage.
constexpr core::Duration kMaxRetryDelay = std::chrono::seconds(10);

}  // namespace

Replica::Replica(Options options, core::TimePoint now)
    : options_(std::move(options)),
      backoff_(kInitialRetryDelay, kMaxRetryDelay, options_.seed),
      random_(options_.seed + 1),
      next_call_(now) {}

ReplicaActions Replica::SetReader(bool reader, core::TimePoint now) {
  if (reader && !reader_) Schedule(now + backoff_.NextDelay());
  reader_ = reader;
  return {};
}

void Replica::Schedule(core::TimePoint when) noexcept { next_call_ = when; }

core::TimePoint Replica::NextTick() const noexcept {
  core::TimePoint next = core::TimePoint::max();
  if (activity_ == Activity::kIdle && ShouldReadStore()) {
    next = next_call_;
  }
  return fetch_ ? std::min(next, fetch_->deadline) : next;
}

void Replica::StartStoreCall(ReplicaActions& out, Activity activity, store::Request request) {
  activity_ = activity;
  call_id_ = next_id_++;
  out.emplace_back(ReplicaStoreCall{call_id_, std::move(request)});
}

ReplicaActions Replica::OnTick(core::TimePoint now, std::int64_t wall_ms) {
  ReplicaActions out;
  if (fetch_ && now >= fetch_->deadline) {
    peers_.erase(fetch_->peer);
    fetch_.reset();
    FetchFromPeers(out, {now, wall_ms});
  }
  if (activity_ != Activity::kIdle || now < next_call_) return out;
  while (!unverified_.empty() && !chain_.Find(unverified_.front())) unverified_.pop_front();
  if (!unverified_.empty()) {
    const auto record = chain_.Find(unverified_.front());
    StartStoreCall(out, Activity::kVerifying, store::List{RecordPrefix(record->head)});
  } else if (ShouldWatch() && !restore_confirmed_) {
    StartStoreCall(out, Activity::kWatching,
                   store::Watch{std::string(kHeadKey), watch_index_, kWatchWait});
  } else if (ShouldReadStore()) {
    StartStoreCall(out, Activity::kReadingHead, store::Get{std::string(kHeadKey)});
  }
  return out;
}

ReplicaActions Replica::OnStoreResult(std::uint64_t id, const store::StoreResult& result,
                                      core::TimePoint now, std::int64_t wall_ms) {
  ReplicaActions out;
  if (id != call_id_ || activity_ == Activity::kIdle) return out;
  const Timestamps at{now, wall_ms};
  const auto activity = std::exchange(activity_, Activity::kIdle);
  if (!result) {
    // Index 0 makes the next watch return the current head immediately.
    watch_index_ = 0;
    store_problem_ = store::kStoreErrorNames[static_cast<std::size_t>(result.error().code)];
    Schedule(now + backoff_.NextDelay());
    return out;
  }
  backoff_.Reset();
  store_problem_.clear();
  Schedule(now);
  const auto& reply = result.value();
  const auto* list = std::get_if<store::ListReply>(&reply);
  if (const auto* get = std::get_if<store::GetReply>(&reply)) {
    OnHead(out, *get, at);
  } else if (list && activity == Activity::kReadingRecords) {
    OnRecords(out, *list, at);
  } else if (list && activity == Activity::kVerifying) {
    OnVerified(out, *list, at);
  } else if (activity == Activity::kRestoring) {
    ContinueRestore(out, at);
  }
  return out;
}

void Replica::OnHead(ReplicaActions& out, const store::GetReply& reply, Timestamps at) {
  // A decreased index means that the store was restored from a backup.
  watch_index_ = reply.index < watch_index_ ? 0 : reply.index;
  const auto head = reply.entry ? DecodeHead(reply.entry->value) : std::nullopt;
  if (reply.entry && !head) {
    problem_ = "config/head in the store is malformed";
    Schedule(at.now + backoff_.NextDelay());
    return;
  }
  const auto newest = chain_.NewestVersion();
  const auto version = head ? head->version : 0;
  if (version < newest) {
    OnLowerHead(out, head, reply.entry ? reply.entry->modify_index : store::kCreateOnly, at);
    return;
  }
  restore_confirmed_ = false;
  if (version > newest) {
    if (!options_.deployment.empty() && head->deployment != options_.deployment) {
      problem_ = "the store holds deployment \"" + head->deployment + "\"";
      Schedule(at.now + backoff_.NextDelay());
      return;
    }
    chain_reader_.emplace(chain_, *head);
    StartStoreCall(out, Activity::kReadingRecords, chain_reader_->NextRequest());
    return;
  }
  store_read_needed_ = false;
  if (head && head->hash != chain_.NewestHash()) {
    problem_ = "the store holds another version " + std::to_string(version);
  } else if (head) {
    Confirm(at);
  } else {
    store_problem_ = "the store holds no configuration";
    if (!ShouldWatch() || watch_index_ == 0) Schedule(at.now + kRestoreJitter);
  }
}

void Replica::OnLowerHead(ReplicaActions& out, const std::optional<Head>& head, std::uint64_t index,
                          Timestamps at) {
  // For a head older than the kept history, only the deployment can be compared.
  if (head) {
    const auto local = chain_.Find(head->version);
    const bool fits = local ? local->head.hash == head->hash
                            : head->deployment == chain_.Newest()->head.deployment;
    if (!fits) {
      problem_ = "the store holds version " + std::to_string(head->version) +
                 ", which is not part of the history of version " +
                 std::to_string(chain_.NewestVersion()) + " here";
      store_read_needed_ = false;
      Schedule(at.now + kRestoreJitter);
      return;
    }
  }
  if (restore_confirmed_) {
    StartRestore(out, head, index, at);
    return;
  }
  // The reply may predate the newest local version, so a second read must confirm the lower head.
  restore_confirmed_ = true;
  std::uniform_int_distribution<core::Duration::rep> delay(0, kRestoreJitter.count());
  Schedule(at.now + core::Duration(delay(random_)));
}

void Replica::StartRestore(ReplicaActions& out, const std::optional<Head>& head,
                           std::uint64_t index, Timestamps at) {
  restore_confirmed_ = false;
  restore_writes_.clear();
  next_restore_write_ = 0;
  const auto from = std::max(head ? head->version : 0, chain_.OldestVersion() - 1);
  for (const auto& record : chain_.RecordsAfter(from)) {
    for (auto& write : PartWrites(*record)) restore_writes_.push_back(std::move(write));
  }
  restore_writes_.push_back({std::string(kHeadKey), Encode(chain_.Newest()->head), index});
  problem_ = "the store went back to version " + std::to_string(head ? head->version : 0) +
             "; writing back up to version " + std::to_string(chain_.NewestVersion());
  ContinueRestore(out, at);
}

void Replica::ContinueRestore(ReplicaActions& out, Timestamps at) {
  if (next_restore_write_ < restore_writes_.size()) {
    StartStoreCall(out, Activity::kRestoring, restore_writes_[next_restore_write_++]);
    return;
  }
  // The next read shows whether the swap of the head took effect.
  restore_writes_.clear();
  watch_index_ = 0;
  Schedule(at.now);
}

void Replica::OnRecords(ReplicaActions& out, const store::ListReply& reply, Timestamps at) {
  const auto done = chain_reader_->OnReply(reply);
  if (done && !done.value()) {
    StartStoreCall(out, Activity::kReadingRecords, chain_reader_->NextRequest());
    return;
  }
  if (!done) {
    if (AdoptUnknownOutcome(out, at)) return;
    problem_ = "store: " + Describe(done.error());
    watch_index_ = 0;
    chain_reader_.reset();
    Schedule(at.now + backoff_.NextDelay());
    return;
  }
  store_read_needed_ = false;
  for (const auto& record : chain_reader_->Chain().RecordsAfter(chain_.NewestVersion())) {
    if (!Adopt(*record, at)) break;
  }
  chain_reader_.reset();
  Activate(out, at);
}

void Replica::OnVerified(ReplicaActions& out, const store::ListReply& reply, Timestamps at) {
  const auto record = chain_.Find(unverified_.front());
  unverified_.pop_front();
  if (!record || !JoinParts(reply.entries).empty()) return;
  restore_writes_ = PartWrites(*record);
  next_restore_write_ = 0;
  ContinueRestore(out, at);
}

bool Replica::AdoptUnknownOutcome(ReplicaActions& out, Timestamps at) {
  const auto it = unknown_outcomes_.find(chain_reader_->Target().hash);
  if (it == unknown_outcomes_.end()) return false;
  auto writes = PartWrites(it->second);
  const auto record = it->second;
  if (!Adopt(record, at)) return false;
  chain_reader_.reset();
  Activate(out, at);
  restore_writes_ = std::move(writes);
  next_restore_write_ = 0;
  ContinueRestore(out, at);
  return true;
}

ReplicaActions Replica::OnUnknownOutcome(const VersionRecord& record, core::TimePoint now) {
  if (record.head.version <= chain_.NewestVersion()) return {};
  unknown_outcomes_.emplace(record.head.hash, record);
  if (activity_ == Activity::kIdle) Schedule(std::max(next_call_, now));
  return {};
}

ReplicaActions Replica::OnPeerVersion(const std::string& peer, std::uint64_t version,
                                      const std::string& hash, core::TimePoint now,
                                      std::int64_t wall_ms) {
  ReplicaActions out;
  const Timestamps at{now, wall_ms};
  peers_[peer] = {peer, version, hash, wall_ms};
  if (version != 0 && version == chain_.NewestVersion()) {
    if (hash == chain_.NewestHash()) {
      Confirm(at);
    } else {
      problem_ = "peer " + peer + " holds another version " + std::to_string(version);
    }
  }
  FetchFromPeers(out, at);
  return out;
}

void Replica::FetchFromPeers(ReplicaActions& out, Timestamps at) {
  if (fetch_) return;
  const auto best = std::max_element(
      peers_.begin(), peers_.end(),
      [](const auto& a, const auto& b) { return a.second.version < b.second.version; });
  if (best == peers_.end() || best->second.version <= chain_.NewestVersion()) return;
  fetch_ = Fetch{next_id_++, best->first, at.now + kFetchTimeout};
  out.emplace_back(ReplicaPeerFetch{fetch_->id, fetch_->peer, chain_.NewestVersion()});
}

ReplicaActions Replica::OnPeerRecords(std::uint64_t id, const std::vector<std::string>& records,
                                      core::TimePoint now, std::int64_t wall_ms) {
  ReplicaActions out;
  if (!fetch_ || fetch_->id != id) return out;
  const Timestamps at{now, wall_ms};
  const std::string peer = std::exchange(fetch_, std::nullopt)->peer;
  const auto before = chain_.NewestVersion();
  for (const auto& text : records) {
    auto record = DecodeRecord(text);
    if (record && Adopt(std::move(*record), at)) continue;
    if (!record) problem_ = "peer " + peer + ": malformed record";
    break;
  }
  Activate(out, at);
  if (chain_.NewestVersion() == before) {
    // No record could be appended: read the store now. The next heartbeat reports the version
    // again.
    peers_.erase(peer);
    store_read_needed_ = true;
    if (activity_ == Activity::kIdle) Schedule(std::max(next_call_, now + backoff_.NextDelay()));
  }
  FetchFromPeers(out, at);
  return out;
}

bool Replica::AdoptChain(const VersionChain& chain, Timestamps at) {
  const auto before = chain_.NewestVersion();
  for (const auto& record : chain.RecordsAfter(before)) {
    if (!Adopt(*record, at)) break;
  }
  return chain_.NewestVersion() > before;
}

ReplicaActions Replica::OnAccepted(const VersionChain& chain, core::TimePoint now,
                                   std::int64_t wall_ms) {
  ReplicaActions out;
  const Timestamps at{now, wall_ms};
  (void)AdoptChain(chain, at);
  // Verify the accepted version even if `OnChainRead` has already adopted it.
  if (!chain.IsEmpty()) unverified_.push_back(chain.NewestVersion());
  Activate(out, at);
  if (!unverified_.empty() && activity_ == Activity::kIdle) Schedule(std::max(next_call_, now));
  return out;
}

ReplicaActions Replica::OnChainRead(const VersionChain& chain, core::TimePoint now,
                                    std::int64_t wall_ms) {
  ReplicaActions out;
  if (AdoptChain(chain, {now, wall_ms})) Activate(out, {now, wall_ms});
  return out;
}

void Replica::ForgetPeer(const std::string& peer) { peers_.erase(peer); }

bool Replica::Adopt(VersionRecord record, Timestamps at) {
  if (!options_.deployment.empty() && record.head.deployment != options_.deployment) {
    problem_ = "version " + std::to_string(record.head.version) + " is of deployment \"" +
               record.head.deployment + "\"";
    return false;
  }
  if (const auto local = chain_.Find(record.head.version)) {
    if (local->head.hash == record.head.hash) return true;
    problem_ = "another version " + std::to_string(record.head.version) + " was offered";
    return false;
  }
  if (record.head.version < chain_.OldestVersion()) return true;
  const auto appended = chain_.Append(std::move(record));
  if (!appended) {
    problem_ = "rejected " + Describe(appended.error());
    return false;
  }
  std::erase_if(unknown_outcomes_, [this](const auto& it) {
    return it.second.head.version <= chain_.NewestVersion();
  });
  Confirm(at);
  return true;
}

void Replica::Activate(ReplicaActions& out, Timestamps at) {
  if (chain_.NewestVersion() <= in_force_version_) return;
  auto parsed =
      ParseDeployment(*chain_.Text(), "version " + std::to_string(chain_.NewestVersion()));
  if (!parsed) {
    problem_ = "cannot run on the newest version: " + Describe(parsed.error().front());
    return;
  }
  problem_.clear();
  in_force_version_ = chain_.NewestVersion();
  deployment_ = std::make_shared<const Deployment>(std::move(parsed.value()));
  if (!intervals_.empty()) intervals_.back().to_ms = at.wall_ms;
  intervals_.push_back({in_force_version_, chain_.NewestHash(), at.wall_ms, 0});
  if (intervals_.size() > kMaxIntervals) intervals_.pop_front();
  out.emplace_back(ReplicaInForce{in_force_version_, deployment_});
}

void Replica::Confirm(Timestamps at) noexcept { confirmed_ms_ = at.wall_ms; }

std::vector<std::string> Replica::EncodedRecordsAfter(std::uint64_t version) const {
  std::vector<std::string> records;
  std::size_t bytes = 0;
  for (const auto& record : chain_.RecordsAfter(version)) {
    if (bytes > kMaxTransferBytes) break;
    records.push_back(Encode(*record));
    bytes += records.back().size();
  }
  return records;
}

std::uint64_t Replica::HighestKnown() const noexcept {
  std::uint64_t highest = chain_.NewestVersion();
  for (const auto& [name, peer] : peers_) highest = std::max(highest, peer.version);
  return highest;
}

ReplicaStatus Replica::Status(std::int64_t wall_ms) const {
  ReplicaStatus status;
  status.version = in_force_version_;
  if (!intervals_.empty()) {
    status.hash = intervals_.back().hash;
    status.in_force_since_ms = intervals_.back().from_ms;
  }
  status.confirmed_ms = confirmed_ms_;
  status.age_ms = confirmed_ms_ == 0 ? 0 : wall_ms - confirmed_ms_;
  status.reader = reader_;
  status.problem = problem_;
  if (in_force_version_ == 0) {
    status.reason = "no configuration: store " +
                    (store_problem_.empty() ? std::string("reached") : store_problem_) + ", " +
                    (peers_.empty() ? "no peer heard" : "no peer has a usable version");
  }
  for (const auto& [name, peer] : peers_) {
    if (peer.version < chain_.NewestVersion()) status.lagging.push_back(peer);
  }
  return status;
}

}  // namespace vanilladeck::config
