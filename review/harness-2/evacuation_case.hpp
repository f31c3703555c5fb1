//! A zone is evacuated, taken back and evacuated again. The order that takes
//! it back is first sent to a control machine in trouble, which gives no
//! confirmation, and then to another one.
#ifndef POMELOSWITCH_REVIEW_HARNESS_2_EVACUATION_CASE_HPP
#define POMELOSWITCH_REVIEW_HARNESS_2_EVACUATION_CASE_HPP

#include "deployment.hpp"
#include "record.hpp"

#include <cstddef>
#include <functional>
#include <string>

namespace review {

//! What happens to one control machine, and for how long.
struct control_trouble {
  std::string What;
  double Seconds = 4;
  std::function<void(std::size_t Machine)> Begin;
  std::function<void(std::size_t Machine)> End;
};

//! Starts \p Deployment and plays the case. The machine in trouble doesn't
//! lead.
verdict runEvacuationCase(record &Record, deployment &Deployment,
                          const control_trouble &Trouble);

} // namespace review

#endif
