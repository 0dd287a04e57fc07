#define BOOST_TEST_MODULE CatalogCheck
#include "Operator/CatalogCheck.h"

#include "Base/Json.h"
#include "Operator/CatalogDifference.h"
#include "platform/ConfigurationFile.h"
#include "Programs/Check/CheckReport.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>

using namespace sardinefold;
using namespace sardinefold::operators;
using platform::ConfigurationFile;

namespace {

constexpr char kConfiguration[] = R"({
  "version": 7,
  "routes": [
    {"name": "chat", "host": "site.example", "pathPrefix": "/chat/", "kind": "streaming",
     "timeoutMs": 15000, "goalMs": 600, "service": "llm", "maxAttempts": 2, "resumable": true},
    {"name": "book", "host": "site.example", "pathPrefix": "/book/", "kind": "unsafe",
     "timeoutMs": 800, "goalMs": 150,
     "split": [{"service": "desk", "weight": 90}, {"service": "llm", "weight": 10}]}],
  "services": [
    {"name": "llm", "engine": {"slots": 64, "weightsMb": 220000.0,
                               "models": [{"name": "m1", "weightsMb": 65000.0}]}},
    {"name": "desk"}],
  "tenants": [
    {"name": "t1", "apiKeys": ["secret-1", "secret-2"], "unit": "token_stream",
     "plainTokens": 200, "ratePerS": 100, "burst": 300},
    {"name": "t2", "apiKeys": ["secret-3"]}],
  "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000,
             "idleTimeoutMs": 15000}})";

Json::Value Root()
{
  return *base::ParseJson(kConfiguration);
}

ServingCatalog ToCatalog(Json::Value const& aRoot)
{
  auto catalog = ConfigurationFile::Decode(base::RenderJson(aRoot));
  BOOST_REQUIRE_MESSAGE(catalog, (catalog ? "" : catalog.error()));
  return std::move(*catalog);
}

/// One mistake and the finding that it has to give.
struct Mistake
{
  std::function<void(Json::Value&)> m_make;
  FindingSeverity m_severity;
  CatalogSection m_section;
  std::string m_entry;
  std::string m_part;
};

std::vector<Mistake> Mistakes()
{
  using Section = CatalogSection;
  constexpr auto kError = FindingSeverity::Error;
  constexpr auto kWarning = FindingSeverity::Warning;
  return {
    { [](auto& aRoot) { aRoot["routes"][1]["pathPrefix"] = "/chat/"; }, kWarning, Section::Routes,
      "book", "never matches" },
    { [](auto& aRoot) {
       aRoot["routes"][1]["pathPrefix"] = "/chat/";
       aRoot["routes"][1]["host"] = "SITE.example";
     },
      kWarning, Section::Routes, "book", "never matches" },
    { [](auto& aRoot) {
       aRoot["routes"][1]["pathPrefix"] = "/chat/";
       aRoot["routes"][1]["host"] = "site.example:80";
     },
      kWarning, Section::Routes, "book", "never matches" },
    { [](auto& aRoot) { aRoot["tenants"][0]["ratePerS"] = 9e15; }, kError, Section::Workspaces,
      "t1", "too large" },
    { [](auto& aRoot) { aRoot["limits"]["bodyBytes"] = Json::Int64(9'000'000'000'000'000'000); },
      kWarning, Section::Limits, "", "no room" },
    { [](auto& aRoot) { aRoot["routes"][1]["pathPrefix"] = "book/"; }, kError, Section::Routes,
      "book", "no request matches" },
    { [](auto& aRoot) { aRoot["routes"][1]["split"][1]["service"] = "gone"; }, kError,
      Section::Routes, "book", "\"gone\" does not exist" },
    { [](auto& aRoot) { aRoot["routes"][1]["split"][1]["weight"] = 0; }, kWarning, Section::Routes,
      "book", "has no weight" },
    { [](auto& aRoot) { aRoot["routes"][0]["goalMs"] = 20000; }, kWarning, Section::Routes, "chat",
      "before its goal" },
    { [](auto& aRoot) { aRoot["routes"][0]["timeoutMs"] = 0; }, kError, Section::Routes, "chat",
      "no time" },
    { [](auto& aRoot) { aRoot["routes"][0]["maxAttempts"] = 0; }, kError, Section::Routes, "chat",
      "no upstream" },
    { [](auto& aRoot) { aRoot["routes"][1]["resumable"] = true; }, kWarning, Section::Routes,
      "book", "no effect" },
    { [](auto& aRoot) { aRoot["services"][2]["name"] = "spare"; }, kWarning, Section::Deployments,
      "spare", "no route" },
    { [](auto& aRoot) { aRoot["services"][0]["engine"]["models"][0]["weightsMb"] = 300000; },
      kError, Section::Deployments, "llm", "more memory" },
    { [](auto& aRoot) { aRoot["tenants"][1]["apiKeys"][0] = "secret-1"; }, kError,
      Section::Workspaces, "t2", "\"t1\" holds one of its keys" },
    { [](auto& aRoot) { aRoot["tenants"][1]["apiKeys"].clear(); }, kWarning, Section::Workspaces,
      "t2", "nobody can use it" },
    { [](auto& aRoot) { aRoot["tenants"][0]["burst"] = 100; }, kWarning, Section::Workspaces, "t1",
      "smaller than one request" },
    { [](auto& aRoot) { aRoot["tenants"][1]["burst"] = 100; }, kWarning, Section::Workspaces, "t2",
      "without a rate" },
    { [](auto& aRoot) { aRoot["routes"][0]["homeRegions"][0] = "moon"; }, kError, Section::Routes,
      "chat", "none of its home regions" },
    { [](auto& aRoot) {
       aRoot["routes"][0]["homeRegions"][0] = "north";
       aRoot["tenants"][0]["homeRegions"][0] = "south";
     },
      kWarning, Section::Workspaces, "t1", "refused" },
    { [](auto& aRoot) { aRoot["limits"]["bodyBytes"] = 100'000'000; }, kWarning, Section::Limits,
      "", "no room" },
    { [](auto& aRoot) { aRoot["limits"]["idleTimeoutMs"] = 0; }, kError, Section::Limits, "",
      "no time" },
  };
}

