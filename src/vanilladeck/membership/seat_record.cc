#include "vanilladeck/membership/seat_record.h"

#include <nlohmann/json.hpp>

namespace vanilladeck::membership {

using nlohmann::json;

std::string Encode(const SeatRecord& record) {
  return json{{"address", record.holder.address},
              {"incarnation", record.holder.incarnation},
              {"term", record.term},
              {"home", record.home},
              {"released", record.released}}
      .dump();
}

std::optional<SeatRecord> DecodeSeatRecord(std::string_view value) {
  try {
    const json doc = json::parse(value);
    SeatRecord record;
    record.holder = {doc.at("address").get<std::string>(),
                     doc.at("incarnation").get<std::uint64_t>()};
    record.term = doc.at("term").get<std::uint64_t>();
    record.home = doc.at("home").get<bool>();
    record.released = doc.at("released").get<bool>();
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string SeatKey(std::string_view domain, std::uint32_t seat) {
  return "seats/" + std::string(domain) + '/' + std::to_string(seat);
}

}  // namespace vanilladeck::membership
