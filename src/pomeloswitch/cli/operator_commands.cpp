#include "pomeloswitch/cli/operator_commands.hpp"

#include "pomeloswitch/cli/admin_client.hpp"
#include "pomeloswitch/cli/check_command.hpp"
#include "pomeloswitch/cli/command_line.hpp"
#include "pomeloswitch/cli/request_timeline.hpp"
#include "pomeloswitch/cli/rpc_client.hpp"
#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/settings/json_document.hpp"
#include "pomeloswitch/wire/secret_hash.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace pomelo {
namespace {

namespace json = boost::json;
constexpr auto MaxInForceWait = std::chrono::seconds(10);
constexpr int PendingExitCode = 17;
//! The administration API accepts no longer duration.
constexpr std::uint64_t MaxRolloutSeconds = 1'000'000'000;
constexpr std::string_view Version = "pomeloctl 0.1.0";

constexpr const char *Usage = R"(pomeloctl: operates a pomeloswitch deployment.

Usage:
  pomeloctl [options] status
  pomeloctl [options] inventory show
  pomeloctl [options] inventory apply FILE
  pomeloctl [options] rules show
  pomeloctl [options] rules apply FILE
  pomeloctl [options] key issue ACCOUNT
  pomeloctl [options] key withdraw <key-id>
  pomeloctl [options] domain (out | in) NAME
  pomeloctl [options] target (out | in) NAME
  pomeloctl [options] rollout start SERVICE VERSION --within=SECONDS
  pomeloctl [options] rollout show SERVICE
  pomeloctl [options] rollout list
  pomeloctl [options] owner SERVICE KEY
  pomeloctl [options] (explain | story) REQUEST LOG...
  pomeloctl [options] host show ADDRESS
  pomeloctl [options] host explain ADDRESS SERVICE KEY
  pomeloctl [options] control list
  pomeloctl [options] control add ID ADDRESS
  pomeloctl [options] control remove ID
  pomeloctl [options] control replace OLD ID ADDRESS
  pomeloctl [options] snapshot export FILE
  pomeloctl [options] check INVENTORY RULES [--in-force]
  pomeloctl [options] check INVENTORY RULES --against-inventory=FILE --against-rules=FILE
  pomeloctl (-h | --help)
  pomeloctl --version

Options:
  --control=LIST       Comma-separated administration addresses of the control
                       hosts. Default: the variable POMELO_CONTROL.
  --credential=FILE    File with the operator's credential. Default: the file
                       named by the variable POMELO_CREDENTIAL_FILE.
  --base=VERSION       Apply the change only if this version is in force.
  --operation=ID       Operation id of the change; repeating an id returns the
                       first answer. Default: a random id.
  --wait               After a change, wait up to 10 s until it is in force on
                       every entry host.
  --within=SECONDS     Time limit of a roll-out; what is not proven good by
                       then is rolled back.
  --in-force           Compare with the configuration in force.
  --against-inventory=FILE  Inventory to compare with.
  --against-rules=FILE      Rules to compare with.
  --json               Print the answer as JSON.
  -h --help            Show this text.
  --version            Show the version.

rollout start moves a service to the targets of another version, by as much as
their responses justify; show and list print how far it is, and why.

owner prints which target owns a key, and since when. "explain SERVICE KEY", its
earlier name, is still accepted unless KEY names a file.

explain, or story, prints the timeline of one request from the logs of several
processes; REQUEST is the request id sent by the caller.

check reports errors and probable mistakes in the files of a configuration, and
with --in-force or --against-... the differences from another version. Its exit
codes are 0, nothing to report but differences; 1, warnings only; 2, errors, or
a file cannot be read. It changes nothing.

Exit codes: 0 done; 1 internal error; 2 bad settings or usage; 3 invalid
change; 4 version conflict; 5 not the leader; 6 no quorum, outcome unknown;
7 not found; 8 storage failed; 10 bad request; 11 credential refused; 17
with --wait, the change is durable but not yet in force everywhere.
)";

std::string optionOr(const arguments &Arguments, const std::string &Option,
                     const char *Variable) {
  if (Arguments.at(Option))
    return Arguments.at(Option).asString();
  const char *Value = Variable ? std::getenv(Variable) : nullptr;
  return Value ? Value : "";
}

std::vector<std::string> splitByComma(const std::string &List) {
  std::vector<std::string> Items;
  std::istringstream Stream(List);
  for (std::string Item; std::getline(Stream, Item, ',');)
    if (!Item.empty())
      Items.push_back(Item);
  return Items;
}

