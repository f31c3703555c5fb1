//! Losses of power on real files: what was not synced is kept, torn or lost.
#include "pomeloswitch/raft/file_storage.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <sys/stat.h>

namespace pomelo {
namespace {

namespace fs = std::filesystem;

//! Thrown by a sync during which the process ends.
struct process_ended {};

std::string readBytes(const fs::path &Path) {
  std::ifstream File(Path, std::ios::binary);
  return {std::istreambuf_iterator<char>(File), {}};
}

//! Knows what a folder would hold after a loss of power.
class unreliable_disk {
public:
  unreliable_disk(fs::path GivenFolder, std::mt19937_64 &GivenRandom)
      : Folder(std::move(GivenFolder)), Random(GivenRandom) {}

  void createFolder() {
    fs::create_directory(Folder);
    FolderDurable = true;
  }

  //! From now on some syncs fail, and drop what was written since the last one.
  void refuseSomeSyncs() { Refusing = true; }

  //! The process ends during the sync after \p Count further ones.
  void endProcessAfter(std::uint64_t Count) { SyncsLeft = Count; }

  void sync(int File) {
    const bool Ends = SyncsLeft-- == 0;
    if (!Ends && Refusing && Random() % 8 == 0) {
      Dropped.insert(statusOf(File).st_ino);
      keepInode(fmt::format("/proc/self/fd/{}", File));
      throw storage_refused("no space left on device");
    }
    // The data may have reached the disk although the sync did not return.
    if (!Ends || Random() % 2 == 0)
      makeDurable(File);
    if (Ends)
      throw process_ended();
  }

  //! Loses power: each name and each write that was not synced is kept or lost
  //! independently, a write also in part.
  void losePower() {
    const auto Found = listing();
    std::set<std::string> Candidates;
    for (const auto &[Name, Inode] : Found)
      Candidates.insert(Name);
    for (const auto &[Name, Inode] : Names)
      Candidates.insert(Name);
    std::map<std::string, std::string> Kept;
    for (const std::string &Name : Candidates) {
      const auto &Source = Random() % 2 == 0 ? Found : Names;
      if (const auto Entry = Source.find(Name); Entry != Source.end())
        Kept[Name] = contentAfterLoss(Entry->second, Found);
    }
    const bool FolderIsLost = !FolderDurable && Random() % 2 == 0;
    fs::remove_all(Folder);
    forget();
    if (FolderIsLost)
      return;
    createFolder();
    for (const auto &[Name, Content] : Kept)
      std::ofstream(Folder / Name, std::ios::binary) << Content;
    rememberAll();
  }

private:
  static struct stat statusOf(int File) {
    struct stat Status {};
    EXPECT_EQ(::fstat(File, &Status), 0);
    return Status;
  }

  static ino_t inodeOf(const fs::path &Path) {
    struct stat Status {};
    EXPECT_EQ(::stat(Path.c_str(), &Status), 0);
    return Status.st_ino;
  }

  std::map<std::string, ino_t> listing() const {
    std::map<std::string, ino_t> Found;
    for (const auto &File : fs::directory_iterator(Folder))
      Found[File.path().filename().string()] = inodeOf(File.path());
    return Found;
  }

  void makeDurable(int File) {
    const struct stat Status = statusOf(File);
    if (!S_ISDIR(Status.st_mode)) {
      // Pages that a failed sync has dropped count as clean.
      if (Dropped.contains(Status.st_ino))
        return;
      Contents[Status.st_ino] =
          readBytes(fmt::format("/proc/self/fd/{}", File));
      return keepInode(fmt::format("/proc/self/fd/{}", File));
    }
    if (Status.st_ino != inodeOf(Folder)) {
      FolderDurable = FolderDurable || Status.st_ino == inodeOf(Folder / "..");
      return;
    }
    Names = listing();
    for (const auto &[Name, Inode] : Names)
      keepInode((Folder / Name).string());
  }

  //! Keeps a file open, so that its inode number is not used again.
  void keepInode(const std::string &Path) { Open.emplace_back(Path, O_RDONLY); }

  std::string contentAfterLoss(ino_t Inode,
                               const std::map<std::string, ino_t> &Found) {
    const auto Synced = Contents.find(Inode);
    std::string Durable =
        Synced == Contents.end() ? std::string() : Synced->second;
    for (const auto &[Name, Each] : Found) {
      if (Each != Inode)
        continue;
      const std::string Current = readBytes(Folder / Name);
      if (Current.starts_with(Durable))
        return Current.substr(0,
                              withinUnsynced(Durable.size(), Current.size()));
      // The file was cut, or was emptied and written anew.
      if (Random() % 2 == 0)
        return Durable;
      return Durable.starts_with(Current)
                 ? Current
                 : Current.substr(0, withinUnsynced(0, Current.size()));
    }
    return Durable;
  }

  //! Some length from what was synced to all that was written.
  std::size_t withinUnsynced(std::size_t Synced, std::size_t Written) {
    return Synced + Random() % (Written - Synced + 1);
  }

  void forget() {
    Names.clear();
    Contents.clear();
    Dropped.clear();
    Open.clear();
  }

  void rememberAll() {
    Names = listing();
    for (const auto &[Name, Inode] : Names) {
      Contents[Inode] = readBytes(Folder / Name);
      keepInode((Folder / Name).string());
    }
  }

