// Callers that make a router hold heads, bodies and responses.
#include "gateway_callers_fixture.h"

namespace nutmegsill::standin {

namespace {

/// A field of the least length; costs far more memory than its bytes.
constexpr const char *ShortField = "a:\r\n";
/// A limit that counts single reads only does not see heads in such pieces.
constexpr std::size_t SmallPiece = 1'000;
constexpr const char *ChunkedField = "Transfer-Encoding: chunked\r\n\r\n";

std::string lengthField(std::size_t bytes) {
  return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

} // namespace

// Guards against bodies of legal size that fill the memory together.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_unfinished_bodies_are_bounded") {
  const Place place = anyPlace();
  checkCrowd(place, 60,
             headAt(place) + lengthField(MaxBodyBytes) +
                 std::string(MaxBodyBytes - 1, 'x'));
}

// Guards against bodies whose length is not known in advance.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_unfinished_chunks_are_bounded") {
  const Place place = anyPlace();
  checkCrowd(place, 60,
             headAt(place) + ChunkedField +
                 repeat("4000\r\n" + std::string(0x4000, 'x') + "\r\n",
                        MaxBodyBytes - 0x8000));
}

// Guards against chunks that cost more than their content.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_chunks_of_one_byte_are_bounded") {
  const Place place = anyPlace();
  checkCrowd(place, 40,
             headAt(place) + ChunkedField + repeat("1\r\nx\r\n", 300'000));
}

// Guards against bodies beyond the limit that are kept before it is checked.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_bodies_over_limit_are_bounded") {
  const Place place = anyPlace();
  const bool chunked = GENERATE(false, true);
  checkCrowd(place, 24,
             headAt(place) +
                 (chunked ? ChunkedField + std::string("400000\r\n")
                          : lengthField(1U << 30U)) +
                 std::string(4U << 20U, 'x'));
}

// Guards against a limit of heads that counts single reads only.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_heads_of_short_fields_are_bounded") {
  const Place place = anyPlace();
  checkCrowd(place, 24, alignedHeadAt(place) + repeat(ShortField, 200'000),
             SmallPiece);
}

// Guards against heads of legal size whose fields cost a multiple of their
// bytes.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_legal_heads_of_short_fields_are_bounded") {
  const Place place = anyPlace();
  checkCrowd(place, 200,
             alignedHeadAt(place) + repeat(ShortField, MaxHeaderBytes - 400) +
                 lengthField(10),
             SmallPiece);
}

// Guards against trailers, which the limit of heads does not cover.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_trailers_of_short_fields_are_bounded") {
  const Place place = anyPlace();
  checkCrowd(place, 24,
             headAt(place) + ChunkedField + "1\r\nx\r\n0\r\n" +
                 repeat(ShortField, 200'000),
             SmallPiece);
}

// Guards against requests that are served for a caller that reads no response.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_pipelining_without_reading_are_bounded") {
  const Place place = anyPlace();
  checkCrowd(
      place, 40,
      repeat(headAt(place) + lengthField(1'000) + std::string(1'000, 'x'),
             2U << 20U));
}

// Guards against more connections than the process has descriptors for.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_that_stop_halfway_leave_descriptors") {
  const Place place = anyPlace();
  const std::string text = GENERATE("", "POST /safe/a HTT");
  checkCrowd(place, 400, text);
}

// Guards against limits that hit callers within them.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_within_limits_are_served") {
  const std::string &callers = Routers.front().CallerAddress;
  const std::string head = headAt(Place::Route) +
                           repeat(ShortField, MaxHeaderBytes - 400) +
                           "Connection: close\r\n";
  CHECK(RawCaller(callers).exchange(head + lengthField(0)).Status == 200);
  const std::string body(MaxBodyBytes, 'x');
  for (int i = 0; i < 3; ++i) {
    CHECK(RawCaller(callers)
              .exchange(headAt(Place::Route) + lengthField(body.size()) + body)
              .Status == 200);
    CHECK(RawCaller(callers)
              .exchange(headAt(Place::Route) + ChunkedField + "100000\r\n" +
                        body + "\r\n0\r\n\r\n")
              .Status == 200);
  }
  RawCaller pipelining(callers);
  std::string requests;
  for (int i = 0; i < 8; ++i) {
    requests += headAt(Place::Route) + lengthField(4) + "body";
  }
  pipelining.write(requests);
  for (int i = 0; i < 8; ++i) {
    CHECK(pipelining.exchange("").Status == 200);
  }
  RawCaller expecting(callers);
  expecting.write(headAt(Place::Route) + "Expect: 100-continue\r\n" +
                  lengthField(4));
  CHECK(expecting.exchange("").Status == 100);
  CHECK(expecting.exchange("body").Status == 200);
}

// Guards against refusals that are lost as the body is still being sent.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_get_refusals_sent_before_the_body") {
  const std::string body(MaxBodyBytes, 'x');
  const std::string rest = lengthField(body.size()) + body;
  const std::string &callers = Routers.front().CallerAddress;
  for (int i = 0; i < 5; ++i) {
    CHECK(RawCaller(callers).exchange(headAt(Place::NoRoute) + rest).Status ==
          404);
    CHECK(
        RawCaller(callers).exchange(headAt(Place::KeyedRoute) + rest).Status ==
        401);
    CHECK(RawCaller(callers)
              .exchange(headAt(Place::Route) + lengthField(body.size() + 1) +
                        body + "x")
              .Status == 413);
    CHECK(RawCaller(callers)
              .exchange(headAt(Place::Route) +
                        repeat("long: " + std::string(100, 'x') + "\r\n",
                               MaxHeaderBytes + 200) +
                        "\r\n")
              .Status == 431);
  }
}

// A refusal before the body must not make a target run anything, nor be taken
// for the response to the next request.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_refused_before_body_need_not_send_it") {
  RawCaller caller(Routers.front().CallerAddress);
  CHECK(caller
            .exchange(headAt(Place::NoRoute) + "Expect: 100-continue\r\n" +
                      lengthField(MaxBodyBytes))
            .Status == 404);
  CHECK(FirstTarget->receivedRequests().empty());
  CHECK(SecondTarget->receivedRequests().empty());
}

} // namespace nutmegsill::standin
