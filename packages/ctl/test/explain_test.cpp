#include "explain.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace nutmegsill {

class ExplainFixture {
protected:
  std::string explain(const std::string &id) {
    std::istringstream log(Log);
    std::ostringstream out;
    Found = explainRequest(id, {&log}, out);
    return out.str();
  }
  bool Found = false;
  const std::string Log =
      R"(not a line
  1.5 host-1 {"ts_ms":1000,"host":"host-1","kind":"belief","what":"store_lost"}
{"ts_ms":1100,"host":"host-2","kind":"belief","what":"request_quarantined","request":"00000000000000ab","crashes":"3"}
{"ts_ms":2000,"host":"host-1","kind":"request","what":"dispatched","id":"a","target":"t-1","expected_ms":"100"}
{"ts_ms":2600,"host":"host-1","kind":"request","what":"ended","id":"a","outcome":"complete","first_ms":"500","ms":"600"}
{"ts_ms":3000,"host":"host-1","kind":"request","what":"ended","id":"b","outcome":"refused","reason":"overloaded","ms":"0"}
{"ts_ms":3500,"host":"host-1","kind":"request","what":"ended","id":"d","outcome":"refused","reason":"targets_limited, expected_ms 0","ms":"0"}
{"ts_ms":4000,"host":"host-1","kind":"request","what":"dispatched","id":"c","target":"t-2","expected_ms":"100"}
{"ts_ms":4100,"host":"host-1","kind":"request","what":"ended","id":"c","outcome":"broken","reason":"stream cut","ms":"100"}
{"ts_ms":4200,"host":"host-2","kind":"belief","what":"target_gone","target":"t-2"}
{"ts_ms":60000,"host":"host-1","kind":"request","what":"ended","id":"e","outcome":"failed","status":"422","reason":"request_quarantined, request 00000000000000ab, crashes 3","ms":"0"}
)";
};

TEST_CASE_METHOD(ExplainFixture, "explain_refused_request_names_the_reason") {
  CHECK(explain("b").find("did not run: overloaded") != std::string::npos);
}

TEST_CASE_METHOD(ExplainFixture,
                 "explain_request_beyond_limits_names_statement") {
  CHECK(explain("d").find("belief limit_stated") != std::string::npos);
}

TEST_CASE_METHOD(ExplainFixture,
                 "explain_quarantined_request_shows_evidence_of_any_router") {
  const std::string text = explain("e");
  CHECK(text.find("targets ended each time") != std::string::npos);
  CHECK(text.find("\"crashes\":\"3\"") != std::string::npos);
}

TEST_CASE_METHOD(ExplainFixture, "explain_late_request_names_the_target") {
  const std::string text = explain("a");
  CHECK(text.find("t-1 responded later") != std::string::npos);
  CHECK(text.find("store_lost") != std::string::npos);
}

TEST_CASE_METHOD(ExplainFixture, "explain_broken_request_shows_its_host_only") {
  const std::string text = explain("c");
  CHECK(text.find("t-2 ended the response early") != std::string::npos);
  CHECK(text.find("target_gone") == std::string::npos);
}

TEST_CASE_METHOD(ExplainFixture, "explain_unknown_id_is_not_found") {
  CHECK(explain("z").empty());
  CHECK_FALSE(Found);
}

} // namespace nutmegsill
