#include "pomeloswitch/raft/file_storage.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/observe/log.hpp"
#include "pomeloswitch/raft/record_format.hpp"
#include "pomeloswitch/wire/secret_hash.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <sys/file.h>
#include <unistd.h>

namespace pomelo {
namespace {

constexpr std::string_view SegmentPrefix = "log-";
constexpr std::string_view SnapshotPrefix = "snapshot-";
constexpr std::size_t ReplicaIdBytes = 16;

const component_logger &log() {
  static const component_logger Log("storage");
  return Log;
}

[[noreturn]] void throwStorageFailed(const std::string &Reason) {
  throw pomelo_error(error_kind::StorageFailed, Reason);
}

std::string readAll(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    throwErrno("cannot read", Path);
  std::string Bytes{std::istreambuf_iterator<char>(File), {}};
  if (File.bad())
    throwErrno("cannot read", Path);
  return Bytes;
}

//! Parses the number after \p Prefix in a file name. Returns nullopt for other
//! files.
std::optional<std::uint64_t> parseFileNumber(const std::filesystem::path &Path,
                                             std::string_view Prefix) {
  const std::string Name = Path.filename().string();
  if (!Name.starts_with(Prefix))
    return std::nullopt;
  std::uint64_t Number = 0;
  const char *End = Name.data() + Name.size();
  const auto [ParsedEnd, ParseError] =
      std::from_chars(Name.data() + Prefix.size(), End, Number);
  if (ParseError != std::errc() || ParsedEnd != End)
    return std::nullopt;
  return Number;
}

//! Reads a file that consists of exactly one record.
template <typename Message> Message readSingleRecord(const std::string &Path) {
  const std::string Bytes = readAll(Path);
  const record_scan Scan = scanRecords(Bytes);
  Message Content;
  if (Scan.Payloads.size() != 1 || Scan.ValidBytes != Bytes.size() ||
      !Content.ParseFromArray(Scan.Payloads[0].data(),
                              static_cast<int>(Scan.Payloads[0].size())))
    throwStorageFailed(fmt::format("{} is damaged", Path));
  return Content;
}

void addEntry(std::vector<wire::raft_entry> &Entries,
              const wire::raft_entry &Entry, std::uint64_t Base,
              const std::string &Path) {
  if (Entry.index() <= Base || Entry.index() > Base + Entries.size() + 1)
    throwStorageFailed(
        fmt::format("{} contains entry {} out of order", Path, Entry.index()));
  Entries.resize(static_cast<std::size_t>(Entry.index() - Base - 1));
  Entries.push_back(Entry);
}

} // namespace

file_storage::file_storage(std::filesystem::path GivenFolder,
                           std::string GivenHostId,
                           std::unique_ptr<file_io> GivenFileIo,
                           const std::vector<host_address> &Founders)
    : Folder(std::move(GivenFolder)), HostId(std::move(GivenHostId)),
      FileIo(std::move(GivenFileIo)) {
  createFolder(std::filesystem::absolute(Folder));
  lockFolder();
  openIdentity(Founders);
}

//! Creates \p Path and its missing parents, each durable in its own parent: a
//! folder that vanished in a loss of power would look like a new disk.
void file_storage::createFolder(const std::filesystem::path &Path) {
  if (std::filesystem::exists(Path))
    return;
  if (Path.has_relative_path())
    createFolder(Path.parent_path());
  std::error_code Error;
  std::filesystem::create_directory(Path, Error);
  if (Error)
    throwStorageFailed(
        fmt::format("cannot create {}: {}", Path.string(), Error.message()));
  syncFolder(*FileIo, Path.parent_path().string());
}

//! Syncs the parent of a folder without an identity. An earlier process may
//! have created the folder and ended before it had synced the parent. A parent
//! that this process has no right to sync is assumed to be durable.
void file_storage::syncParentAgain() {
  const auto Parent = std::filesystem::absolute(Folder).parent_path();
  try {
    syncFolder(*FileIo, Parent.string());
  } catch (const storage_refused &) {
    throw;
  } catch (const pomelo_error &Failure) {
    log().warn("The parent of the data folder was not synced: {}.",
               Failure.what());
  }
}

void file_storage::lockFolder() {
  const std::string Path = (Folder / "lock").string();
  Lock = FileIo->open(Path, O_RDWR | O_CREAT);
  if (::flock(Lock.get(), LOCK_EX | LOCK_NB) != 0)
    throwStorageFailed(
        fmt::format("{} is in use by another process", Folder.string()));
}

void file_storage::openIdentity(const std::vector<host_address> &Founders) {
  const std::string Path = (Folder / "identity").string();
  if (!std::filesystem::exists(Path)) {
    saveFounders(Founders);
    return createIdentity();
  }
  Identity = readSingleRecord<wire::raft_identity>(Path);
  if (Identity.host_id() != HostId)
    throwStorageFailed(fmt::format("{} belongs to host \"{}\", not to \"{}\"",
                                   Folder.string(), Identity.host_id(),
                                   HostId));
  Identity.set_starts(Identity.starts() + 1);
  saveIdentity();
}

//! Writes the identity last: a folder with an identity is complete, and one
//! without an identity has never been used.
void file_storage::createIdentity() {
  for (const auto &File : std::filesystem::directory_iterator(Folder)) {
    const auto Segment = parseFileNumber(File.path(), SegmentPrefix);
    if (parseFileNumber(File.path(), SnapshotPrefix) ||
        Segment.value_or(1) != 1)
      throwStorageFailed(fmt::format("{} contains log files but no identity",
                                     Folder.string()));
  }
  syncParentAgain();
  Identity.set_host_id(HostId);
  Identity.set_replica_id(randomHex(ReplicaIdBytes));
  Identity.set_starts(1);
  startSegment(wire::raft_record());
  saveIdentity();
  log().info("Created a new data folder for replica {}.",
             Identity.replica_id());
}

void file_storage::saveFounders(const std::vector<host_address> &Founders) {
  if (Founders.empty())
    return;
  wire::raft_config Config;
  for (const host_address &Founder : Founders) {
    wire::raft_member *Member = Config.add_members();
    Member->set_host_id(Founder.Id);
    Member->set_address(Founder.Address);
  }
  replaceFileDurably(*FileIo, (Folder / "founders").string(),
                     encodeRecord(1, Config.SerializeAsString()));
}

std::vector<host_address> file_storage::founders() const {
  const std::string Path = (Folder / "founders").string();
  std::vector<host_address> Founders;
  if (!std::filesystem::exists(Path))
    return Founders;
  const auto Config = readSingleRecord<wire::raft_config>(Path);
  for (const wire::raft_member &Member : Config.members())
    Founders.push_back({Member.host_id(), Member.address()});
  return Founders;
}

void file_storage::saveIdentity() {
  replaceFileDurably(*FileIo, (Folder / "identity").string(),
                     encodeRecord(1, Identity.SerializeAsString()));
}

std::string file_storage::segmentPath(std::uint64_t Number) const {
  return (Folder / fmt::format("{}{:020}", SegmentPrefix, Number)).string();
}

std::string file_storage::snapshotPath(std::uint64_t Index) const {
  return (Folder / fmt::format("{}{:020}", SnapshotPrefix, Index)).string();
}

std::uint64_t file_storage::latestSegment() const {
  std::uint64_t Latest = 0;
  for (const auto &File : std::filesystem::directory_iterator(Folder))
    Latest = std::max(Latest,
                      parseFileNumber(File.path(), SegmentPrefix).value_or(0));
  if (Latest == 0)
    throwStorageFailed(
        fmt::format("{} contains no log segment", Folder.string()));
  return Latest;
}

stored_state file_storage::load() {
  SegmentNumber = latestSegment();
  const std::string Path = segmentPath(SegmentNumber);
  const std::string Bytes = readAll(Path);
  const record_scan Scan = scanRecords(Bytes);
  if (Scan.Damaged || Scan.Payloads.empty())
    throwStorageFailed(
        fmt::format("{} is damaged at byte {}", Path, Scan.ValidBytes));
  stored_state Stored;
  Stored.Identity = Identity;
  Stored.Founders = founders();
  for (const std::string_view Payload : Scan.Payloads) {
    wire::raft_record Record;
    if (!Record.ParseFromArray(Payload.data(),
                               static_cast<int>(Payload.size())))
      throwStorageFailed(
          fmt::format("{} contains a record that cannot be parsed", Path));
    if (Payload.data() == Scan.Payloads.front().data())
      SnapshotIndex = Record.snapshot_index();
    Stored.Vote = Record.vote();
    for (const wire::raft_entry &Entry : Record.entries())
      addEntry(Stored.Entries, Entry, SnapshotIndex, Path);
  }
  if (SnapshotIndex > 0)
    Stored.Snapshot = loadSnapshot(SnapshotIndex);
  NextSequence = Scan.NextSequence;
  if (Scan.ValidBytes < Bytes.size())
    log().warn("Dropped an incomplete record of {} bytes at the end of {}.",
               Bytes.size() - Scan.ValidBytes, Path);
  rewrite(Stored);
  return Stored;
}

//! Writes all that was read to new files. It is told to other hosts, so it must
//! survive a loss of power, but its last record may never have been synced. To
//! sync the old file is not enough: after a failed sync the kernel may count
//! pages as clean that never reached the disk.
void file_storage::rewrite(const stored_state &Stored) {
  if (Stored.Snapshot)
    saveSnapshot(*Stored.Snapshot);
  beginSegment(Stored.Vote, Stored.Entries);
}

wire::raft_snapshot file_storage::loadSnapshot(std::uint64_t Index) const {
  const std::string Path = snapshotPath(Index);
  auto Snapshot = readSingleRecord<wire::raft_snapshot>(Path);
  if (Snapshot.index() != Index)
    throwStorageFailed(
        fmt::format("{} contains the snapshot of another index, {}", Path,
                    Snapshot.index()));
  return Snapshot;
}

void file_storage::write(const storage_batch &Batch) {
  if (!Batch.Snapshot) {
    FileIo->write(
        Segment.get(),
        encodeRecord(NextSequence++, Batch.Record.SerializeAsString()));
    return FileIo->sync(Segment.get());
  }
  saveSnapshot(*Batch.Snapshot);
  beginSegment(Batch.Record.vote(), Batch.EntriesAfterSnapshot);
}

void file_storage::saveSnapshot(const wire::raft_snapshot &Snapshot) {
  SnapshotIndex = Snapshot.index();
  replaceFileDurably(*FileIo, snapshotPath(SnapshotIndex),
                     encodeRecord(1, Snapshot.SerializeAsString()));
}

//! Starts the segment that takes the place of all older files.
void file_storage::beginSegment(const wire::raft_vote &Vote,
                                std::span<const wire::raft_entry> Entries) {
  wire::raft_record First;
  *First.mutable_vote() = Vote;
  First.set_snapshot_index(SnapshotIndex);
  for (const wire::raft_entry &Entry : Entries)
    *First.add_entries() = Entry;
  startSegment(First);
  removeOldFiles();
}

void file_storage::startSegment(const wire::raft_record &First) {
  const std::string Path = segmentPath(++SegmentNumber);
  replaceFileDurably(*FileIo, Path,
                     encodeRecord(NextSequence++, First.SerializeAsString()));
  Segment = FileIo->open(Path, O_WRONLY | O_APPEND);
}

//! Ignores removal errors: a leftover file is never read, and the next start or
//! snapshot tries again to remove it.
void file_storage::removeOldFiles() {
  std::vector<std::filesystem::path> Obsolete;
  for (const auto &File : std::filesystem::directory_iterator(Folder)) {
    const auto Number = parseFileNumber(File.path(), SegmentPrefix);
    const auto Index = parseFileNumber(File.path(), SnapshotPrefix);
    if ((Number && *Number < SegmentNumber) ||
        (Index && *Index != SnapshotIndex) || File.path().extension() == ".tmp")
      Obsolete.push_back(File.path());
  }
  std::error_code Ignored;
  for (const auto &Path : Obsolete)
    std::filesystem::remove(Path, Ignored);
}

} // namespace pomelo
