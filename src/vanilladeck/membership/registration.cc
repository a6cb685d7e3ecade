#include "vanilladeck/membership/registration.h"

#include <utility>

#include "vanilladeck/core/hash.h"
#include "vanilladeck/core/json.h"

namespace vanilladeck::membership {
namespace {

// Beyond any machine; a value above is an error of the writer.
constexpr double kMaxLinkMbps = 1e7;
constexpr double kMaxProcessors = 1e4;
constexpr double kMaxMemoryMb = 1U << 30U;

}  // namespace

std::string EncodeInstance(const InstanceRecord& record) {
  nlohmann::json json{{"address", record.address},
                      {"failure_domain", record.failure_domain},
                      {"region", record.region},
                      {"ready", record.ready},
                      {"peer_address", record.peer_address},
                      {"link_mbps", record.link_mbps},
                      {"cpu_share", record.cpu_share},
                      {"memory_mb", record.memory_mb},
                      {"server_limits", record.server_limits}};
  if (record.load) json["load"] = *record.load;
  if (record.speed < 1) json["speed"] = record.speed;
  return json.dump();
}

std::optional<InstanceRecord> DecodeInstance(const std::string& key, const std::string& value) {
  const auto json = core::ParseJson(value);
  const auto text = [&](const char* field) {
    const auto it = json.find(field);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
  };
  if (!json.is_object() || key.size() <= kInstancePrefix.size()) return std::nullopt;
  const auto ready = json.find("ready");
  if (ready == json.end() || !ready->is_boolean()) return std::nullopt;
  InstanceRecord record{key.substr(kInstancePrefix.size()),
                        text("address"),
                        text("failure_domain"),
                        text("region"),
                        ready->get<bool>(),
                        text("peer_address")};
  // Instances of an earlier version do not state all of these; a value out of range is ignored.
  const auto number = [&](const char* field, double most) -> std::optional<double> {
    const auto it = json.find(field);
    if (it == json.end() || !it->is_number()) return std::nullopt;
    const auto n = it->get<double>();
    return n >= 0 && n <= most ? std::optional(n) : std::nullopt;
  };
  record.link_mbps = number("link_mbps", kMaxLinkMbps).value_or(0);
  record.cpu_share = number("cpu_share", kMaxProcessors).value_or(0);
  record.memory_mb = static_cast<std::uint32_t>(number("memory_mb", kMaxMemoryMb).value_or(0));
  record.load = number("load", 1);
  const double speed = number("speed", 1).value_or(1);
  record.speed = speed > 0 ? speed : 1;
  if (const auto limits = json.find("server_limits"); limits != json.end() && limits->is_object()) {
    for (const auto& [server, limit] : limits->items()) {
      if (limit.is_number() && limit.get<double>() >= 0) {
        record.server_limits.emplace(server, limit.get<double>());
      }
    }
  }
  if (record.address.empty() || record.region.empty()) return std::nullopt;
  return record;
}

Registration::Registration(RegistrationSettings settings, InstanceRecord record)
    : settings_(settings), record_(std::move(record)) {}

std::string Registration::Key() const { return std::string(kInstancePrefix) + record_.name; }

void Registration::SetReady(bool ready) {
  if (record_.ready == ready) return;
  record_.ready = ready;
  record_changed_ = true;
  due_ = core::TimePoint{};
}

void Registration::SetServerLimits(std::map<std::string, double> limits, core::TimePoint now) {
  if (record_.server_limits == limits || now < limits_due_) return;
  limits_due_ = now + settings_.limits_interval;
  record_.server_limits = std::move(limits);
  record_changed_ = true;
}

void Registration::SetLoad(double load, double speed, core::TimePoint now) {
  if ((record_.load == load && record_.speed == speed) || now < load_due_) return;
  load_due_ = now + settings_.load_interval;
  record_.load = load;
  record_.speed = speed;
  record_changed_ = true;
}

void Registration::Withdraw() {
  if (state_ == State::kWithdrawn) return;
  state_ = State::kWithdrawing;
  due_ = core::TimePoint{};
}

void Registration::OnRecordMissing() {
  if (state_ == State::kRegistered) LoseLease(LeaseLoss::kRecordMissing);
}

void Registration::LoseLease(LeaseLoss loss) noexcept {
  if (state_ != State::kLeased && state_ != State::kRegistered) return;
  state_ = State::kNoLease;
  ++lease_losses_[static_cast<std::size_t>(loss)];
}

void Registration::OnEra(store::Era era, core::TimePoint now) {
  call_outdated_ = in_flight_;
  if (state_ == State::kWithdrawing || state_ == State::kWithdrawn) {
    // The copy may contain the record.
    state_ = State::kWithdrawing;
    due_ = core::TimePoint{};
    return;
  }
  const bool starting = state_ == State::kNoLease && !in_flight_ && renewed_ == core::TimePoint{};
  LoseLease(LeaseLoss::kStoreReturned);
  if (starting) return;
  const auto spread_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(kReturnSpread).count();
  const std::uint64_t hash = core::Hash64(record_.name, static_cast<std::uint64_t>(era));
  due_ = now + std::chrono::milliseconds(hash % static_cast<std::uint64_t>(spread_ms));
}

std::optional<store::VersionedCall> Registration::Next(core::TimePoint now) {
  if (in_flight_ || now < due_) return std::nullopt;
  switch (state_) {
    case State::kNoLease:
      // An instance that is not ready is not registered: one write per start instead of two.
      if (!record_.ready) return std::nullopt;
      in_flight_ = true;
      renewal_sent_ = now;
      return store::GrantLease{settings_.ttl};
    case State::kLeased:
      in_flight_ = true;
      record_changed_ = false;
      return store::PutItem{Key(), EncodeInstance(record_), lease_};
    case State::kRegistered:
      // A write does not renew the lease, so that a due renewal goes first.
      if (now - renewed_ >= settings_.renew_interval) {
        in_flight_ = true;
        renewal_sent_ = now;
        return store::RenewLease{lease_};
      }
      if (!record_changed_) return std::nullopt;
      in_flight_ = true;
      record_changed_ = false;
      return store::PutItem{Key(), EncodeInstance(record_), lease_};
    case State::kWithdrawing:
      in_flight_ = true;
      deleting_ = true;
      return store::DeleteItem{Key()};
    case State::kWithdrawn:
      break;
  }
  return std::nullopt;
}

void Registration::OnAnswer(const store::VersionedResult& result, core::TimePoint now) {
  in_flight_ = false;
  const bool deleted = std::exchange(deleting_, false);
  if (std::exchange(call_outdated_, false)) return;
  // Ignore the answer to a call that was sent before the withdrawal.
  if (state_ == State::kWithdrawing && !deleted) return;
  if (!result) {
    due_ = now + settings_.retry_pause;
    if (state_ == State::kWithdrawing) return;
    if (result.error().code == store::CallErrorCode::kLeaseEnded) {
      LoseLease(LeaseLoss::kEnded);
      due_ = now;
    } else if (result.error().code == store::CallErrorCode::kOtherEra) {
      // If the store has returned, the lease may be another instance's; to ask for one is harmless.
      LoseLease(LeaseLoss::kOtherEra);
    } else if (state_ == State::kRegistered) {
      record_changed_ = true;
    }
    return;
  }
  if (const auto* granted = std::get_if<store::LeaseGranted>(&result.value())) {
    if (state_ != State::kNoLease) return;
    lease_ = granted->lease;
    renewed_ = renewal_sent_;
    state_ = State::kLeased;
    return;
  }
  switch (state_) {
    case State::kLeased:
      state_ = State::kRegistered;
      break;
    case State::kRegistered:
      // The lease runs from the arrival of the call that granted or renewed it last.
      renewed_ = renewal_sent_;
      break;
    case State::kWithdrawing:
      state_ = State::kWithdrawn;
      break;
    case State::kNoLease:
    case State::kWithdrawn:
      break;
  }
}

}  // namespace vanilladeck::membership
