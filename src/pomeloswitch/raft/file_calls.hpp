//! The system calls that make files durable, behind an interface so that tests
//! can let them fail.
#ifndef POMELOSWITCH_RAFT_FILE_CALLS_HPP
#define POMELOSWITCH_RAFT_FILE_CALLS_HPP

#include <string>
#include <string_view>

namespace pomelo {

class file_calls {
public:
  virtual ~file_calls() = default;

  //! Writes all of \p Bytes. \throws pomelo_error StorageFailed.
  virtual void write(int File, std::string_view Bytes);
  //! Waits until what was written is durable. \throws pomelo_error
  //! StorageFailed.
  virtual void sync(int File);
};

//! A file descriptor that is closed on destruction.
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

//! Throws StorageFailed with \p What, \p Path and the text of errno.
[[noreturn]] void throwStorageError(std::string_view What,
                                    std::string_view Path);

//! Replaces the file \p Path so that a crash leaves the old or the new content.
void replaceFileDurably(file_calls &Calls, const std::string &Path,
                        std::string_view Bytes);

} // namespace pomelo

#endif
