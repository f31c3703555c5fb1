#include "pomeloswitch/http/open_requests.hpp"

#include <iterator>

namespace pomelo {

std::string_view nameOf(request_phase Phase) {
  switch (Phase) {
  case request_phase::Admission:
    return "admission";
  case request_phase::Body:
    return "body";
  case request_phase::Target:
    return "target";
  case request_phase::Connection:
    return "connection";
  case request_phase::Sending:
    return "sending";
  case request_phase::Response:
    return "response";
  case request_phase::Relaying:
    return "relaying";
  case request_phase::Answering:
    break;
  }
  return "answering";
}

open_requests::registration::registration(open_requests &Table) : Table(Table) {
  Table.Entries.push_back(
      {request_phase::Admission, std::chrono::steady_clock::now(), {}});
  Entry = std::prev(Table.Entries.end());
}

open_requests::registration::~registration() { Table.Entries.erase(Entry); }

void open_requests::end() {
  for (const registration::entry &Entry : Entries)
    if (Entry.OnEnd)
      Entry.OnEnd();
}

std::map<request_phase, std::size_t> open_requests::byPhase() const {
  std::map<request_phase, std::size_t> Counts;
  for (const registration::entry &Entry : Entries)
    ++Counts[Entry.Phase];
  return Counts;
}

std::optional<std::chrono::steady_clock::time_point>
open_requests::oldest() const {
  if (Entries.empty())
    return std::nullopt;
  return Entries.front().Since;
}

} // namespace pomelo
