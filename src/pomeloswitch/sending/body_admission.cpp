#include "pomeloswitch/sending/body_admission.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <algorithm>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

//! Part of the latency objective that the bodies before may take.
constexpr double MaxBacklogShare = 0.5;
constexpr milliseconds MinRetryAfter{200};
constexpr milliseconds MaxRetryAfter{2000};

} // namespace

link_pacer::pending_body admitBody(link_pacer &Link, const body_request &Body,
                                   std::chrono::steady_clock::time_point Now) {
  if (Body.Bytes <= Link.pieceBytes())
    return {};
  const link_pacer::duration Backlog = Link.backlog();
  const link_pacer::duration Left = Body.Deadline - Now;
  const link_pacer::duration Goal =
      Body.LatencyGoal > milliseconds(0) ? Body.LatencyGoal : Left;
  const bool Late = Backlog > Goal * MaxBacklogShare ||
                    Backlog + Link.transferTime(Body.Bytes) > Left;
  if (Late && Backlog > link_pacer::duration(0))
    throw pomelo_error(error_kind::Overloaded,
                       "the bodies of other requests keep the link busy",
                       std::clamp(std::chrono::ceil<milliseconds>(Backlog),
                                  MinRetryAfter, MaxRetryAfter));
  return {Link, Body.Bytes};
}

} // namespace pomelo
