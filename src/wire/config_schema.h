#ifndef BUCKTHORNSHUNT_WIRE_CONFIG_SCHEMA_H
#define BUCKTHORNSHUNT_WIRE_CONFIG_SCHEMA_H

#include <string_view>

namespace buckthornshunt {

/// JSON schema of the base configuration file.
extern const std::string_view kBaseSchema;

/// JSON schema of a site's overlay file.
extern const std::string_view kOverlaySchema;

/// JSON schema of a daemon's settings file.
extern const std::string_view kSettingsSchema;

} // namespace buckthornshunt

#endif
