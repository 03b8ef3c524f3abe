/// The `store_link` chart, embedded by the build.
#pragma once

namespace nutmegsill::routing {

const char *storeLinkChartText();

} // namespace nutmegsill::routing
