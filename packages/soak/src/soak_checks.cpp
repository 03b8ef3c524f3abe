#include "soak_checks.h"

namespace nutmegsill::soak {

using standin::WorkerStandin;

namespace {

/// Revocation bound of the routers' settings.
constexpr std::chrono::milliseconds Revocation{5'000};
/// Part of the calls that must be served when nothing is disturbed.
constexpr double ServedInCalm = 0.95;

bool rightBody(const SeenCall &call) {
  const bool stream =
      call.Kind == CallKind::Stream || call.Kind == CallKind::ResumedStream;
  return call.Answer.Body ==
         (stream ? WorkerStandin::eventText(1) : "answer to " + call.Id);
}

/// The answer states that the request did not run.
bool saysNotRun(unsigned status) {
  return status == 503 || status == 429 || status == 401 || status == 404;
}

} // namespace

std::vector<std::string> checkSoak(SoakFleet &fleet,
                                   const std::vector<SeenCall> &calls,
                                   const FaultLog &faults, SoakTime calm) {
  std::vector<std::string> out;
  double inCalm = 0;
  double served = 0;
  for (const SeenCall &it : calls) {
    int runs = 0;
    for (const WorkerStandin *worker : fleet.workers()) {
      runs += worker->runs(it.Id);
    }
    const unsigned status = it.Answer.Status;
    const std::string name =
        it.Id + " at " + it.Router + " (" + std::to_string(status) + ")";
    if (status == 200 && it.Answer.Whole && !rightBody(it)) {
      out.push_back(name + " got a wrong answer: " + it.Answer.Body);
    }
    const bool once = it.Kind == CallKind::Buy || it.Kind == CallKind::Stream;
    if (runs > (once ? 1 : 2)) {
      out.push_back(name + " ran " + std::to_string(runs) + " times");
    }
    if (saysNotRun(status) && runs > 0) {
      out.push_back(name + " was refused and ran");
    }
    if (it.From >= calm) {
      inCalm += 1;
      served += status == 200 ? 1 : 0;
    }
  }
  for (const WorkerStandin *worker : fleet.workers()) {
    for (const standin::SeenRequest &it : worker->seen()) {
      const bool keyed = it.Body.find("temporary") != std::string::npos;
      for (const auto &[from, until] : faults.KeyGone) {
        const bool late =
            keyed && it.At > from + Revocation && (!until || it.At < *until);
        if (late) {
          out.push_back(it.Id + " was served with a key that was removed");
        }
      }
    }
  }
  for (const std::string &it : faults.BadStops) {
    out.push_back(it + " after a planned stop");
  }
  if (inCalm == 0 || served < ServedInCalm * inCalm) {
    out.push_back(std::to_string(served) + " of " + std::to_string(inCalm) +
                  " calls served in calm");
  }
  return out;
}

} // namespace nutmegsill::soak
