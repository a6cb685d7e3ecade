#pragma once

#include <algorithm>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>

namespace vanilladeck::gateway {

/// A string whose memory grows with the bytes that have arrived. `string_body` reserves the length
/// that the sender states, which it may never send.
struct GrowingBody : boost::beast::http::string_body {
  // The name is Beast's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  class reader : public boost::beast::http::string_body::reader {
   public:
    using boost::beast::http::string_body::reader::reader;

    void init(const boost::optional<std::uint64_t>& length, boost::system::error_code& ec) {
      // Multiples by powers of two reach `RequestBody::kWholeBytes` without excess.
      constexpr std::uint64_t kMaxReserved = 16384;
      constexpr std::uint64_t kReservedWithoutLength = 4096;
      boost::beast::http::string_body::reader::init(
          length ? std::min(*length, kMaxReserved) : kReservedWithoutLength, ec);
    }
  };
};

}  // namespace vanilladeck::gateway
