#pragma once

#include <string>
#include <vector>

namespace vanilladeck::test {

/// Lines of a header section whose field name holds a blank or a control byte, or is empty.
inline std::vector<std::string> MalformedFieldLines() {
  return {" X-Field: v",
          "\tX-Field: v",
          "X Field: v",
          "X-Field : v",
          "X-Field\t: v",
          std::string("X") + '\x01' + "Field: v",
          std::string("X") + '\0' + "Field: v",
          "\x7fX-Field: v",
          "X-Field\x1f: v",
          ": v",
          " : v",
          " "};
}

}  // namespace vanilladeck::test
