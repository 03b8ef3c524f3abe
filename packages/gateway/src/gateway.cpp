#include "gateway.h"

#include "control.h"
#include "front.h"
#include "log.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <fstream>
#include <sstream>

namespace nutmegsill::gateway {

namespace asio = boost::asio;

namespace {

constexpr int ExitFault = 1;
/// Time from the signal to stop during which requests are still taken: callers
/// may use an address for its life after the directory drops it.
constexpr milliseconds TakeRequestsFor{2'900};
/// Time before the end of the grace at which open requests are given up.
constexpr milliseconds EndMargin{400};

/// Stops the process in steps: out of the directory, no new requests, end.
class Stopper {
public:
  Stopper(Control &control, Front &front, Duration grace)
      : Own(control), Callers(front), Grace(grace), Timer(control.context()) {}

  void request() {
    if (Requested) {
      return;
    }
    Requested = true;
    logLine("process", "stop_requested",
            {{"grace_ms", std::to_string(toMilliseconds(Grace))}});
    Own.leave();
    Timer.expires_after(TakeRequestsFor);
    Timer.async_wait([this](boost::system::error_code ec) {
      if (!ec) {
        Callers.close();
        Callers.whenIdle(Grace - TakeRequestsFor - EndMargin,
                         [this] { Own.stop(); });
      }
    });
  }

private:
  Control &Own;
  Front &Callers;
  Duration Grace;
  asio::steady_timer Timer;
  bool Requested = false;
};

/// Reads the settings again. Addresses and bounds are fixed for the life of a
/// process; a restart puts them into force.
void reload(const std::string &path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  const GatewaySettingsResult result = parseGatewaySettings(text.str());
  logLine("process", "reload",
          {{"valid", result.Value ? "true" : "false"},
           {"reason", result.Faults.empty() ? "" : result.Faults.front()}});
}

} // namespace

int runGateway(const GatewaySettings &settings, const std::string &path) {
  std::string reason;
  const auto fail = [&reason](const char *part) {
    logLine("process", "start_failed", {{"part", part}, {"reason", reason}});
    stopLog();
    return ExitFault;
  };
  const std::unique_ptr<Metrics> metrics =
      Metrics::start(settings.MetricsAddress, reason);
  if (!metrics) {
    return fail("metrics");
  }
  SharedState shared;
  const std::unique_ptr<Control> control =
      Control::create(settings, *metrics, shared, reason);
  if (!control) {
    return fail("control");
  }
  const std::unique_ptr<Front> front =
      Front::start(settings, shared, *metrics, *control, reason);
  if (!front) {
    return fail("callers");
  }
  Stopper stopper(*control, *front, settings.Bounds.StopGrace);
  asio::signal_set stops(control->context(), SIGTERM, SIGINT);
  stops.async_wait([&stopper](boost::system::error_code ec, int) {
    if (!ec) {
      stopper.request();
    }
  });
  asio::signal_set hangups(control->context(), SIGHUP);
  std::function<void(boost::system::error_code, int)> onHangup =
      [&](boost::system::error_code ec, int) {
        if (!ec) {
          reload(path);
          hangups.async_wait(onHangup);
        }
      };
  hangups.async_wait(onHangup);
  logLine("process", "started",
          {{"callers", settings.Callers.address().to_string()},
           {"zone", settings.Zone.Text}});
  control->run();
  logLine("process", "stopped", {});
  stopLog();
  return 0;
}

} // namespace nutmegsill::gateway
