#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "vanilladeck/core/result.h"

namespace vanilladeck::ctl {

struct HttpResponse {
  unsigned status = 0;
  std::string body;
};

/// Tells whether a failed request can have taken effect.
enum class CallFailure : std::uint8_t {
  kNotSent,     ///< No connection: the request had no effect.
  kNoResponse,  ///< No complete response: the request may have had an effect.
};

struct CallError {
  CallFailure failure = CallFailure::kNotSent;
  std::string message;
};

/// Sends one HTTP request to an operators' listener. `address` is "HOST:PORT"; `timeout` covers
/// connecting, sending and receiving the response.
[[nodiscard]] core::Result<HttpResponse, CallError> SendOperatorRequest(
    const std::string& address, const std::string& method, const std::string& target,
    const std::string& body, std::chrono::milliseconds timeout);

}  // namespace vanilladeck::ctl
