//! An order that a control machine passed on to the leader while it was cut
//! off is carried out seconds later, after newer ones.
#include "../harness-2/evacuation_case.hpp"
#include "../harness-2/proxy.hpp"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace review;

constexpr double CutSeconds = 4.5;
constexpr double FrozenSeconds = 4;

//! The links between the control machines, each way through a proxy.
class core_links {
public:
  explicit core_links(deployment &Deployment) {
    const std::size_t Count = Deployment.Controls.size();
    for (std::size_t From = 0; From < Count; ++From)
      for (std::size_t To = 0; To < Count; ++To)
        if (From != To)
          Links.push_back({From, To,
                           std::make_unique<cut_proxy>(
                               address{proxyIp(Deployment, From, To),
                                       Deployment.peerPort()},
                               Deployment.Controls[To].Peers)});
    Deployment.routePeers([&Deployment](std::size_t From, std::size_t To) {
      return proxyIp(Deployment, From, To);
    });
  }
  bool start() {
    for (link &Link : Links)
      if (!Link.Proxy->start())
        return false;
    return true;
  }
  //! Cuts one machine off from the other control machines, or heals the cut.
  void cut(std::size_t Machine, bool Off) {
    for (link &Link : Links)
      if (Link.From == Machine || Link.To == Machine) {
        if (Off)
          Link.Proxy->cut();
        else
          Link.Proxy->heal();
      }
  }

private:
  struct link {
    std::size_t From;
    std::size_t To;
    std::unique_ptr<cut_proxy> Proxy;
  };
  static std::string proxyIp(const deployment &Deployment, std::size_t From,
                             std::size_t To) {
    return Deployment.ip(10 + static_cast<unsigned>(From),
                         static_cast<unsigned>(To) + 1);
  }
  std::vector<link> Links;
};

control_trouble freeze(deployment &Deployment) {
  const auto Send = [&Deployment](std::size_t Machine, int Signal) {
    Deployment.Controls[Machine].Process->send(Signal);
  };
  return {"freezes", FrozenSeconds,
          [Send](std::size_t Machine) { Send(Machine, SIGSTOP); },
          [Send](std::size_t Machine) { Send(Machine, SIGCONT); }};
}

verdict play(record &Record) {
  deployment Deployment(Record, 1);
  core_links Links(Deployment);
  if (!Links.start())
    return verdict::CouldNotRun;
  // The same order is late where the machine freezes instead; see claim.txt.
  if (const char *Variant = std::getenv("VARIANT");
      Variant && std::string(Variant) == "freeze")
    return runEvacuationCase(Record, Deployment, freeze(Deployment));
  const control_trouble Cut{
      "is cut off from the other control machines", CutSeconds,
      [&Links](std::size_t Machine) { Links.cut(Machine, true); },
      [&Links](std::size_t Machine) { Links.cut(Machine, false); }};
  return runEvacuationCase(Record, Deployment, Cut);
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, "EVAC", play);
}
