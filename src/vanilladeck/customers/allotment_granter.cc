#include "vanilladeck/customers/allotment_granter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace vanilladeck::customers {
namespace {

// A former lender gives up the tokens that exceed its own share when its term ends on its clock.
// That is later than the end on the granter's clock by less than a round trip.
constexpr core::Duration kFormerLenderTime = std::chrono::seconds(1);
// Spare tokens are granted while at least this part of the limit is left for expected demand.
constexpr double kReservedForNeed = 0.25;

double Seconds(core::Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::int64_t ClockMs(core::TimePoint now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
}

}  // namespace

void AllotmentGranter::SetCustomers(const std::vector<config::Customer>& customers,
                                    core::TimePoint now) {
  Advance(now);
  std::unordered_map<std::string, Account> accounts;
  for (const auto& it : customers) {
    if (it.rate <= 0) continue;
    Account account;
    account.rate = it.rate;
    account.limit = TokenLimit(it, bounds_);
    const auto known = accounts_.find(it.name);
    if (known != accounts_.end()) {
      // A lowered limit also lowers what is kept.
      const double factor = std::min(1.0, account.limit / known->second.limit);
      account.pool = known->second.pool * factor;
    }
    for (const auto& [name, lender] : lenders_) {
      const auto tokens = lender.tokens.find(it.name);
      if (tokens != lender.tokens.end()) account.outstanding += tokens->second;
    }
    accounts.emplace(it.name, account);
  }
  accounts_ = std::move(accounts);
}

void AllotmentGranter::Advance(core::TimePoint now) {
  const core::TimePoint from = std::max(advanced_at_, now - kLendTerm);
  const bool majority = HasMajority(now);
  double lent = 0;
  double lent_seconds = 0;
  for (const auto& [name, lender] : lenders_) {
    // Other instances may have divided the share of one that the store no longer lists.
    if (!lender.registered && !(majority && lender.listed)) continue;
    if (lender.until > now) lent += lender.share;
    if (lender.until > from) {
      lent_seconds += lender.share * Seconds(std::min(now, lender.until) - from);
    }
  }
  lent = std::min(lent, 1.0);
  lent_seconds = std::min(lent_seconds, Seconds(now - from));
  for (auto& [name, account] : accounts_) {
    const double room = std::max(account.limit * lent - account.outstanding, 0.0);
    account.pool = std::min(account.pool + account.rate * lent_seconds, room);
  }
  advanced_at_ = now;
  RemoveFormerLenders(now);
}

void AllotmentGranter::RemoveFormerLenders(core::TimePoint now) {
  for (auto it = lenders_.begin(); it != lenders_.end();) {
    if (now < it->second.until + kFormerLenderTime) {
      ++it;
      continue;
    }
    for (const auto& [customer, tokens] : it->second.tokens) {
      const auto account = accounts_.find(customer);
      if (account != accounts_.end()) account->second.outstanding -= tokens;
    }
    it = lenders_.erase(it);
  }
}

bool AllotmentGranter::HasMajority(core::TimePoint now) const {
  double lent = 0;
  for (const auto& [name, lender] : lenders_) {
    if (lender.until > now && lender.listed_weight >= listed_weight_) lent += lender.share;
  }
  return lent > 0.5;
}

void AllotmentGranter::SetTokens(Lender& lender, const std::string& customer, double tokens) {
  const auto account = accounts_.find(customer);
  // The number of customers bounds what a lender can make this instance remember.
  if (account == accounts_.end()) return;
  double& known = lender.tokens[customer];
  account->second.outstanding += tokens - known;
  known = tokens;
}

void AllotmentGranter::Report(Lender& lender, const AllotmentRequest& request) {
  if (request.complete) {
    for (const auto& [customer, tokens] : std::exchange(lender.tokens, {})) {
      const auto account = accounts_.find(customer);
      if (account != accounts_.end()) account->second.outstanding -= tokens;
    }
  }
  for (const auto& entry : request.entries) {
    SetTokens(lender, entry.customer, std::max(entry.tokens, 0.0));
  }
}

double AllotmentGranter::Grant(Lender& lender, const AllotmentRequest::Entry& entry) {
  const auto it = accounts_.find(entry.customer);
  if (it == accounts_.end()) return 0;
  Account& account = it->second;
  // Parts of tokens at several instances would use up the limit and admit no request.
  double tokens = std::floor(std::min(std::max(std::ceil(entry.need), 0.0), account.pool));
  const double unreserved = account.pool - tokens - kReservedForNeed * account.limit;
  tokens += std::floor(std::clamp(std::ceil(entry.spare), 0.0, std::max(unreserved, 0.0)));
  if (tokens < 1) return 0;
  account.pool -= tokens;
  account.outstanding += tokens;
  lender.tokens[entry.customer] += tokens;
  return tokens;
}

AllotmentAnswer AllotmentGranter::OnRequest(const AllotmentRequest& request, const FleetView& view,
                                            core::TimePoint now) {
  listed_weight_ = view.listed_weight;
  AllotmentAnswer answer;
  answer.process = process_;
  answer.clock_ms = ClockMs(now);
  // A term on the clock of another process means nothing here.
  const bool lends = request.granter_process == process_ && request.lent_until_ms > 0;
  auto it = lenders_.find(request.sender);
  const bool known = it != lenders_.end() && it->second.process == request.process;
  if (known && request.sequence <= it->second.sequence) return answer;
  // What the sender has used makes room for tokens of the time that has passed.
  if (known && lends) Report(it->second, request);
  Advance(now);
  it = lenders_.find(request.sender);
  if (known && it == lenders_.end()) return answer;
  if (lends && (known || request.complete)) {
    if (it == lenders_.end()) it = lenders_.emplace(request.sender, Lender{}).first;
    Lender& lender = it->second;
    lender.process = request.process;
    lender.sequence = request.sequence;
    lender.share = std::clamp(request.share, 0.0, 1.0);
    lender.registered = request.registered;
    lender.listed = view.sender_listed;
    lender.listed_weight = request.listed_weight;
    const core::TimePoint until{std::chrono::milliseconds(request.lent_until_ms)};
    lender.until = std::min(until, now + kLendTerm);
    if (!known) Report(lender, request);
    Advance(now);
    if (lender.until > now) {
      for (const auto& entry : request.entries) {
        const double tokens = Grant(lender, entry);
        if (tokens > 0) answer.grants.push_back({entry.customer, tokens});
      }
    }
    answer.known = true;
  } else if (known) {
    // The sender has ended its term before the time.
    it->second.sequence = request.sequence;
    it->second.until = std::min(it->second.until, now);
    Advance(now);
  }
  answer.majority = view.sender_listed && HasMajority(now);
  return answer;
}

std::size_t AllotmentGranter::lenders(core::TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      lenders_.begin(), lenders_.end(), [now](const auto& it) { return it.second.until > now; }));
}

double AllotmentGranter::pool(const std::string& customer) const {
  const auto it = accounts_.find(customer);
  return it == accounts_.end() ? 0 : it->second.pool;
}

}  // namespace vanilladeck::customers
