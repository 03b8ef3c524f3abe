/// Reads the operators' configuration folder.
#pragma once

#include "nutmegsill/config.h"

#include <optional>
#include <string>
#include <vector>

namespace nutmegsill {

/// The folder's *.json files in the order of their names; nothing and a reason
/// when the folder or a file cannot be read.
std::optional<std::vector<ConfigFile>> readFolder(const std::string &path,
                                                  std::string &reason);

} // namespace nutmegsill
