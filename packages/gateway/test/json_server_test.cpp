#include "json_server.h"

#include "spawn.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

namespace nutmegsill::gateway {

/// Lowers the limit of file descriptors to those that are open.
class DescriptorLimit {
public:
  DescriptorLimit() {
    getrlimit(RLIMIT_NOFILE, &Before);
    const int next = open("/dev/null", O_RDONLY);
    close(next);
    rlimit lowered = Before;
    lowered.rlim_cur = static_cast<rlim_t>(next);
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &Before); }
  DescriptorLimit(const DescriptorLimit &) = delete;
  DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
  rlimit Before{};
};

// Guards against an event loop that spins on a call that fails at once.
TEST_CASE("json_server_without_descriptors_leaves_processor_to_others") {
  using boost::asio::ip::tcp;
  boost::asio::io_context io{1};
  boost::system::error_code ec;
  tcp::acceptor acceptor = listenAt(
      io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), ec);
  REQUIRE_FALSE(ec);
  spawn(io, serveJson(
                acceptor, [](std::string_view) { return JsonResponse(); }, 8,
                [] {}));
  tcp::socket caller(io);
  caller.connect(acceptor.local_endpoint(), ec);
  REQUIRE_FALSE(ec);
  std::size_t handlers = 0;
  {
    const DescriptorLimit limit;
    handlers = io.run_for(std::chrono::milliseconds(200));
  }
  CHECK(handlers <= 20);
  acceptor.close();
}

} // namespace nutmegsill::gateway
