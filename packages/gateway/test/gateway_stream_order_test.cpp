// Order and completeness of streams over the runs that they are made of.
#include "gateway_fixture.h"
#include "killed_target.h"
#include "raw_target.h"

#include <csignal>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

namespace nutmegsill::standin {

namespace asio = boost::asio;

namespace {

/// Events with these ids; "-" is one without an id.
std::string eventsText(const std::string &ids) {
  std::istringstream in(ids);
  std::string text;
  for (std::string id; in >> id;) {
    if (id == "-") {
      text.append("data: unnamed\n\n");
    } else {
      text.append("id: ").append(id).append("\ndata: part ").append(id);
      text.append("\n\n");
    }
  }
  return text;
}

} // namespace

class GatewayStreamOrderFixture : protected GatewayFixture {
protected:
  GatewayStreamOrderFixture() {
    writeTargetEntry(*FirstTarget, "ready", First.address());
    writeTargetEntry(*SecondTarget, "ready", Second.address());
  }

  RawResponse sendStream(const std::string &path, const std::string &id,
                         const std::string &fields = "") {
    RawRequest request;
    request.Path = path;
    request.RequestId = id;
    request.ExtraHeaderFields = fields;
    return RawCaller(Routers.front().CallerAddress).send(request);
  }

  bool isLogged(const std::string &text) const {
    return waitUntil([&] {
      std::ifstream in(TempDir + "/host-1.log");
      std::stringstream log;
      log << in.rdbuf();
      return log.str().find(text) != std::string::npos;
    });
  }

  /// Ids of the events in each run of a stream; all runs but the last end with
  /// a reset.
  std::vector<std::string> Runs;

private:
  asio::awaitable<void> sendRun(RawTargetConnection &connection) {
    std::size_t run = 0;
    {
      const std::lock_guard<std::mutex> lock(Mutex);
      run = RunCounts[connection.RequestId]++;
    }
    std::string head = connection.head("200 OK") +
                       "Content-Type: text/event-stream\r\n"
                       "Connection: close\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    co_await connection.send(std::move(head));
    if (run < Runs.size()) {
      const std::string body = eventsText(Runs[run]);
      std::ostringstream chunk;
      chunk << std::hex << body.size() << "\r\n" << body << "\r\n";
      co_await connection.send(chunk.str());
    }
    if (run + 1 >= Runs.size()) {
      co_await connection.send("0\r\n\r\n");
    }
    co_await connection.sleep(std::chrono::milliseconds(20));
    connection.close();
  }

