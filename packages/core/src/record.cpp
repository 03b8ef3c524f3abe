#include "nutmegsill/record.h"

#include <nlohmann/json.hpp>

namespace nutmegsill {

using nlohmann::json;

namespace {

json toJson(const Instance &it) {
  return {{"host", it.Host.Text}, {"life", it.Life.Value}};
}

Instance instanceFrom(const json &value) {
  return {HostId{value.at("host").get<std::string>()},
          Incarnation{value.at("life").get<std::uint64_t>()}};
}

json toJson(const std::vector<HeadFile> &files) {
  json list = json::array();
  for (const HeadFile &file : files) {
    list.push_back({{"name", file.Name}, {"hash", file.Hash}});
  }
  return list;
}

std::vector<HeadFile> filesFrom(const json &list) {
  std::vector<HeadFile> files;
  for (const json &value : list) {
    files.push_back({value.at("name").get<std::string>(),
                     value.at("hash").get<std::string>()});
  }
  return files;
}

/// Decodes with `read`, which throws on any other shape.
template <class Record, class Read>
std::optional<Record> decode(const std::string &text, const Read &read) {
  try {
    return read(json::parse(text));
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace

std::string encode(const OwnerRecord &record) {
  json successors = json::array();
  for (const Instance &it : record.Successors) {
    successors.push_back(toJson(it));
  }
  return json{{"owner", toJson(record.Owner)},
              {"epoch", record.Number.Value},
              {"successors", successors},
              {"write", record.WriteId},
              {"handed_over", record.HandedOver}}
      .dump();
}

std::string encode(const ClaimRecord &record) {
  return json{{"holder", toJson(record.Holder)}, {"attempt", record.AttemptId}}
      .dump();
}

std::string encode(const HeadRecord &record) {
  json recent = json::array();
  for (const HeadChange &it : record.Recent) {
    recent.push_back({{"revision", it.Number.Value},
                      {"change", it.ChangeId},
                      {"author", it.Author},
                      {"summary", it.Summary}});
  }
  return json{{"revision", record.Number.Value},
              {"change", record.ChangeId},
              {"files", toJson(record.Files)},
              {"overrides", toJson(record.Overrides)},
              {"recent", recent}}
      .dump();
}

std::optional<OwnerRecord> decodeOwner(const std::string &text) {
  return decode<OwnerRecord>(text, [](const json &value) {
    OwnerRecord record;
    record.Owner = instanceFrom(value.at("owner"));
    record.Number = Epoch{value.at("epoch").get<std::uint64_t>()};
    for (const json &it : value.at("successors")) {
      record.Successors.push_back(instanceFrom(it));
    }
    record.WriteId = value.at("write").get<std::string>();
    record.HandedOver = value.at("handed_over").get<bool>();
    return record;
  });
}

std::optional<ClaimRecord> decodeClaim(const std::string &text) {
  return decode<ClaimRecord>(text, [](const json &value) {
    return ClaimRecord{instanceFrom(value.at("holder")),
                       value.at("attempt").get<std::string>()};
  });
}

std::optional<HeadRecord> decodeHead(const std::string &text) {
  return decode<HeadRecord>(text, [](const json &value) {
    HeadRecord record;
    record.Number = Revision{value.at("revision").get<std::uint64_t>()};
    record.ChangeId = value.at("change").get<std::string>();
    record.Files = filesFrom(value.at("files"));
    record.Overrides = filesFrom(value.at("overrides"));
    for (const json &it : value.at("recent")) {
      record.Recent.push_back({Revision{it.at("revision").get<std::uint64_t>()},
                               it.at("change").get<std::string>(),
                               it.at("author").get<std::string>(),
                               it.at("summary").get<std::string>()});
    }
    return record;
  });
}

std::string ownerKey(const TargetId &target) {
  return "/nutmegsill/owners/" + target.Text;
}

std::string claimKey(const TeamId &team, const std::string &key) {
  return "/nutmegsill/claims/" + team.Text + "/" + key;
}

std::string fileKey(const std::string &hash) {
  return "/nutmegsill/files/" + hash;
}

} // namespace nutmegsill
