#define BOOST_TEST_MODULE Operator
#include "Operator/DocumentDifference.h"
#include "Operator/OperatorEndpoint.h"
#include "Programs/SystemClock.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>

using namespace sardinefold;
using namespace sardinefold::operators;
using boost::asio::awaitable;

namespace {

std::string ReadExample()
{
  std::ifstream file("docs/examples/demo.json");
  return { std::istreambuf_iterator<char>(file), {} };
}

/// An in-memory object store that counts writes.
class MemoryStore
{
public:
  objectstore::ReadTask<objectstore::Object> Get(objectstore::ObjectKey aKey, base::Duration,
                                                 objectstore::CallPurpose)
  {
    auto const object = m_objects.find(aKey);
    if (object == m_objects.end()) {
      objectstore::ReadError error{ objectstore::ReadError::Kind::NotFound, "none" };
      co_return tl::make_unexpected(std::move(error));
    }
    co_return object->second;
  }

  objectstore::ReadTask<objectstore::ObjectList> List(objectstore::ObjectKind,
                                                      objectstore::ObjectName, base::Duration,
                                                      objectstore::CallPurpose)
  {
    co_return objectstore::ObjectList();
  }

  objectstore::ReadTask<objectstore::ObjectChanges> Watch(objectstore::ObjectKind,
                                                          objectstore::ObjectName,
                                                          base::ObjectVersion, base::Duration,
                                                          objectstore::CallPurpose)
  {
    co_return objectstore::ObjectChanges();
  }

  objectstore::WriteTask Write(objectstore::ObjectWrite aWrite, base::Duration,
                               objectstore::CallPurpose)
  {
    auto const object = m_objects.find(aWrite.m_key);
    bool const exists = object != m_objects.end();
    auto const* expected = std::get_if<objectstore::IfVersion>(&aWrite.m_condition);
    bool const matches =
      expected ? exists && object->second.m_version == expected->m_version : !exists;
    if (!matches) {
      objectstore::WriteError error{ objectstore::WriteError::Kind::Conflict, "" };
      co_return tl::make_unexpected(std::move(error));
    }
    m_version = m_version.Next();
    m_objects[aWrite.m_key] = { aWrite.m_key, m_version, aWrite.m_value, aWrite.m_nonce };
    ++m_writes;
    if (m_losesResponses) {
      objectstore::WriteError error{ objectstore::WriteError::Kind::Unknown, "lost" };
      co_return tl::make_unexpected(std::move(error));
    }
    co_return m_version;
  }

  objectstore::WriteTask Delete(objectstore::ObjectKey, base::ObjectVersion, base::Duration,
                                objectstore::CallPurpose)
  {
    co_return base::ObjectVersion();
  }

  objectstore::ReadTask<objectstore::HostList> Hosts(base::Duration, objectstore::CallPurpose)
  {
    co_return objectstore::HostList();
  }