  std::mutex Mutex;
  std::map<std::string, std::size_t> RunCounts;
  const RawTarget::Script Send = [this](RawTargetConnection &connection) {
    return sendRun(connection);
  };
  RawTarget First{freeLoopbackAddress(), Send};
  RawTarget Second{freeLoopbackAddress(), Send};
};

TEST_CASE_METHOD(GatewayStreamOrderFixture,
                 "gateway_resumed_run_that_goes_on_is_joined") {
  startRouter();
  const std::string next = GENERATE("4 5 6 7 8", "4 6 9", "");
  Runs = {"1 2 3", next};
  const RawResponse response = sendStream("/stream/resumed/a", "id-1");
  CAPTURE(next, response.Body);
  CHECK(response.Complete);
  CHECK(response.Body == eventsText("1 2 3 " + next));
}

// Guards against events that come twice or are missing where runs are joined.
TEST_CASE_METHOD(GatewayStreamOrderFixture,
                 "gateway_resumed_run_that_does_not_go_on_is_not_joined") {
  startRouter();
  const std::string next =
      GENERATE("1 2 3 4 5 6 7 8", "3 4 5 6 7 8", "5 6 7 8", "- 4 5 6 7 8");
  Runs = {"1 2 3", next};
  const RawResponse response = sendStream("/stream/resumed/a", "id-1");
  CAPTURE(next, response.Body);
  CHECK(response.Status == 200);
  CHECK_FALSE(response.Complete);
  CHECK(response.Body == eventsText("1 2 3"));
  CHECK(isLogged("resumed run begins"));
}

// Guards against ids that go back or repeat within one run.
TEST_CASE_METHOD(GatewayStreamOrderFixture,
                 "gateway_run_whose_ids_do_not_increase_is_broken_off") {
  startRouter();
  const std::string path = GENERATE("/stream/whole/a", "/stream/resumed/a");
  const std::string wrong = GENERATE("2 4", "3 4", "1 2 3 4");
  Runs = {"1 2 3 " + wrong, "4 5"};
  const RawResponse response = sendStream(path, "id-1");
  CAPTURE(path, wrong, response.Body);
  const bool isResumed = path == "/stream/resumed/a";
  CHECK(response.Complete == isResumed);
  CHECK(response.Body == eventsText(isResumed ? "1 2 3 4 5" : "1 2 3"));
}

// Guards against an event without an id that comes twice.
TEST_CASE_METHOD(GatewayStreamOrderFixture,
                 "gateway_stream_cut_after_event_without_id_is_not_resumed") {
  startRouter();
  Runs = {"1 2 -", "- 3 4"};
  const RawResponse response = sendStream("/stream/resumed/a", "id-1");
  CHECK_FALSE(response.Complete);
  CHECK(response.Body == eventsText("1 2 -"));
}

TEST_CASE_METHOD(GatewayStreamOrderFixture,
                 "gateway_stream_cut_after_event_with_id_is_resumed") {
  startRouter();
  Runs = {"1 - 2", "3 -"};
  CHECK(sendStream("/stream/resumed/a", "id-1").Body ==
        eventsText("1 - 2 3 -"));
}

// Guards against a caller that takes a stream up and gets another part of it.
TEST_CASE_METHOD(GatewayStreamOrderFixture,
                 "gateway_taken_up_stream_begins_after_the_callers_event") {
  startRouter();
  const std::string wrong = GENERATE("1 2 3 4 5", "3 4 5");
  Runs = {"1 2 3"};
  sendStream("/stream/resumed/a", "id-0");
  Runs = {wrong, "4 5"};
  const RawResponse response = sendStream(
      "/stream/resumed/a", "id-1", "Resumes: id-0\r\nLast-Event-Id: 3\r\n");
  CAPTURE(wrong, response.Body);
  CHECK(response.Status == 200);
  CHECK(response.Complete);
  CHECK(response.Body == eventsText("4 5"));
}

class GatewayKilledTargetFixture : protected GatewayStreamOrderFixture {
protected:
  GatewayKilledTargetFixture() {
    writeTargetEntry(*FirstTarget, "ready", KilledAddress);
  }
  /// Sends requests, each to a process that is killed between two events of an
  /// unframed stream; with `stopsRouter` the router is suspended meanwhile.
  void sendToKilledTargets(const std::string &path, int streams,
                           bool stopsRouter = false) {
    for (int i = 0; i < streams; ++i) {
      const KilledTarget killed(KilledAddress, eventsText("1 2 3"));
      std::thread stop([this, stopsRouter] {
        if (stopsRouter) {
          std::this_thread::sleep_for(std::chrono::milliseconds(10));
          RouterProcesses[0].signal(SIGSTOP);
          std::this_thread::sleep_for(std::chrono::milliseconds(500));
          RouterProcesses[0].signal(SIGCONT);
        }
      });
      const RawResponse response =
          sendStream(path, "id-" + std::to_string(++LastStream));
      stop.join();
      const bool isWhole = response.Body == eventsText("1 2 3 4 5");
      const bool isShort = response.Body == eventsText("1 2 3");
      WholeStreams += isWhole && response.Complete ? 1 : 0;
      BrokenStreams += isShort && !response.Complete ? 1 : 0;
      FalselyComplete += isShort && response.Complete ? 1 : 0;
    }
  }

  const std::string KilledAddress = freeLoopbackAddress();
  int WholeStreams = 0;
  int BrokenStreams = 0;
  int FalselyComplete = 0;

private:
  int LastStream = 0;
};

// Guards against the end of a killed process that is taken for a stream's end.
TEST_CASE_METHOD(GatewayKilledTargetFixture,
                 "gateway_unframed_stream_of_killed_process_is_broken") {
  Store->erase("servers/" + SecondTarget->id());
  startRouter();
  const bool stopsRouter = GENERATE(false, true);
  sendToKilledTargets("/stream/whole/a", stopsRouter ? 1 : 20, stopsRouter);
  CHECK(FalselyComplete == 0);
  CHECK(BrokenStreams > 0);
}

TEST_CASE_METHOD(GatewayKilledTargetFixture,
                 "gateway_unframed_stream_of_killed_process_is_resumed") {
  Runs = {"4 5"};
  startRouter();
  sendToKilledTargets("/stream/resumed/a", 20);
  CHECK(FalselyComplete == 0);
  CHECK(BrokenStreams == 0);
  CHECK(WholeStreams > 0);
}

} // namespace nutmegsill::standin