admin_client makeClient(const arguments &Arguments) {
  const auto Addresses =
      splitByComma(optionOr(Arguments, "--control", "POMELO_CONTROL"));
  if (Addresses.empty())
    throw pomelo_error(error_kind::BadSettings,
                       "no control hosts: set --control or POMELO_CONTROL");
  const std::string File =
      optionOr(Arguments, "--credential", "POMELO_CREDENTIAL_FILE");
  if (File.empty())
    throw pomelo_error(error_kind::BadSettings,
                       "no credential file: set --credential or "
                       "POMELO_CREDENTIAL_FILE");
  std::string Credential = readFile(File);
  while (!Credential.empty() && Credential.back() == '\n')
    Credential.pop_back();
  return {Addresses, Credential};
}

bool hasArgument(const arguments &Arguments, const std::string &Word) {
  return Arguments.at(Word).asBool();
}

admin_request makeReadRequest(std::string Target) {
  return {"GET", std::move(Target), {}, {}, {}};
}

admin_request makeChangeRequest(const arguments &Arguments, std::string Method,
                                std::string Target, std::string Body) {
  admin_request Request{
      std::move(Method), std::move(Target), std::move(Body), {}, {}};
  Request.OperationId = Arguments.at("--operation")
                            ? Arguments.at("--operation").asString()
                            : randomHex(12);
  if (Arguments.at("--base"))
    Request.BaseVersion = wholeNumber(Arguments, "--base");
  return Request;
}

std::string percentEncoded(std::string_view Text) {
  std::string Encoded;
  for (const char Character : Text)
    if (std::isalnum(static_cast<unsigned char>(Character)))
      Encoded.push_back(Character);
    else
      Encoded += fmt::format("%{:02X}", static_cast<unsigned char>(Character));
  return Encoded;
}

admin_request drainRequest(const arguments &Arguments, std::string_view Scope) {
  const json::object Body{{"scope", Scope},
                          {"name", Arguments.at("NAME").asString()},
                          {"out", hasArgument(Arguments, "out")}};
  return makeChangeRequest(Arguments, "POST", "/v1/drains",
                           json::serialize(Body));
}

admin_request keyRequest(const arguments &Arguments) {
  if (hasArgument(Arguments, "issue"))
    return makeChangeRequest(
        Arguments, "POST", "/v1/keys",
        json::serialize(
            json::object{{"account", Arguments.at("ACCOUNT").asString()}}));
  return makeChangeRequest(
      Arguments, "POST", "/v1/keys/withdraw",
      json::serialize(
          json::object{{"key_id", Arguments.at("<key-id>").asString()}}));
}

admin_request documentRequest(const arguments &Arguments, std::string Target) {
  if (hasArgument(Arguments, "show"))
    return makeReadRequest(std::move(Target));
  return makeChangeRequest(Arguments, "PUT", std::move(Target),
                           readFile(Arguments.at("FILE").asString()));
}

admin_request controlRequest(const arguments &Arguments) {
  if (hasArgument(Arguments, "list"))
    return makeReadRequest("/v1/control-hosts");
  json::object Body{{"host_id", Arguments.at("ID").asString()}};
  if (hasArgument(Arguments, "remove"))
    return makeChangeRequest(Arguments, "POST", "/v1/control-hosts/remove",
                             json::serialize(Body));
  Body["address"] = Arguments.at("ADDRESS").asString();
  if (hasArgument(Arguments, "replace"))
    Body["replaces"] = Arguments.at("OLD").asString();
  return makeChangeRequest(Arguments, "POST", "/v1/control-hosts",
                           json::serialize(Body));
}

admin_request rolloutRequest(const arguments &Arguments) {
  if (hasArgument(Arguments, "list"))
    return makeReadRequest("/v1/rollouts");
  const std::string Service = Arguments.at("SERVICE").asString();
  if (hasArgument(Arguments, "show"))
    return makeReadRequest(
        fmt::format("/v1/rollout?service={}", percentEncoded(Service)));
  const json::object Body{
      {"service", Service},
      {"version", Arguments.at("VERSION").asString()},
      {"duration_s", wholeNumber(Arguments, "--within", MaxRolloutSeconds)}};
  return makeChangeRequest(Arguments, "POST", "/v1/rollouts",
                           json::serialize(Body));
}

