#include "membership/model_fleet.h"

#include <algorithm>
#include <sstream>
#include <string_view>
#include <utility>

namespace vanilladeck::testing {
namespace {

constexpr std::size_t kServers = 4;
constexpr core::Duration kTick = Ms(100);
// An entry ends this long after its server's last write.
constexpr core::Duration kServerTtl = Ms(2'500);
// A server writes at least this often, so that it has written again 2 s after a return.
constexpr int kMinWriteMs = 400;
constexpr int kMaxWriteMs = 1'800;
// A policy or a report of leaving is known everywhere after this time.
constexpr core::Duration kKnownBound = Ms(2'500);
// `FollowerSettings::removal_grace` after the return is known, as any other change.
constexpr core::Duration kEntryBound = Ms(2'200) + kKnownBound;
// A pause between retries, and the retry itself, may follow the end of a fault.
constexpr core::Duration kReconnectTime = Ms(2'500);
// After the last step; less than `FollowerSettings::relist_interval`, which would hide faults.
constexpr core::Duration kSettleTime = Ms(11'000);

}  // namespace

ModelFleet::ModelFleet(StoreSchedule schedule)
    : schedule_(std::move(schedule)), timeline_(schedule_.seed), store_(timeline_) {
  for (std::size_t i = 0; i < kServers; ++i) {
    servers_.emplace_back();
    servers_.back().id = "s" + std::to_string(i);
  }
}

void ModelFleet::Fail(std::initializer_list<std::string_view> text) {
  if (!violation_.empty()) return;
  std::ostringstream out;
  for (const std::string_view it : text) out << it;
  out << " at "
      << std::chrono::duration_cast<Ms>(timeline_.now().time_since_epoch()).count() - 100'000
      << " ms";
  violation_ = out.str();
}

std::string ModelFleet::Run() {
  const core::TimePoint began = timeline_.now();
  for (Server& it : servers_) {
    it.runs = true;
    it.born = 1;
    it.began = began;
  }
  // Copies can be as old as the start only if there is something in them.
  timeline_.RunUntil(began + Ms(1'000));
  for (std::size_t i = 0; i < (schedule_.relays ? 5 : 2); ++i) StartInstance(i);
  for (const Step& it : schedule_.steps) {
    timeline_.At(began + Ms(4'000) + Ms(it.at_ms), [this, it] { Apply(it); });
  }
  const core::TimePoint end = began + Ms(4'000) + Ms(kScheduleMs) + kSettleTime;
  while (timeline_.now() < end && violation_.empty()) {
    Tick();
    timeline_.RunUntil(timeline_.now() + kTick);
  }
  if (violation_.empty()) CheckAgreement();
  return violation_;
}

void ModelFleet::Tick() {
  store_.Tick();
  TickServers();
  TickOperator();
  for (auto& [name, runner] : runners_) runner.instance->Tick();
  Check();
}

void ModelFleet::StartInstance(std::size_t index) {
  const std::string name = "i" + std::to_string(index);
  Runner& runner = runners_[name];
  if (runner.instance) {
    // Its events still refer to it.
    runner.instance->PauseUntil(core::TimePoint::max());
    stopped_.push_back(std::move(runner.instance));
  }
  runner = Runner{};
  runner.instance =
      std::make_unique<ModelInstance>(timeline_, store_, name, [this](const std::string& other) {
        const auto it = runners_.find(other);
        return it == runners_.end() ? nullptr : it->second.instance.get();
      });
  runner.instance->on_server_removed = [this, name](const std::string& id) {
    OnServerRemoved(name, id);
  };
  runner.in_touch_since = std::max(timeline_.now(), silent_until_) + kReconnectTime;
  std::vector<membership::FeedPeer> peers;
  for (const auto& [other, unused] : runners_) peers.push_back({other, other});
  for (auto& [other, it] : runners_) it.instance->SetPeers(peers);
}

void ModelFleet::Apply(const Step& step) {
  switch (step.kind) {
    case StepKind::kCut:
    case StepKind::kPause:
    case StepKind::kSlow:
    case StepKind::kStartInstance:
      ApplyToInstance(step);
      break;
    default:
      ApplyToStore(step);
  }
}

void ModelFleet::ApplyToStore(const Step& step) {
  const core::TimePoint now = timeline_.now();
  const core::Duration amount = Ms(step.amount_ms);
  Server& server = servers_[step.target % servers_.size()];
  const std::string evacuation = kModelEvacuationPrefix + std::to_string(step.target % 2);
  switch (step.kind) {
    case StepKind::kLeave:
      if (!server.runs || server.draining) break;
      server.draining = true;
      server.next_write = now;
      server.ends = now + amount / 4;
      break;
    case StepKind::kCrash:
      server.runs = false;
      break;
    case StepKind::kRestart:
      ++server.born;
      server.sequence = 0;
      server.runs = true;
      server.draining = false;
      server.began = now;
      server.next_write = now;
      break;
    case StepKind::kPolicy:
      next_policy_ = acknowledged_policy_ + 1;
      policy_due_ = true;
      operator_due_ = now;
      break;
    case StepKind::kEvacuate:
    case StepKind::kRestore:
      evacuated_[evacuation] = step.kind == StepKind::kEvacuate;
      operator_due_ = now;
      break;
    case StepKind::kReturnTwice:
      timeline_.After(Ms(1'000), [this, amount] { ReturnFromCopy(amount); });
      [[fallthrough]];
    case StepKind::kReturn:
      ReturnFromCopy(amount);
      break;
    case StepKind::kSilence:
      silent_until_ = std::max(silent_until_, now + amount / 2);
      store_.SetSilentUntil(silent_until_);
      for (auto& [name, runner] : runners_) {
        runner.in_touch_since = std::max(runner.in_touch_since, silent_until_ + kReconnectTime);
      }
      break;
    default:
      break;
  }
}

void ModelFleet::ApplyToInstance(const Step& step) {
  const core::TimePoint now = timeline_.now();
  const core::Duration amount = Ms(step.amount_ms);
  if (step.kind == StepKind::kStartInstance) {
    StartInstance(schedule_.relays ? step.target : step.target % 4);
    return;
  }
  const auto it = runners_.find("i" + std::to_string(step.target));
  if (it == runners_.end()) return;
  Runner& runner = it->second;
  core::TimePoint until = now + amount;
  if (step.kind == StepKind::kCut) runner.instance->CutUntil(until);
  if (step.kind == StepKind::kSlow) {
    runner.instance->SlowUntil(until, Ms(100) + amount / 8);
    slow_until_ = std::max(slow_until_, until);
  }
  if (step.kind == StepKind::kPause) {
    until = now + amount / 2;
    runner.instance->PauseUntil(until);
  }
  runner.in_touch_since = std::max(runner.in_touch_since, until + kReconnectTime);
}

void ModelFleet::ReturnFromCopy(core::Duration age) {
  const core::TimePoint now = timeline_.now();
  store_.ReturnFromCopy(age, kServerTtl);
  last_return_ = now;
  operator_due_ = now + timeline_.RandomMs(100, 1'800);
  for (auto& [key, wanted] : evacuated_) {
    // The operator does not always write such a thing again.
    if (timeline_.Random(0, 3) == 0) wanted = store_.items().count(key) > 0;
  }
  // A copy of the age 0 lacks nothing; otherwise the operator sees from the version what is lost.
  policy_due_ = true;
  NoteStated();
}

void ModelFleet::TickServers() {
  const core::TimePoint now = timeline_.now();
  for (Server& it : servers_) {
    if (!it.runs || now < it.next_write) continue;
    const std::string key = kModelServerPrefix + it.id;
    if (it.draining && now >= it.ends && it.last_write >= it.began) {
      it.runs = false;
      store_.Delete(key);
      continue;
    }
    steering::ServerReport report;
    report.born_ms = it.born;
    report.sequence = it.sequence + 1;
    if (it.draining) report.state = steering::ServerState::kDraining;
    if (!store_.Put(key, EncodeModelReport(report), kServerTtl)) {
      it.next_write = now + Ms(200);
      continue;
    }
    ++it.sequence;
    it.last_write = now;
    it.next_write = now + timeline_.RandomMs(kMinWriteMs, kMaxWriteMs);
    if (it.draining) it.next_write = std::min(it.next_write, std::max(now + kTick, it.ends));
  }
  NoteStated();
}

void ModelFleet::TickOperator() {
  const core::TimePoint now = timeline_.now();
  if (now < operator_due_ || store_.silent()) return;
  if (std::exchange(policy_due_, false)) {
    const auto it = store_.items().find(kModelPolicyKey);
    next_policy_ = std::max(next_policy_, acknowledged_policy_);
    if (it == store_.items().end() || std::stoll(it->second.value) < next_policy_) {
      store_.Put(kModelPolicyKey, std::to_string(next_policy_));
    }
    acknowledged_policy_ = next_policy_;
  }
  for (const auto& [key, wanted] : evacuated_) {
    const bool present = store_.items().count(key) > 0;
    if (wanted && !present) store_.Put(key, "");
    if (!wanted && present) store_.Delete(key);
  }
  NoteStated();
}

void ModelFleet::NoteStated() {
  const core::TimePoint now = timeline_.now();
  for (const Server& it : servers_) {
    const auto entry = store_.items().find(kModelServerPrefix + it.id);
    if (entry == store_.items().end()) {
      absent_since_.try_emplace(it.id, now);
      stated_leaving_.erase(it.id);
      continue;
    }
    absent_since_.erase(it.id);
    const auto report = DecodeModelReport(it.id, entry->second.value);
    if (report.state != steering::ServerState::kDraining) {
      stated_leaving_.erase(it.id);
      continue;
    }
    Stated& stated = stated_leaving_[it.id];
    if (stated.value != report.born_ms) stated = {now, report.born_ms};
  }
  const auto policy = store_.items().find(kModelPolicyKey);
  if (policy == store_.items().end()) {
    stated_policy_.reset();
  } else if (const auto version = std::stoll(policy->second.value);
             !stated_policy_ || stated_policy_->value != version) {
    stated_policy_ = Stated{now, version};
  }
}

bool ModelFleet::InTouchFor(const Runner& runner, core::Duration time) const {
  return timeline_.now() - runner.in_touch_since >= time;
}

void ModelFleet::Check() {
  const core::TimePoint now = timeline_.now();
  for (auto& [name, runner] : runners_) {
    const std::int64_t policy = runner.instance->policy();
    if (policy < runner.policy) Fail({"an older policy is in force at ", name});
    runner.policy = policy;
    const bool known = !stated_policy_ || policy >= stated_policy_->value;
    if (!known && now - std::max(stated_policy_->since, last_return_) > kKnownBound &&
        InTouchFor(runner, kKnownBound)) {
      Fail({"policy ", std::to_string(stated_policy_->value), " is not in force at ", name});
    }
    // The next change of the same answer may be the server's write.
    for (const std::string& it : std::exchange(runner.removed, {})) {
      if (!runner.instance->servers().Find(it)) Fail({"running ", it, " is removed at ", name});
    }
    CheckServers(name, runner);
    CheckEntries(name, runner);
  }
}

void ModelFleet::CheckServers(const std::string& name, Runner& runner) {
  const core::TimePoint now = timeline_.now();
  for (const Server& it : servers_) {
    const auto known = runner.instance->servers().Find(it.id);
    if (!known || known->gone) continue;
    const std::pair lifetime(it.id, known->report.born_ms);
    if (known->draining) {
      runner.leaving.insert(lifetime);
      continue;
    }
    if (runner.leaving.count(lifetime) > 0) Fail({it.id, " is ready again at ", name});
    const auto stated = stated_leaving_.find(it.id);
    if (stated == stated_leaving_.end() || stated->second.value < known->report.born_ms) continue;
    if (now - std::max(stated->second.since, last_return_) > kKnownBound &&
        InTouchFor(runner, kKnownBound)) {
      Fail({"the leaving of ", it.id, " is not known at ", name});
    }
  }
}

void ModelFleet::CheckEntries(const std::string& name, const Runner& runner) {
  for (const auto& [id, since] : absent_since_) {
    if (timeline_.now() - std::max(since, last_return_) > kEntryBound &&
        InTouchFor(runner, kEntryBound) && runner.instance->servers().Find(id)) {
      Fail({id, " has ended and is listed at ", name});
    }
  }
}

void ModelFleet::OnServerRemoved(const std::string& name, const std::string& id) {
  const auto it = std::find_if(servers_.begin(), servers_.end(),
                               [&](const Server& server) { return server.id == id; });
  const bool lives = it->runs && !it->draining && it->last_write >= it->began &&
                     store_.items().count(kModelServerPrefix + id) > 0;
  const auto known = runners_[name].instance->servers().Find(id);
  const bool current = known && known->report.born_ms == it->born;
  // Through a reader with a slow link, writes may arrive after the grace period.
  const bool late = schedule_.relays && timeline_.now() < slow_until_ + kEntryBound;
  if (lives && current && !late && InTouchFor(runners_[name], Ms(0))) {
    runners_[name].removed.insert(id);
  }
}

void ModelFleet::CheckAgreement() {
  std::set<std::string> evacuated;
  for (const auto& [key, entry] : store_.items()) {
    if (key.rfind(kModelEvacuationPrefix, 0) == 0) evacuated.insert(key);
  }
  for (const auto& [name, runner] : runners_) {
    const ModelInstance& instance = *runner.instance;
    if (instance.policy() != acknowledged_policy_) Fail({name, " has another policy in the end"});
    if (instance.evacuated() != evacuated) Fail({name, " has other evacuations in the end"});
    for (const Server& it : servers_) {
      const auto known = instance.servers().Find(it.id);
      const bool present = store_.items().count(kModelServerPrefix + it.id) > 0;
      if (present != (known != nullptr)) Fail({name, " disagrees about ", it.id, " in the end"});
      if (present && known && known->report.born_ms != it.born) {
        Fail({name, " has another lifetime of ", it.id, " in the end"});
      }
    }
  }
}

}  // namespace vanilladeck::testing
