#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <string>

#include "vanilladeck/core/result.h"
#include "vanilladeck/store/request.h"

/// Translation between typed store calls and the Consul HTTP API.
namespace vanilladeck::store::impl {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

struct HttpCall {
  HttpRequest request;
  std::string key;  ///< Reported as `StoreError::key`.
  bool is_watch = false;
  std::chrono::milliseconds wait{0};  ///< Maximum time that the platform may block the call.
};

[[nodiscard]] HttpCall Encode(const Request& request);

/// Fails with `kProtocol` if the instance's address is not "IP:port".
[[nodiscard]] core::Result<HttpCall, StoreError> EncodeRegister(const ListedInstance& instance,
                                                                std::chrono::seconds ttl);
[[nodiscard]] HttpCall EncodeDeregister(const ListedInstance& instance);

/// Decodes the response to `request`.
[[nodiscard]] StoreResult Decode(const Request& request, const HttpResponse& response);

/// Maps a response with an unexpected status to an error.
[[nodiscard]] StoreError StatusError(const HttpResponse& response, std::string key);

}  // namespace vanilladeck::store::impl
