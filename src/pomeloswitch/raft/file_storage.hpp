//! Stores the replicated log as files in one data folder.
//!
//! - "identity": host id, replica id, number of process starts.
//! - "founders": the hosts with which this one may found a group, if any.
//! - "log-N": a log segment; the one with the highest N is in use. Its first
//!   record holds the vote, the index of the snapshot it builds on and all
//!   entries after that snapshot. Each sync appends one record.
//! - "snapshot-N": the applied state at log index N.
//! - "lock": locked while a process uses the folder.
#ifndef POMELOSWITCH_RAFT_FILE_STORAGE_HPP
#define POMELOSWITCH_RAFT_FILE_STORAGE_HPP

#include "pomeloswitch/raft/file_io.hpp"
#include "pomeloswitch/raft/log_storage.hpp"
#include "pomeloswitch/settings/common_settings.hpp"

#include <filesystem>
#include <memory>
#include <span>
#include <string>

namespace pomelo {

//! Implements log_storage on the local file system.
class file_storage final : public log_storage {
public:
  //! Opens or creates the folder for \p HostId and increments its number of
  //! process starts. \p Founders are stored if the folder is new.
  //! \throws pomelo_error StorageFailed if the folder is in use, belongs to
  //!         another host, is incomplete or cannot be written.
  file_storage(std::filesystem::path Folder, std::string HostId,
               std::unique_ptr<file_io> FileIo = std::make_unique<file_io>(),
               const std::vector<host_address> &Founders = {});

  //! Returns the founders given when the folder was created. Settings of a
  //! later start may name other members, which may belong to no group.
  [[nodiscard]] std::vector<host_address> founders() const;

  //! Reads the latest segment and its snapshot, except an incomplete record at
  //! the end of the segment, and makes all that it returns durable in new
  //! files. \throws pomelo_error StorageFailed if a file is missing or damaged.
  stored_state load() override;
  void write(const storage_batch &Batch) override;

private:
  void createFolder(const std::filesystem::path &Path);
  void syncParentAgain();
  void lockFolder();
  void openIdentity(const std::vector<host_address> &Founders);
  void createIdentity();
  void saveFounders(const std::vector<host_address> &Founders);
  void saveIdentity();
  [[nodiscard]] std::uint64_t latestSegment() const;
  [[nodiscard]] std::string segmentPath(std::uint64_t Number) const;
  [[nodiscard]] std::string snapshotPath(std::uint64_t Index) const;
  wire::raft_snapshot loadSnapshot(std::uint64_t Index) const;
  void rewrite(const stored_state &Stored);
  void saveSnapshot(const wire::raft_snapshot &Snapshot);
  void beginSegment(const wire::raft_vote &Vote,
                    std::span<const wire::raft_entry> Entries);
  void startSegment(const wire::raft_record &First);
  void removeOldFiles();

  std::filesystem::path Folder;
  std::string HostId;
  std::unique_ptr<file_io> FileIo;
  file_handle Lock;
  file_handle Segment;
  wire::raft_identity Identity;
  std::uint64_t SegmentNumber = 0;
  std::uint64_t SnapshotIndex = 0;
  std::uint64_t NextSequence = 1;
};

} // namespace pomelo

#endif
