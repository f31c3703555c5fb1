//! The replicated log's files in one data folder.
//!
//! - "identity": host id, replica id, number of starts.
//! - "log-N": the live segment; the highest N counts. Its first record holds
//!   the vote and all entries after the snapshot that it names; one record
//!   follows for each sync.
//! - "snapshot-N": the applied state at log index N.
//! - "lock": locked by the process that uses the folder.
#ifndef POMELOSWITCH_RAFT_FILE_STORAGE_HPP
#define POMELOSWITCH_RAFT_FILE_STORAGE_HPP

#include "pomeloswitch/raft/file_calls.hpp"
#include "pomeloswitch/raft/log_storage.hpp"

#include <filesystem>
#include <memory>
#include <string>

namespace pomelo {

class file_storage final : public log_storage {
public:
  //! Opens or creates the folder for \p HostId and counts the start.
  //! \throws pomelo_error StorageFailed if the folder is in use, belongs to
  //!         another host, is incomplete or cannot be written.
  file_storage(
      std::filesystem::path Folder, std::string HostId,
      std::unique_ptr<file_calls> Calls = std::make_unique<file_calls>());

  //! \throws pomelo_error StorageFailed if a file is missing or damaged.
  stored_state load() override;
  void write(const storage_batch &Batch) override;

private:
  void lockFolder();
  void openIdentity();
  void createIdentity();
  void saveIdentity();
  [[nodiscard]] std::uint64_t latestSegment() const;
  [[nodiscard]] std::string segmentPath(std::uint64_t Number) const;
  [[nodiscard]] std::string snapshotPath(std::uint64_t Index) const;
  wire::raft_snapshot loadSnapshot(std::uint64_t Index) const;
  void startSegment(const wire::raft_record &First);
  void removeOldFiles();

  std::filesystem::path Folder;
  std::string HostId;
  std::unique_ptr<file_calls> Calls;
  file_handle Lock;
  file_handle Segment;
  wire::raft_identity Identity;
  std::uint64_t SegmentNumber = 0;
  std::uint64_t SnapshotIndex = 0;
  std::uint64_t NextSequence = 1;
};

} // namespace pomelo

#endif
