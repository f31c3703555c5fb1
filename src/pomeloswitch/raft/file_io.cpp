#include "pomeloswitch/raft/file_io.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <unistd.h>
#include <utility>

namespace pomelo {
namespace {

constexpr int FileMode = 0600;

//! A later call may succeed without any change to the data folder.
constexpr std::array PassingErrors{ENOSPC, EDQUOT, EIO, ENOMEM, EMFILE, ENFILE};

} // namespace

void throwErrno(std::string_view Action, std::string_view Path) {
  const int Error = errno;
  const std::string Reason =
      fmt::format("{} {}: {}", Action, Path, std::strerror(Error));
  if (std::find(PassingErrors.begin(), PassingErrors.end(), Error) !=
      PassingErrors.end())
    throw storage_refused(Reason);
  throw pomelo_error(error_kind::StorageFailed, Reason);
}

file_handle file_io::open(const std::string &Path, int Flags) {
  return {Path, Flags};
}

void file_io::rename(const std::string &From, const std::string &To) {
  if (::rename(From.c_str(), To.c_str()) != 0)
    throwErrno("cannot rename", From);
}

void file_io::write(int File, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Count = ::write(File, Bytes.data(), Bytes.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      throwErrno("cannot write to", "the data folder");
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
}

// A failed sync is not retried: the kernel may already have discarded the dirty
// pages, and a second sync could then succeed although data is lost.
void file_io::sync(int File) {
  if (::fdatasync(File) != 0)
    throwErrno("cannot sync", "the data folder");
}

file_handle::file_handle(const std::string &Path, int Flags)
    : Descriptor(::open(Path.c_str(), Flags | O_CLOEXEC, FileMode)) {
  if (Descriptor < 0)
    throwErrno("cannot open", Path);
}

file_handle::~file_handle() {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

file_handle::file_handle(file_handle &&Other) noexcept
    : Descriptor(std::exchange(Other.Descriptor, -1)) {}

file_handle &file_handle::operator=(file_handle &&Other) noexcept {
  std::swap(Descriptor, Other.Descriptor);
  return *this;
}

void replaceFileDurably(file_io &FileIo, const std::string &Path,
                        std::string_view Bytes) {
  const std::string TemporaryPath = Path + ".tmp";
  // A file left by a failed attempt is not used again: its pages may count as
  // clean although they never reached the disk.
  if (::unlink(TemporaryPath.c_str()) != 0 && errno != ENOENT)
    throwErrno("cannot remove", TemporaryPath);
  {
    const file_handle File =
        FileIo.open(TemporaryPath, O_WRONLY | O_CREAT | O_EXCL);
    FileIo.write(File.get(), Bytes);
    FileIo.sync(File.get());
  }
  FileIo.rename(TemporaryPath, Path);
  syncFolder(FileIo, std::filesystem::path(Path).parent_path().string());
}

void syncFolder(file_io &FileIo, const std::string &Path) {
  const file_handle Folder = FileIo.open(Path, O_RDONLY | O_DIRECTORY);
  FileIo.sync(Folder.get());
}

} // namespace pomelo
