#pragma once

#include "Operator/Document.h"

#include <optional>
#include <string>

namespace sardinefold::caller {

/// The model and adapter that a caller's model name resolves to.
struct NamedModel
{
  base::ModelId m_model;
  std::optional<base::AdapterId> m_adapter;
  base::Tokens m_contextTokens;
};

/// Finds a model or adapter of a deployment by the name in a caller's request.
std::optional<NamedModel> FindModel(operators::Document const& aDocument,
                                    base::DeploymentId const& aDeployment,
                                    std::string const& aName);

} // namespace sardinefold::caller
