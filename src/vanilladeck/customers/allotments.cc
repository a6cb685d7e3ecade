#include "vanilladeck/customers/allotments.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace vanilladeck::customers {
namespace {

using std::chrono::milliseconds;

// An instance without requests of customers asks only to renew the term of its share.
constexpr core::Duration kBusyInterval = milliseconds(300);
constexpr core::Duration kIdleInterval = milliseconds(500);
// Shortest time between two requests that are sent early.
constexpr core::Duration kUrgentInterval = milliseconds(100);
// A customer without requests for this time gets no tokens in advance.
constexpr core::Duration kDemandMemory = std::chrono::seconds(10);
// Tokens are held for the demand of this time: an interval, a round trip between regions and the
// time until the share can be used again if the granter fails.
constexpr double kHorizonS = 0.8;
// Requests arrive in groups: this many standard deviations of a Poisson process in addition.
constexpr double kDeviations = 0.5;
// Part of this instance's own share of a limit that it holds without demand.
constexpr double kPreparedPart = 0.25;
// From this number of tokens on it holds a whole one.
constexpr double kMinPrepared = 0.25;
// Weight of the newest interval when demand falls and when it grows.
constexpr double kFallWeight = 0.2;
constexpr double kRiseWeight = 0.6;
// Tokens are asked for once this part of those wanted is missing, which keeps requests short.
constexpr double kMissingPart = 0.1;
constexpr double kMinMissing = 0.5;
// Tokens beyond this multiple of those wanted are returned.
constexpr double kMaxHeld = 2;
// Shortest time over which demand is measured.
constexpr double kMinIntervalS = 0.05;
constexpr milliseconds kMinRetryAfter{100};
constexpr milliseconds kMaxRetryAfter{5000};

double Seconds(core::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

Allotments::Allotments(std::string instance, std::uint64_t process, AllotmentBounds bounds,
                       core::TimePoint now)
    : instance_(std::move(instance)),
      process_(process),
      bounds_(bounds),
      share_from_(now + kLendTerm + std::chrono::seconds(1)),
      advanced_at_(now) {}

void Allotments::SetCustomers(const std::vector<config::Customer>& customers, core::TimePoint now) {
  Advance(now);
  std::unordered_map<std::string, Account> accounts;
  for (const auto& it : customers) {
    if (it.rate <= 0) continue;
    Account account;
    const auto known = accounts_.find(it.name);
    const double limit = TokenLimit(it, bounds_);
    if (known != accounts_.end()) {
      account = known->second;
      // A lowered limit also lowers what was saved under the former one.
      account.tokens *= std::min(1.0, limit / account.limit);
    }
    account.rate = it.rate;
    account.limit = limit;
    accounts.emplace(it.name, account);
  }
  accounts_ = std::move(accounts);
}

void Allotments::SetShare(double share, core::TimePoint registered_until, core::TimePoint now) {
  Advance(now);
  share_ = share;
  registered_until_ = registered_until;
}

double Allotments::UsableShare(core::TimePoint now) const {
  if (now < share_from_) return 0;
  return now < registered_until_ || now < majority_until_ ? share_ : 0;
}

void Allotments::Advance(core::TimePoint now) {
  if (!Lends(now)) {
    const double share = UsableShare(now);
    const double seconds = Seconds(now - std::min(now, std::max(advanced_at_, lent_until_)));
    for (auto& [name, account] : accounts_) {
      account.tokens =
          std::min(account.tokens + account.rate * share * seconds, account.limit * share);
    }
  }
  advanced_at_ = now;
}

Allotments::Admission Allotments::Admit(const std::string& customer, core::TimePoint now) {
  const auto it = accounts_.find(customer);
  if (it == accounts_.end()) return {};
  Advance(now);
  Account& account = it->second;
  account.asked += 1;
  account.asked_at = now;
  busy_until_ = now + kDemandMemory;
  if (account.tokens >= 1) {
    account.tokens -= 1;
    ++account.status.admitted;
    ++admitted_;
    urgent_ = urgent_ || (account.tokens < 1 && account.granted_in_full);
    return {};
  }
  ++account.status.refused;
  ++refused_;
  urgent_ = urgent_ || account.granted_in_full;
  return {false, RetryAfter(account, now)};
}

core::Duration Allotments::RetryAfter(Account& account, core::TimePoint now) const {
  const double inflow = Lends(now) ? account.inflow : account.rate * UsableShare(now);
  // Those refused earlier come back first.
  account.waiting = std::max(account.waiting - inflow * Seconds(now - account.waiting_at), 0.0);
  account.waiting_at = now;
  account.waiting += 1;
  core::Duration wait = Lends(now) ? std::max(due_ - now, core::Duration(0)) : core::Duration(0);
  if (inflow > 0) {
    const double seconds =
        std::min((account.waiting - account.tokens) / inflow, Seconds(kMaxRetryAfter));
    wait = std::max(
        wait, std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds)));
  }
  return std::clamp<core::Duration>(wait, kMinRetryAfter, kMaxRetryAfter);
}

