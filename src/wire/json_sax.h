#ifndef BUCKTHORNSHUNT_WIRE_JSON_SAX_H
#define BUCKTHORNSHUNT_WIRE_JSON_SAX_H

#include <nlohmann/json.hpp>

namespace buckthornshunt {

/// SAX handler that accepts and ignores every value and key. Derived handlers
/// hide the functions of the events they process.
struct DefaultSaxHandler
{
  using Base = nlohmann::json;
  using number_integer_t = Base::number_integer_t;
  using number_unsigned_t = Base::number_unsigned_t;
  using number_float_t = Base::number_float_t;
  using string_t = Base::string_t;
  using binary_t = Base::binary_t;

  bool null() { return true; }
  bool boolean(bool) { return true; }
  bool number_integer(number_integer_t) { return true; }
  bool number_unsigned(number_unsigned_t) { return true; }
  bool number_float(number_float_t, const string_t&) { return true; }
  bool string(string_t&) { return true; }
  bool binary(binary_t&) { return true; }
  bool key(string_t&) { return true; }
};

} // namespace buckthornshunt

#endif
