#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace vanilladeck::config {

/// Instances of a failure domain that hold the blocking read on the head; two, so that one can
/// fail without delaying changes.
inline constexpr std::size_t kReadersPerDomain = 2;

/// The readers among the live instances of a domain: lowest by rendezvous hash, so that a change
/// of the set moves at most the readers that left it. Duplicates count once.
[[nodiscard]] std::vector<std::string> ChooseReaders(std::string_view failure_domain,
                                                     const std::vector<std::string>& instances);

[[nodiscard]] bool IsReader(std::string_view failure_domain,
                            const std::vector<std::string>& instances, std::string_view self);

}  // namespace vanilladeck::config
