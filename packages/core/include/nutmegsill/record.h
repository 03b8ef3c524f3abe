/// Values that the fleet keeps in the platform's key-value service.
#pragma once

#include "nutmegsill/types.h"

#include <optional>
#include <string>
#include <vector>

namespace nutmegsill {

/// Who may grant the slots of a target.
struct OwnerRecord {
  Instance Owner;
  Epoch Number;
  /// Instances that may take over and must promise that they have not.
  std::vector<Instance> Successors;
  /// Unique per write, to recognise a write whose answer was lost.
  std::string WriteId;
  /// True when the previous owner stopped granting before this write.
  bool HandedOver = false;
};

/// The one attempt that may run a call which must not be repeated.
struct ClaimRecord {
  Instance Holder;
  std::string AttemptId;
};

/// A file of the configuration by name and content hash.
struct HeadFile {
  std::string Name;
  std::string Hash;
  bool operator==(const HeadFile &) const = default;
};

/// A change that was accepted lately.
struct HeadChange {
  Revision Number;
  std::string ChangeId;
  std::string Author;
  std::string Summary;
};

/// The accepted configuration. Swapping it is the moment of acceptance.
struct HeadRecord {
  Revision Number;
  std::string ChangeId;
  /// Files of the operators' folder.
  std::vector<HeadFile> Files;
  /// Files made by zone and target commands; merged after `Files`.
  std::vector<HeadFile> Overrides;
  /// Newest first.
  std::vector<HeadChange> Recent;
};

std::string encode(const OwnerRecord &record);
std::string encode(const ClaimRecord &record);
std::string encode(const HeadRecord &record);
/// Each decoder returns nothing for text that is no such record.
std::optional<OwnerRecord> decodeOwner(const std::string &text);
std::optional<ClaimRecord> decodeClaim(const std::string &text);
std::optional<HeadRecord> decodeHead(const std::string &text);

std::string ownerKey(const TargetId &target);
std::string claimKey(const TeamId &team, const std::string &key);
std::string fileKey(const std::string &hash);
inline constexpr const char *HeadKey = "/nutmegsill/head";

} // namespace nutmegsill
