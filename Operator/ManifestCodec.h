#pragma once

#include "Operator/DocumentProblem.h"
#include "Operator/Version.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace sardinefold::operators {

Json::Value WriteVersionRecord(VersionRecord const& aRecord);
/// Problems are reported with paths below aPath.
tl::expected<VersionRecord, DocumentProblems> ReadVersionRecord(Json::Value const& aValue,
                                                                std::string const& aPath);

std::string RenderManifest(Manifest const& aManifest);
/// Rejects a manifest without versions or whose versions do not increase.
tl::expected<Manifest, DocumentProblems> ParseManifest(std::string_view aText);

} // namespace sardinefold::operators
