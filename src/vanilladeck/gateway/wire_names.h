#pragma once

#include <string>

namespace vanilladeck::gateway {

/// Header and cookie names of a platform, set by its adapter.
struct WireNames {
  std::string request_id;       ///< Id of a client's attempt, echoed by servers.
  std::string deadline_ms;      ///< Remaining time of the request in milliseconds.
  std::string affinity_cookie;  ///< Cookie whose value is the affinity key of a request.
  std::string response_digest;  ///< Digest that proves a response genuine and unaltered.
  std::string expected_server;  ///< Id of the only server that may run the request.
  std::string server_load;      ///< See `ParseLoadReport`.
  std::string server_limit;     ///< Requests per second that a server accepts from all instances.
  std::string server_leaving;   ///< "1" in all responses of a server that leaves.
  std::string not_run;          ///< Present if the server did not run the request.
  std::string server_id;        ///< Id of the responding server.
  std::string customer_name;    ///< Customer of the request, set for servers.
  std::string key_scheme;       ///< Authentication scheme of customers' keys.
};

}  // namespace vanilladeck::gateway
