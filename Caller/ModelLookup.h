#pragma once

#include "Operator/Document.h"

#include <optional>
#include <string>

namespace sardinefold::caller {

/// What a caller's model name stands for.
struct NamedModel
{
  base::ModelId m_model;
  std::optional<base::AdapterId> m_adapter;
  base::Tokens m_contextTokens;
};

/// Finds a model or adapter of a deployment by the name a caller gives.
std::optional<NamedModel> FindModel(operators::Document const& aDocument,
                                    base::DeploymentId const& aDeployment,
                                    std::string const& aName);

} // namespace sardinefold::caller
