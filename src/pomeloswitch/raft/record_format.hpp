//! Checksummed, length-prefixed records of the log files.
#ifndef POMELOSWITCH_RAFT_RECORD_FORMAT_HPP
#define POMELOSWITCH_RAFT_RECORD_FORMAT_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

inline constexpr std::size_t RecordHeaderBytes = 24;
inline constexpr std::size_t MaxRecordBytes = std::size_t{256} << 20;

//! Encodes one record: length, sequence number and checksums, then \p Payload.
std::string encodeRecord(std::uint64_t Sequence, std::string_view Payload);

//! The result of scanRecords().
struct record_scan {
  std::vector<std::string_view> Payloads; //!< Views into the scanned bytes.
  std::uint64_t NextSequence = 0;
  std::size_t ValidBytes = 0;
  //! Whether a valid record follows the first invalid byte, which means that
  //! the file was damaged after it had been synced.
  bool Damaged = false;
};

//! Reads records from the start of \p Bytes up to the first invalid one.
record_scan scanRecords(std::string_view Bytes);

} // namespace pomelo

#endif
