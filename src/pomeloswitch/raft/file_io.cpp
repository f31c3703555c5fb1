#include "pomeloswitch/raft/file_io.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <fmt/format.h>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <unistd.h>
#include <utility>

namespace pomelo {
namespace {

constexpr int FileMode = 0600;

} // namespace

void throwErrno(std::string_view Action, std::string_view Path) {
  throw pomelo_error(
      error_kind::StorageFailed,
      fmt::format("{} {}: {}", Action, Path, std::strerror(errno)));
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
  {
    const file_handle File(TemporaryPath, O_WRONLY | O_CREAT | O_TRUNC);
    FileIo.write(File.get(), Bytes);
    FileIo.sync(File.get());
  }
  if (::rename(TemporaryPath.c_str(), Path.c_str()) != 0)
    throwErrno("cannot rename", TemporaryPath);
  syncFolder(FileIo, std::filesystem::path(Path).parent_path().string());
}

void syncFolder(file_io &FileIo, const std::string &Path) {
  const file_handle Folder(Path, O_RDONLY | O_DIRECTORY);
  FileIo.sync(Folder.get());
}

} // namespace pomelo
