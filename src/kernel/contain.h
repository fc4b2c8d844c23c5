#ifndef BUCKTHORNSHUNT_KERNEL_CONTAIN_H
#define BUCKTHORNSHUNT_KERNEL_CONTAIN_H

#include "kernel/log.h"
#include "kernel/task.h"

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>

#include <exception>
#include <optional>
#include <string_view>
#include <utility>

namespace buckthornshunt {

/// Runs the task of one request. An unexpected exception is logged and ends
/// only this request, with nullopt; a cancellation propagates. aPart must be a
/// string literal, since it isn't copied.
template<class Value>
Task<std::optional<Value>>
ContainFailure(std::string_view aPart, Task<Value> aTask)
{
  try {
    Value value = co_await std::move(aTask);
    co_return std::optional<Value>(std::move(value));
  } catch (const boost::system::system_error& error) {
    if (error.code() == asio::error::operation_aborted) {
      throw;
    }
    LogError(aPart, "request failed unexpectedly: {}", error.what());
  } catch (const std::exception& error) {
    LogError(aPart, "request failed unexpectedly: {}", error.what());
  }
  co_return std::nullopt;
}

} // namespace buckthornshunt

#endif
