//! Opens a log_storage and writes batches to it on a dedicated thread.
#ifndef POMELOSWITCH_RAFT_STORAGE_WORKER_HPP
#define POMELOSWITCH_RAFT_STORAGE_WORKER_HPP

#include "pomeloswitch/raft/log_storage.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

#include <functional>
#include <memory>
#include <string>

namespace pomelo {

//! Writes one batch at a time, so that changes made during a write are synced
//! together with the next batch.
class storage_worker {
public:
  //! Called on the I/O context with the batch. The second argument is the error
  //! message if the write failed and the batch may not be durable.
  using completion = std::function<void(const storage_batch &Batch,
                                        const std::optional<std::string> &)>;

  //! Called on the I/O context with the state loaded, or with the error message
  //! if the storage could not be opened.
  using opened = std::function<void(std::optional<stored_state>,
                                    const std::string &Failure)>;

  storage_worker(boost::asio::io_context &Io, storage_opener Open,
                 completion Done);
  ~storage_worker();

  [[nodiscard]] bool busy() const { return Busy; }
  //! Opens and loads the storage on the calling thread. Must not be called
  //! while busy. \throws pomelo_error StorageFailed.
  stored_state open();
  //! Opens and loads the storage anew. Must not be called while busy.
  void reopen(opened Done);
  //! Must not be called while busy.
  void write(storage_batch Batch);

private:
  boost::asio::io_context &Io;
  storage_opener Opener;
  std::unique_ptr<log_storage> Storage;
  completion Done;
  boost::asio::thread_pool Thread{1};
  bool Busy = false;
  //! Expires with this object, before completions that are still queued.
  std::shared_ptr<void> Alive = std::make_shared<bool>();
};

} // namespace pomelo

#endif