void Allotments::Charge(const std::string& customer, core::TimePoint now) {
  const auto it = accounts_.find(customer);
  if (it == accounts_.end()) return;
  Advance(now);
  it->second.tokens -= 1;
}

bool Allotments::IsExchangeDue(core::TimePoint now) const {
  if (in_flight_ || !active()) return false;
  if (now >= due_) return true;
  return urgent_ && now - began_at_ >= kUrgentInterval;
}

const std::string& Allotments::NextGranter(const std::string& preferred,
                                           core::TimePoint now) const {
  const bool recall = Lends(now) && !failed_ && lent_to_ == granter_;
  return recall ? lent_to_ : preferred;
}

void Allotments::UpdateDemand(Account& account, double seconds) const {
  const double newest = account.asked / seconds;
  const double weight = newest > account.demand ? kRiseWeight : kFallWeight;
  account.demand += weight * (newest - account.demand);
  account.asked = 0;
}

AllotmentRequest::Entry Allotments::EntryOf(const std::string& customer, Account& account,
                                            core::TimePoint now) const {
  const bool asked =
      account.asked_at != core::TimePoint{} && now - account.asked_at < kDemandMemory;
  const double expected = account.demand * kHorizonS;
  const double wanted = asked ? expected + kDeviations * std::sqrt(expected) + 1 : 0;
  // Requests of any customer make one of the others likely; those of all customers may move here
  // with their clients.
  const double prepared = kPreparedPart * account.limit * share_;
  const bool one = now < busy_until_ || prepared >= kMinPrepared;
  const double spare = std::max({wanted, prepared, one ? 1.0 : 0.0});
  AllotmentRequest::Entry entry;
  entry.customer = customer;
  // Other instances need the tokens more.
  if (account.tokens > 0 && account.tokens > kMaxHeld * spare) {
    account.tokens = spare;
    entry.returned = true;
  }
  // A part of a token admits no request here, and keeps the granter from creating others.
  if (const double whole = std::floor(account.tokens); account.tokens > std::max(whole, 0.0)) {
    account.tokens = whole;
    entry.returned = true;
  }
  entry.tokens = std::max(account.tokens, 0.0);
  entry.need = std::max(wanted - account.tokens, 0.0);
  entry.spare = std::max(spare - std::max(account.tokens, wanted), 0.0);
  if (entry.need < std::max(kMissingPart * wanted, kMinMissing)) entry.need = 0;
  if (entry.spare < kMinMissing) entry.spare = 0;
  return entry;
}

