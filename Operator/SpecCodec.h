#pragma once

#include "Operator/Document.h"
#include "Operator/ObjectReaderCodec.h"

#include <json/value.h>

#include <string>

namespace sardinefold::operators {

/// Reads one entry of a section of the document. Invalid fields are added to the
/// reader's problems.
template<typename Spec>
Spec ReadSpec(ObjectReader& aReader);

template<>
ModelSpec ReadSpec<ModelSpec>(ObjectReader& aReader);
template<>
AdapterSpec ReadSpec<AdapterSpec>(ObjectReader& aReader);
template<>
WorkspaceSpec ReadSpec<WorkspaceSpec>(ObjectReader& aReader);
template<>
KeySpec ReadSpec<KeySpec>(ObjectReader& aReader);
template<>
UpstreamSpec ReadSpec<UpstreamSpec>(ObjectReader& aReader);
template<>
RouteSpec ReadSpec<RouteSpec>(ObjectReader& aReader);

/// Writes an entry without its name. All fields are written, including those with
/// default values, so that equal entries have equal text.
Json::Value WriteSpec(ModelSpec const& aSpec);
Json::Value WriteSpec(AdapterSpec const& aSpec);
Json::Value WriteSpec(WorkspaceSpec const& aSpec);
Json::Value WriteSpec(KeySpec const& aSpec);
Json::Value WriteSpec(UpstreamSpec const& aSpec);
Json::Value WriteSpec(RouteSpec const& aSpec);

/// Calls aVisit(name, section) for each section of a document, in the order in
/// which they are written.
template<typename AnyDocument, typename Visit>
void ForEachSection(AnyDocument& aDocument, Visit aVisit)
{
  aVisit("models", aDocument.m_models);
  aVisit("adapters", aDocument.m_adapters);
  aVisit("workspaces", aDocument.m_workspaces);
  aVisit("keys", aDocument.m_keys);
  aVisit("upstreams", aDocument.m_upstreams);
  aVisit("routes", aDocument.m_routes);
}

/// Reads the members of a JSON object into a section.
template<typename Id, typename Spec>
void ReadSection(Json::Value const& aObject, std::string const& aPath, DocumentProblems& aProblems,
                 std::map<Id, Spec>& aSection)
{
  ObjectReader names(aObject, aPath, aProblems);
  for (auto const& name : aObject.getMemberNames()) {
    auto const id = names.MemberId<Id>(name);
    ObjectReader fields(aObject[name], names.FieldPath(name), aProblems);
    Spec spec = ReadSpec<Spec>(fields);
    fields.Finish();
    spec.m_id = id;
    aSection.insert_or_assign(id, std::move(spec));
  }
}

} // namespace sardinefold::operators
