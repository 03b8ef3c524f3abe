/// State that the control thread publishes for the traffic thread.
#pragma once

#include "nutmegsill/routing/model.h"

#include <atomic>
#include <mutex>

namespace nutmegsill::gateway {

/// Thread-safe.
class SharedState {
public:
  void setView(std::shared_ptr<const routing::FleetView> view) {
    const std::lock_guard<std::mutex> lock(Mutex);
    View = std::move(view);
  }
  /// Null until the configuration and the targets are known.
  std::shared_ptr<const routing::FleetView> view() const {
    const std::lock_guard<std::mutex> lock(Mutex);
    return View;
  }

  /// Time up to which all configurations are known.
  void setCurrentAsOf(Time at) { CurrentAsOf = at.time_since_epoch().count(); }
  Duration configAge(Time now) const {
    return now - Time(Duration(CurrentAsOf.load()));
  }

  void setDraining() { Draining = true; }
  bool isDraining() const { return Draining; }

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const routing::FleetView> View;
  std::atomic<std::int64_t> CurrentAsOf{0};
  std::atomic<bool> Draining{false};
};

} // namespace nutmegsill::gateway
