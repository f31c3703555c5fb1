//! Files of one test process: ctest runs several tests of a program at once.
#ifndef POMELOSWITCH_TESTS_PROCESS_FOLDER_HPP
#define POMELOSWITCH_TESTS_PROCESS_FOLDER_HPP

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>
#include <system_error>

namespace pomelo {

//! A folder that only this process uses, removed on destruction.
class process_folder {
public:
  explicit process_folder(std::string_view Name)
      : Path(std::filesystem::path(testing::TempDir()) /
             fmt::format("{}_{}", Name, getpid())) {
    std::filesystem::create_directories(Path);
  }
  process_folder(const process_folder &) = delete;
  process_folder &operator=(const process_folder &) = delete;
  ~process_folder() {
    std::error_code Ignored;
    std::filesystem::remove_all(Path, Ignored);
  }

  //! Writes a file and returns its path.
  [[nodiscard]] std::string write(std::string_view Name,
                                  std::string_view Text) const {
    std::string File = (Path / Name).string();
    std::ofstream(File) << Text;
    return File;
  }

private:
  std::filesystem::path Path;
};

} // namespace pomelo

#endif
