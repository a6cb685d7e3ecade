#pragma once

#include <map>
#include <string>
#include <vector>

#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::customers {

/// An instance that may be asked for tokens.
struct GranterCandidate {
  std::string name;
  std::string address;  ///< "IP:port" of its listener for other instances.
  std::string region;
  double weight = 0;
};

/// Selects the instance that this one lends its share to.
///
/// All instances prefer the same one, so that demand meets all shares there: the one with the
/// largest weight, among equal ones the first by the hash of its name. Differing choices cost
/// requests that are refused without need, never a limit that is exceeded.
class GranterChoice {
 public:
  explicit GranterChoice(std::string region) : region_(std::move(region)) {}

  /// `candidates` are the ready instances, this one included.
  void SetCandidates(std::vector<GranterCandidate> candidates);
  /// Returns null if no candidate is left.
  [[nodiscard]] const GranterCandidate* Choose(core::TimePoint now) const;
  [[nodiscard]] const GranterCandidate* Find(const std::string& name) const;
  void OnFailure(const std::string& name, core::TimePoint now);

 private:
  std::string region_;
  std::vector<GranterCandidate> candidates_;  ///< Best first.
  std::map<std::string, core::TimePoint> failed_until_;
};

}  // namespace vanilladeck::customers
