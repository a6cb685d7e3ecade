#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "vanilladeck/config/customer.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/customers/allotment_limits.h"
#include "vanilladeck/customers/allotment_messages.h"

namespace vanilladeck::customers {

/// Tokens of this instance for the requests of customers with a limit.
///
/// While the instance lends its share of all limits to a granter, it gets tokens from it as it
/// needs them. Otherwise it creates tokens for its share itself. Its share is lost for as long as
/// it is not certain that other instances have not divided it among themselves. State machine
/// without I/O.
class Allotments {
 public:
  struct Admission {
    bool admitted = true;
    core::Duration retry_after{0};  ///< Time until tokens for this request are expected.
  };

  /// Totals of a customer since it was configured, and its state.
  struct Status {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    double tokens = 0;
    double inflow = 0;  ///< Tokens received per second.
  };

  /// `process` is not 0 and differs between runs of this instance.
  Allotments(std::string instance, std::uint64_t process, AllotmentBounds bounds,
             core::TimePoint now);

  /// Customers without a rate have no limit here.
  void SetCustomers(const std::vector<config::Customer>& customers, core::TimePoint now);
  /// True if any customer has a limit; without one nothing has to be exchanged.
  [[nodiscard]] bool active() const noexcept { return !accounts_.empty(); }

  /// Sets this instance's part of all limits. Until `registered_until`, no other instance can have
  /// taken over its share, since the lease in the store was valid shortly before.
  void SetShare(double share, core::TimePoint registered_until, core::TimePoint now);

  /// Uses up a token, or states when there will be one.
  [[nodiscard]] Admission Admit(const std::string& customer, core::TimePoint now);
  /// Uses up a token, without regard to the limit, for a request that is sent to a second server.
  void Charge(const std::string& customer, core::TimePoint now);

  /// True if the next request to a granter is due and none is in flight.
  [[nodiscard]] bool IsExchangeDue(core::TimePoint now) const;
  /// The granter to send the next request to: `preferred`, or the one that the share is lent to, so
  /// that it can be told of the change.
  [[nodiscard]] const std::string& NextGranter(const std::string& preferred,
                                               core::TimePoint now) const;
  /// Returns the request to send to `granter`; `preferred` is the granter to lend to.
  [[nodiscard]] AllotmentRequest BeginExchange(const std::string& granter,
                                               const std::string& preferred, core::TimePoint now);
  void OnAnswer(const AllotmentAnswer& answer, core::TimePoint now);
  void OnFailure(core::TimePoint now);

  /// Granter that the share is lent to; empty if it is not lent.
  [[nodiscard]] std::string lent_to(core::TimePoint now) const {
    return now < lent_until_ ? lent_to_ : std::string();
  }
  /// Share for which this instance may create tokens itself when it lends none.
  [[nodiscard]] double UsableShare(core::TimePoint now) const;
  [[nodiscard]] std::optional<Status> StatusOf(const std::string& customer) const;
  /// Requests per second that each customer may send to this instance, of at most `max` customers.
  [[nodiscard]] std::map<std::string, double> Portions(std::size_t max, core::TimePoint now) const;
  [[nodiscard]] std::uint64_t admitted() const noexcept { return admitted_; }
  [[nodiscard]] std::uint64_t refused() const noexcept { return refused_; }

 private:
  struct Account {
    double rate = 0;
    double limit = 0;  ///< Largest number of unused tokens at all instances.
    double tokens = 0;
    double asked = 0;    ///< Requests since the last exchange.
    double demand = 0;   ///< Requests per second, smoothed.
    double inflow = 0;   ///< Tokens received per second, smoothed.
    double waiting = 0;  ///< Refused requests that were told to come back and are not due yet.
    core::TimePoint waiting_at;
    core::TimePoint asked_at;  ///< Time of the last request.
    bool granted_in_full = true;
    double need = 0;  ///< As last requested.
    Status status;
  };

  /// Creates tokens for the share since the last call unless it was lent.
  void Advance(core::TimePoint now);
  [[nodiscard]] bool Lends(core::TimePoint now) const noexcept { return now < lent_until_; }
  void UpdateDemand(Account& account, double seconds) const;
  [[nodiscard]] AllotmentRequest::Entry EntryOf(const std::string& customer, Account& account,
                                                core::TimePoint now) const;
  [[nodiscard]] core::Duration RetryAfter(Account& account, core::TimePoint now) const;

  std::string instance_;
  std::uint64_t process_;
  AllotmentBounds bounds_;
  std::unordered_map<std::string, Account> accounts_;
  core::TimePoint share_from_;  ///< A term of the previous process has ended by then.
  double share_ = 0;
  core::TimePoint registered_until_;
  core::TimePoint majority_until_;
  core::TimePoint advanced_at_;

  std::string lent_to_;
  core::TimePoint lent_until_;
  std::string granter_;  ///< Of the last request.
  std::uint64_t granter_process_ = 0;
  std::int64_t granter_clock_ms_ = 0;
  core::TimePoint answered_at_;
  bool known_to_granter_ = false;
  bool recalled_ = false;  ///< The request in flight ends the lending.
  bool in_flight_ = false;
  bool failed_ = false;  ///< The last request got no answer.
  bool urgent_ = false;  ///< Tokens of a customer ran out that the granter may have more of.
  std::uint64_t sequence_ = 0;
  core::TimePoint began_at_;  ///< Of the last request.
  double interval_s_ = 1;     ///< Time between the last two requests.
  core::TimePoint due_;
  core::TimePoint busy_until_;  ///< Requests of customers have been received lately.
  std::uint64_t admitted_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace vanilladeck::customers
