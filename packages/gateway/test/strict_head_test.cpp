#include "nutmegsill/strict_head.h"

#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>
#include <utility>
#include <vector>

namespace nutmegsill {

namespace http = boost::beast::http;

namespace {

using Lines = std::multiset<std::pair<std::string, std::string>>;

/// Names and values as the bytes of `head` say.
Lines writtenFields(std::string_view head) {
  Lines out;
  for (std::size_t at = head.find("\r\n") + 2; head.substr(at) != "\r\n";
       at = head.find("\r\n", at) + 2) {
    const std::string_view line = head.substr(at, head.find("\r\n", at) - at);
    const std::size_t colon = line.find(':');
    std::string_view value = line.substr(colon + 1);
    const std::size_t first = value.find_first_not_of(" \t");
    value =
        first == std::string_view::npos
            ? std::string_view()
            : value.substr(first, value.find_last_not_of(" \t") + 1 - first);
    out.emplace(line.substr(0, colon), value);
  }
  return out;
}

Lines parsedFields(const http::fields &fields) {
  Lines out;
  for (const auto &it : fields) {
    out.emplace(std::string(it.name_string()), std::string(it.value()));
  }
  return out;
}

} // namespace

// Guards against a head that callers see otherwise than it was sent.
TEST_CASE("strict_head_accepted_head_is_parsed_as_written") {
  constexpr int maxEdits = 3;
  const std::string bytes("\r\n \t:;,\0\x01\x7f\x80"
                          "04a-",
                          15);
  int accepted = 0;
  const bool holds = rc::check([&] {
    std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSignature: s\r\n"
                       "Content-Length: 4\r\nX-Other: b c\r\n\r\n";
    const int edits = *rc::gen::inRange(0, maxEdits + 1);
    for (int i = 0; i < edits; ++i) {
      const std::size_t at = *rc::gen::inRange<std::size_t>(0, head.size());
      const char c = bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())];
      const bool inserts = *rc::gen::arbitrary<bool>();
      head.replace(at, inserts ? 0 : 1, 1, c);
    }
    const std::size_t end = head.find(HeadEnd);
    if (end == std::string::npos) {
      return;
    }
    head.resize(end + HeadEnd.size());
    if (findResponseHeadFault(head)) {
      return;
    }
    http::response_parser<http::buffer_body> parser;
    boost::system::error_code ec;
    parser.put(boost::asio::buffer(head), ec);
    if (!ec && parser.is_header_done()) {
      ++accepted;
      RC_ASSERT(std::to_string(parser.get().result_int()) == head.substr(9, 3));
      RC_ASSERT(parsedFields(parser.get().base()) == writtenFields(head));
    }
  });
  CHECK(holds);
  CHECK(accepted > 0);
}

TEST_CASE("strict_head_any_bytes_before_empty_line_are_judged") {
  CHECK(rc::check([](const std::string &bytes) {
    const std::string head = "HTTP/1." + bytes + "\r\n\r\n";
    findResponseHeadFault(head.substr(0, head.find(HeadEnd) + 4));
  }));
}

} // namespace nutmegsill
