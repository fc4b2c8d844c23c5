#ifndef BUCKTHORNSHUNT_TESTS_CLUSTER_H
#define BUCKTHORNSHUNT_TESTS_CLUSTER_H

#include "standins/local_fleet.h"

#include <string>
#include <string_view>

namespace buckthornshunt::tests {

using standins::SentRequestPtr;

/// A fleet whose invariants the test checks at its end.
class Cluster : public standins::LocalFleet
{
public:
  ~Cluster();
};

/// A configuration of the sites "a" and "b" with pools "work" and "spare",
/// whose numbers of VMs are given.
std::string
BaseText(int aWorkVms, int aSpareVms);

/// A request for the pool "work". Bodies ask the stand-in servers to run for
/// a time and to answer to the token.
Request
MakeRequest(std::string_view aOperation,
            std::string_view aToken,
            int aRunMillis);

} // namespace buckthornshunt::tests

#endif
