#include "nutmegsill/routing/stream_sequence.h"

#include <algorithm>
#include <charconv>

namespace nutmegsill::routing {

namespace {

/// Longest id by which a stream is resumed.
constexpr std::size_t MaxEventIdBytes = 1'024;
/// Bytes of an id in a reason.
constexpr std::size_t MaxQuotedBytes = 32;

/// Whether an id can be sent as the value of a header field.
bool mayNameEvent(std::string_view id) {
  return !id.empty() && id.size() <= MaxEventIdBytes &&
         std::none_of(id.begin(), id.end(), [](char c) {
           const auto byte = static_cast<unsigned char>(c);
           return byte < ' ' || byte == 0x7f;
         });
}

std::string quoted(std::string_view id) {
  return "\"" + std::string(id.substr(0, MaxQuotedBytes)) + "\"";
}

/// Removes the first line of `text`, without its end, and returns it.
std::string_view takeLine(std::string_view &text) {
  const std::size_t end = text.find_first_of("\r\n");
  const std::string_view line = text.substr(0, end);
  text =
      end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
  return line;
}

struct EventFields {
  /// Empty if the event has no id, or none that can be sent.
  std::string_view Id;
  bool HasId = false;
  bool HasData = false;
};

EventFields parseEvent(std::string_view event) {
  EventFields out;
  while (!event.empty()) {
    const std::string_view line = takeLine(event);
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos
                                 ? std::string_view()
                                 : line.substr(colon + 1);
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    if (name == "id") {
      out.HasId = true;
      out.Id = mayNameEvent(value) ? value : std::string_view();
    }
    out.HasData = out.HasData || name == "data";
  }
  return out;
}

} // namespace

StreamSequence::StreamSequence(std::string_view lastEventId) {
  if (mayNameEvent(lastEventId)) {
    Last = makeId(lastEventId);
    RunBeginsAfter = Last->Text;
  }
}

void StreamSequence::beginRun() {
  AtRunStart = true;
  FirstIdOfRun.clear();
  RunBeginsAfter = resumableAfter();
}

const std::string &StreamSequence::resumableAfter() const {
  static const std::string none;
  return Last && !LastIsUnnamed ? Last->Text : none;
}

StreamSequence::Id StreamSequence::makeId(std::string_view text) {
  Id id{std::string(text), std::nullopt};
  std::uint64_t number = 0;
  const char *end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, number);
  if (parsed.ec == std::errc() && parsed.ptr == end) {
    id.Number = number;
  }
  return id;
}

std::optional<StreamFault> StreamSequence::append(std::string_view event) {
  const EventFields fields = parseEvent(event);
  if (!fields.HasId && !fields.HasData) {
    return std::nullopt;
  }
  if (fields.Id.empty()) {
    if (AtRunStart && Last) {
      return StreamFault{StreamFault::Kind::NotJoined,
                         "resumed run begins with an event without an id "
                         "after event " +
                             quoted(Last->Text)};
    }
    AtRunStart = false;
    LastIsUnnamed = true;
    return std::nullopt;
  }
  Id id = makeId(fields.Id);
  if (FirstIdOfRun.empty()) {
    FirstIdOfRun = id.Text;
  }
  std::optional<StreamFault> fault = checkId(id);
  if (!fault) {
    recordId(std::move(id));
  }
  return fault;
}

bool StreamSequence::isRepeated(const Id &id) const {
  if (id.Number && Last->Number) {
    return *id.Number <= *Last->Number;
  }
  return id.Text == Last->Text || (AtRunStart && id.Text == First);
}

bool StreamSequence::isSuccessor(const Id &id) const {
  return id.Number && Last->Number && *id.Number > 0 &&
         *id.Number - 1 == *Last->Number;
}

std::optional<StreamFault> StreamSequence::checkId(const Id &id) const {
  if (!Last) {
    return std::nullopt;
  }
  if (AtRunStart) {
    const bool isGap = IdStep == Step::One && !isSuccessor(id);
    if (isRepeated(id) || isGap) {
      return StreamFault{StreamFault::Kind::NotJoined,
                         "resumed run begins at event " + quoted(id.Text) +
                             " after event " + quoted(Last->Text)};
    }
  } else if (isRepeated(id)) {
    return StreamFault{StreamFault::Kind::NotIncreasing,
                       "event " + quoted(id.Text) + " follows event " +
                           quoted(Last->Text)};
  }
  return std::nullopt;
}

void StreamSequence::recordId(Id id) {
  // A stream is numbered from 1 unless its first id tells otherwise.
  const bool isStepOfOne =
      id.Number && (Last ? isSuccessor(id) : *id.Number == 1);
  if (!Last) {
    First = id.Text;
    IdStep = isStepOfOne ? Step::One : Step::Unknown;
  } else if (!isStepOfOne) {
    IdStep = Step::Varying;
  } else if (IdStep == Step::Unknown) {
    IdStep = Step::One;
  }
  Last = std::move(id);
  AtRunStart = false;
  LastIsUnnamed = false;
}

} // namespace nutmegsill::routing
