//! A disk that refuses one kind of operation while a test wants it to.
#ifndef POMELOSWITCH_TESTS_RAFT_REFUSING_FILE_IO_HPP
#define POMELOSWITCH_TESTS_RAFT_REFUSING_FILE_IO_HPP

#include "pomeloswitch/raft/file_io.hpp"

#include <atomic>
#include <fcntl.h>
#include <memory>

namespace pomelo {

enum class disk_refusal { None, Create, Rename, Write, TornWrite, Sync };

using disk_switch = std::shared_ptr<std::atomic<disk_refusal>>;

class refusing_file_io final : public file_io {
public:
  explicit refusing_file_io(disk_switch Refused)
      : Refused(std::move(Refused)) {}

  file_handle open(const std::string &Path, int Flags) override {
    if ((Flags & O_CREAT) != 0)
      refuse(disk_refusal::Create);
    return file_io::open(Path, Flags);
  }
  void rename(const std::string &From, const std::string &To) override {
    refuse(disk_refusal::Rename);
    file_io::rename(From, To);
  }
  void write(int File, std::string_view Bytes) override {
    refuse(disk_refusal::Write);
    if (*Refused == disk_refusal::TornWrite)
      file_io::write(File, Bytes.substr(0, Bytes.size() / 2));
    refuse(disk_refusal::TornWrite);
    file_io::write(File, Bytes);
  }
  void sync(int File) override {
    refuse(disk_refusal::Sync);
    file_io::sync(File);
  }

private:
  void refuse(disk_refusal Kind) const {
    if (*Refused == Kind)
      throw storage_refused("no space left on device");
  }

  disk_switch Refused;
};

} // namespace pomelo

#endif
