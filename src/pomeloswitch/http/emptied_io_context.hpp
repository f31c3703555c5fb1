//! An I/O context that can be emptied before it is destroyed.
#ifndef POMELOSWITCH_HTTP_EMPTIED_IO_CONTEXT_HPP
#define POMELOSWITCH_HTTP_EMPTIED_IO_CONTEXT_HPP

#include <boost/asio/io_context.hpp>

namespace pomelo {

//! For an owner whose members are used by pending operations: shutdown()
//! destroys these ahead of the members. Call it after the last run().
class emptied_io_context : public boost::asio::io_context {
public:
  using boost::asio::execution_context::shutdown;
  using boost::asio::io_context::io_context;
};

} // namespace pomelo

#endif
