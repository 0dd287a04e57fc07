#pragma once

#include "Operator/DocumentProblem.h"
#include "Operator/Version.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace sardinefold::operators {

Json::Value WriteVersionRecord(VersionRecord const& aRecord);
/// Problems are reported under the path given.
tl::expected<VersionRecord, DocumentProblems> ReadVersionRecord(Json::Value const& aValue,
                                                                std::string const& aPath);

std::string RenderManifest(Manifest const& aManifest);
/// Refuses a manifest without versions, or whose versions do not go up.
tl::expected<Manifest, DocumentProblems> ParseManifest(std::string_view aText);

} // namespace sardinefold::operators
