#include "vanilladeck/config/parse_deployment.h"

#include <string>

#include "vanilladeck/config/impl/deployment_reader.h"

namespace vanilladeck::config {

core::Result<Deployment, std::vector<ConfigError>> ParseDeployment(std::string_view text,
                                                                   std::string_view file_name) {
  impl::ErrorSink sink(file_name);
  const auto parsed = core::ParseToml(text, file_name);
  if (!parsed) {
    sink.Add(ConfigErrorCode::kMalformedToml, {parsed.error().line, parsed.error().column},
             parsed.error().message);
    return core::failure(sink.Take());
  }
  auto read = impl::ReadTables(parsed.value(), sink);
  impl::CheckDeployment(read, sink);
  auto errors = sink.Take();
  if (!errors.empty()) return core::failure(std::move(errors));
  return core::success(std::move(read.deployment));
}

}  // namespace vanilladeck::config
