#include "emulator/fault_links.hpp"

#include <map>

namespace pomelo::emulator {
namespace {

using fault_proxy::route_faults;

//! Returns the faults of a link with one end inside the cut; \p FromInside
//! is true if that is the connecting end.
route_faults faultsFor(cut_kind Kind, bool FromInside) {
  route_faults Faults;
  Faults.Cut = Kind == cut_kind::Reset;
  const bool BlocksOutbound =
      Kind == cut_kind::Silent || Kind == cut_kind::Outbound;
  const bool BlocksInbound =
      Kind == cut_kind::Silent || Kind == cut_kind::Inbound;
  Faults.ToUpstream.Blocked = FromInside ? BlocksOutbound : BlocksInbound;
  Faults.ToClient.Blocked = FromInside ? BlocksInbound : BlocksOutbound;
  return Faults;
}

route_faults faultsFor(const host_link &Host, bool FromHost) {
  route_faults Faults;
  Faults.ToUpstream.Link = FromHost ? Host.Outbound : Host.Inbound;
  Faults.ToClient.Link = FromHost ? Host.Inbound : Host.Outbound;
  return Faults;
}

std::string targetRoute(const std::string &TargetId) { return "*>" + TargetId; }

} // namespace

std::string fault_links::addLink(const link_end &From, const link_end &To,
                                 const std::string &Address) {
  const std::string Route = From.Id + ">" + To.Id;
  Links.push_back({From, To, Route, false});
  return Proxy.addRoute(Route, Address);
}

std::string fault_links::addTarget(const std::string &TargetId,
                                   const std::string &FailureDomain,
                                   const std::string &Address) {
  const link_end Target{TargetId, FailureDomain};
  std::map<std::string, link_end> Sources;
  for (const link &Link : Links)
    Sources[Link.From.Id] = Link.From;
  for (const auto &[Id, Source] : Sources)
    Links.push_back({Source, Target, targetRoute(TargetId), true});
  return Proxy.addRoute(targetRoute(TargetId), Address);
}

void fault_links::setProcess(const std::string &Id, pid_t Pid) {
  Proxy.setSource(Id, Pid);
}

void fault_links::setFaults(const link &Link, const route_faults &Faults) {
  if (Link.BySource)
    Proxy.setFaultsFrom(Link.Route, Link.From.Id, Faults);
  else
    Proxy.setFaults(Link.Route, Faults);
}

template <typename IsInside>
void fault_links::cut(const IsInside &Inside, cut_kind Kind) {
  for (const link &Link : Links)
    if (Inside(Link.From) != Inside(Link.To))
      setFaults(Link, faultsFor(Kind, Inside(Link.From)));
}

void fault_links::cutDomain(const std::string &FailureDomain, cut_kind Kind) {
  cut([&](const link_end &End) { return End.FailureDomain == FailureDomain; },
      Kind);
}

void fault_links::cutMember(const std::string &Id, cut_kind Kind) {
  cut([&](const link_end &End) { return End.Id == Id; }, Kind);
}

host_link fault_links::limitLink(const std::string &Id,
                                 std::uint64_t BytesPerSecond) {
  host_link Host{std::make_shared<fault_proxy::shared_link>(BytesPerSecond),
                 std::make_shared<fault_proxy::shared_link>(BytesPerSecond)};
  for (const link &Link : Links)
    if (Link.From.Id == Id || Link.To.Id == Id)
      setFaults(Link, faultsFor(Host, Link.From.Id == Id));
  return Host;
}

void fault_links::heal() {
  for (const link &Link : Links)
    Proxy.clearFaults(Link.Route);
}

} // namespace pomelo::emulator
