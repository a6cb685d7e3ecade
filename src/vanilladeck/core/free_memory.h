#pragma once

#include <string>

namespace vanilladeck::core {

/// Empties `text` and frees its memory. The assignment of an empty string or `clear` keep it, so
/// that each connection would hold the memory of its largest message.
inline void FreeMemory(std::string& text) noexcept { std::string().swap(text); }

}  // namespace vanilladeck::core
