#include "nutmegsill/router.h"

#include "core.h"

namespace nutmegsill {

Router::Router(std::unique_ptr<detail::Core> core) : Impl(std::move(core)) {}
Router::~Router() = default;
Router::Router(Router &&) noexcept = default;
Router &Router::operator=(Router &&) noexcept = default;

std::vector<Effect> Router::handle(const Event &event) {
  return Impl->handle(event);
}

Status Router::status() const { return Impl->status(); }

RouterBuilder &RouterBuilder::self(Member member, Incarnation life) {
  Self = std::move(member);
  Life = life;
  return *this;
}

RouterBuilder &RouterBuilder::charts(std::shared_ptr<const Charts> charts) {
  ChartSet = std::move(charts);
  return *this;
}

RouterBuilder &RouterBuilder::timing(const Timing &timing) {
  Limits = timing;
  return *this;
}

std::optional<Router> RouterBuilder::build(std::string &reason) const {
  if (!Self || Self->Host.Text.empty() || Life.Value == 0) {
    reason = "expected a host and a life above zero";
    return std::nullopt;
  }
  if (!ChartSet) {
    reason = "expected the state charts";
    return std::nullopt;
  }
  detail::Context context;
  context.Self = *Self;
  context.Me = Instance{Self->Host, Life};
  context.Limits = Limits;
  context.ChartSet = ChartSet;
  return Router(std::make_unique<detail::Core>(std::move(context)));
}

} // namespace nutmegsill
