#define BOOST_TEST_MODULE Document
#include "Base/Json.h"
#include "Operator/DocumentCheck.h"
#include "Operator/DocumentCodec.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>

using namespace sardinefold;
using namespace sardinefold::operators;

namespace {

std::string ReadFile(std::string const& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

Json::Value Demo()
{
  return *base::ParseJson(ReadFile("docs/examples/demo.json"));
}

DocumentProblems ProblemsOf(Json::Value const& aRoot)
{
  auto const parsed = ParseDocument(base::RenderJson(aRoot));
  return parsed ? DocumentProblems{} : parsed.error();
}

/// Returns whether there is exactly one problem, with the given path and text.
bool HasOnly(DocumentProblems const& aProblems, std::string const& aPath, std::string const& aText)
{
  BOOST_TEST_MESSAGE(ToText(aProblems));
  return aProblems.size() == 1 && aProblems[0].m_path == aPath &&
         aProblems[0].m_message.find(aText) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(ExamplesAreValidAndHaveTheSizesOfTheDeployments)
{
  auto const almaty = ParseDocument(ReadFile("docs/examples/almaty.json"));
  BOOST_REQUIRE(almaty);
  BOOST_TEST(almaty->m_models.size() == 50U);
  BOOST_TEST(almaty->m_adapters.size() == 40U);
  BOOST_TEST(almaty->m_upstreams.size() == 14U);
  BOOST_TEST(almaty->m_workspaces.size() == 5U);
  auto const bavaria = ParseDocument(ReadFile("docs/examples/bavaria.json"));
  BOOST_REQUIRE(bavaria);
  BOOST_TEST(bavaria->m_models.size() == 100U);
  BOOST_TEST(bavaria->m_adapters.size() == 100U);
  BOOST_TEST(bavaria->m_upstreams.size() == 23U);
  BOOST_TEST(bavaria->m_workspaces.size() == 5U);
}

BOOST_AUTO_TEST_CASE(RenderingAndParsingGivesTheSameDocument)
{
  auto const document = ParseDocument(ReadFile("docs/examples/bavaria.json"));
  BOOST_REQUIRE(document);
  auto const text = RenderDocument(*document);
  auto const reparsed = ParseDocument(text);
  BOOST_REQUIRE(reparsed);
  BOOST_TEST(RenderDocument(*reparsed) == text);
}

BOOST_AUTO_TEST_CASE(ReportsEveryWrongFieldAtItsPath)
{
  auto root = Demo();
  root["models"]["briefing"]["weights_bytes"] = "14 GB";
  root["routes"]["orders"]["class"] = "urgent";
  root["workspaces"]["marshals"].removeMember("burst_tokens");
  root["keys"]["marshals-demo"]["sha256"] = "the-key-itself";
  root["surprise"] = 1;
  auto const problems = ProblemsOf(root);
  BOOST_REQUIRE(problems.size() == 5U);
  BOOST_TEST(problems[0].m_path == "/models/briefing/weights_bytes");
  BOOST_TEST(problems[0].m_message.find("got \"14 GB\"") != std::string::npos);
  BOOST_TEST(problems[1].m_path == "/workspaces/marshals/burst_tokens");
  BOOST_TEST(problems[2].m_path == "/keys/marshals-demo/sha256");
  BOOST_TEST(problems[2].m_message.find("the-key-itself") == std::string::npos);
  BOOST_TEST(problems[3].m_path == "/routes/orders/class");
  BOOST_TEST(problems[3].m_message.find("\"interactive\"") != std::string::npos);
  BOOST_TEST(problems[4].m_path == "/surprise");
}

BOOST_AUTO_TEST_CASE(RefusesWrongTypesEverywhere)
{
  auto const original = Demo();
  for (auto const& section : original.getMemberNames()) {
    if (!original[section].isObject()) {
      continue;
    }
    for (auto const& name : original[section].getMemberNames()) {
      for (auto const& field : original[section][name].getMemberNames()) {
        auto root = original;
        root[section][name][field] = Json::Value(Json::arrayValue);
        std::string path = "/" + section;
        path.append("/").append(name).append("/").append(field);
        BOOST_TEST(HasOnly(ProblemsOf(root), path, "an array"));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(RefusesUnknownReferences)
{
  auto root = Demo();
  root["keys"]["marshals-demo"]["workspace"] = "nobody";
  BOOST_TEST(HasOnly(ProblemsOf(root), "/keys/marshals-demo/workspace", "\"nobody\""));
  root = Demo();
  root["adapters"]["briefing-kazakh"]["model"] = "absent";
  BOOST_TEST(HasOnly(ProblemsOf(root), "/adapters/briefing-kazakh/model", "\"absent\""));
  root = Demo();
  root["routes"]["orders"]["deployment"] = "absent";
  BOOST_TEST(HasOnly(ProblemsOf(root), "/routes/orders/deployment", "\"absent\""));
}

BOOST_AUTO_TEST_CASE(RefusesValuesBeyondCapacity)
{
  auto root = Demo();
  root["models"]["briefing"]["weights_bytes"] = Json::Int64(39'000'000'000);
  auto const problems = ProblemsOf(root);
  BOOST_REQUIRE(problems.size() == 2U); // the model, and its adapter
  BOOST_TEST(problems[0].m_path == "/models/briefing/weights_bytes");
  root = Demo();
  root["models"]["briefing"]["maximum_replicas"] = 3;
  BOOST_TEST(HasOnly(ProblemsOf(root), "/models/briefing/maximum_replicas", "at most 2"));
  root = Demo();
  root["workspaces"]["marshals"]["burst_tokens"] = 8191;
  BOOST_TEST(HasOnly(ProblemsOf(root), "/workspaces/marshals/burst_tokens", "8192"));
  root = Demo();
  root["models"]["briefing"]["minimum_replicas"] = 2;
  root["models"]["briefing"]["weights_bytes"] = Json::Int64(30'000'000'000);
  root["models"]["care-report"]["minimum_replicas"] = 1;
  BOOST_TEST(HasOnly(ProblemsOf(root), "/models/care-report/minimum_replicas", "engines have"));
}

BOOST_AUTO_TEST_CASE(RefusesAmbiguousNamesHostsKeysAndPaths)
{
  auto root = Demo();
  root["adapters"]["briefing"] = root["adapters"]["briefing-kazakh"];
  BOOST_TEST(HasOnly(ProblemsOf(root), "/adapters/briefing/model", "adapter's name"));
  root = Demo();
  root["upstreams"]["booking-01"]["host"] = "engine-1";
  BOOST_TEST(ProblemsOf(root).size() == 1U);
  root = Demo();
  root["keys"]["curtains-demo"]["sha256"] = root["keys"]["marshals-demo"]["sha256"];
  BOOST_TEST(HasOnly(ProblemsOf(root), "/keys/marshals-demo/sha256", "same value"));
  root = Demo();
  root["routes"]["orders"]["path_prefix"] = "/operator/x";
  BOOST_TEST(HasOnly(ProblemsOf(root), "/routes/orders/path_prefix", "would hide"));
  root = Demo();
  root["routes"]["orders"]["path_prefix"] = root["routes"]["status"]["path_prefix"];
  BOOST_TEST(HasOnly(ProblemsOf(root), "/routes/status/path_prefix", "same prefix"));
}

BOOST_AUTO_TEST_CASE(RefusesHostileText)
{
  BOOST_TEST(!ParseDocument(""));
  BOOST_TEST(!ParseDocument("[]"));
  BOOST_TEST(!ParseDocument("{\"environment\":\"a\",\"environment\":\"b\"}"));
  BOOST_TEST(!ParseDocument(std::string(100'000, '[')));
  BOOST_TEST(!ParseDocument("{\"environment\":\"a b\"}"));
  BOOST_TEST(!ParseDocument("{\"environment\":\"a\",\"version\":-1}"));
  BOOST_TEST(!ParseDocument("{\"environment\":\"a\",\"version\":1.5}"));
  BOOST_TEST(!ParseDocument("{\"environment\":\"a\",\"version\":99999999999999999999}"));
}

BOOST_AUTO_TEST_CASE(SchemaNamesExactlyTheFieldsThatAreWritten)
{
  auto const schema = *base::ParseJson(ReadFile("docs/schema/document.schema.json"));
  auto const document = ParseDocument(ReadFile("docs/examples/almaty.json"));
  BOOST_REQUIRE(document);
  auto const written = *base::ParseJson(RenderDocument(*document));
  BOOST_TEST(written.getMemberNames() == schema["properties"].getMemberNames());
  for (auto const& section : written.getMemberNames()) {
    if (!written[section].isObject()) {
      continue;
    }
    auto const& entry = *written[section].begin();
    auto const& properties = schema["properties"][section]["additionalProperties"]["properties"];
    BOOST_TEST(entry.getMemberNames() == properties.getMemberNames());
  }
}
