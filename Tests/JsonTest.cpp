#define BOOST_TEST_MODULE Json
#include "Base/Json.h"

#include <boost/test/unit_test.hpp>
#include <json/writer.h>

#include <limits>
#include <random>

using namespace sardinefold::base;

namespace {

/// Returns what the library's writer renders.
std::string Expected(Json::Value const& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, aValue);
}

std::string RandomText(std::mt19937& aRandom)
{
  std::string text;
  auto const size = aRandom() % 12;
  while (text.size() < size) {
    // Bytes above 127 only as whole characters of UTF-8.
    auto const code = aRandom() % 130;
    text += code < 128 ? std::string(1, static_cast<char>(code)) : std::string("\xc3\xa9");
  }
  return text;
}

Json::Value RandomValue(std::mt19937& aRandom, unsigned aDepth)
{
  switch (aRandom() % (aDepth > 0 ? 8 : 6)) {
    case 0:
      return Json::Value();
    case 1:
      return aRandom() % 2 == 0;
    case 2:
      return Json::Int64(static_cast<std::int64_t>(aRandom()) * -1'000'003);
    case 3:
      return Json::UInt64(std::numeric_limits<std::uint64_t>::max() - aRandom());
    case 4:
      return static_cast<double>(aRandom()) / 997 * (aRandom() % 2 == 0 ? 1e-9 : -1e12);
    case 5:
      return RandomText(aRandom);
    case 6: {
      Json::Value list(Json::arrayValue);
      for (auto left = aRandom() % 5; left > 0; --left) {
        list.append(RandomValue(aRandom, aDepth - 1));
      }
      return list;
    }
    default: {
      Json::Value object(Json::objectValue);
      for (auto left = aRandom() % 5; left > 0; --left) {
        object[RandomText(aRandom)] = RandomValue(aRandom, aDepth - 1);
      }
      return object;
    }
  }
}

} // namespace

/// Peers of the former build read the messages, and what is stored is compared as text.
BOOST_AUTO_TEST_CASE(ValuesAreRenderedAsTheLibraryRendersThem)
{
  std::mt19937 random(7);
  for (unsigned round = 0; round < 3'000; ++round) {
    auto const value = RandomValue(random, 4);
    BOOST_REQUIRE_EQUAL(RenderJson(value), Expected(value));
  }
  for (double const number : { 0.0, -0.0, 1.0, 0.1, 1e300, -2.5, 1234567.0 }) {
    BOOST_TEST(RenderJson(number) == Expected(number));
  }
}

BOOST_AUTO_TEST_CASE(RenderedTextIsParsedToTheSameValue)
{
  std::mt19937 random(11);
  for (unsigned round = 0; round < 500; ++round) {
    Json::Value object(Json::objectValue);
    object[RandomText(random)] = RandomText(random);
    auto const parsed = ParseJson(RenderJson(object));
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((*parsed == object));
  }
}
