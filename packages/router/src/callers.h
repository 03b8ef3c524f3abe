/// Serves callers: HTTP/1.1, with or without TLS, on the traffic threads.
#pragma once

#include "control.h"
#include "exchange.h"
#include "settings.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace nutmegsill {

class Callers {
public:
  /// Binds the entry address and starts the traffic threads; nothing and a
  /// reason on failure.
  static std::unique_ptr<Callers> start(const Settings &settings,
                                        Control &control, std::string &reason);
  ~Callers();

  /// Stops accepting and ends the traffic threads.
  void stop();

private:
  struct Parts;
  explicit Callers(std::unique_ptr<Parts> parts);
  std::unique_ptr<Parts> Impl;
};

} // namespace nutmegsill
