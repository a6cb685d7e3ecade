#pragma once

#include <map>
#include <optional>
#include <string>

#include "vanilladeck/config/version_chain.h"

namespace vanilladeck::config {

/// Reads from the store the records between a chain and a head, group by group.
///
/// Records of publishers that lost are also in the store; the ones that belong to the chain are
/// found by following the previous hashes back from the head. No I/O: the caller performs
/// `NextRequest` and feeds the reply to `OnReply`.
class ChainReader {
 public:
  /// `start_version` makes an empty chain start at that version's group; 0: at the head's group.
  ChainReader(VersionChain chain, Head target, std::uint64_t start_version = 0);

  /// One list call: a single version when only that one is missing, a group otherwise.
  [[nodiscard]] store::Request NextRequest() const;

  /// True when `Chain` reaches the head, false when `NextRequest` gives another call to make.
  [[nodiscard]] core::Result<bool, ChainError> OnReply(const store::ListReply& reply);

  [[nodiscard]] const Head& Target() const noexcept { return target_; }
  [[nodiscard]] const VersionChain& Chain() const noexcept { return chain_; }

 private:
  [[nodiscard]] core::Result<void, ChainError> Link();

  VersionChain chain_;
  Head target_;
  std::uint64_t first_;                           ///< First version to append.
  std::uint64_t next_;                            ///< Lowest version that was not read yet.
  std::map<std::string, VersionRecord> records_;  ///< By hash.
};

}  // namespace vanilladeck::config
