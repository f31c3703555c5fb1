#include "pomeloswitch/raft/file_storage.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <fstream>
#include <functional>
#include <iterator>

namespace pomelo {
namespace {

namespace fs = std::filesystem;

//! Returns a path for the running test and removes what earlier runs left.
fs::path createTestPath() {
  const auto *Test = testing::UnitTest::GetInstance()->current_test_info();
  std::string Name =
      fmt::format("{}-{}", Test->test_suite_name(), Test->name());
  std::replace(Name.begin(), Name.end(), '/', '-');
  fs::path Folder = fs::path(testing::TempDir()) / Name;
  fs::remove_all(Folder);
  return Folder;
}

storage_batch entryBatch(std::uint64_t Index, std::uint64_t Term) {
  storage_batch Batch;
  Batch.Record.mutable_vote()->set_term(Term);
  wire::raft_entry *Entry = Batch.Record.add_entries();
  Entry->set_index(Index);
  Entry->set_term(Term);
  Entry->set_command(fmt::format("command {} {}", Index, Term));
  return Batch;
}

storage_batch snapshotBatch(std::uint64_t Index) {
  auto Snapshot = std::make_shared<wire::raft_snapshot>();
  Snapshot->set_index(Index);
  Snapshot->set_state("state");
  storage_batch Batch = entryBatch(Index, 1);
  Batch.Snapshot = std::move(Snapshot);
  return Batch;
}

void writeEntries(const fs::path &Folder, std::uint64_t From,
                  std::uint64_t To) {
  file_storage Storage(Folder, "c1");
  Storage.load();
  for (std::uint64_t Index = From; Index <= To; ++Index)
    Storage.write(entryBatch(Index, 1));
}

stored_state reload(const fs::path &Folder) {
  return file_storage(Folder, "c1").load();
}

std::string findFile(const fs::path &Folder, std::string_view Prefix) {
  for (const auto &File : fs::directory_iterator(Folder))
    if (File.path().filename().string().starts_with(Prefix))
      return File.path().string();
  return {};
}

std::string readBytes(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  return {std::istreambuf_iterator<char>(File), {}};
}

void writeBytes(const std::string &Path, const std::string &Bytes) {
  std::ofstream(Path, std::ios::binary | std::ios::trunc) << Bytes;
}

TEST(file_storage, gives_back_what_was_written) {
  const fs::path Folder = createTestPath();
  writeEntries(Folder, 1, 5);
  const stored_state Stored = reload(Folder);
  ASSERT_EQ(Stored.Entries.size(), 5U);
  EXPECT_EQ(Stored.Entries[4].command(), "command 5 1");
  EXPECT_EQ(Stored.Vote.term(), 1U);
  EXPECT_EQ(Stored.Identity.starts(), 2U);
  EXPECT_EQ(reload(Folder).Identity.replica_id(), Stored.Identity.replica_id());
}

TEST(file_storage, a_later_entry_replaces_all_from_its_index_on) {
  const fs::path Folder = createTestPath();
  writeEntries(Folder, 1, 5);
  {
    file_storage Storage(Folder, "c1");
    Storage.load();
    Storage.write(entryBatch(3, 2));
  }
  const stored_state Stored = reload(Folder);
  ASSERT_EQ(Stored.Entries.size(), 3U);
  EXPECT_EQ(Stored.Entries[2].term(), 2U);
}

TEST(file_storage, a_snapshot_takes_the_place_of_old_files) {
  const fs::path Folder = createTestPath();
  writeEntries(Folder, 1, 5);
  {
    file_storage Storage(Folder, "c1");
    Storage.load();
    storage_batch Batch = snapshotBatch(5);
    Batch.Record.clear_entries();
    Storage.write(Batch);
    Storage.write(entryBatch(6, 1));
  }
  const stored_state Stored = reload(Folder);
  ASSERT_TRUE(Stored.Snapshot.has_value());
  EXPECT_EQ(Stored.Snapshot->index(), 5U);
  ASSERT_EQ(Stored.Entries.size(), 1U);
  EXPECT_EQ(Stored.Entries[0].index(), 6U);
  EXPECT_EQ(std::distance(fs::directory_iterator(Folder), {}), 4);
}

TEST(file_storage, takes_the_right_to_found_from_the_first_start_only) {
  const fs::path Folder = createTestPath();
  const std::vector<host_address> Founders{{"c1", "127.0.0.1:1"},
                                           {"c2", "127.0.0.1:2"}};
  const std::vector<host_address> Others{{"c1", "127.0.0.1:1"}};
  const auto FoundersIn = [](const fs::path &Path,
                             const std::vector<host_address> &Given) {
    return file_storage(Path, "c1", std::make_unique<file_io>(), Given)
        .founders();
  };
  EXPECT_EQ(FoundersIn(Folder / "first", Founders).size(), 2U);
  EXPECT_EQ(FoundersIn(Folder / "first", Others).size(), 2U);
  EXPECT_EQ(FoundersIn(Folder / "first", {}).size(), 2U);
  EXPECT_TRUE(FoundersIn(Folder / "emptied", {}).empty());
  EXPECT_TRUE(FoundersIn(Folder / "emptied", Founders).empty());
}

struct damage_case {
  std::string Name;
  std::function<void(const fs::path &)> Damage;
  //! Number of the five entries that must be recovered; nullopt if loading must
  //! fail.
  std::optional<std::size_t> Remaining;
};

void PrintTo(const damage_case &Case, std::ostream *Out) { *Out << Case.Name; }

void flipByte(const std::string &Path, double RelativeOffset) {
  std::string Bytes = readBytes(Path);
  Bytes[static_cast<std::size_t>(RelativeOffset *
                                 static_cast<double>(Bytes.size()))] ^= 0x40;
  writeBytes(Path, Bytes);
}

void cutBytes(const std::string &Path, std::size_t Count) {
  const std::string Bytes = readBytes(Path);
  writeBytes(Path, Bytes.substr(0, Bytes.size() - Count));
}

class damaged_storage : public testing::TestWithParam<damage_case> {};

TEST_P(damaged_storage, is_repaired_only_where_nothing_synced_is_lost) {
  const fs::path Folder = createTestPath();
  writeEntries(Folder, 1, 5);
  GetParam().Damage(Folder);
  if (GetParam().Remaining) {
    EXPECT_EQ(reload(Folder).Entries.size(), *GetParam().Remaining);
    writeEntries(Folder, *GetParam().Remaining + 1, 9);
    EXPECT_EQ(reload(Folder).Entries.size(), 9U);
    return;
  }
  try {
    reload(Folder);
    FAIL() << "damaged storage was loaded";
  } catch (const pomelo_error &Refusal) {
    EXPECT_EQ(Refusal.kind(), error_kind::StorageFailed);
  }
}

INSTANTIATE_TEST_SUITE_P(
    table, damaged_storage,
    testing::Values(damage_case{"torn_tail",
                                [](const fs::path &Folder) {
                                  cutBytes(findFile(Folder, "log-"), 3);
                                },
                                4},
                    damage_case{"torn_header",
                                [](const fs::path &Folder) {
                                  const std::string Path =
                                      findFile(Folder, "log-");
                                  writeBytes(Path, readBytes(Path) + "1234567");
                                },
                                5},
                    damage_case{"tail_of_zeros",
                                [](const fs::path &Folder) {
                                  const std::string Path =
                                      findFile(Folder, "log-");
                                  writeBytes(Path, readBytes(Path) +
                                                       std::string(5000, '\0'));
                                },
                                5},
                    damage_case{"flipped_byte_in_the_middle",
                                [](const fs::path &Folder) {
                                  flipByte(findFile(Folder, "log-"), 0.5);
                                },
                                std::nullopt},
                    damage_case{"flipped_first_byte",
                                [](const fs::path &Folder) {
                                  flipByte(findFile(Folder, "log-"), 0);
                                },
                                std::nullopt},
                    damage_case{"empty_log",
                                [](const fs::path &Folder) {
                                  writeBytes(findFile(Folder, "log-"), "");
                                },
                                std::nullopt},
                    damage_case{"missing_log",
                                [](const fs::path &Folder) {
                                  fs::remove(findFile(Folder, "log-"));
                                },
                                std::nullopt},
                    damage_case{"missing_identity",
                                [](const fs::path &Folder) {
                                  fs::remove(Folder / "identity");
                                  fs::rename(findFile(Folder, "log-"),
                                             Folder /
                                                 "log-00000000000000000002");
                                },
                                std::nullopt},
                    damage_case{"flipped_byte_in_the_identity",
                                [](const fs::path &Folder) {
                                  flipByte((Folder / "identity").string(), 0.9);
                                },
                                std::nullopt},
                    damage_case{"missing_snapshot",
                                [](const fs::path &Folder) {
                                  file_storage Storage(Folder, "c1");
                                  Storage.load();
                                  Storage.write(snapshotBatch(5));
                                  fs::remove(findFile(Folder, "snapshot-"));
                                },
                                std::nullopt},
                    damage_case{"flipped_byte_in_the_snapshot",
                                [](const fs::path &Folder) {
                                  file_storage Storage(Folder, "c1");
                                  Storage.load();
                                  Storage.write(snapshotBatch(5));
                                  flipByte(findFile(Folder, "snapshot-"), 0.9);
                                },
                                std::nullopt}),
    [](const auto &Info) { return Info.param.Name; });

TEST(file_storage, the_folder_of_another_host_is_refused) {
  const fs::path Folder = createTestPath();
  writeEntries(Folder, 1, 1);
  EXPECT_THROW(file_storage(Folder, "c2"), pomelo_error);
}

TEST(file_storage, a_folder_in_use_is_refused) {
  const fs::path Folder = createTestPath();
  const file_storage First(Folder, "c1");
  EXPECT_THROW(file_storage(Folder, "c1"), pomelo_error);
}

//! Fails writes or syncs after the given number of successful calls.
class failing_file_io : public file_io {
public:
  failing_file_io(int Writes, int Syncs) : Writes(Writes), Syncs(Syncs) {}
  void write(int File, std::string_view Bytes) override {
    if (Writes-- <= 0)
      throw pomelo_error(error_kind::StorageFailed, "no space");
    file_io::write(File, Bytes);
  }
  void sync(int File) override {
    if (Syncs-- <= 0)
      throw pomelo_error(error_kind::StorageFailed, "input/output error");
    file_io::sync(File);
  }

private:
  int Writes;
  int Syncs;
};

TEST(file_storage, a_failed_write_or_sync_is_reported) {
  constexpr int Unlimited = 1000;
  for (const bool WriteFails : {true, false}) {
    const fs::path Folder = createTestPath();
    // Creating a folder syncs its parent twice and writes two files, with two
    // syncs each; loading adds one file, the first batch one write and one
    // sync.
    file_storage Storage(
        Folder, "c1",
        std::make_unique<failing_file_io>(WriteFails ? 4 : Unlimited,
                                          WriteFails ? Unlimited : 9));
    Storage.load();
    Storage.write(entryBatch(1, 1));
    EXPECT_THROW(Storage.write(entryBatch(2, 1)), pomelo_error);
  }
}

} // namespace
} // namespace pomelo
