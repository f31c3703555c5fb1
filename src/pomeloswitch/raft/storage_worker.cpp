#include "pomeloswitch/raft/storage_worker.hpp"

#include <boost/asio/post.hpp>

#include <exception>

namespace pomelo {

storage_worker::storage_worker(boost::asio::io_context &Io, storage_opener Open,
                               completion Done)
    : Io(Io), Opener(std::move(Open)), Done(std::move(Done)) {}

storage_worker::~storage_worker() { Thread.join(); }

stored_state storage_worker::open() {
  Storage.reset(); // It holds the lock of the folder.
  Storage = Opener();
  return Storage->load();
}

void storage_worker::reopen(opened Reopened) {
  Busy = true;
  boost::asio::post(Thread, [this, Reopened = std::move(Reopened)] {
    std::optional<stored_state> Stored;
    std::string Failure;
    try {
      Stored = open();
    } catch (const std::exception &Error) {
      Failure = Error.what();
    }
    boost::asio::post(Io, [this, Owner = std::weak_ptr<void>(Alive), Reopened,
                           Stored = std::move(Stored), Failure]() mutable {
      if (Owner.expired())
        return;
      Busy = false;
      Reopened(std::move(Stored), Failure);
    });
  });
}

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
    boost::asio::post(
        Io, [this, Owner = std::weak_ptr<void>(Alive), Batch, Failure] {
          if (Owner.expired())
            return;
          Busy = false;
          Done(*Batch, Failure);
        });
  });
}

} // namespace pomelo
