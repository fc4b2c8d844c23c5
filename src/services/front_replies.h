#ifndef BUCKTHORNSHUNT_SERVICES_FRONT_REPLIES_H
#define BUCKTHORNSHUNT_SERVICES_FRONT_REPLIES_H

#include "net/http_message.h"
#include "wire/json_fields.h"

namespace buckthornshunt {

constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;

inline HttpReply
JsonReply(const Json& aJson, int aStatus = kStatusOk)
{
  return MakeReply(aStatus, kJsonType, aJson.dump());
}

} // namespace buckthornshunt

#endif
