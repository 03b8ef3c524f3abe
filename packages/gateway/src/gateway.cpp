#include "gateway.h"

#include "control_server.h"
#include "log.h"
#include "spawn.h"
#include "stop_signal.h"
#include "traffic_server.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <sstream>

namespace nutmegsill::gateway {

namespace asio = boost::asio;

namespace {

constexpr int ExitFailure = 1;

/// Stops the process in steps: deregisters the router, rejects new requests,
/// waits for the requests in flight, and ends the event loop.
asio::awaitable<void> stopOnSignal(StopSignal &signal, ControlServer &control,
                                   TrafficServer &traffic, Duration grace) {
  const Time signalledAt = co_await signal.wait();
  logLine("process", "stop_requested",
          {{"grace_ms", std::to_string(toMilliseconds(grace))},
           {"late_ms",
            std::to_string(toMilliseconds(bootTimeNow() - signalledAt))}});
  control.startDraining();
  traffic.stop(routing::StopSchedule(signalledAt, grace),
               [&control] { control.stop(); });
}

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
  std::unique_ptr<Metrics> metrics =
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
  StopSignal stopSignal(control->context());
  const std::unique_ptr<TrafficServer> traffic =
      TrafficServer::start(settings, shared, *metrics, *control, reason);
  if (!traffic) {
    return fail("callers");
  }
  spawn(control->context(), stopOnSignal(stopSignal, *control, *traffic,
                                         settings.Bounds.StopGrace));
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
  // Its server takes up to two seconds to stop; the end of the process stops
  // it at once.
  static_cast<void>(metrics.release());
  stopLog();
  return 0;
}

} // namespace nutmegsill::gateway
