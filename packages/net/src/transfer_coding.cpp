#include "nutmegsill/transfer_coding.h"

#include <boost/beast/core/string.hpp>

namespace nutmegsill {

bool hasUnknownTransferCoding(const boost::beast::http::fields &fields) {
  const auto range =
      fields.equal_range(boost::beast::http::field::transfer_encoding);
  if (range.first == range.second) {
    return false;
  }
  const bool chunked = boost::beast::iequals(range.first->value(), "chunked") &&
                       std::next(range.first) == range.second;
  return !chunked;
}

} // namespace nutmegsill
