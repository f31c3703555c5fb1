#include "pomeloswitch/raft/storage_worker.hpp"

#include <boost/asio/post.hpp>

#include <exception>

namespace pomelo {

storage_worker::storage_worker(boost::asio::io_context &Io,
                               std::unique_ptr<log_storage> Storage,
                               completion Done)
    : Io(Io), Storage(std::move(Storage)), Done(std::move(Done)) {}

storage_worker::~storage_worker() { Thread.join(); }

void storage_worker::write(storage_batch Given) {
  Busy = true;
  auto Batch = std::make_shared<const storage_batch>(std::move(Given));
  boost::asio::post(Thread, [this, Batch] {
    std::optional<std::string> Failure;
    try {
      Storage->write(*Batch);
    } catch (const std::exception &Error) {
      Failure = Error.what();
    }
    boost::asio::post(Io, [this, Batch, Failure] {
      Busy = false;
      Done(*Batch, Failure);
    });
  });
}

} // namespace pomelo
