/// Explains one request from the routers' logs.
#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace nutmegsill {

/// Prints the log records of request `id`, other records of its host from about
/// that time that may explain it, and the likely cause of its outcome. Text
/// before the JSON of a line is ignored. Returns false if no record has the id.
bool explainRequest(const std::string &id,
                    const std::vector<std::istream *> &logs, std::ostream &out);

} // namespace nutmegsill
