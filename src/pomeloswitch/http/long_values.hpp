//! Header field values that are longer than the HTTP library's container holds.
#ifndef POMELOSWITCH_HTTP_LONG_VALUES_HPP
#define POMELOSWITCH_HTTP_LONG_VALUES_HPP

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/verb.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace pomelo {

//! Length up to which boost::beast::http::basic_fields holds a field's name and
//! its value; it throws std::length_error for a longer one.
inline constexpr std::size_t MaxFieldBytes = 65533;

//! Long values of one message. In its fields each is replaced by a placeholder,
//! so that what selects, drops or compares fields treats it like any other.
class long_values {
public:
  //! Stores \p Value and returns its placeholder. Equal values have the same
  //! one. No value of a parsed message is equal to a placeholder, which has a
  //! control character.
  std::string add(std::string_view Value);

  //! Returns the value that \p Text stands for, or \p Text itself.
  [[nodiscard]] std::string_view resolve(std::string_view Text) const;

private:
  std::map<std::string, std::string, std::less<>> Values; //!< By placeholder.
};

//! The fields of a request that is written with its long values in full.
class relayed_fields : public boost::beast::http::fields {
public:
  //! Serializes the header, as the library's Fields concept requires.
  class writer;

  //! \p Values must outlive this object.
  void setLongValues(const long_values &Values) { LongValues = &Values; }

private:
  const long_values *LongValues = nullptr; //!< Null if there are none.
};

class relayed_fields::writer {
public:
  using const_buffers_type = boost::asio::const_buffer;

  writer(const relayed_fields &Fields, unsigned Version,
         boost::beast::http::verb Method);
  [[nodiscard]] const_buffers_type get() const {
    return {Text.data(), Text.size()};
  }

private:
  std::string Text;
};

} // namespace pomelo

#endif