SiteCapacity Site()
{
  return { { *base::RegionId::Create("north"), *base::RegionId::Create("south") },
           base::Bytes(64 * 1024 * 1024) };
}

} // namespace

BOOST_AUTO_TEST_CASE(AConsistentConfigurationHasNoFindings)
{
  BOOST_TEST(CheckCatalog(ToCatalog(Root()), Site()).empty());
}

BOOST_AUTO_TEST_CASE(EachMistakeGivesItsFindingAndNoOther)
{
  for (auto const& mistake : Mistakes()) {
    auto root = Root();
    mistake.m_make(root);
    auto const findings = CheckCatalog(ToCatalog(root), Site());
    BOOST_TEST_CONTEXT("expected at " << mistake.m_entry << ": " << mistake.m_part)
    {
      BOOST_REQUIRE(findings.size() == 1U);
      BOOST_TEST((findings[0].m_severity == mistake.m_severity));
      BOOST_TEST((findings[0].m_section == mistake.m_section));
      BOOST_TEST(findings[0].m_entry == mistake.m_entry);
      BOOST_TEST(findings[0].m_message.find(mistake.m_part) != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(TheDifferenceSaysWhatAChangeDoesAndShowsNoKey)
{
  auto root = Root();
  root["version"] = 8;
  root["routes"][0]["service"] = "desk";
  root["tenants"][0]["ratePerS"] = 50;
  root["tenants"][0]["apiKeys"][0] = "secret-4";
  root["tenants"][1]["name"] = "t3";
  root["limits"]["bodyBytes"] = 1000;
  auto const before = ToCatalog(Root());
  auto const after = ToCatalog(root);
  programs::CheckReport const report{ CheckReplacement(before, after),
                                      CompareCatalogs(before, after) };
  auto const text = RenderText(report, ConfigurationFile::NamePlace);
  BOOST_TEST(text == "changed /routes/chat\n  deployments llm 1 -> desk 1\n"
                     "changed /tenants/t1\n  1 of its keys revoked\n  1 keys added\n"
                     "  rate tightened 100 -> 50\n"
                     "removed /tenants/t2\nadded /tenants/t3\n"
                     "changed /limits\n  bytes of the body tightened 4194304 -> 1000\n");
  BOOST_TEST(RenderJsonLines(report, ConfigurationFile::NamePlace).find("secret") ==
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(TheDifferenceNamesEachFieldAndKnowsThatZeroIsNoLimit)
{
  auto root = Root();
  root["version"] = 8;
  root["tenants"][0]["ratePerS"] = 0;
  root["tenants"][1]["ratePerS"] = 100;
  root["tenants"][1]["burst"] = 100;
  root["services"][0]["engine"]["kvCapacity"] = 1000;
  root["services"][0]["engine"]["models"][0]["loadS"] = 6;
  root["services"][1]["coldStartS"] = 3;
  root["services"][1]["coldPerS"] = 11;
  auto const changes = CompareCatalogs(ToCatalog(Root()), ToCatalog(root));
  auto const text = programs::RenderText({ {}, changes }, ConfigurationFile::NamePlace);
  for (auto const* const effect :
       { "rate no longer limited", "rate limited to 100", "memory for prompts, in tokens raised",
         "model m1: load from the store 0 ms -> 6000 ms", "time to warm up 0 ms -> 3000 ms" }) {
    BOOST_TEST(text.find(effect) != std::string::npos, effect);
  }
}

BOOST_AUTO_TEST_CASE(AnOlderVersionAndAWorkspaceThatLosesAllKeysAreFound)
{
  auto root = Root();
  root["version"] = 6;
  root["tenants"][1]["apiKeys"][0] = "secret-5";
  auto const findings = CheckReplacement(ToCatalog(Root()), ToCatalog(root));
  BOOST_REQUIRE(findings.size() == 2U);
  BOOST_TEST((findings[0].m_severity == FindingSeverity::Error));
  BOOST_TEST(findings[1].m_entry == "t2");
}

BOOST_AUTO_TEST_CASE(TheObjectOfTheStoreIsReadLikeTheConfigurationInIt)
{
  Json::Value object;
  object["metadata"]["name"] = "main";
  object["spec"] = Root();
  BOOST_TEST(CompareCatalogs(ToCatalog(object), ToCatalog(Root())).empty());
}

// A part that is passed over would put less in force than the file says.
BOOST_AUTO_TEST_CASE(WhatTheSystemPassesOverIsFound)
{
  auto root = Root();
  BOOST_TEST(ConfigurationFile::FindUnread(base::RenderJson(root)).empty());
  root["routes"][0]["homeRegions"][0] = "bad region";
  root["routes"][1]["split"][0]["service"] = "bad name";
  root["services"][0]["engine"]["models"][0]["name"] = 5;
  root["services"][1]["name"] = "llm";
  root["tenants"][0]["apiKeys"][0] = 5;
  root["tenants"][1]["name"] = "";
  auto const findings = ConfigurationFile::FindUnread(base::RenderJson(root));
  BOOST_TEST(findings.size() == 6U);
  BOOST_TEST(HasErrors(findings));
}

// Mutated files must give a result or an error, never a crash or an endless loop.
BOOST_AUTO_TEST_CASE(MutatedFilesEndTheReaderWithAResultOrAnError)
{
  constexpr unsigned kFiles = 4'000;
  constexpr unsigned kMutations = 4;
  constexpr std::string_view kBytes = "{}[]\",:0-9.eE\\u tfn\x01\xff";
  std::mt19937_64 random(1);
  unsigned decoded = 0;
  for (unsigned file = 0; file < kFiles; ++file) {
    std::string text = kConfiguration;
    for (unsigned mutation = 0; mutation < kMutations; ++mutation) {
      auto const position = random() % text.size();
      auto const byte = kBytes[random() % kBytes.size()];
      random() % 3 == 0 ? text.erase(position, random() % 40) : text.insert(position, 1, byte);
    }
    if (auto const catalog = ConfigurationFile::Decode(text)) {
      ++decoded;
      auto const findings = CheckCatalog(*catalog, Site());
      BOOST_TEST((findings.size() < 100U));
      BOOST_TEST((CompareCatalogs(*catalog, *catalog).empty()));
    }
  }
  BOOST_TEST(decoded > 0U);
}
