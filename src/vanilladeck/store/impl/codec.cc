#include "vanilladeck/store/impl/codec.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "vanilladeck/store/impl/base64.h"

namespace vanilladeck::store::impl {
namespace {

namespace http = boost::beast::http;
using Json = nlohmann::json;

constexpr unsigned kHttp11 = 11;

template <class... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <class... F>
Overloaded(F...) -> Overloaded<F...>;

/// Percent-encodes everything outside RFC 3986's unreserved characters and the slash.
std::string EscapePath(std::string_view text) {
  constexpr std::string_view kUnescaped =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string out;
  out.reserve(text.size());
  for (char c : text) {
    if (kUnescaped.find(c) != std::string_view::npos) {
      out.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out.push_back('%');
    out.push_back(kDigits[byte >> 4U]);
    out.push_back(kDigits[byte & 0xFU]);
  }
  return out;
}

HttpCall MakeCall(http::verb verb, const std::string& target, std::string key) {
  HttpCall call;
  call.request = HttpRequest(verb, target, kHttp11);
  call.key = std::move(key);
  return call;
}

HttpCall MakeKeyCall(http::verb verb, const std::string& key, std::string_view query) {
  return MakeCall(verb, "/v1/kv/" + EscapePath(key) + std::string(query), key);
}

std::string RegistrationId(const ListedInstance& instance) {
  return instance.service + "-" + instance.address;
}

struct HostAndPort {
  std::string host;
  std::uint16_t port = 0;
};

std::optional<HostAndPort> ParseAddress(std::string_view address) {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  HostAndPort out{std::string(address.substr(0, colon))};
  const std::string_view digits = address.substr(colon + 1);
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), out.port);
  if (ec != std::errc() || end != digits.data() + digits.size() || out.port == 0) {
    return std::nullopt;
  }
  boost::system::error_code malformed;
  boost::asio::ip::make_address(out.host, malformed);
  if (malformed) return std::nullopt;
  return out;
}

std::optional<std::uint64_t> IndexHeader(const HttpResponse& response) {
  const auto text = response["X-Consul-Index"];
  std::uint64_t index = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), index);
  if (ec != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return index;
}

std::optional<Entry> ParseEntry(const Json& row) {
  if (!row.is_object() || !row.contains("Key") || !row["Key"].is_string()) return std::nullopt;
  if (!row.contains("ModifyIndex") || !row["ModifyIndex"].is_number_unsigned()) return std::nullopt;
  Entry entry{row["Key"].get<std::string>(), {}, row["ModifyIndex"].get<std::uint64_t>()};
  // The platform writes an empty value as null.
  if (!row.contains("Value") || row["Value"].is_null()) return entry;
  if (!row["Value"].is_string()) return std::nullopt;
  auto value = DecodeBase64(row["Value"].get_ref<const std::string&>());
  if (!value) return std::nullopt;
  entry.value = std::move(*value);
  return entry;
}

std::optional<std::vector<Entry>> ParseEntries(const HttpResponse& response) {
  std::vector<Entry> entries;
  if (response.result() == http::status::not_found) return entries;
  const Json rows = Json::parse(response.body(), nullptr, false);
  if (!rows.is_array()) return std::nullopt;
  entries.reserve(rows.size());
  for (const Json& row : rows) {
    auto entry = ParseEntry(row);
    if (!entry) return std::nullopt;
    entries.push_back(std::move(*entry));
  }
  std::sort(entries.begin(), entries.end(),
            [](const Entry& a, const Entry& b) { return a.key < b.key; });
  return entries;
}

/// Returns a string member of a JSON object; empty if it is missing or of another type.
std::string StringMember(const Json& object, const char* name) {
  if (!object.is_object()) return {};
  const auto it = object.find(name);
  return it == object.end() || !it->is_string() ? std::string() : it->get<std::string>();
}

std::optional<ListedInstance> ParseInstance(const Json& row) {
  if (!row.is_object() || !row.contains("Service")) return std::nullopt;
  const Json& service = row["Service"];
  const std::string host = StringMember(service, "Address");
  if (host.empty() || !service.contains("Port") || !service["Port"].is_number_unsigned()) {
    return std::nullopt;
  }
  const Json meta = service.value("Meta", Json::object());
  ListedInstance out;
  out.service = StringMember(service, "Service");
  out.address = host + ":" + std::to_string(service["Port"].get<std::uint32_t>());
  out.failure_domain = StringMember(meta, "failure_domain");
  out.state =
      StringMember(meta, "state") == "leaving" ? InstanceState::kLeaving : InstanceState::kLive;
  return out;
}

StoreResult ProtocolError(std::string key) {
  return core::failure(StoreError{StoreErrorCode::kProtocol, std::move(key)});
}

StoreResult DecodeRead(const std::string& key, const HttpResponse& response) {
  const auto index = IndexHeader(response);
  auto entries = ParseEntries(response);
  if (!index || !entries || entries->size() > 1) return ProtocolError(key);
  GetReply reply;
  reply.index = *index;
  if (!entries->empty()) reply.entry = std::move(entries->front());
  return Reply(std::move(reply));
}

StoreResult DecodeList(const std::string& prefix, const HttpResponse& response) {
  auto entries = ParseEntries(response);
  if (!entries) return ProtocolError(prefix);
  return Reply(ListReply{std::move(*entries)});
}

