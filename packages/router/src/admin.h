/// The administration API of one router.
#pragma once

#include "control.h"
#include "settings.h"

#include <memory>
#include <string>

namespace nutmegsill {

class Admin {
public:
  /// Binds the admin address and serves on the control thread; nothing and a
  /// reason on failure.
  static std::unique_ptr<Admin> start(const Settings &settings,
                                      Control &control, std::string &reason);
  ~Admin();

private:
  struct Parts;
  explicit Admin(std::unique_ptr<Parts> parts);
  std::unique_ptr<Parts> Impl;
};

} // namespace nutmegsill
