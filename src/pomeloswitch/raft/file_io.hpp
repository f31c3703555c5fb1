//! Durable file writes. The system calls are virtual functions so that tests
//! can inject failures.
#ifndef POMELOSWITCH_RAFT_FILE_IO_HPP
#define POMELOSWITCH_RAFT_FILE_IO_HPP

#include "pomeloswitch/errors/error_kind.hpp"

#include <string>
#include <string_view>

namespace pomelo {

//! StorageFailed for a reason that may pass, such as a full disk.
class storage_refused final : public pomelo_error {
public:
  explicit storage_refused(const std::string &Message)
      : pomelo_error(error_kind::StorageFailed, Message) {}
};

//! Owns a file descriptor and closes it on destruction.
class file_handle {
public:
  file_handle() = default;
  //! \throws pomelo_error StorageFailed if \p Path cannot be opened.
  file_handle(const std::string &Path, int Flags);
  ~file_handle();
  file_handle(file_handle &&Other) noexcept;
  file_handle &operator=(file_handle &&Other) noexcept;

  [[nodiscard]] int get() const { return Descriptor; }

private:
  int Descriptor = -1;
};

//! Opens, renames, writes and syncs files.
class file_io {
public:
  virtual ~file_io() = default;

  //! \throws pomelo_error StorageFailed if \p Path cannot be opened.
  virtual file_handle open(const std::string &Path, int Flags);
  //! \throws pomelo_error StorageFailed.
  virtual void rename(const std::string &From, const std::string &To);
  //! Writes all of \p Bytes. \throws pomelo_error StorageFailed.
  virtual void write(int File, std::string_view Bytes);
  //! Blocks until all data written to \p File is durable. \throws pomelo_error
  //! StorageFailed.
  virtual void sync(int File);
};

//! Throws StorageFailed with \p Action, \p Path and the message for errno;
//! storage_refused if the reason may pass.
[[noreturn]] void throwErrno(std::string_view Action, std::string_view Path);

//! Atomically replaces the content of the file \p Path: after a crash it has
//! either the old or the new content. \throws pomelo_error StorageFailed.
void replaceFileDurably(file_io &FileIo, const std::string &Path,
                        std::string_view Bytes);

//! Makes the names in the folder \p Path durable. \throws pomelo_error
//! StorageFailed.
void syncFolder(file_io &FileIo, const std::string &Path);

} // namespace pomelo

#endif