  fs::path Folder;
  std::mt19937_64 &Random;
  std::uint64_t SyncsLeft = 0;
  bool Refusing = false;
  bool FolderDurable = false;
  std::map<std::string, ino_t> Names;    //!< Durable names.
  std::map<ino_t, std::string> Contents; //!< Durable contents.
  std::set<ino_t> Dropped;               //!< Files of which a sync failed.
  std::vector<file_handle> Open;
};

//! Reports each sync to an unreliable disk.
class unreliable_file_io final : public file_io {
public:
  explicit unreliable_file_io(unreliable_disk &Disk) : Disk(Disk) {}
  void sync(int File) override { Disk.sync(File); }

private:
  unreliable_disk &Disk;
};

std::string commandAt(std::uint64_t Index) {
  return fmt::format("command {}", Index);
}

wire::raft_entry entryAt(std::uint64_t Index) {
  wire::raft_entry Entry;
  Entry.set_index(Index);
  Entry.set_term(1);
  Entry.set_command(commandAt(Index));
  return Entry;
}

//! What a host has told others that it holds.
struct told_state {
  std::string ReplicaId;
  std::uint64_t Starts = 0;
  std::uint64_t Term = 0;
  std::uint64_t LastIndex = 0;
};

//! Whether the data folder exists before the first start, whether some syncs
//! fail, and a seed.
using power_loss_parameters = std::tuple<bool, bool, unsigned>;

class lost_power : public testing::TestWithParam<power_loss_parameters> {
protected:
  void SetUp() override {
    fs::remove_all(Parent);
    fs::create_directories(Parent);
    if (std::get<0>(GetParam()))
      Disk.createFolder();
    if (std::get<1>(GetParam()))
      Disk.refuseSomeSyncs();
  }
  void TearDown() override { fs::remove_all(Parent); }

  //! Runs a process on the folder until it ends in some sync.
  void live() {
    Disk.endProcessAfter(Random() % 20);
    try {
      while (true)
        useStorage();
    } catch (const process_ended &) {
    } catch (const pomelo_error &Failure) {
      ADD_FAILURE() << Failure.what();
    }
  }

  //! Uses a storage until it refuses something; another may be opened then.
  void useStorage() {
    try {
      file_storage Storage(Folder, "c1",
                           std::make_unique<unreliable_file_io>(Disk),
                           {{"c1", "127.0.0.1:1"}});
      EXPECT_EQ(Storage.founders().size(), 1U);
      check(Storage.load());
      while (true)
        writeSomething(Storage);
    } catch (const storage_refused &) {
    }
  }

  //! What was loaded is told to others from now on.
  void check(const stored_state &Stored) {
    const std::uint64_t Base = Stored.Snapshot ? Stored.Snapshot->index() : 0;
    const std::uint64_t LastIndex = Base + Stored.Entries.size();
    if (!Told.ReplicaId.empty()) {
      EXPECT_EQ(Stored.Identity.replica_id(), Told.ReplicaId);
      EXPECT_GT(Stored.Identity.starts(), Told.Starts);
    }
    EXPECT_GE(Stored.Vote.term(), Told.Term);
    EXPECT_GE(LastIndex, Told.LastIndex);
    for (const wire::raft_entry &Entry : Stored.Entries)
      EXPECT_EQ(Entry.command(), commandAt(Entry.index()));
    Told = {Stored.Identity.replica_id(), Stored.Identity.starts(),
            Stored.Vote.term(), LastIndex};
  }

  void writeSomething(file_storage &Storage) {
    told_state Next = Told;
    storage_batch Batch;
    if (Random() % 3 == 0) {
      ++Next.Term;
      Batch.VoteChanged = true;
    } else {
      *Batch.Record.add_entries() = entryAt(++Next.LastIndex);
    }
    Batch.Record.mutable_vote()->set_term(Next.Term);
    if (Random() % 4 == 0 && Next.LastIndex > 2)
      addSnapshot(Batch, Next.LastIndex);
    Storage.write(Batch);
    Told = Next;
  }

  static void addSnapshot(storage_batch &Batch, std::uint64_t LastIndex) {
    auto Snapshot = std::make_shared<wire::raft_snapshot>();
    Snapshot->set_index(LastIndex - 1);
    Snapshot->set_term(1);
    Batch.Snapshot = std::move(Snapshot);
    Batch.EntriesAfterSnapshot = {entryAt(LastIndex)};
  }

  std::mt19937_64 Random{std::get<2>(GetParam())};
  fs::path Parent =
      fs::path(testing::TempDir()) /
      fmt::format("lost-power-{}-{}-{}", std::get<0>(GetParam()),
                  std::get<1>(GetParam()), std::get<2>(GetParam()));
  fs::path Folder = Parent / "data";
  unreliable_disk Disk{Folder, Random};
  told_state Told;
};

TEST_P(lost_power, takes_nothing_that_a_host_has_told_others) {
  constexpr int Lives = 12;
  for (int Life = 0; Life < Lives && !HasFailure(); ++Life) {
    SCOPED_TRACE(fmt::format("life {}", Life));
    live();
    // A process that was killed finds its unsynced writes again.
    if (Random() % 2 == 0)
      Disk.losePower();
  }
}

INSTANTIATE_TEST_SUITE_P(seeds, lost_power,
                         testing::Combine(testing::Bool(), testing::Bool(),
                                          testing::Range(1U, 41U)),
                         [](const auto &Info) {
                           return fmt::format(
                               "{}{}_seed_{}",
                               std::get<0>(Info.param) ? "given_folder"
                                                       : "new_folder",
                               std::get<1>(Info.param) ? "_failing_syncs" : "",
                               std::get<2>(Info.param));
                         });

} // namespace
} // namespace pomelo
