#include "vanilladeck/ctl/query.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace vanilladeck::ctl {

core::Result<HttpResponse, ExitCode> QueryOperators(const Options& options,
                                                    const Transport& transport,
                                                    const std::string& method,
                                                    const std::string& target,
                                                    const std::string& body, Output output) {
  for (const auto& address : options.operators) {
    auto response = transport(address, method, target, body);
    if (response) return response.value();
    output.errors << address << ": " << response.error().message << '\n';
  }
  return core::failure(ExitCode::kUnreachable);
}

std::optional<std::string> ReadInput(const std::string& file, Output output) {
  if (file == "-") return std::string(std::istreambuf_iterator<char>(std::cin), {});
  std::ifstream in(file, std::ios::binary);
  std::string text(std::istreambuf_iterator<char>(in), {});
  if (!in.is_open() || in.bad()) {
    output.errors << file << ": cannot be read\n";
    return std::nullopt;
  }
  return text;
}

}  // namespace vanilladeck::ctl
