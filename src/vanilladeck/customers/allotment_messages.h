#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace vanilladeck::customers {

/// What an instance asks of a granter.
struct AllotmentRequest {
  struct Entry {
    std::string customer;
    double tokens = 0;  ///< Unused tokens of the sender.
    double need = 0;    ///< Tokens for the demand that it expects.
    double spare = 0;   ///< Tokens for a first request; granted while the customer's limit is far.
    bool returned = false;  ///< The sender has given up tokens; not sent.
  };

  std::string sender;
  std::uint64_t process = 0;   ///< Differs between runs of the sender.
  std::uint64_t sequence = 0;  ///< Increases with each request of the process.
  /// True if `entries` names every customer of which the sender has tokens; otherwise the tokens of
  /// the others have not grown since the last request.
  bool complete = false;
  double share = 0;          ///< The sender's part of all rates and bursts.
  bool registered = false;   ///< No other instance can have taken over the sender's share.
  double fleet_weight = 0;   ///< Weight of all instances among which the sender divides limits.
  double listed_weight = 0;  ///< Weight of the instances that the sender finds listed.
  std::uint64_t granter_process = 0;  ///< From the granter's last answer; 0: none yet.
  /// End of the time for which the share is lent, on the granter's clock; 0: it is not lent.
  std::int64_t lent_until_ms = 0;
  std::vector<Entry> entries;
};

struct AllotmentAnswer {
  struct Grant {
    std::string customer;
    double tokens = 0;
  };

  std::uint64_t process = 0;  ///< Of the granter.
  std::int64_t clock_ms = 0;  ///< The granter's clock when it answered.
  /// Instances with more than half of all shares lend to the granter, find the receiver listed, and
  /// so have not divided its share.
  bool majority = false;
  bool known = false;       ///< False: the next request must be complete.
  double fleet_weight = 0;  ///< Weight of all instances among which the granter divides limits.
  std::vector<Grant> grants;
};

}  // namespace vanilladeck::customers
