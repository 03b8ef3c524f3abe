#include "folder.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace nutmegsill {

namespace fs = std::filesystem;

std::optional<std::vector<ConfigFile>> readFolder(const std::string &path,
                                                  std::string &reason) {
  std::error_code ec;
  const fs::directory_iterator all(path, ec);
  if (ec) {
    reason = path + ": " + ec.message();
    return std::nullopt;
  }
  std::vector<ConfigFile> files;
  for (const fs::directory_entry &it : all) {
    if (it.path().extension() != ".json") {
      continue;
    }
    std::ifstream file(it.path());
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
      reason = it.path().string() + ": cannot be read";
      return std::nullopt;
    }
    files.push_back({it.path().filename().string(), text.str()});
  }
  std::sort(
      files.begin(), files.end(),
      [](const ConfigFile &a, const ConfigFile &b) { return a.Name < b.Name; });
  if (files.empty()) {
    reason = path + ": expected at least one .json file";
    return std::nullopt;
  }
  return files;
}

} // namespace nutmegsill
