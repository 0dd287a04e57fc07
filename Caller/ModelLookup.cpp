#include "Caller/ModelLookup.h"

namespace sardinefold::caller {

std::optional<NamedModel> FindModel(operators::Document const& aDocument,
                                    base::DeploymentId const& aDeployment, std::string const& aName)
{
  std::optional<base::AdapterId> adapterId;
  auto modelId = base::ModelId::FromValidated(aName);
  auto const adapter = aDocument.m_adapters.find(base::AdapterId::FromValidated(aName));
  if (adapter != aDocument.m_adapters.end()) {
    adapterId = adapter->first;
    modelId = adapter->second.m_model;
  }
  auto const model = aDocument.m_models.find(modelId);
  if (model == aDocument.m_models.end() || model->second.m_deployment != aDeployment) {
    return std::nullopt;
  }
  return NamedModel{ model->first, std::move(adapterId), model->second.m_contextTokens };
}

} // namespace sardinefold::caller
