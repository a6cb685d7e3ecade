#pragma once

#include <map>
#include <optional>
#include <string>

#include "vanilladeck/config/version_chain.h"

namespace vanilladeck::config {

/// Reads the records between a chain and a head from the store, one group per call.
///
/// The store also holds records of publishers whose change was not accepted. The records of the
/// chain are found by following `previous_hash` back from the head. Does no I/O: the caller
/// performs `NextRequest` and passes the reply to `OnReply`.
class ChainReader {
 public:
  /// An empty chain starts at the group of `start_version`, or of the head if that is 0.
  ChainReader(VersionChain chain, Head target, std::uint64_t start_version = 0);

  /// A list call for a single version if only that one is missing, otherwise for a group.
  [[nodiscard]] store::Request NextRequest() const;

  /// Returns true when `Chain` ends at the head, false when `NextRequest` must be performed next.
  [[nodiscard]] core::Result<bool, ChainError> OnReply(const store::ListReply& reply);

  [[nodiscard]] const Head& Target() const noexcept { return target_; }
  [[nodiscard]] const VersionChain& Chain() const noexcept { return chain_; }

 private:
  [[nodiscard]] core::Result<void, ChainError> AppendLinkedRecords();

  VersionChain chain_;
  Head target_;
  std::uint64_t first_version_;                   ///< First version to append.
  std::uint64_t next_version_;                    ///< Lowest version not yet read.
  std::map<std::string, VersionRecord> records_;  ///< By hash.
};

}  // namespace vanilladeck::config
