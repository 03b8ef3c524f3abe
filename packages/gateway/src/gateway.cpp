#include "gateway.h"

#include "control_server.h"
#include "log.h"
#include "traffic_server.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <fstream>
#include <sstream>

namespace nutmegsill::gateway {

namespace asio = boost::asio;

namespace {

constexpr int ExitFailure = 1;
/// Time from the stop signal during which requests are still admitted: callers
/// may use an address for its TTL after the directory drops it.
constexpr milliseconds AdmissionStopDelay{2'900};
/// Time before the end of the grace period at which requests in flight are
/// abandoned.
constexpr milliseconds StopGraceMargin{400};

/// Stops the process in steps: deregisters the router, rejects new requests,
/// waits for the requests in flight, and ends the event loop.
class GracefulShutdown {
public:
  GracefulShutdown(ControlServer &control, TrafficServer &traffic,
                   Duration grace)
      : Control(control), Traffic(traffic), StopGrace(grace),
        Timer(control.context()) {}

  void requestStop() {
    if (StopRequested) {
      return;
    }
    StopRequested = true;
    logLine("process", "stop_requested",
            {{"grace_ms", std::to_string(toMilliseconds(StopGrace))}});
    Control.startDraining();
    Timer.expires_after(AdmissionStopDelay);
    Timer.async_wait([this](boost::system::error_code ec) {
      if (!ec) {
        Traffic.rejectNewRequests();
        Traffic.callWhenIdle(StopGrace - AdmissionStopDelay - StopGraceMargin,
                             [this] { Control.stop(); });
      }
    });
  }

private:
  ControlServer &Control;
  TrafficServer &Traffic;
  Duration StopGrace;
  asio::steady_timer Timer;
  bool StopRequested = false;
};

/// Validates the settings file and logs the result. Addresses and bounds are
/// fixed while the process runs; a restart applies them.
void checkReloadedSettings(const std::string &path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  const GatewaySettingsResult result = parseGatewaySettings(text.str());
  logLine("process", "reload",
          {{"valid", result.Value ? "true" : "false"},
           {"reason", result.Errors.empty() ? "" : result.Errors.front()}});
}

} // namespace

int runGateway(const GatewaySettings &settings,
               const std::string &settingsPath) {
  std::string reason;
  const auto fail = [&reason](const char *part) {
    logLine("process", "start_failed", {{"part", part}, {"reason", reason}});
    stopLog();
    return ExitFailure;
  };
  const std::unique_ptr<Metrics> metrics =
      Metrics::start(settings.MetricsAddress, reason);
  if (!metrics) {
    return fail("metrics");
  }
  SharedState shared;
  const std::unique_ptr<ControlServer> control =
      ControlServer::create(settings, *metrics, shared, reason);
  if (!control) {
    return fail("control");
  }
  const std::unique_ptr<TrafficServer> traffic =
      TrafficServer::start(settings, shared, *metrics, *control, reason);
  if (!traffic) {
    return fail("callers");
  }
  GracefulShutdown shutdown(*control, *traffic, settings.Bounds.StopGrace);
  asio::signal_set stopSignals(control->context(), SIGTERM, SIGINT);
  stopSignals.async_wait([&shutdown](boost::system::error_code ec, int) {
    if (!ec) {
      shutdown.requestStop();
    }
  });
  asio::signal_set hangupSignals(control->context(), SIGHUP);
  std::function<void(boost::system::error_code, int)> onHangup =
      [&](boost::system::error_code ec, int) {
        if (!ec) {
          checkReloadedSettings(settingsPath);
          hangupSignals.async_wait(onHangup);
        }
      };
  hangupSignals.async_wait(onHangup);
  logLine("process", "started",
          {{"callers", settings.CallerEndpoint.address().to_string()},
           {"zone", settings.Zone.Text}});
  control->run();
  logLine("process", "stopped", {});
  stopLog();
  return 0;
}

} // namespace nutmegsill::gateway