AllotmentRequest Allotments::BeginExchange(const std::string& granter, const std::string& preferred,
                                           core::TimePoint now) {
  Advance(now);
  if (granter != granter_) {
    granter_ = granter;
    granter_process_ = 0;
    known_to_granter_ = false;
  }
  AllotmentRequest request;
  request.sender = instance_;
  request.process = process_;
  request.sequence = ++sequence_;
  request.share = now < share_from_ ? 0 : share_;
  request.registered = now < registered_until_;
  request.granter_process = granter_process_;
  recalled_ = granter != preferred;
  const bool lent_elsewhere = Lends(now) && lent_to_ != granter;
  if (!recalled_ && !lent_elsewhere && granter_process_ != 0) {
    // The granter's clock showed `granter_clock_ms_` before `answered_at_`, so that it reaches the
    // end of the term no later than this instance.
    request.lent_until_ms =
        granter_clock_ms_ +
        std::chrono::duration_cast<milliseconds>(now - answered_at_ + kLendTerm).count();
    request.complete = !known_to_granter_;
    lent_to_ = granter;
    lent_until_ = now + kLendTerm;
  }
  interval_s_ = std::max(Seconds(now - began_at_), kMinIntervalS);
  for (auto& [name, account] : accounts_) {
    UpdateDemand(account, interval_s_);
    if (request.lent_until_ms == 0) continue;
    const auto entry = EntryOf(name, account, now);
    account.need = entry.need;
    const bool listed = entry.need > 0 || entry.spare > 0 || entry.returned;
    if (listed || (request.complete && entry.tokens > 0)) request.entries.push_back(entry);
  }
  in_flight_ = true;
  urgent_ = false;
  began_at_ = now;
  due_ = now + (now < busy_until_ ? kBusyInterval : kIdleInterval);
  return request;
}

void Allotments::OnAnswer(const AllotmentAnswer& answer, core::TimePoint now) {
  Advance(now);
  in_flight_ = false;
  failed_ = false;
  const bool first = granter_process_ != answer.process;
  granter_process_ = answer.process;
  granter_clock_ms_ = answer.clock_ms;
  answered_at_ = now;
  if (recalled_) {
    lent_until_ = std::min(lent_until_, now);
    due_ = now;
    return;
  }
  if (!first && answer.majority) majority_until_ = began_at_ + kLendTerm;
  // The first answer of a process only states its clock. The share is lent to the new granter as
  // soon as the term at the former one has ended.
  const bool lent_elsewhere = Lends(now) && lent_to_ != granter_;
  if (first || lent_elsewhere) due_ = lent_elsewhere ? std::min(due_, lent_until_) : now;
  known_to_granter_ = answer.known && !first;
  // Tokens that arrive after the end of the term no longer count at the granter.
  if (!Lends(now) || lent_to_ != granter_ || first) return;
  std::unordered_map<std::string, double> received;
  for (const auto& it : answer.grants) received[it.customer] += std::max(it.tokens, 0.0);
  for (auto& [name, account] : accounts_) {
    const auto it = received.find(name);
    const double tokens = it == received.end() ? 0 : it->second;
    account.tokens += tokens;
    account.granted_in_full = tokens >= std::exchange(account.need, 0.0) * 0.99;
    account.inflow += kFallWeight * (tokens / interval_s_ - account.inflow);
  }
}

void Allotments::OnFailure(core::TimePoint now) {
  Advance(now);
  in_flight_ = false;
  failed_ = true;
  known_to_granter_ = false;
  granter_process_ = 0;
  // The next granter is asked for its clock at once.
  due_ = now;
}

std::map<std::string, double> Allotments::Portions(std::size_t max, core::TimePoint now) const {
  std::map<std::string, double> portions;
  for (const auto& [name, account] : accounts_) {
    if (portions.size() == max) break;
    portions[name] = Lends(now) ? account.inflow : account.rate * UsableShare(now);
  }
  return portions;
}

std::optional<Allotments::Status> Allotments::StatusOf(const std::string& customer) const {
  const auto it = accounts_.find(customer);
  if (it == accounts_.end()) return std::nullopt;
  Status status = it->second.status;
  status.tokens = it->second.tokens;
  status.inflow = it->second.inflow;
  return status;
}

}  // namespace vanilladeck::customers
