#pragma once

#include "Base/Digest.h"
#include "Base/Identifier.h"
#include "Operator/DocumentProblem.h"

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace sardinefold::operators {

/// Inclusive bounds of an integer.
struct IntegerRange
{
  std::int64_t m_minimum;
  std::int64_t m_maximum;
};

/// Reads the fields of one JSON object and reports invalid ones; Finish() reports
/// the fields that were not read. An invalid field reads as a placeholder value,
/// so that reading continues and finds every problem.
class ObjectReader
{
public:
  ObjectReader(Json::Value const& aValue, std::string aPath, DocumentProblems& aProblems);

  template<typename Id>
  Id ReadId(std::string const& aName)
  {
    auto const text = ReadText(aName);
    return text ? CheckId<Id>(*text, FieldPath(aName)) : Id();
  }

  /// Checks the name of a member of this object as an identifier.
  template<typename Id>
  Id MemberId(std::string const& aMember)
  {
    return CheckId<Id>(aMember, FieldPath(aMember));
  }

  /// A field without a default is required.
  std::int64_t ReadInteger(std::string const& aName, IntegerRange aRange,
                           std::optional<std::int64_t> aDefault = std::nullopt);
  double ReadPositiveNumber(std::string const& aName, double aMaximum);
  bool ReadFlag(std::string const& aName, bool aDefault);
  std::optional<std::string> ReadText(std::string const& aName);
  base::Sha256Value ReadSha256(std::string const& aName);
  /// Returns the index within aChoices; 0 if the field is invalid.
  std::size_t ReadChoice(std::string const& aName, std::span<std::string_view const> aChoices,
                         std::optional<std::size_t> aDefault = std::nullopt);
  /// Returns the object of this name, or an empty one if it is absent.
  Json::Value const& ReadObject(std::string const& aName);

  std::string FieldPath(std::string const& aName) const;
  void Report(std::string const& aName, std::string aMessage);
  /// Reports the fields that were not read.
  void Finish();

private:
  template<typename Id>
  Id CheckId(std::string const& aText, std::string const& aPath)
  {
    auto id = Id::Create(aText);
    if (!id) {
      m_problems.push_back({ aPath, "the name " + std::string(ToText(id.error())) });
      return Id();
    }
    return *id;
  }

  /// Returns null if the field is absent, and reports this if it is required.
  Json::Value const* Find(std::string const& aName, bool aIsRequired);
  void ReportType(std::string const& aName, std::string const& aExpected,
                  Json::Value const& aFound);

  Json::Value const& m_value;
  std::string m_path;
  DocumentProblems& m_problems;
  std::set<std::string> m_read;
};

} // namespace sardinefold::operators
