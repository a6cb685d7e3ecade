#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "vanilladeck/core/result.h"

namespace vanilladeck::ctl {

struct HttpAnswer {
  unsigned status = 0;
  std::string body;
};

/// Whether the listener can have acted on a request that failed.
enum class CallFailure : std::uint8_t {
  kNotSent,  ///< No connection: the request had no effect.
  kLost,     ///< No complete answer: it may have had an effect.
};

struct CallError {
  CallFailure failure = CallFailure::kNotSent;
  std::string message;
};

/// One HTTP exchange with an operators' listener. `address` is "HOST:PORT"; `timeout` covers
/// connecting, sending and the answer together.
[[nodiscard]] core::Result<HttpAnswer, CallError> CallOperators(const std::string& address,
                                                                const std::string& method,
                                                                const std::string& target,
                                                                const std::string& body,
                                                                std::chrono::milliseconds timeout);

}  // namespace vanilladeck::ctl
