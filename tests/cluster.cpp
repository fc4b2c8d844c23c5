#include "cluster.h"

#include "wire/json_fields.h"

#include <doctest/doctest.h>

namespace buckthornshunt::tests {

Cluster::~Cluster()
{
  for (const std::string& violation : Violations()) {
    FAIL_CHECK(violation);
  }
}

std::string
MakeBaseConfig(int aWorkVms, int aSpareVms)
{
  Json operations{ { "short", { { "idempotent", true } } },
                   { "long", { { "idempotent", true } } },
                   { "urgent", { { "idempotent", true }, { "urgent", true } } },
                   { "invoice", { { "idempotent", false } } } };
  Json base{
    { "format", 1 },
    { "spare_pool", "spare" },
    { "sites", { { "a", { { "vms", 40 } } }, { "b", { { "vms", 40 } } } } },
    { "pools",
      { { "work", { { "vms", aWorkVms }, { "operations", operations } } },
        { "spare", { { "vms", aSpareVms } } } } }
  };
  return base.dump();
}

Request
MakeRequest(std::string_view aOperation,
            std::string_view aToken,
            int aRunMillis)
{
  Request request;
  request.mPool = "work";
  request.mOperation = aOperation;
  request.mKey = aToken;
  request.mIdempotency = Idempotency::Idempotent;
  request.mBody = Json{ { "token", aToken }, { "run_ms", aRunMillis } }.dump();
  request.mTraceId = 1;
  return request;
}

} // namespace buckthornshunt::tests
