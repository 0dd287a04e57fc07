#include "Programs/Control/ControlCommands.h"

#include "Base/Digest.h"
#include "Operator/DocumentCodec.h"
#include "Operator/DocumentDifference.h"
#include "Operator/ManifestCodec.h"
#include "Operator/Promotion.h"

#include <fstream>
#include <iterator>
#include <utility>

namespace sardinefold::programs {

namespace {

using operators::Document;

constexpr std::size_t kSecretBytes = 24;
/// Attempts to change the keys while other operators change the document.
constexpr unsigned kMaximumKeyAttempts = 10;
constexpr base::Duration kStatusPollInterval = std::chrono::milliseconds(200);

tl::unexpected<ControlError> Fail(ControlError::Kind aKind, std::string aMessage)
{
  return tl::make_unexpected(ControlError{ aKind, std::move(aMessage) });
}

tl::unexpected<ControlError> UsageOf(std::string_view aName)
{
  for (auto const& command : AllCommands()) {
    if (command.m_name == aName) {
      return Fail(ControlError::Kind::Usage, "usage: sardinefoldctl " + std::string(aName) + " " +
                                               std::string(command.m_arguments));
    }
  }
  return Fail(ControlError::Kind::Usage, "unknown command; see --help");
}

ControlResult<Document> ReadFile(std::string const& aPath)
{
  std::ifstream file(aPath);
  std::string const text(std::istreambuf_iterator<char>(file), {});
  if (!file) {
    return Fail(ControlError::Kind::Usage, "cannot read " + aPath);
  }
  auto document = operators::ParseDocument(text);
  if (!document) {
    return Fail(ControlError::Kind::Invalid,
                aPath + " is not valid:\n" + operators::ToText(document.error()));
  }
  return std::move(*document);
}

template<typename Id>
ControlResult<Id> ReadId(std::string const& aWhat, std::string const& aText)
{
  auto id = Id::Create(aText);
  if (!id) {
    return Fail(ControlError::Kind::Usage, "the " + aWhat + " " + std::string(ToText(id.error())));
  }
  return std::move(*id);
}

ControlOutput RenderChanges(std::vector<operators::DocumentChange> const& aChanges)
{
  ControlOutput output;
  output.m_value["changes"] = Json::Value(Json::arrayValue);
  for (auto const& change : aChanges) {
    std::string const kind(ToText(change.m_kind));
    output.m_text += kind + " " + change.m_path + "\n";
    Json::Value entry;
    entry["change"] = kind;
    entry["path"] = change.m_path;
    output.m_value["changes"].append(std::move(entry));
  }
  if (!aChanges.empty()) {
    output.m_status = ControlStatus::Different;
  }
  return output;
}

ControlOutput RenderStatus(Json::Value aStatus)
{
  ControlOutput output;
  output.m_text = aStatus["environment"].asString() + ": version " + aStatus["version"].asString() +
                  " in force at " + aStatus["applied"].asString() + " of " +
                  aStatus["processes"].asString() + "\n";
  for (auto const& process : aStatus["behind"]) {
    output.m_text +=
      "behind: " + process["host"].asString() + " has version " + process["in_force"].asString();
    auto const problem = process["problem"].asString();
    output.m_text += problem.empty() ? "\n" : ": " + problem + "\n";
  }
  bool const isBehind = aStatus["applied"] != aStatus["processes"];
  output.m_status = isBehind ? ControlStatus::Behind : ControlStatus::Done;
  output.m_value = std::move(aStatus);
  return output;
}

/// Waits until a version is in force at all processes.
ControlTask<ControlOutput> WaitUntilInForce(ControlClient& aClient, std::uint64_t aVersion,
                                            base::Duration aTimeout)
{
  auto const end = aClient.Loop().Now() + aTimeout;
  while (true) {
    auto status = co_await aClient.ReadStatus();
    if (!status) {
      co_return tl::make_unexpected(status.error());
    }
    bool const isNewest = (*status)["version"].asUInt64() >= aVersion;
    bool const isEverywhere = (*status)["applied"] == (*status)["processes"];
    if (isNewest && isEverywhere) {
      co_return RenderStatus(std::move(*status));
    }
    if (aClient.Loop().Now() >= end) {
      auto output = RenderStatus(std::move(*status));
      output.m_status = ControlStatus::Behind;
      co_return output;
    }
    co_await aClient.Loop().Sleep(kStatusPollInterval);
  }
}

/// Applies a document and, with --wait, waits until it is in force.
ControlTask<ControlOutput> Publish(ControlClient& aClient, base::Settings const& aSettings,
                                   Document aDocument, std::string aSource)
{
  auto applied = co_await aClient.Apply(aDocument, std::move(aSource));
  if (!applied) {
    co_return tl::make_unexpected(applied.error());
  }
  auto const version = (*applied)["version"].asUInt64();
  ControlOutput output;
  output.m_text = aDocument.m_environment.Text() + ": version " + std::to_string(version) +
                  ((*applied)["changed"].asBool() ? " accepted\n" : " has this content already\n");
  output.m_value = std::move(*applied);
  if (!aSettings.Flag("wait")) {
    co_return output;
  }
  auto const waited =
    co_await WaitUntilInForce(aClient, version, aSettings.Milliseconds("wait-limit-ms"));
  if (!waited) {
    co_return tl::make_unexpected(waited.error());
  }
  output.m_text += waited->m_text;
  output.m_value["status"] = waited->m_value;
  output.m_status = waited->m_status;
  co_return output;
}

ControlTask<ControlOutput> Check(std::string aPath)
{
  auto const document = ReadFile(aPath);
  if (!document) {
    co_return tl::make_unexpected(document.error());
  }
  ControlOutput output;
  output.m_text = aPath + " is valid\n";
  output.m_value["valid"] = true;
  output.m_value["environment"] = document->m_environment.Text();
  co_return output;
}

ControlTask<ControlOutput> Diff(ControlClient& aClient, std::vector<std::string> aArguments)
{
  auto after = ReadFile(aArguments.back());
  if (!after) {
    co_return tl::make_unexpected(after.error());
  }
  Document before;
  if (aArguments.size() == 3) {
    auto read = ReadFile(aArguments[1]);
    if (!read) {
      co_return tl::make_unexpected(read.error());
    }
    before = std::move(*read);
  } else {
    auto environment = after->m_environment;
    auto read = co_await aClient.ReadDocument(std::move(environment), {});
    if (!read) {
      co_return tl::make_unexpected(read.error());
    }
    before = read->value_or(Document());
  }
  co_return RenderChanges(operators::CompareDocuments(before, *after));
}

ControlTask<ControlOutput> Apply(ControlClient& aClient, base::Settings const& aSettings)
{
  auto document = ReadFile(aSettings.Arguments()[1]);
  if (!document) {
    co_return tl::make_unexpected(document.error());
  }
  std::string source;
  co_return co_await Publish(aClient, aSettings, std::move(*document), std::move(source));
}

ControlTask<ControlOutput> Show(ControlClient& aClient, std::string aEnvironment)
{
  auto environment = ReadId<base::EnvironmentId>("environment", aEnvironment);
  if (!environment) {
    co_return tl::make_unexpected(environment.error());
  }
  auto const document = co_await aClient.ReadDocument(std::move(*environment), {});
  if (!document) {
    co_return tl::make_unexpected(document.error());
  }
  if (!*document) {
    co_return Fail(ControlError::Kind::Failed, aEnvironment + " has no document");
  }
  ControlOutput output;
  output.m_text = operators::RenderDocument(**document);
  output.m_value["document"] = output.m_text;
  co_return output;
}

/// Implements "promote SOURCE@VERSION TARGET".
ControlTask<ControlOutput> Promote(ControlClient& aClient, base::Settings const& aSettings)
{
  auto const& arguments = aSettings.Arguments();
  auto source = arguments[1];
  auto const at = source.rfind('@');
  auto const isVersionNumber =
    at != std::string::npos && at + 1 < source.size() &&
    source.find_first_not_of("0123456789", at + 1) == std::string::npos && source.size() - at <= 19;
  auto from = ReadId<base::EnvironmentId>("source", source.substr(0, at));
  auto to = ReadId<base::EnvironmentId>("target", arguments[2]);
  if (!isVersionNumber || !from || !to) {
    co_return UsageOf("promote");
  }
  base::DocumentVersion const version(std::stoull(source.substr(at + 1)));
  auto const sourceDocument = co_await aClient.ReadDocument(std::move(*from), version);
  if (!sourceDocument) {
    co_return tl::make_unexpected(sourceDocument.error());
  }
  auto const target = co_await aClient.ReadDocument(std::move(*to), {});
  if (!target) {
    co_return tl::make_unexpected(target.error());
  }
  if (!*sourceDocument || !*target) {
    co_return Fail(ControlError::Kind::Failed,
                   "both environments need a document; the target's names its keys and upstreams");
  }
  auto promoted = operators::Promote(**sourceDocument, **target);
  if (!promoted) {
    co_return Fail(ControlError::Kind::Invalid,
                   "the version does not fit the target:\n" + operators::ToText(promoted.error()));
  }
  co_return co_await Publish(aClient, aSettings, std::move(*promoted), std::move(source));
}

/// Applies one change to the keys of the document in force, and retries it on top
/// of the newer version after a conflict with another operator.
template<typename Change>
ControlTask<ControlOutput> ChangeKeys(ControlClient& aClient, base::Settings const& aSettings,
                                      base::EnvironmentId aEnvironment, Change aChange)
{
  ControlError last{ ControlError::Kind::Conflict, "the document keeps changing" };
  for (unsigned attempt = 0; attempt < kMaximumKeyAttempts; ++attempt) {
    auto environment = aEnvironment;
    auto document = co_await aClient.ReadDocument(std::move(environment), {});
    if (!document) {
      co_return tl::make_unexpected(document.error());
    }
    if (!*document) {
      co_return Fail(ControlError::Kind::Failed, aEnvironment.Text() + " has no document");
    }
    if (auto const changed = aChange((*document)->m_keys); !changed) {
      co_return tl::make_unexpected(changed.error());
    }
    std::string source;
    auto output = co_await Publish(aClient, aSettings, std::move(**document), std::move(source));
    bool const isConflict = !output && output.error().m_kind == ControlError::Kind::Conflict;
    if (!isConflict) {
      co_return output;
    }
    last = output.error();
  }
  co_return tl::make_unexpected(last);
}

/// Implements "keys issue ENVIRONMENT WORKSPACE KEY".
ControlTask<ControlOutput> IssueKey(ControlClient& aClient, base::Settings const& aSettings)
{
  auto const& arguments = aSettings.Arguments();
  auto environment = ReadId<base::EnvironmentId>("environment", arguments[2]);
  auto const workspace = ReadId<base::WorkspaceId>("workspace", arguments[3]);
  auto const key = ReadId<base::KeyId>("key", arguments[4]);
  if (!environment || !workspace || !key) {
    co_return UsageOf("keys issue");
  }
  auto const secret = "sf_" + base::RandomHex(kSecretBytes);
  operators::KeySpec const spec{ *key, *workspace, base::Sha256(secret) };
  auto const add =
    [&spec](std::map<base::KeyId, operators::KeySpec>& aKeys) -> ControlResult<bool> {
    auto const [position, isNew] = aKeys.emplace(spec.m_id, spec);
    if (!isNew && position->second.m_hash != spec.m_hash) {
      return Fail(ControlError::Kind::Failed, "a key of this name exists; choose another name");
    }
    return true;
  };
  auto output = co_await ChangeKeys(aClient, aSettings, std::move(*environment), add);
  if (!output) {
    co_return output;
  }
  output->m_text += "secret, shown only now: " + secret + "\n";
  output->m_value["secret"] = secret;
  co_return output;
}

/// Implements "keys withdraw ENVIRONMENT KEY".
ControlTask<ControlOutput> WithdrawKey(ControlClient& aClient, base::Settings const& aSettings)
{
  auto const& arguments = aSettings.Arguments();
  auto environment = ReadId<base::EnvironmentId>("environment", arguments[2]);
  auto const key = ReadId<base::KeyId>("key", arguments[3]);
  if (!environment || !key) {
    co_return UsageOf("keys withdraw");
  }
  auto const remove =
    [&key](std::map<base::KeyId, operators::KeySpec>& aKeys) -> ControlResult<bool> {
    if (aKeys.erase(*key) == 0) {
      return Fail(ControlError::Kind::Failed, "no key is named \"" + key->Text() + "\"");
    }
    return true;
  };
  co_return co_await ChangeKeys(aClient, aSettings, std::move(*environment), remove);
}

ControlTask<ControlOutput> History(ControlClient& aClient, std::string aEnvironment)
{
  auto environment = ReadId<base::EnvironmentId>("environment", aEnvironment);
  if (!environment) {
    co_return tl::make_unexpected(environment.error());
  }
  auto history = co_await aClient.ReadHistory(std::move(*environment));
  if (!history) {
    co_return tl::make_unexpected(history.error());
  }
  ControlOutput output;
  for (auto const& record : (*history)["history"]) {
    output.m_text += record["version"].asString() + " by " + record["author"].asString() + " at " +
                     record["time_ms"].asString();
    auto const& source = record["source"];
    output.m_text += source.isObject() ? " from " + source["environment"].asString() + "@" +
                                           source["version"].asString() + "\n"
                                       : "\n";
  }
  output.m_value = std::move(*history);
  co_return output;
}

ControlTask<ControlOutput> ShowStatus(ControlClient& aClient)
{
  auto status = co_await aClient.ReadStatus();
  if (!status) {
    co_return tl::make_unexpected(status.error());
  }
  co_return RenderStatus(std::move(*status));
}

ControlOutput Completion()
{
  ControlOutput output;
  std::string words;
  for (auto const& command : AllCommands()) {
    words += (words.empty() ? "" : " ") + std::string(command.m_name);
  }
  output.m_text = "complete -W \"" + words + "\" -o default sardinefoldctl\n";
  output.m_value["script"] = output.m_text;
  return output;
}

} // namespace

ControlStatus StatusOf(ControlError::Kind aKind)
{
  switch (aKind) {
    case ControlError::Kind::Usage:
      return ControlStatus::Usage;
    case ControlError::Kind::Invalid:
      return ControlStatus::Invalid;
    case ControlError::Kind::Conflict:
      return ControlStatus::Conflict;
    case ControlError::Kind::Failed:
      return ControlStatus::Failed;
    case ControlError::Kind::Unknown:
      return ControlStatus::Unknown;
    case ControlError::Kind::Behind:
      return ControlStatus::Behind;
  }
  return ControlStatus::Failed;
}

std::vector<CommandSpec> const& AllCommands()
{
  static std::vector<CommandSpec> const kCommands{
    { "check", "FILE", "Checks a document, offline." },
    { "diff", "[FILE] FILE", "Compares a file with another, offline, or with what is in force." },
    { "apply", "FILE", "Puts a document in force; with --wait until it is everywhere." },
    { "show", "ENVIRONMENT", "Prints the document in force." },
    { "promote", "ENVIRONMENT@VERSION ENVIRONMENT",
      "Carries a version's models, adapters, workspaces and routes to another environment." },
    { "status", "", "Says which version is in force where, and who is behind." },
    { "history", "ENVIRONMENT", "Lists the latest versions." },
    { "keys issue", "ENVIRONMENT WORKSPACE KEY", "Makes a key and prints its secret once." },
    { "keys withdraw", "ENVIRONMENT KEY", "Removes a key." },
    { "completion", "", "Prints a completion script for bash." },
  };
  return kCommands;
}

ControlTask<ControlOutput> RunCommand(ControlClient& aClient, base::Settings const& aSettings)
{
  auto const& arguments = aSettings.Arguments();
  if (arguments.empty()) {
    co_return UsageOf("");
  }
  auto const& first = arguments[0];
  auto const count = arguments.size();
  if (first == "check") {
    if (count != 2) {
      co_return UsageOf("check");
    }
    auto path = arguments[1];
    co_return co_await Check(std::move(path));
  }
  if (first == "diff") {
    if (count != 2 && count != 3) {
      co_return UsageOf("diff");
    }
    auto files = arguments;
    co_return co_await Diff(aClient, std::move(files));
  }
  if (first == "completion") {
    co_return Completion();
  }
  if (first == "status") {
    co_return co_await ShowStatus(aClient);
  }
  if (first == "apply" && count == 2) {
    co_return co_await Apply(aClient, aSettings);
  }
  if (first == "promote" && count == 3) {
    co_return co_await Promote(aClient, aSettings);
  }
  if (first == "keys" && count == 5 && arguments[1] == "issue") {
    co_return co_await IssueKey(aClient, aSettings);
  }
  if (first == "keys" && count == 4 && arguments[1] == "withdraw") {
    co_return co_await WithdrawKey(aClient, aSettings);
  }
  if ((first == "show" || first == "history") && count == 2) {
    auto environment = arguments[1];
    if (first == "show") {
      co_return co_await Show(aClient, std::move(environment));
    }
    co_return co_await History(aClient, std::move(environment));
  }
  auto const name = first == "keys" && count > 1 ? first + " " + arguments[1] : first;
  co_return UsageOf(name);
}

} // namespace sardinefold::programs
