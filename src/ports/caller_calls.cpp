#include "ports/caller_calls.h"

namespace buckthornshunt {

namespace {

struct JobIdVisitor
{
  std::string_view operator()(const CountQueuedJobs&) const { return {}; }
  template<class Call>
  std::string_view operator()(const Call& aCall) const
  {
    return aCall.mId;
  }
};

} // namespace

std::string_view
JobIdOf(const CallerCall& aCall)
{
  return std::visit(JobIdVisitor{}, aCall);
}

} // namespace buckthornshunt
