//! Converts quota reports and grants to and from protocol messages.
#ifndef POMELOSWITCH_ADMISSION_QUOTA_CODEC_HPP
#define POMELOSWITCH_ADMISSION_QUOTA_CODEC_HPP

#include "pomeloswitch/admission/account_quota.hpp"

namespace pomelo::wire {
class quota_grant;
class quota_report;
} // namespace pomelo::wire

namespace pomelo {

void encode(const quota_report &Report, wire::quota_report &Out);
quota_report decode(const wire::quota_report &Message, std::uint64_t Sequence);
void encode(const quota_grant &Grant, wire::quota_grant &Out);
quota_grant decode(const wire::quota_grant &Message);

} // namespace pomelo

#endif
