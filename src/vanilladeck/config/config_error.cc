#include "vanilladeck/config/config_error.h"

namespace vanilladeck::config {

std::string Describe(const ConfigError& error) {
  std::string text = error.file;
  text += ':' + std::to_string(error.at.line) + ':' + std::to_string(error.at.column) + ": ";
  text += Name(error.code);
  text += ": " + error.message;
  return text;
}

std::string Describe(const std::vector<ConfigError>& errors) {
  std::string text;
  for (const auto& error : errors) text += Describe(error) + '\n';
  return text;
}

}  // namespace vanilladeck::config
