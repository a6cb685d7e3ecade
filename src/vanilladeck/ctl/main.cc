#include <iostream>
#include <string>
#include <vector>

#include "vanilladeck/ctl/commands.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(vanilladeck::ctl::Main(arguments, {std::cout, std::cerr}));
}
