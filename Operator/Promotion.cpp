#include "Operator/Promotion.h"

#include "Operator/DocumentCheck.h"

#include <utility>

namespace sardinefold::operators {

tl::expected<Document, DocumentProblems> Promote(Document const& aSource, Document const& aTarget)
{
  auto result = aTarget;
  result.m_models = aSource.m_models;
  result.m_adapters = aSource.m_adapters;
  result.m_workspaces = aSource.m_workspaces;
  result.m_routes = aSource.m_routes;
  auto problems = CheckDocument(result);
  if (!problems.empty()) {
    return tl::make_unexpected(std::move(problems));
  }
  return result;
}

} // namespace sardinefold::operators