admin_request ownerRequest(std::string_view Service, std::string_view Key) {
  return makeReadRequest(fmt::format("/v1/explain?service={}&key={}",
                                     percentEncoded(Service),
                                     percentEncoded(Key)));
}

admin_request makeRequest(const arguments &Arguments) {
  if (hasArgument(Arguments, "inventory"))
    return documentRequest(Arguments, "/v1/inventory");
  if (hasArgument(Arguments, "rules"))
    return documentRequest(Arguments, "/v1/rules");
  if (hasArgument(Arguments, "key"))
    return keyRequest(Arguments);
  if (hasArgument(Arguments, "domain"))
    return drainRequest(Arguments, "failure_domain");
  if (hasArgument(Arguments, "target"))
    return drainRequest(Arguments, "target");
  if (hasArgument(Arguments, "rollout"))
    return rolloutRequest(Arguments);
  if (hasArgument(Arguments, "control"))
    return controlRequest(Arguments);
  if (hasArgument(Arguments, "snapshot"))
    return makeReadRequest("/v1/snapshot");
  if (hasArgument(Arguments, "owner"))
    return ownerRequest(Arguments.at("SERVICE").asString(),
                        Arguments.at("KEY").asString());
  if (hasArgument(Arguments, "explain"))
    return ownerRequest(Arguments.at("REQUEST").asString(),
                        Arguments.at("LOG").asStringList().front());
  return makeReadRequest("/v1/status");
}

//! Prints nested values as indented "name: value" lines.
void printAsText(const json::value &Value, int Depth) {
  const std::string Indent(static_cast<std::size_t>(Depth) * 2, ' ');
  if (Value.is_object()) {
    for (const auto &[Name, Member] : Value.as_object()) {
      const bool Nested = Member.is_structured();
      fmt::print("{}{}:{}", Indent, std::string_view(Name),
                 Nested ? "\n" : " ");
      printAsText(Member, Nested ? Depth + 1 : 0);
    }
    return;
  }
  if (Value.is_array()) {
    for (const auto &Item : Value.as_array())
      fmt::print("{}- {}\n", Indent, json::serialize(Item));
    return;
  }
  fmt::print("{}\n", Value.is_string() ? std::string(Value.as_string())
                                       : json::serialize(Value));
}

bool isPending(const json::object &Answer) {
  const auto *State = Answer.if_contains("state");
  return State && State->is_string() && State->as_string() == "pending";
}

//! Polls the state of the change in \p Answer until it is in force or
//! MaxInForceWait has passed, and updates \p Answer.
void waitUntilInForce(admin_client &Client, json::object &Answer) {
  const auto Deadline = std::chrono::steady_clock::now() + MaxInForceWait;
  const std::string StatusTarget(Answer.at("check").as_string());
  while (isPending(Answer) && std::chrono::steady_clock::now() < Deadline)
    for (const auto &Field : Client.call(makeReadRequest(StatusTarget)))
      Answer[Field.key()] = Field.value();
}

int writeExport(const std::string &Path, const json::object &Answer) {
  std::ofstream File(Path);
  File << json::serialize(Answer) << '\n';
  if (!File.flush())
    throw pomelo_error(error_kind::BadSettings,
                       fmt::format("cannot write {}", Path));
  return 0;
}

json::object queryEntryHost(const arguments &Arguments) {
  const std::string Address = Arguments.at("ADDRESS").asString();
  if (hasArgument(Arguments, "show"))
    return callEntryHost(Address, "describe", {});
  return callEntryHost(Address, "explain",
                       {{"service", Arguments.at("SERVICE").asString()},
                        {"key", Arguments.at("KEY").asString()}});
}

//! Returns the text of a document in force; empty if there is none.
std::string documentInForce(admin_client &Client, std::string Target) {
  const json::object Answer = Client.call(makeReadRequest(std::move(Target)));
  const json::value &Document = Answer.at("document");
  return Document.is_null() ? std::string() : json::serialize(Document);
}

std::optional<configuration_documents>
earlierConfiguration(const arguments &Arguments) {
  if (hasArgument(Arguments, "--in-force")) {
    admin_client Client = makeClient(Arguments);
    return configuration_documents{documentInForce(Client, "/v1/inventory"),
                                   documentInForce(Client, "/v1/rules")};
  }
  if (!Arguments.at("--against-inventory"))
    return std::nullopt;
  return configuration_documents{
      readFile(Arguments.at("--against-inventory").asString()),
      readFile(Arguments.at("--against-rules").asString())};
}

