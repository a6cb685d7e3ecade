#include "vanilladeck/core/deflate.h"

#include <algorithm>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace vanilladeck::core {
namespace {

namespace zlib = boost::beast::zlib;

// Window of the format's largest size; zlib's default memory level.
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;
constexpr int kLevel = 3;
constexpr std::size_t kInflateStep = 65536;

}  // namespace

std::string Deflate(std::string_view bytes) {
  zlib::deflate_stream deflate;
  deflate.reset(kLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
  std::string stream(deflate.upper_bound(bytes.size()), '\0');
  zlib::z_params params;
  params.next_in = bytes.data();
  params.avail_in = bytes.size();
  params.next_out = stream.data();
  params.avail_out = stream.size();
  boost::system::error_code ec;
  // The stream has room for the whole output, so one call ends it.
  deflate.write(params, zlib::Flush::finish, ec);
  stream.resize(params.total_out);
  return stream;
}

std::optional<std::string> Inflate(std::string_view stream, std::size_t max_bytes) {
  zlib::inflate_stream inflate;
  inflate.reset(kWindowBits);
  std::string bytes;
  zlib::z_params params;
  params.next_in = stream.data();
  params.avail_in = stream.size();
  for (;;) {
    const std::size_t used = params.total_out;
    // One byte beyond the limit shows that the output is too large.
    bytes.resize(std::min(used + kInflateStep, max_bytes + 1));
    if (used == bytes.size()) return std::nullopt;
    params.next_out = bytes.data() + used;
    params.avail_out = bytes.size() - used;
    boost::system::error_code ec;
    inflate.write(params, zlib::Flush::sync, ec);
    if (ec == zlib::error::end_of_stream) break;
    if (ec || (params.avail_in == 0 && params.avail_out > 0)) return std::nullopt;
  }
  if (params.avail_in > 0 || params.total_out > max_bytes) return std::nullopt;
  bytes.resize(params.total_out);
  return bytes;
}

}  // namespace vanilladeck::core