  std::size_t m_writes = 0;
  bool m_losesResponses = false;

private:
  std::map<objectstore::ObjectKey, objectstore::Object> m_objects;
  base::ObjectVersion m_version;
};

static_assert(objectstore::ObjectStore<MemoryStore>);

awaitable<std::string> NoStatus()
{
  co_return "{}";
}

/// Sends requests to an endpoint in sequence and returns the responses.
std::vector<base::HttpResponse> Exchange(MemoryStore& aStore,
                                         std::vector<base::HttpRequest> const& aRequests)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  OperatorEndpoint<MemoryStore> endpoint(loop, aStore, "token", NoStatus);
  std::vector<base::HttpResponse> responses;
  auto run = [&]() -> awaitable<void> {
    for (auto const& request : aRequests) {
      responses.push_back(co_await endpoint.HandleRequest(request));
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  return responses;
}

base::HttpRequest Request(std::string const& aMethod, std::string const& aPath)
{
  base::HttpRequest request;
  request.m_method = aMethod;
  request.m_target = kOperatorPrefix + aPath;
  request.m_headers.Set("Authorization", "Bearer token");
  return request;
}

base::HttpRequest ApplyRequest(std::string const& aPublication, unsigned aBase)
{
  auto request = Request("PUT", "environments/demo/document");
  request.m_headers.Set(kPublicationHeader, aPublication);
  request.m_headers.Set(kAuthorHeader, "tester");
  auto document = *ParseDocument(ReadExample());
  document.m_version = base::DocumentVersion(aBase);
  document.m_workspaces.begin()->second.m_rate = base::TokensPerSecond(1000 + aBase);
  request.m_body = RenderDocument(document);
  return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(RequestsWithoutTheTokenAreRefused)
{
  auto request = Request("GET", "status");
  BOOST_TEST(IsAuthorized(request, "token"));
  BOOST_TEST(!IsAuthorized(request, "other"));
  BOOST_TEST(!IsAuthorized(request, ""));
  request.m_headers.Set("Authorization", "Bearer ");
  BOOST_TEST(!IsAuthorized(request, ""));
  request.m_headers.Remove("Authorization");
  BOOST_TEST(!IsAuthorized(request, "token"));
  MemoryStore store;
  BOOST_TEST(Exchange(store, { request })[0].m_status == 401U);
}

BOOST_AUTO_TEST_CASE(SecondPublicationOnOneVersionConflictsAndNamesTheFirstAuthor)
{
  MemoryStore store;
  auto const responses =
    Exchange(store, { ApplyRequest("a", 0), ApplyRequest("b", 0), ApplyRequest("c", 1),
                      Request("GET", "environments/demo/document"),
                      Request("GET", "environments/demo/history") });
  BOOST_TEST(responses[0].m_status == 200U);
  BOOST_TEST(responses[1].m_status == 409U);
  BOOST_TEST(responses[1].m_body.find("tester") != std::string::npos);
  BOOST_TEST(responses[2].m_status == 200U);
  auto const document = ParseDocument(responses[3].m_body);
  BOOST_REQUIRE(document);
  BOOST_TEST(document->m_version.Value() == 2U);
  BOOST_TEST(document->m_workspaces.begin()->second.m_rate.Value() == 1001);
  auto const history = ParseManifest(responses[4].m_body);
  BOOST_REQUIRE(history);
  BOOST_TEST(history->m_history.size() == 2U);
}

BOOST_AUTO_TEST_CASE(RepeatedPublicationIsPublishedOnce)
{
  MemoryStore store;
  auto const responses = Exchange(store, { ApplyRequest("a", 0), ApplyRequest("a", 0) });
  BOOST_TEST(responses[0].m_body == responses[1].m_body);
  store.m_losesResponses = true;
  auto const lost = Exchange(store, { ApplyRequest("b", 1) });
  BOOST_TEST(lost[0].m_status == 200U);
  BOOST_TEST(lost[0].m_body.find("\"version\":2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(InvalidDocumentIsRefusedWithoutAWrite)
{
  MemoryStore store;
  auto invalid = ApplyRequest("a", 0);
  invalid.m_body = R"({"environment":"demo","surprise":1})";
  auto elsewhere = ApplyRequest("a", 0);
  elsewhere.m_target = std::string(kOperatorPrefix) + "environments/other/document";
  auto nameless = ApplyRequest("a", 0);
  nameless.m_headers.Remove(kPublicationHeader);
  auto badSource = ApplyRequest("a", 0);
  badSource.m_headers.Set(kSourceHeader, "trial@x");
  auto const responses = Exchange(store, { invalid, elsewhere, nameless, badSource });
  for (auto const& response : responses) {
    BOOST_TEST(response.m_status == 400U);
  }
  BOOST_TEST(responses[0].m_body.find("/surprise") != std::string::npos);
  BOOST_TEST(responses[2].m_body.find(kPublicationHeader) != std::string::npos);
  BOOST_TEST(store.m_writes == 0U);
}

BOOST_AUTO_TEST_CASE(UnknownPathsVersionsAndMethodsAreRefused)
{
  MemoryStore store;
  auto const responses = Exchange(
    store, { Request("GET", "surprise"), Request("POST", "environments/demo/document"),
             Request("GET", "environments/de mo/document"), Request("GET", "environments/"),
             Request("GET", "environments/demo/document?version=x"),
             Request("GET", "environments/demo/document"), ApplyRequest("a", 0),
             Request("GET", "environments/demo/document?version=9") });
  std::vector<unsigned> statuses;
  statuses.reserve(responses.size());
  for (auto const& response : responses) {
    statuses.push_back(response.m_status);
  }
  std::vector<unsigned> const expected{ 404, 404, 400, 404, 400, 404, 200, 404 };
  BOOST_TEST(statuses == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(DifferencesNameEachEntryOnce)
{
  auto const before = *ParseDocument(ReadExample());
  auto after = before;
  after.m_keys.erase(after.m_keys.begin());
  after.m_workspaces.begin()->second.m_burst = base::Tokens(99'999);
  auto model = after.m_models.begin()->second;
  model.m_id = base::ModelId::FromValidated("a/new");
  after.m_models[model.m_id] = model;
  auto const changes = CompareDocuments(before, after);
  BOOST_REQUIRE(changes.size() == 3U);
  BOOST_TEST(changes[0].m_path == "/models/a~1new");
  BOOST_TEST((changes[0].m_kind == ChangeKind::Added));
  BOOST_TEST((changes[1].m_kind == ChangeKind::Changed));
  BOOST_TEST((changes[2].m_kind == ChangeKind::Removed));
  BOOST_TEST(CompareDocuments(before, before).empty());
}
