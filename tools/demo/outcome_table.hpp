//! The outcomes of the demo and their bounds.
#ifndef POMELOSWITCH_TOOLS_DEMO_OUTCOME_TABLE_HPP
#define POMELOSWITCH_TOOLS_DEMO_OUTCOME_TABLE_HPP

#include "judge/measures.hpp"
#include "judge/violations.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace pomelo::demo {

struct outcome_row {
  std::string Name;
  std::string Unit;
  double Value = 0;
  double Bound = 0; //!< The highest value that meets the bound.
  std::vector<std::string> Examples;

  [[nodiscard]] bool met() const { return Value <= Bound; }
};

class outcome_table {
public:
  //! Adds a row for every check of findViolations() and for the measures.
  explicit outcome_table(const judge::evidence &Evidence);

  void add(outcome_row Row) { Rows.push_back(std::move(Row)); }

  void print() const;
  [[nodiscard]] boost::json::object describe() const;
  [[nodiscard]] bool allMet() const;

private:
  void addMeasures(const judge::evidence &Evidence);

  std::vector<outcome_row> Rows;
};

} // namespace pomelo::demo

#endif
