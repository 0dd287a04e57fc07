#include "Operator/ServingCatalog.h"

#include "Base/Digest.h"

#include <sstream>

namespace sardinefold::operators {

std::uint64_t EngineSpecsDigest(ServingCatalog const& aCatalog)
{
  std::ostringstream text;
  for (auto const& [id, deployment] : aCatalog.m_deployments) {
    if (!deployment.m_engine) {
      continue;
    }
    auto const& engine = *deployment.m_engine;
    text << id.Text() << ' ' << engine.m_concurrency << ' ' << engine.m_cacheTokens.Value() << ' '
         << engine.m_weights.Value() << ' ' << engine.m_adapterSlots << '\n';
    for (auto const& [model, spec] : engine.m_models) {
      text << model.Text() << ' ' << spec.m_weights.Value() << ' ' << spec.m_adapterWeights.Value()
           << ' ' << spec.m_loadFromStore.count() << ' ' << spec.m_loadFromMemory.count() << ' '
           << spec.m_loadFromDisk.count() << '\n';
    }
  }
  return base::FastHash(text.str());
}

} // namespace sardinefold::operators
