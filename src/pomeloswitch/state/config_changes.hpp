//! Applies operators' changes to the configuration.
#ifndef POMELOSWITCH_STATE_CONFIG_CHANGES_HPP
#define POMELOSWITCH_STATE_CONFIG_CHANGES_HPP

#include "pomeloswitch/state/cluster_state.hpp"

namespace pomelo::wire {
class issue_key;
class replace_configuration;
class set_document;
class set_drain;
class start_rollout;
class withdraw_key;
} // namespace pomelo::wire

namespace pomelo {

//! Applies operators' changes to a state. A change is applied completely or not
//! at all: a member function that refuses a change throws pomelo_error before
//! it has changed anything.
class config_changes {
public:
  explicit config_changes(cluster_state &State) : State(State) {}

  //! Whether \p Command changes the configuration.
  static bool isConfigChange(const wire::command &Command);

  //! \throws pomelo_error if the change is refused.
  void apply(const wire::command &Command);

private:
  void setInventory(const wire::set_document &Change);
  void setRules(const wire::set_document &Change);
  void issueKey(const wire::issue_key &Change);
  void withdrawKey(const wire::withdraw_key &Change);
  void setDrain(const wire::set_drain &Change);
  void replaceConfiguration(const wire::replace_configuration &Change);
  void startRollout(const wire::start_rollout &Order);
  void endRolloutsOfRemovedServices();

  cluster_state &State;
};

} // namespace pomelo

#endif
