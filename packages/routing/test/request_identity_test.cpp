#include "nutmegsill/routing/request_identity.h"

#include <catch2/catch.hpp>

namespace nutmegsill::routing {

class RequestIdentityFixture {
protected:
  static std::uint64_t hashOf(const RequestContent &content) {
    return RequestIdentity(content).hash();
  }
  const RequestContent Content{"team", "POST", "models.example", "/a?b=1",
                               "a body"};
};

TEST_CASE_METHOD(RequestIdentityFixture,
                 "request_identity_of_repeated_request_is_the_same") {
  CHECK(hashOf(Content) == hashOf(RequestContent(Content)));
  CHECK(hashOf(Content) != 0);
  CHECK(RequestIdentity().hash() == 0);
}

TEST_CASE_METHOD(RequestIdentityFixture,
                 "request_identity_differs_with_each_field") {
  for (std::string_view RequestContent::*field :
       {&RequestContent::Team, &RequestContent::Method,
        &RequestContent::HostName, &RequestContent::Target,
        &RequestContent::Body}) {
    RequestContent other = Content;
    other.*field = "another";
    CHECK(hashOf(other) != hashOf(Content));
    other.*field = {};
    CHECK(hashOf(other) != hashOf(Content));
  }
}

TEST_CASE_METHOD(RequestIdentityFixture,
                 "request_identity_tells_where_a_field_ends") {
  RequestContent longer = Content;
  longer.Target = "/a?b=1a";
  longer.Body = " body";
  CHECK(hashOf(longer) != hashOf(Content));
}

TEST_CASE_METHOD(RequestIdentityFixture,
                 "request_identity_covers_bodies_at_the_limit_of_their_size") {
  std::string body(4U << 20U, 'x');
  RequestContent large = Content;
  large.Body = body;
  const std::uint64_t before = hashOf(large);
  body.back() = 'y';
  large.Body = body;
  CHECK(hashOf(large) != before);
}

} // namespace nutmegsill::routing
