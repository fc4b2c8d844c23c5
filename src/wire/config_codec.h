#ifndef BUCKTHORNSHUNT_WIRE_CONFIG_CODEC_H
#define BUCKTHORNSHUNT_WIRE_CONFIG_CODEC_H

#include "buckthornshunt/config.h"
#include "wire/json_fields.h"

#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornshunt {

/// A JSON document and the file it came from.
struct Document
{
  std::string mFile;
  Json mJson;
};

/// The operators' files: one base, one overlay a site.
struct ConfigSource
{
  Document mBase;
  std::vector<Document> mOverlays;
};

/// A checked configuration of all sites.
struct FleetConfig
{
  BaseConfig mBase;
  /// By site; every site of the base is there.
  NameMap<SiteConfig> mSites;
};

/// Parses a document; duplicate keys are a fault, unlike in plain JSON.
leaf::result<Json>
ParseDocument(std::string_view aFile, std::string_view aText);

/// Reads and parses a file of at most 8 MiB.
leaf::result<Json>
ReadDocument(const std::filesystem::path& aFile);

/// Reads base.json and overlays/*.json of a directory.
leaf::result<ConfigSource>
ReadConfigSource(const std::filesystem::path& aDirectory);

/// Checks a document against a schema; fails with the first fault.
leaf::result<void>
CheckSchema(const Document& aDocument, std::string_view aSchema);

/// Checks all files and merges them. Every fault found goes to aFaults; the
/// result is of use only if there is none.
FleetConfig
CheckConfig(const ConfigSource& aSource, std::vector<ConfigFailure>& aFaults);

/// Cuts the documents into rows, so that a change writes only what differs.
/// Keys are relative to the configuration's prefix in the table.
NameMap<std::string>
SplitConfig(const ConfigSource& aSource);

/// Puts rows together again; the reverse of SplitConfig.
ConfigSource
JoinConfig(const NameMap<std::string>& aSections);

/// The head row, by whose revision changes of the configuration are ordered.
std::string
EncodeConfigHead(ConfigVersion aVersion);
leaf::result<ConfigVersion>
DecodeConfigHead(std::string_view aText);

} // namespace buckthornshunt

#endif
