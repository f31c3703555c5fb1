#include "pomeloswitch/raft/file_calls.hpp"

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

void throwStorageError(std::string_view What, std::string_view Path) {
  throw pomelo_error(
      error_kind::StorageFailed,
      fmt::format("{} {}: {}", What, Path, std::strerror(errno)));
}

void file_calls::write(int File, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Count = ::write(File, Bytes.data(), Bytes.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      throwStorageError("cannot write", "the log");
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
}

// A failed sync is not tried again: the system may have dropped the pages.
void file_calls::sync(int File) {
  if (::fdatasync(File) != 0)
    throwStorageError("cannot sync", "the log");
}

file_handle::file_handle(const std::string &Path, int Flags)
    : Descriptor(::open(Path.c_str(), Flags | O_CLOEXEC, FileMode)) {
  if (Descriptor < 0)
    throwStorageError("cannot open", Path);
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

void replaceFileDurably(file_calls &Calls, const std::string &Path,
                        std::string_view Bytes) {
  const std::string Draft = Path + ".tmp";
  {
    const file_handle File(Draft, O_WRONLY | O_CREAT | O_TRUNC);
    Calls.write(File.get(), Bytes);
    Calls.sync(File.get());
  }
  if (::rename(Draft.c_str(), Path.c_str()) != 0)
    throwStorageError("cannot rename", Draft);
  const std::string Folder = std::filesystem::path(Path).parent_path().string();
  const file_handle Directory(Folder, O_RDONLY | O_DIRECTORY);
  Calls.sync(Directory.get());
}

} // namespace pomelo
