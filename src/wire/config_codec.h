#ifndef BUCKTHORNSHUNT_WIRE_CONFIG_CODEC_H
#define BUCKTHORNSHUNT_WIRE_CONFIG_CODEC_H

#include "buckthornshunt/config.h"
#include "wire/json_fields.h"

#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// A JSON document and the path of its file.
struct Document
{
  std::string mFile;
  Json mJson;
};

/// The operators' configuration files: one base and at most one overlay per
/// site.
struct ConfigSource
{
  Document mBase;
  std::vector<Document> mOverlays;
};

/// The merged configuration of all sites.
struct FleetConfig
{
  BaseConfig mBase;
  /// By site name; contains every site of the base.
  NameMap<SiteConfig> mSites;
};

/// Parses JSON text; fails with ConfigFailure, also for duplicate keys, which
/// plain JSON permits.
leaf::result<Json>
ParseDocument(std::string_view aFile, std::string_view aText);

/// Reads and parses a file of at most 8 MiB; fails with ConfigFailure.
leaf::result<Json>
ReadDocument(const std::filesystem::path& aFile);

/// Reads base.json and overlays/*.json of a directory; fails with
/// ConfigFailure.
leaf::result<ConfigSource>
ReadConfigSource(const std::filesystem::path& aDirectory);

/// Validates a document against a JSON schema; fails with ConfigFailure for
/// the most deeply nested error.
leaf::result<void>
CheckSchema(const Document& aDocument, std::string_view aSchema);

/// Validates and merges all files. Appends every fault to aFaults; the result
/// is valid only if there is none.
FleetConfig
CheckConfig(const ConfigSource& aSource, std::vector<ConfigFailure>& aFaults);

/// Splits the documents into rows, so that a change writes only the rows that
/// differ. Keys are relative to the configuration's prefix in the table.
NameMap<std::string>
SplitConfig(const ConfigSource& aSource);

/// Inverse of SplitConfig.
ConfigSource
JoinConfig(const NameMap<std::string>& aSections);

/// The head row, whose revision orders configuration changes.
/// DecodeConfigHead fails with MessageFailure.
std::string
EncodeConfigHead(ConfigVersion aVersion);
leaf::result<ConfigVersion>
DecodeConfigHead(std::string_view aText);

} // namespace buckthornshunt

#endif
