#include "pomeloswitch/raft/record_format.hpp"

#include <boost/endian/conversion.hpp>
#include <xxhash.h>

#include <cstring>
#include <optional>

namespace pomelo {
namespace {

namespace endian = boost::endian;

// Header layout, little-endian, sizes in bytes: length (4), header checksum
// (4), sequence number (8), payload checksum (8).
constexpr std::size_t CheckOffset = 4;
constexpr std::size_t SequenceOffset = 8;
constexpr std::size_t PayloadCheckOffset = 16;

struct header {
  std::uint32_t Length = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t PayloadCheck = 0;
};

unsigned char *bytesAt(std::string &Text, std::size_t Offset) {
  return reinterpret_cast<unsigned char *>(Text.data()) + Offset;
}

const unsigned char *bytesAt(std::string_view Text, std::size_t Offset) {
  return reinterpret_cast<const unsigned char *>(Text.data()) + Offset;
}

std::uint32_t headerCheck(const header &Header) {
  return static_cast<std::uint32_t>(
      XXH3_64bits_withSeed(&Header.Sequence, sizeof(Header.Sequence),
                           Header.PayloadCheck ^ Header.Length));
}

std::uint64_t payloadCheck(std::uint64_t Sequence, std::string_view Payload) {
  return XXH3_64bits_withSeed(Payload.data(), Payload.size(), Sequence);
}

std::optional<header> readHeader(std::string_view Bytes) {
  if (Bytes.size() < RecordHeaderBytes)
    return std::nullopt;
  header Header;
  Header.Length = endian::load_little_u32(bytesAt(Bytes, 0));
  Header.Sequence = endian::load_little_u64(bytesAt(Bytes, SequenceOffset));
  Header.PayloadCheck =
      endian::load_little_u64(bytesAt(Bytes, PayloadCheckOffset));
  const auto StoredCheck = endian::load_little_u32(bytesAt(Bytes, CheckOffset));
  if (StoredCheck != headerCheck(Header) || Header.Length > MaxRecordBytes)
    return std::nullopt;
  return Header;
}

//! Returns the payload of the record at the start of \p Bytes, or nullopt if it
//! is incomplete or its checksum does not match.
std::optional<std::string_view> readPayload(std::string_view Bytes,
                                            const header &Header) {
  if (Bytes.size() - RecordHeaderBytes < Header.Length)
    return std::nullopt;
  const std::string_view Payload =
      Bytes.substr(RecordHeaderBytes, Header.Length);
  if (payloadCheck(Header.Sequence, Payload) != Header.PayloadCheck)
    return std::nullopt;
  return Payload;
}

//! Returns whether a valid record with a sequence number of at least
//! \p MinSequence starts at any offset in \p Bytes.
bool containsValidRecord(std::string_view Bytes, std::uint64_t MinSequence) {
  for (; Bytes.size() >= RecordHeaderBytes; Bytes.remove_prefix(1)) {
    const auto Header = readHeader(Bytes);
    if (Header && Header->Sequence >= MinSequence &&
        readPayload(Bytes, *Header))
      return true;
  }
  return false;
}

} // namespace

std::string encodeRecord(std::uint64_t Sequence, std::string_view Payload) {
  header Header;
  Header.Length = static_cast<std::uint32_t>(Payload.size());
  Header.Sequence = Sequence;
  Header.PayloadCheck = payloadCheck(Sequence, Payload);
  std::string Bytes(RecordHeaderBytes, '\0');
  endian::store_little_u32(bytesAt(Bytes, 0), Header.Length);
  endian::store_little_u32(bytesAt(Bytes, CheckOffset), headerCheck(Header));
  endian::store_little_u64(bytesAt(Bytes, SequenceOffset), Sequence);
  endian::store_little_u64(bytesAt(Bytes, PayloadCheckOffset),
                           Header.PayloadCheck);
  Bytes += Payload;
  return Bytes;
}

record_scan scanRecords(std::string_view Bytes) {
  record_scan Scan;
  std::string_view Rest = Bytes;
  while (true) {
    const auto Header = readHeader(Rest);
    const bool InOrder = Header && (Scan.Payloads.empty() ||
                                    Header->Sequence == Scan.NextSequence);
    const auto Payload = InOrder ? readPayload(Rest, *Header) : std::nullopt;
    if (!Payload)
      break;
    Scan.Payloads.push_back(*Payload);
    Scan.NextSequence = Header->Sequence + 1;
    Rest.remove_prefix(RecordHeaderBytes + Payload->size());
  }
  Scan.ValidBytes = Bytes.size() - Rest.size();
  // Only one record is written between two syncs, so no valid record can follow
  // a record that was torn by a crash. A valid record after an invalid one
  // therefore means that synced data was damaged.
  Scan.Damaged = !Rest.empty() && containsValidRecord(Rest, Scan.NextSequence);
  return Scan;
}

} // namespace pomelo
