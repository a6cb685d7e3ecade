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
  std::string key;  ///< Subject of a `StoreError`.
  bool is_watch = false;
  std::chrono::milliseconds wait{0};  ///< Longest time the platform may block on purpose.
};

[[nodiscard]] HttpCall Encode(const Request& request);

/// Fails with `kProtocol` when the instance's address is not "IP:port".
[[nodiscard]] core::Result<HttpCall, StoreError> EncodeRegister(const ListedInstance& instance,
                                                                std::chrono::seconds ttl);
[[nodiscard]] HttpCall EncodeDeregister(const ListedInstance& instance);

/// Reads the answer to `request`.
[[nodiscard]] StoreResult Decode(const Request& request, const HttpResponse& response);

/// The error that a response with a status other than the expected ones stands for.
[[nodiscard]] StoreError StatusError(const HttpResponse& response, std::string key);

}  // namespace vanilladeck::store::impl
