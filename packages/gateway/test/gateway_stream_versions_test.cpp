#include "gateway_fixture.h"

#include <csignal>
#include <set>
#include <thread>

namespace nutmegsill::standin {

using std::chrono::milliseconds;

/// Targets of two versions, each of which breaks streams after two events.
class GatewayStreamVersionsFixture : protected GatewayFixture {
protected:
  static constexpr int StreamsPerTest = 8;

  GatewayStreamVersionsFixture() {
    writeConfig(configText(4, R"("key-prints"]},)"
                              R"({"name":"other","api-keys":["key-other")"));
    SecondTarget->setVersion("v2");
    writeTargetEntry(*SecondTarget);
    setModes(TargetMode::TruncatingStreams);
  }

  void setModes(TargetMode mode) {
    FirstTarget->setMode(mode);
    SecondTarget->setMode(mode);
  }
  void addThirdTarget(const std::string &address = "") {
    ThirdTarget =
        std::make_unique<TargetStandin>("w-3", "desk", freeLoopbackAddress());
    writeTargetEntry(*ThirdTarget, "ready", address);
  }
  std::string nextId() { return "id-" + std::to_string(++LastId); }
  RawResponse send(std::size_t router, const std::string &id,
                   const std::string &fields = "",
                   const std::string &path = "/stream/resumed/a",
                   const std::string &key = "key-prints") {
    RawRequest request;
    request.Path = path;
    request.RequestId = id;
    request.ApiKey = key;
    request.ExtraHeaderFields = fields;
    return RawCaller(Routers[router].CallerAddress).send(request);
  }
  static std::string takeUpFields(const std::string &id) {
    return "Resumes: " + id + "\r\nLast-Event-Id: 2\r\n";
  }
  /// Versions of the targets that ran the request.
  std::set<std::string> versionsOf(const std::string &id) const {
    std::set<std::string> out;
    if (FirstTarget->runCount(id) > 0 ||
        (ThirdTarget && ThirdTarget->runCount(id) > 0)) {
      out.insert("v1");
    }
    if (SecondTarget->runCount(id) > 0) {
      out.insert("v2");
    }
    return out;
  }
  /// Begins a stream that breaks off; returns its id.
  std::string begin(std::size_t router) {
    std::string id = nextId();
    const RawResponse response = send(router, id);
    CAPTURE(id, response.Status, response.Body);
    CHECK(response.Status == 200);
    CHECK_FALSE(response.Complete);
    CHECK(versionsOf(id).size() == 1);
    return id;
  }
  std::vector<std::string> beginStreams(std::size_t router) {
    std::vector<std::string> out(StreamsPerTest);
    for (std::string &it : out) {
      it = begin(router);
    }
    return out;
  }
  /// Begins streams until one is of the version "v1"; returns its id.
  std::string beginAtFirstVersion(std::size_t router) {
    std::string id;
    for (int i = 0; i < 20 && !versionsOf(id).count("v1"); ++i) {
      id = begin(router);
    }
    REQUIRE(versionsOf(id) == std::set<std::string>{"v1"});
    return id;
  }
  void checkGoesOn(std::size_t router, const std::string &id) {
    const std::string next = nextId();
    const RawResponse response = send(router, next, takeUpFields(id));
    CAPTURE(id, response.Status);
    CHECK(response.Status == 200);
    CHECK(response.Body == TargetStandin::streamBody(3));
    CHECK(versionsOf(next) == versionsOf(id));
  }
  void checkRefused(std::size_t router, const std::string &fields,
                    const std::string &path = "/stream/resumed/a",
                    const std::string &key = "key-prints") {
    const std::string next = nextId();
    const auto begin = std::chrono::steady_clock::now();
    const RawResponse response = send(router, next, fields, path, key);
    CAPTURE(fields, path, response.Body);
    CHECK(response.Status == 503);
    CHECK_FALSE(response.headerField("Retry-After").empty());
    CHECK(versionsOf(next).empty());
    CHECK(std::chrono::steady_clock::now() - begin < milliseconds(1000));
  }
  void killRouters() {
    for (Process &it : RouterProcesses) {
      it.kill();
    }
  }
  void restartRouters() {
    for (std::size_t i = 0; i < Routers.size(); ++i) {
      restartRouter(i);
    }
    for (const RouterAddresses &it : Routers) {
      REQUIRE(waitUntil([&] {
        return httpGet(it.ReadinessAddress, "/readyz").Status == 200;
      }));
    }
  }
  /// Time in which routers learn of a change.
  static void waitForRouters() {
    std::this_thread::sleep_for(milliseconds(700));
  }

