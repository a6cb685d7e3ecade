#include "vanilladeck/ctl/ask.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace vanilladeck::ctl {

core::Result<HttpAnswer, ExitCode> Ask(const Options& options, const Transport& transport,
                                       const std::string& method, const std::string& target,
                                       const std::string& body, Output output) {
  for (const auto& address : options.operators) {
    auto answer = transport(address, method, target, body);
    if (answer) return answer.value();
    output.errors << address << ": " << answer.error().message << '\n';
  }
  return core::failure(ExitCode::kUnreachable);
}

std::optional<std::string> ReadText(const std::string& file, Output output) {
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