StoreResult DecodeInstances(const std::string& service, const HttpResponse& response) {
  const Json rows = Json::parse(response.body(), nullptr, false);
  if (!rows.is_array()) return ProtocolError(service);
  ListInstancesReply reply;
  reply.instances.reserve(rows.size());
  for (const Json& row : rows) {
    auto instance = ParseInstance(row);
    if (!instance) return ProtocolError(service);
    reply.instances.push_back(std::move(*instance));
  }
  return Reply(std::move(reply));
}

/// Parses the response to a write, which is the JSON text true or false.
std::optional<bool> ParseBool(const HttpResponse& response) {
  const std::string_view body = response.body();
  if (body.starts_with("true")) return true;
  if (body.starts_with("false")) return false;
  return std::nullopt;
}

std::string KeyOf(const Request& request) {
  return std::visit(Overloaded{[](const List& it) { return it.prefix; },
                               [](const DeletePrefix& it) { return it.prefix; },
                               [](const ListInstances& it) { return it.service; },
                               [](const auto& it) { return it.key; }},
                    request);
}

/// 404 (missing key) is a valid response to reads only.
bool IsExpectedStatus(const Request& request, http::status status) {
  if (status == http::status::ok) return true;
  const bool reads_keys = std::holds_alternative<Get>(request) ||
                          std::holds_alternative<List>(request) ||
                          std::holds_alternative<Watch>(request);
  return reads_keys && status == http::status::not_found;
}

}  // namespace

HttpCall Encode(const Request& request) {
  return std::visit(
      Overloaded{[](const Get& it) { return MakeKeyCall(http::verb::get, it.key, ""); },
                 [](const List& it) { return MakeKeyCall(http::verb::get, it.prefix, "?recurse"); },
                 [](const CompareAndSwap& it) {
                   auto call =
                       MakeKeyCall(http::verb::put, it.key, "?cas=" + std::to_string(it.index));
                   call.request.body() = it.value;
                   return call;
                 },
                 [](const Watch& it) {
                   auto call = MakeKeyCall(http::verb::get, it.key,
                                           "?index=" + std::to_string(it.index) +
                                               "&wait=" + std::to_string(it.wait.count()) + "ms");
                   call.is_watch = true;
                   // Consul adds up to a sixteenth of the wait as jitter.
                   constexpr int kJitterDivisor = 16;
                   call.wait = it.wait + it.wait / kJitterDivisor;
                   return call;
                 },
                 [](const DeletePrefix& it) {
                   return MakeKeyCall(http::verb::delete_, it.prefix, "?recurse");
                 },
                 [](const ListInstances& it) {
                   return MakeCall(http::verb::get,
                                   "/v1/health/service/" + EscapePath(it.service) + "?passing",
                                   it.service);
                 }},
      request);
}

core::Result<HttpCall, StoreError> EncodeRegister(const ListedInstance& instance,
                                                  std::chrono::seconds ttl) {
  const auto address = ParseAddress(instance.address);
  if (!address) return core::failure(StoreError{StoreErrorCode::kProtocol, instance.address});
  Json body{{"ID", RegistrationId(instance)},
            {"Name", instance.service},
            {"Address", address->host},
            {"Port", address->port},
            {"Meta",
             {{"failure_domain", instance.failure_domain},
              {"state", instance.state == InstanceState::kLeaving ? "leaving" : "live"}}}};
  if (ttl.count() > 0) {
    const std::string text = std::to_string(ttl.count()) + "s";
    body["Check"] = {
        {"TTL", text}, {"Status", "passing"}, {"DeregisterCriticalServiceAfter", text}};
  }
  auto call = MakeCall(http::verb::put, "/v1/agent/service/register", instance.address);
  call.request.body() = body.dump();
  return call;
}

HttpCall EncodeDeregister(const ListedInstance& instance) {
  return MakeCall(http::verb::put,
                  "/v1/agent/service/deregister/" + EscapePath(RegistrationId(instance)),
                  instance.address);
}

StoreError StatusError(const HttpResponse& response, std::string key) {
  StoreErrorCode code = StoreErrorCode::kProtocol;
  if (response.result() == http::status::payload_too_large) {
    code = StoreErrorCode::kTooLarge;
  } else if (response.result() == http::status::too_many_requests) {
    code = StoreErrorCode::kUnavailable;  // Rejected by a rate limit, not executed.
  } else if (response.result_int() >= 500) {
    code = StoreErrorCode::kOutcomeUnknown;  // The server may fail after the write was committed.
  }
  return {code, std::move(key)};
}

StoreResult Decode(const Request& request, const HttpResponse& response) {
  std::string key = KeyOf(request);
  if (!IsExpectedStatus(request, response.result())) {
    return core::failure(StatusError(response, std::move(key)));
  }
  const auto flag = ParseBool(response);
  return std::visit(
      Overloaded{[&](const List& it) { return DecodeList(it.prefix, response); },
                 [&](const CompareAndSwap& it) {
                   if (!flag) return ProtocolError(it.key);
                   return StoreResult(Reply(CompareAndSwapReply{*flag}));
                 },
                 [&](const DeletePrefix& it) {
                   if (flag != true) return ProtocolError(it.prefix);
                   return StoreResult(Reply(DeletePrefixReply{}));
                 },
                 [&](const ListInstances& it) { return DecodeInstances(it.service, response); },
                 [&](const auto& it) { return DecodeRead(it.key, response); }},
      request);
}

}  // namespace vanilladeck::store::impl
