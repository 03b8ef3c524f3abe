#include "origin_inquiries.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using routing::KnownOrigin;
using routing::OriginAnswer;
using routing::OriginDecision;
using routing::UnknownOrigin;

/// Asks two routers. An answer with a version tells the origin.
class OriginInquiriesFixture {
protected:
  OriginInquiriesFixture() {
    Inquiries.setSender([this](const routing::OriginQuestion &question,
                               const std::vector<HostId> &peers) {
      ++Sent;
      LastAsked = peers;
      OnSent(question.Number);
    });
  }
  asio::awaitable<void> ask(Duration time) {
    const routing::OriginQuestion question{Inquiries.nextNumber(), {}, "", {}};
    const std::vector<HostId> peers{First, Second};
    OriginInquiries::Reader read = [](const OriginAnswer &it) {
      return it.SoleVersion ? OriginDecision(KnownOrigin{{}, *it.SoleVersion})
                            : OriginDecision(UnknownOrigin{});
    };
    asio::awaitable<OriginDecision> asked =
        Inquiries.ask(question, peers, std::move(read), {}, time);
    Decision = co_await std::move(asked);
    Ended = true;
  }
  void run(milliseconds time) {
    asio::co_spawn(Io, ask(time), asio::detached);
    Io.run_for(std::chrono::seconds(5));
    REQUIRE(Ended);
  }
  void answer(const HostId &peer, std::uint64_t number,
              std::optional<std::string> version = std::nullopt) {
    Inquiries.receive(peer, {number, std::nullopt, std::move(version)});
  }

  const HostId First{"host-1"};
  const HostId Second{"host-2"};
  asio::io_context Io{1};
  OriginInquiries Inquiries;
  std::function<void(std::uint64_t)> OnSent = [](std::uint64_t) {};
  int Sent = 0;
  std::vector<HostId> LastAsked;
  OriginDecision Decision;
  bool Ended = false;
};

// Guards against questions that are lost with the first message to a router.
TEST_CASE_METHOD(OriginInquiriesFixture,
                 "origin_inquiries_question_is_repeated_until_answered") {
  OnSent = [this](std::uint64_t number) {
    answer(First, number);
    if (Sent == 3) {
      asio::post(Io, [this, number] { answer(Second, number, "v1"); });
    }
  };
  run(std::chrono::seconds(3));
  CHECK(Sent == 3);
  CHECK(LastAsked == std::vector<HostId>{Second});
  CHECK(Decision == OriginDecision(KnownOrigin{{}, "v1"}));
}

TEST_CASE_METHOD(OriginInquiriesFixture,
                 "origin_inquiries_wait_ends_when_all_have_answered") {
  OnSent = [this](std::uint64_t number) {
    asio::post(Io, [this, number] {
      answer(First, number + 1, "v1");
      answer(HostId{"host-3"}, number, "v1");
      answer(First, number);
      answer(Second, number);
    });
  };
  run(std::chrono::seconds(3));
  CHECK(Sent == 1);
  CHECK(std::holds_alternative<UnknownOrigin>(Decision));
}

TEST_CASE_METHOD(OriginInquiriesFixture,
                 "origin_inquiries_wait_ends_when_cancelled_or_out_of_time") {
  const bool cancelled = GENERATE(true, false);
  OnSent = [this, cancelled](std::uint64_t number) {
    if (cancelled) {
      asio::post(Io, [this, number] { Inquiries.cancel(number); });
    }
  };
  run(cancelled ? milliseconds(3'000) : milliseconds(50));
  CHECK(Sent == (cancelled ? 1 : 2));
  CHECK(std::holds_alternative<UnknownOrigin>(Decision));
}

} // namespace nutmegsill::gateway
