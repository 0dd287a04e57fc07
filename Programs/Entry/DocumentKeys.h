#pragma once

#include "Base/Digest.h"
#include "Caller/Admission.h"
#include "Operator/Document.h"

namespace sardinefold::programs {

/// Verifies keys against the hashes of one document.
class DocumentKeys
{
public:
  explicit DocumentKeys(operators::Document const& aDocument)
  {
    for (auto const& [id, key] : aDocument.m_keys) {
      m_workspaces.emplace(key.m_hash, key.m_workspace);
    }
  }

  tl::expected<base::WorkspaceId, caller::KeyError> Verify(std::string_view aSecret,
                                                           base::Instant) const
  {
    auto const hash = base::Sha256(aSecret);
    auto const found = m_workspaces.lower_bound(hash);
    if (found == m_workspaces.end() || !base::EqualInConstantTime(found->first, hash)) {
      return tl::make_unexpected(caller::KeyError::Invalid);
    }
    return found->second;
  }

private:
  std::map<base::Sha256Value, base::WorkspaceId> m_workspaces;
};

} // namespace sardinefold::programs
