#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace vanilladeck::config {

/// Number of instances per failure domain that hold a blocking read on the head; two, so that one
/// can fail without delaying changes.
inline constexpr std::size_t kReadersPerDomain = 2;

/// Selects the readers among the live instances of a domain by rendezvous hashing, lowest hash
/// first, so that a reader is replaced only if it leaves or a new instance ranks before it.
/// Duplicates count once.
[[nodiscard]] std::vector<std::string> ChooseReaders(std::string_view failure_domain,
                                                     const std::vector<std::string>& instances);

[[nodiscard]] bool IsReader(std::string_view failure_domain,
                            const std::vector<std::string>& instances, std::string_view self);

}  // namespace vanilladeck::config
