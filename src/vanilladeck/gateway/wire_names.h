#pragma once

#include <string>

namespace vanilladeck::gateway {

/// Header and cookie names of a platform, as its adapter states them.
struct WireNames {
  std::string request_id;       ///< Id of one client attempt, echoed by servers.
  std::string deadline_ms;      ///< Remaining time of the request in milliseconds.
  std::string affinity_cookie;  ///< Cookie whose value names the object of a request.
  std::string response_digest;  ///< Digest that proves a server's response.
  std::string expected_server;  ///< Id of the only server that may run the request.
  std::string server_load;      ///< "running,waiting,slots" in responses.
  std::string not_run;          ///< Present: the server states that it did not run the request.
  std::string server_id;        ///< Id of the server that answers.
};

}  // namespace vanilladeck::gateway
