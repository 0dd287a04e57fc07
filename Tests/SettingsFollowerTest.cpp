#define BOOST_TEST_MODULE SettingsFollower
#include "Programs/SettingsFollower.h"

#include "platform/NodeSettings.h"
#include "Programs/SystemClock.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

using namespace sardinefold;
using namespace std::chrono_literals;

namespace {

/// An in-memory settings source whose text the test changes.
struct MemorySource
{
  tl::expected<std::string, std::string> const* m_text;

  tl::expected<std::string, std::string> Read() const { return *m_text; }
  tl::expected<base::ProcessProfile, std::string> Parse(std::string const& aText) const
  {
    if (aText == "broken") {
      return tl::make_unexpected("not a table");
    }
    base::ProcessProfile profile;
    profile.m_bounds.m_retryAllowance = std::stod(aText);
    return profile;
  }
};

struct RecordingProgram
{
  std::vector<double> m_reloads;

  void Reload(base::ProcessProfile const& aProfile)
  {
    m_reloads.push_back(aProfile.m_bounds.m_retryAllowance);
  }
};

std::string SettingsText(std::string const& aStore, int aRetryAllowance)
{
  return "nodeName: \"front-1\"\nzone: \"a\"\nip: \"127.0.0.1\"\ninnerPortRange: [7600, 7615]\n"
         "platform: {address: \"" +
         aStore + "\"}\nbounds: {retrySlack: " + std::to_string(aRetryAllowance) + "}\n";
}

} // namespace

BOOST_AUTO_TEST_CASE(OnlyChangedSettingsAreReloaded)
{
  BOOST_REQUIRE(base::log::Configure("test", "error").has_value());
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  tl::expected<std::string, std::string> text = "1";
  RecordingProgram program;
  programs::SettingsFollower follower(loop, MemorySource{ &text }, "1");
  auto change = [&]() -> boost::asio::awaitable<void> {
    for (auto const* const next : { "1", "2", "broken", "2", "3" }) {
      text = std::string(next);
      follower.RequestCheck();
      co_await loop.Sleep(5ms);
    }
    text = tl::make_unexpected(std::string("no file"));
    follower.RequestCheck();
    co_await loop.Sleep(5ms);
    loop.Stop();
  };
  loop.Start(follower.Run(program));
  loop.Start(change());
  loop.Run();
  // Unusable settings leave the previous text in force. The source is compared
  // with the text read last, so the second "2" counts as a change.
  BOOST_TEST(program.m_reloads == (std::vector<double>{ 2, 2, 3 }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(BoundsAndTheStoreAddressAreReloadable)
{
  auto const path = std::filesystem::temp_directory_path() /
                    ("sardinefold-settings-" + std::to_string(::getpid()) + ".yaml");
  platform::NodeSettingsFile const file{ path.string() };
  std::ofstream(path) << SettingsText("10.0.0.1:80", 52);
  auto inForce = file.Parse(*file.Read());
  BOOST_REQUIRE(inForce.has_value());
  std::ofstream(path) << SettingsText("10.0.0.2:80", 20);
  auto const changed = file.Parse(*file.Read());
  std::filesystem::remove(path);
  BOOST_REQUIRE(changed.has_value());
  programs::ApplyReload(*inForce, *changed);
  BOOST_TEST(inForce->m_objectStore.Text() == "10.0.0.2:80");
  BOOST_TEST(inForce->m_bounds.m_retryAllowance == 20);
  BOOST_TEST(!file.Read().has_value());
}
