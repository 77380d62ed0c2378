#include <gflags/gflags.h>
#include <google/protobuf/util/json_util.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "control_addresses.h"
#include "exit_codes.h"
#include "rattanward/adapter/command_line.h"
#include "rattanward/adapter/config_text.h"
#include "rattanward/timeline/command.h"
#include "text_output.h"

DEFINE_string(
    control, "",
    "operator addresses of control VMs, a,b,c; else the environment's "
    "RATTANWARD_CONTROL");
DEFINE_string(token, "",
              "operator token; better given by --token_file or the "
              "environment's RATTANWARD_TOKEN");
DEFINE_string(token_file, "", "file that holds the operator token");
DEFINE_string(expect, "", "version that is to be replaced (config apply)");
DEFINE_string(command_id, "", "id under which a resend is safe; else made");
DEFINE_string(endpoint, "", "peer address of a control VM (voter)");
DEFINE_int32(wait, 5, "seconds to wait for in force, or for a repair");
DEFINE_int32(timeout, 10, "seconds to try for an answer");
DEFINE_bool(json, false, "print JSON, for scripts");

namespace rattanward {
namespace {

using Arguments = std::vector<std::string>;

constexpr char kUsage[] =
    "Usage: rattanctl COMMAND [FLAGS]\n"
    "  config apply FILE --expect VERSION\n"
    "  config validate FILE\n"
    "  config diff FILE\n"
    "  config show [VERSION]\n"
    "  config history\n"
    "  config status [VERSION]\n"
    "  upstream list | drain ID | undrain ID\n"
    "  voter list | remove ID\n"
    "  voter add --endpoint ADDRESS\n"
    "  voter repair LOST_ID --endpoint ADDRESS\n"
    "  quarantine list | clear FINGERPRINT\n"
    "  vm forget NAME\n"
    "  status\n"
    "  events watch\n"
    "  timeline [--request ID] [--account ID]\n"
    "    [--upstream ID] [--version N]\n"
    "    [--json | --html] LOG_FILE...";

/// The flag's value, or the environment variable's if the flag is empty.
std::string FlagOrEnvironment(const std::string& flag, const char* name) {
  const char* value = std::getenv(name);
  return flag.empty() && value != nullptr ? value : flag;
}

std::string RandomCommandId() {
  std::random_device random;
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kLength = 16;
  std::string id;
  for (int i = 0; i < kLength; ++i) {
    id.push_back(kDigits[random() % kDigits.size()]);
  }
  return id;
}

/// Returns the command id given by flag, or a random one. Prints it before
/// the request is sent, so that it is known even if the reply is lost.
std::string ResolveCommandId() {
  std::string id =
      FLAGS_command_id.empty() ? RandomCommandId() : FLAGS_command_id;
  std::cerr << "command id: " << id << "\n";
  return id;
}

/// Time for which the server may wait before it replies.
std::uint32_t WaitMilliseconds() {
  return static_cast<std::uint32_t>(std::max(FLAGS_wait, 0)) * 1000;
}

/// WaitMilliseconds() as a duration, by which the client's timeout grows.
Duration WaitDuration() {
  return std::chrono::seconds(std::max(FLAGS_wait, 0));
}

/// Prints the error as text or JSON and returns its exit code.
int ReportError(const Error& error) {
  if (FLAGS_json) {
    v1::OutcomeReply reply;
    reply.mutable_outcome()->set_error(static_cast<int>(error.code));
    reply.mutable_outcome()->set_message(error.message);
    std::string json;
    (void)google::protobuf::util::MessageToJsonString(reply, &json);
    std::cout << json << "\n";
  } else {
    std::cerr << "error " << static_cast<int>(error.code) << " "
              << ErrorName(error.code) << "\n"
              << error.message << "\n";
  }
  return ExitCodeFor(error.code);
}

template <class Reply>
void PrintReply(const Reply& reply) {
  if (!FLAGS_json) {
    Print(reply);
    return;
  }
  google::protobuf::util::JsonPrintOptions options;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string json;
  (void)google::protobuf::util::MessageToJsonString(reply, &json, options);
  std::cout << json << std::endl;
}

/// Sends a request, prints the reply or the error, and returns the exit code.
template <class Request>
int CallAndPrint(const ControlAddresses& control, const Request& request,
                 Duration extra_time = Duration(0)) {
  const auto reply = control.Call(request, extra_time);
  if (!reply) {
    return ReportError(reply.error());
  }
  const v1::Outcome& outcome = reply.value().outcome();
  if (outcome.error() != 0) {
    return ReportError(
        MakeError(static_cast<ErrorCode>(outcome.error()), outcome.message()));
  }
  PrintReply(reply.value());
  return kExitAccepted;
}

/// The error of the call itself, or else the one in the reply's outcome.
template <class Reply>
std::optional<Error> ErrorOf(const Result<Reply>& reply) {
  if (!reply) {
    return reply.error();
  }
  const auto& outcome = reply.value().outcome();
  if (outcome.error() == 0) {
    return std::nullopt;
  }
  return MakeError(static_cast<ErrorCode>(outcome.error()), outcome.message());
}

/// As CallAndPrint(), but returns kExitPending while the configuration is not
/// in force in every failure domain.
int CallAndPrintConfigState(const ControlAddresses& control,
                            const auto& request, Duration extra_time) {
  const auto reply = control.Call(request, extra_time);
  if (const auto error = ErrorOf(reply)) {
    return ReportError(*error);
  }
  PrintReply(reply.value());
  return reply.value().accepted() ? kExitAccepted : kExitPending;
}

Result<std::uint64_t> ParseNumber(const std::string& text,
                                  const std::string& what) {
  std::uint64_t value = 0;
  std::istringstream in(text);
  if (text.empty() || text[0] == '-' || !(in >> value) || !in.eof()) {
    return MakeError(ErrorCode::kMalformedMessage,
                     what + " must be a number, not \"" + text + "\"");
  }
  return value;
}

int ConfigApply(const ControlAddresses& control, const Arguments& args) {
  const auto text = adapter::ReadTextFile(args[0]);
  if (!text) {
    return ReportError(text.error());
  }
  const auto parsed = adapter::ParseConfigText(text.value(), args[0]);
  if (!parsed) {
    return ReportError(parsed.error());
  }
  const auto expected = ParseNumber(FLAGS_expect, "--expect");
  if (!expected) {
    return ReportError(expected.error());
  }
  v1::ApplyConfigRequest request;
  request.set_command_id(ResolveCommandId());
  request.set_expected_version(expected.value());
  request.set_toml(text.value());
  request.set_wait_ms(WaitMilliseconds());
  return CallAndPrintConfigState(control, request, WaitDuration());
}

int ConfigValidate(const ControlAddresses&, const Arguments& args) {
  const auto text = adapter::ReadTextFile(args[0]);
  const auto parsed = text ? adapter::ParseConfigText(text.value(), args[0])
                           : Result<Config>(text.error());
  if (!parsed) {
    return ReportError(parsed.error());
  }
  PrintReply(v1::OutcomeReply());
  return kExitAccepted;
}

int ConfigDiff(const ControlAddresses& control, const Arguments& args) {
  const auto text = adapter::ReadTextFile(args[0]);
  const auto newest = control.Call(v1::ShowConfigRequest());
  if (!text || !newest) {
    return ReportError(text ? newest.error() : text.error());
  }
  std::cout << "--- version " << newest.value().version() << "\n+++ " << args[0]
            << "\n"
            << DiffLines(newest.value().toml(), text.value());
  return kExitAccepted;
}

int ConfigShow(const ControlAddresses& control, const Arguments& args) {
  const auto version = ParseNumber(args.empty() ? "0" : args[0], "the version");
  if (!version) {
    return ReportError(version.error());
  }
  v1::ShowConfigRequest request;
  request.set_version(version.value());
  return CallAndPrint(control, request);
}

int ConfigHistory(const ControlAddresses& control, const Arguments&) {
  return CallAndPrint(control, v1::ConfigHistoryRequest());
}

int ConfigStatus(const ControlAddresses& control, const Arguments& args) {
  const auto version = ParseNumber(args.empty() ? "0" : args[0], "the version");
  if (!version) {
    return ReportError(version.error());
  }
  v1::ConfigStatusRequest request;
  request.set_version(version.value());
  return CallAndPrintConfigState(control, request, Duration(0));
}

int UpstreamList(const ControlAddresses& control, const Arguments&) {
  return CallAndPrint(control, v1::ListUpstreamsRequest());
}

int SetDrained(const ControlAddresses& control, const std::string& upstream,
               bool drained) {
  v1::DrainUpstreamRequest request;
  request.set_command_id(ResolveCommandId());
  request.set_upstream(upstream);
  request.set_drained(drained);
  return CallAndPrint(control, request);
}

int UpstreamDrain(const ControlAddresses& control, const Arguments& args) {
  return SetDrained(control, args[0], true);
}

int UpstreamUndrain(const ControlAddresses& control, const Arguments& args) {
  return SetDrained(control, args[0], false);
}

int VoterList(const ControlAddresses& control, const Arguments&) {
  return CallAndPrint(control, v1::ListVotersRequest());
}

int VoterAdd(const ControlAddresses& control, const Arguments&) {
  v1::AddVoterRequest request;
  request.set_endpoint(FLAGS_endpoint);
  request.set_wait_ms(WaitMilliseconds());
  return CallAndPrint(control, request, WaitDuration());
}

int VoterRemove(const ControlAddresses& control, const Arguments& args) {
  v1::RemoveVoterRequest request;
  request.set_voter(args[0]);
  return CallAndPrint(control, request);
}

int VoterRepair(const ControlAddresses& control, const Arguments& args) {
  v1::RepairVoterRequest request;
  request.set_lost_voter(args[0]);
  request.set_endpoint(FLAGS_endpoint);
  request.set_wait_ms(WaitMilliseconds());
  const auto reply = control.Call(request, WaitDuration());
  if (const auto error = ErrorOf(reply)) {
    return ReportError(*error);
  }
  PrintReply(reply.value());
  return reply.value().complete() ? kExitAccepted : kExitPending;
}

int QuarantineList(const ControlAddresses& control, const Arguments&) {
  return CallAndPrint(control, v1::ListQuarantineRequest());
}

int QuarantineClear(const ControlAddresses& control, const Arguments& args) {
  const auto fingerprint = ParseNumber(args[0], "the fingerprint");
  if (!fingerprint) {
    return ReportError(fingerprint.error());
  }
  v1::ClearQuarantineRequest request;
  request.set_command_id(ResolveCommandId());
  request.set_fingerprint(fingerprint.value());
  return CallAndPrint(control, request);
}

int VmForget(const ControlAddresses& control, const Arguments& args) {
  v1::ForgetVmRequest request;
  request.set_command_id(ResolveCommandId());
  request.set_vm(args[0]);
  return CallAndPrint(control, request);
}

int ShowStatus(const ControlAddresses& control, const Arguments&) {
  return CallAndPrint(control, v1::StatusRequest());
}

int EventsWatch(const ControlAddresses& control, const Arguments&) {
  const Status status = control.Watch([](const v1::EventLine& line) {
    PrintReply(line);
    return true;
  });
  return status ? kExitAccepted : ReportError(status.error());
}

/// A command and the number of arguments that it takes after its name.
struct Command {
  std::function<int(const ControlAddresses&, const Arguments&)> run;
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
};

const std::map<std::string, Command>& Commands() {
  static const auto& commands = *new std::map<std::string, Command>{
      {"config apply", {ConfigApply, 1, 1}},
      {"config validate", {ConfigValidate, 1, 1}},
      {"config diff", {ConfigDiff, 1, 1}},
      {"config show", {ConfigShow, 0, 1}},
      {"config history", {ConfigHistory, 0, 0}},
      {"config status", {ConfigStatus, 0, 1}},
      {"upstream list", {UpstreamList, 0, 0}},
      {"upstream drain", {UpstreamDrain, 1, 1}},
      {"upstream undrain", {UpstreamUndrain, 1, 1}},
      {"voter list", {VoterList, 0, 0}},
      {"voter add", {VoterAdd, 0, 0}},
      {"voter remove", {VoterRemove, 1, 1}},
      {"voter repair", {VoterRepair, 1, 1}},
      {"quarantine list", {QuarantineList, 0, 0}},
      {"quarantine clear", {QuarantineClear, 1, 1}},
      {"vm forget", {VmForget, 1, 1}},
      {"status", {ShowStatus, 0, 0}},
      {"events watch", {EventsWatch, 0, 0}},
  };
  return commands;
}

std::vector<std::string> SplitAddresses(const std::string& text) {
  std::vector<std::string> addresses;
  std::istringstream in(text);
  for (std::string address; std::getline(in, address, ',');) {
    if (!address.empty()) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

/// Reads the operator token from --token_file without its trailing newlines,
/// or else from --token or the environment.
Result<std::string> OperatorToken() {
  if (FLAGS_token_file.empty()) {
    return FlagOrEnvironment(FLAGS_token, "RATTANWARD_TOKEN");
  }
  auto text = adapter::ReadTextFile(FLAGS_token_file);
  if (text) {
    while (!text.value().empty() && text.value().back() == '\n') {
      text.value().pop_back();
    }
  }
  return text;
}

int Main(Arguments arguments) {
  // A command's name is one or two words, so words are added until it matches.
  std::string name;
  auto command = Commands().end();
  while (!arguments.empty() && command == Commands().end()) {
    name += (name.empty() ? "" : " ") + arguments.front();
    arguments.erase(arguments.begin());
    command = Commands().find(name);
  }
  if (command == Commands().end() ||
      arguments.size() < command->second.min_arguments ||
      arguments.size() > command->second.max_arguments) {
    std::cerr << kUsage << "\n";
    return kExitUsage;
  }
  const auto token = OperatorToken();
  if (!token) {
    return ReportError(token.error());
  }
  const ControlAddresses control(
      SplitAddresses(FlagOrEnvironment(FLAGS_control, "RATTANWARD_CONTROL")),
      token.value(), std::chrono::seconds(std::max(FLAGS_timeout, 1)));
  return command->second.run(control, arguments);
}

}  // namespace
}  // namespace rattanward

int main(int argc, char** argv) {
  // `timeline` only reads log files and parses its own flags; it needs neither
  // addresses nor a token.
  if (argc > 1 && std::string_view(argv[1]) == "timeline") {
    return rattanward::timeline::RunTimeline({argv + 2, argv + argc}, std::cout,
                                             std::cerr);
  }
  const rattanward::adapter::ProgramInfo info{"rattanctl", RATTANWARD_VERSION,
                                              rattanward::kUsage};
  if (!rattanward::adapter::ParseCommandLine(info, &argc, &argv)) {
    return 0;
  }
  return rattanward::Main({argv + 1, argv + argc});
}
