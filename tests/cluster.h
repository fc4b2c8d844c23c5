#ifndef BUCKTHORNSHUNT_TESTS_CLUSTER_H
#define BUCKTHORNSHUNT_TESTS_CLUSTER_H

#include "standins/local_fleet.h"

#include <string>
#include <string_view>

namespace buckthornshunt::tests {

using standins::SentRequestPtr;

/// A fleet whose invariants are checked on destruction.
class Cluster : public standins::LocalFleet
{
public:
  ~Cluster();
};

/// A configuration of the sites "a" and "b" with pools "work" and "spare" of
/// the given numbers of VMs.
std::string
MakeBaseConfig(int aWorkVms, int aSpareVms);

/// A request for the pool "work". Its body makes the stand-in server run for
/// aRunMillis ms and answer with the token.
Request
MakeRequest(std::string_view aOperation,
            std::string_view aToken,
            int aRunMillis);

} // namespace buckthornshunt::tests

#endif
