#include "ObjectStore/CallPurpose.h"

namespace sardinefold::objectstore {

std::string_view ToText(CallPurpose aPurpose)
{
  switch (aPurpose) {
    case CallPurpose::Claim:
      return "claim";
    case CallPurpose::Fencing:
      return "fencing";
    case CallPurpose::Allowance:
      return "allowance";
    case CallPurpose::Configuration:
      return "configuration";
    case CallPurpose::Placement:
      return "placement";
    case CallPurpose::Membership:
      return "membership";
    case CallPurpose::Status:
      return "status";
  }
  return "";
}

} // namespace sardinefold::objectstore