  std::unique_ptr<TargetStandin> ThirdTarget;
  int LastId = 0;
};

// Guards against an answer with events of two versions.
TEST_CASE_METHOD(GatewayStreamVersionsFixture,
                 "gateway_stream_whose_version_is_gone_breaks_off") {
  startRouter();
  FirstTarget->setMode(TargetMode::Serving);
  for (int i = 0; i < StreamsPerTest; ++i) {
    const std::string id = nextId();
    const RawResponse response = send(0, id);
    CAPTURE(id, response.Body);
    CHECK(versionsOf(id).size() == 1);
    CHECK(response.Complete == (versionsOf(id).count("v1") > 0));
  }
}

TEST_CASE_METHOD(GatewayStreamVersionsFixture,
                 "gateway_stream_goes_on_at_other_target_of_its_version") {
  addThirdTarget();
  startRouter();
  int resumed = 0;
  for (int i = 0; i < StreamsPerTest; ++i) {
    const std::string id = nextId();
    const RawResponse response = send(0, id);
    CAPTURE(id, response.Body);
    CHECK(versionsOf(id).size() == 1);
    CHECK(response.Complete == (versionsOf(id).count("v1") > 0));
    resumed += FirstTarget->runCount(id) > 0 && response.Complete ? 1 : 0;
  }
  CHECK(resumed > 0);
}

// Guards against streams that are taken up at another version.
TEST_CASE_METHOD(GatewayStreamVersionsFixture,
                 "gateway_stream_is_taken_up_at_its_version_only") {
  const std::size_t router = GENERATE(0U, 1U);
  startRouter();
  startRouter();
  waitForRouters();
  for (int i = 0; i < StreamsPerTest; ++i) {
    setModes(TargetMode::TruncatingStreams);
    const std::string id = begin(0);
    setModes(TargetMode::Serving);
    checkGoesOn(router, id);
  }
}

TEST_CASE_METHOD(GatewayStreamVersionsFixture,
                 "gateway_take_up_without_event_stays_at_its_version") {
  startRouter();
  for (int i = 0; i < StreamsPerTest; ++i) {
    setModes(TargetMode::TruncatingStreams);
    const std::string id = begin(0);
    setModes(TargetMode::Serving);
    const std::string next = nextId();
    const RawResponse response = send(0, next, "Resumes: " + id + "\r\n");
    CHECK(response.Body == TargetStandin::streamBody(1));
    CHECK(versionsOf(next) == versionsOf(id));
  }
}

// Guards against routers that believe after a start that the versions that
// serve are all that ever did.
TEST_CASE_METHOD(GatewayStreamVersionsFixture,
                 "gateway_take_up_after_kill_of_all_routers_is_refused") {
  const bool leavesBefore = GENERATE(true, false);
  CAPTURE(leavesBefore);
  startRouter();
  startRouter();
  const std::string id = beginAtFirstVersion(0);
  setModes(TargetMode::Serving);
  killRouters();
  if (leavesBefore) {
    Store->erase("servers/w-1");
  }
  restartRouters();
  if (!leavesBefore) {
    checkRefused(0, takeUpFields(id));
    Store->erase("servers/w-1");
    waitForRouters();
  }
  checkRefused(0, takeUpFields(id));
  checkRefused(1, takeUpFields(id));
  CHECK(send(0, nextId()).Complete);
}

TEST_CASE_METHOD(GatewayStreamVersionsFixture,
                 "gateway_take_up_after_kill_of_its_router_goes_on") {
  startRouter();
  startRouter();
  const std::vector<std::string> ids = beginStreams(0);
  setModes(TargetMode::Serving);
  waitForRouters();
  RouterProcesses[0].kill();
  for (const std::string &id : ids) {
    checkGoesOn(1, id);
  }
}

TEST_CASE_METHOD(GatewayStreamVersionsFixture,
                 "gateway_take_up_without_target_of_its_version_is_refused") {
  startRouter();
  const std::string id = beginAtFirstVersion(0);
  setModes(TargetMode::Serving);
  Store->erase("servers/w-1");
  waitForRouters();
  checkRefused(0, takeUpFields(id));
}

TEST_CASE_METHOD(GatewayStreamVersionsFixture,
                 "gateway_take_up_of_unknown_stream_is_refused") {
  startRouter();
  startRouter();
  const std::string id = begin(0);
  setModes(TargetMode::Serving);
  checkRefused(0, "Last-Event-Id: 2\r\n");
  checkRefused(0, takeUpFields("invented"));
  checkRefused(0, takeUpFields(id), "/stream/resumed/b");
  checkRefused(0, takeUpFields(id), "/stream/resumed/a", "key-other");
  checkGoesOn(0, id);
}

TEST_CASE_METHOD(GatewayStreamVersionsFixture,
                 "gateway_router_that_has_started_asks_who_began_stream") {
  startRouter();
  const std::vector<std::string> ids = beginStreams(0);
  setModes(TargetMode::Serving);
  waitForRouters();
  startRouter();
  waitForRouters();
  for (const std::string &id : ids) {
    checkGoesOn(1, id);
  }
}

TEST_CASE_METHOD(GatewayStreamVersionsFixture,
                 "gateway_take_up_from_replaced_target_is_refused") {
  startRouter();
  const std::string id = beginAtFirstVersion(0);
  setModes(TargetMode::Serving);
  FirstTarget->setVersion("v2");
  std::string entry = FirstTarget->entryJson();
  entry.replace(entry.find(R"("born":1)"), 8, R"("born":2)");
  Store->put("servers/w-1", entry);
  waitForRouters();
  checkRefused(0, takeUpFields(id));
}

TEST_CASE_METHOD(GatewayStreamVersionsFixture,
                 "gateway_misdirected_take_up_stays_at_its_version") {
  addThirdTarget(SecondTarget->address());
  startRouter();
  const std::string id = beginAtFirstVersion(0);
  setModes(TargetMode::Serving);
  for (int i = 0; i < StreamsPerTest; ++i) {
    checkGoesOn(0, id);
  }
}

} // namespace nutmegsill::standin