int checkFiles(const arguments &Arguments) {
  const configuration_documents Documents{
      readFile(Arguments.at("INVENTORY").asString()),
      readFile(Arguments.at("RULES").asString())};
  return runConfigurationCheck(Documents, earlierConfiguration(Arguments),
                               hasArgument(Arguments, "--json"));
}

void print(const arguments &Arguments, const json::object &Answer) {
  if (hasArgument(Arguments, "--json"))
    fmt::print("{}\n", json::serialize(Answer));
  else
    printAsText(Answer, 0);
}

request_timeline readTimeline(const arguments &Arguments) {
  request_timeline Timeline(Arguments.at("REQUEST").asString());
  for (const std::string &Path : Arguments.at("LOG").asStringList()) {
    std::ifstream Log(Path);
    if (!Log)
      throw pomelo_error(error_kind::BadSettings,
                         fmt::format("cannot read {}", Path));
    Timeline.read(Log, std::filesystem::path(Path).stem().string());
  }
  for (const std::string &Location : Timeline.unreadable())
    fmt::print(stderr, "pomeloctl: {}: not a valid log line\n", Location);
  if (!Timeline.hasRequest())
    throw pomelo_error(
        error_kind::NotFound,
        fmt::format("no line in {} logs contains the request id {}",
                    Arguments.at("LOG").asStringList().size(),
                    Arguments.at("REQUEST").asString()));
  return Timeline;
}

//! Prints the timeline with times relative to its first line.
int printTimeline(const arguments &Arguments) {
  const request_timeline Timeline = readTimeline(Arguments);
  const std::vector<timeline_entry> Lines = Timeline.lines();
  for (const timeline_entry &Line : Lines)
    fmt::print("{:>7} ms  {}  {}\n", Line.TimeMs - Lines.front().TimeMs,
               Line.Process, Line.Text);
  for (const timeline_entry &Line : Timeline.dropped())
    fmt::print("log lines were dropped: {} {}\n", Line.Process, Line.Text);
  fmt::print("{}\n", Timeline.conclusion());
  return 0;
}

//! Whether the command asks for a timeline. "explain SERVICE KEY" asks for the
//! owner of a key.
bool asksForTimeline(const arguments &Arguments) {
  if (hasArgument(Arguments, "story"))
    return true;
  if (!hasArgument(Arguments, "explain"))
    return false;
  const auto &Logs = Arguments.at("LOG").asStringList();
  return Logs.size() > 1 || std::filesystem::exists(Logs.front());
}

//! An option that the command does not use is checked as well.
void checkOptions(const arguments &Arguments) {
  if (Arguments.at("--base"))
    wholeNumber(Arguments, "--base");
}

int run(const arguments &Arguments) {
  checkOptions(Arguments);
  if (hasArgument(Arguments, "host")) {
    print(Arguments, queryEntryHost(Arguments));
    return 0;
  }
  if (hasArgument(Arguments, "check"))
    return checkFiles(Arguments);
  if (asksForTimeline(Arguments))
    return printTimeline(Arguments);
  const admin_request Request = makeRequest(Arguments);
  admin_client Client = makeClient(Arguments);
  json::object Answer = Client.call(Request);
  if (hasArgument(Arguments, "snapshot"))
    return writeExport(Arguments.at("FILE").asString(), Answer);
  if (hasArgument(Arguments, "--wait") && isPending(Answer))
    waitUntilInForce(Client, Answer);
  print(Arguments, Answer);
  return hasArgument(Arguments, "--wait") && isPending(Answer) ? PendingExitCode
                                                               : 0;
}

int reportFailure(bool AsJson, const pomelo_error &Failure) {
  const error_answer &Answer = answerFor(Failure.kind());
  if (AsJson)
    fmt::print("{}\n",
               json::serialize(json::object{{"error", Answer.Name},
                                            {"message", Failure.what()}}));
  else
    fmt::print(stderr, "pomeloctl: {}: {}\n", Answer.Name, Failure.what());
  return Answer.ExitCode;
}

} // namespace

int runOperatorCommand(const std::vector<std::string> &CommandLine) {
  bool AsJson = false;
  try {
    const arguments Arguments =
        parseCommandLine("pomeloctl", Usage, CommandLine, Version);
    AsJson = hasArgument(Arguments, "--json");
    return run(Arguments);
  } catch (const pomelo_error &Failure) {
    return reportFailure(AsJson, Failure);
  }
}

} // namespace pomelo
