#include "StandIns/Common/FaultSwitches.h"

#include <utility>

namespace sardinefold::standins {

void FaultSwitches::AddFlag(std::string aName, bool& aValue)
{
  m_switches.emplace(std::move(aName), &aValue);
}

void FaultSwitches::AddCount(std::string aName, std::uint64_t& aValue)
{
  m_switches.emplace(std::move(aName), &aValue);
}

void FaultSwitches::AddMilliseconds(std::string aName, base::Duration& aValue)
{
  m_switches.emplace(std::move(aName), &aValue);
}

void FaultSwitches::AddText(std::string aName, std::string& aValue)
{
  m_switches.emplace(std::move(aName), &aValue);
}

void FaultSwitches::AddAction(std::string aName, std::function<void()> aAction)
{
  m_switches.emplace(std::move(aName), std::move(aAction));
}

tl::expected<void, std::string> FaultSwitches::Check(Switch const& aSwitch,
                                                     Json::Value const& aValue)
{
  if (std::holds_alternative<bool*>(aSwitch) || std::holds_alternative<Action>(aSwitch)) {
    if (!aValue.isBool()) {
      return tl::make_unexpected("must be true or false");
    }
  } else if (std::holds_alternative<std::string*>(aSwitch)) {
    if (!aValue.isString()) {
      return tl::make_unexpected("must be a string");
    }
  } else if (!aValue.isUInt64()) {
    return tl::make_unexpected("must be a whole number from 0 on");
  }
  return {};
}

void FaultSwitches::Set(Switch const& aSwitch, Json::Value const& aValue)
{
  if (auto* const* flag = std::get_if<bool*>(&aSwitch)) {
    **flag = aValue.asBool();
  } else if (auto* const* count = std::get_if<std::uint64_t*>(&aSwitch)) {
    **count = aValue.asUInt64();
  } else if (auto* const* time = std::get_if<base::Duration*>(&aSwitch)) {
    **time = std::chrono::milliseconds(aValue.asInt64());
  } else if (auto* const* text = std::get_if<std::string*>(&aSwitch)) {
    **text = aValue.asString();
  } else if (aValue.asBool()) {
    std::get<Action>(aSwitch)();
  }
}

tl::expected<void, std::string> FaultSwitches::Apply(Json::Value const& aObject)
{
  if (!aObject.isObject()) {
    return tl::make_unexpected("the body must be a JSON object");
  }
  for (auto const& name : aObject.getMemberNames()) {
    auto const found = m_switches.find(name);
    if (found == m_switches.end()) {
      return tl::make_unexpected("field \"" + name + "\" is not a fault of this stand-in");
    }
    if (auto const checked = Check(found->second, aObject[name]); !checked) {
      return tl::make_unexpected("field \"" + name + "\" " + checked.error());
    }
  }
  for (auto const& name : aObject.getMemberNames()) {
    Set(m_switches.at(name), aObject[name]);
  }
  return {};
}

Json::Value FaultSwitches::Render() const
{
  Json::Value object(Json::objectValue);
  for (auto const& [name, one] : m_switches) {
    if (auto* const* flag = std::get_if<bool*>(&one)) {
      object[name] = **flag;
    } else if (auto* const* count = std::get_if<std::uint64_t*>(&one)) {
      object[name] = Json::Value::UInt64(**count);
    } else if (auto* const* time = std::get_if<base::Duration*>(&one)) {
      object[name] = Json::Value::Int64(base::ToMilliseconds(**time));
    } else if (auto* const* text = std::get_if<std::string*>(&one)) {
      object[name] = **text;
    }
  }
  return object;
}

} // namespace sardinefold::standins
