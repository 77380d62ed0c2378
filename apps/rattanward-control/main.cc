#include <asio/io_context.hpp>
#include <chrono>
#include <iostream>
#include <memory>
#include <string>

#include "rattanward/adapter/command_line.h"
#include "rattanward/adapter/daemon_flags.h"
#include "rattanward/adapter/event_log.h"
#include "rattanward/adapter/file_log_storage.h"
#include "rattanward/adapter/settings.h"
#include "rattanward/adapter/stop_signals.h"
#include "rattanward/control/control_daemon.h"
#include "rattanward/rpc/control_calls.h"
#include "rattanward/rpc/event_feed.h"
#include "rattanward/rpc/operator_server.h"

namespace rattanward {
namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotListen = 3;
constexpr int kExitStorage = 4;
constexpr Duration kHandOverLimit{std::chrono::seconds(2)};

/// Prints the error and returns the exit code given.
int PrintError(const Error& error, int code) {
  std::cerr << "rattanward-control: " << static_cast<int>(error.code) << " "
            << ErrorName(error.code) << ": " << error.message << "\n";
  return code;
}

/// Settings, the secrets read from the files that they name, and the opened
/// event log, which is null with --check.
struct StartupInputs {
  adapter::ControlSettings settings;
  std::string secret;
  std::string token;
  std::shared_ptr<adapter::EventLog> log;
};

Result<StartupInputs> ReadStartupInputs() {
  StartupInputs inputs;
  auto settings = adapter::LoadControlSettings(FLAGS_settings);
  if (!settings) {
    return settings.error();
  }
  inputs.settings = std::move(settings.value());
  auto secret = adapter::ReadSecret(inputs.settings.shared_secret);
  auto token = adapter::ReadSecret(inputs.settings.operator_token);
  if (!secret || !token) {
    return secret ? token.error() : secret.error();
  }
  inputs.secret = std::move(secret.value());
  inputs.token = std::move(token.value());
  if (FLAGS_check) {
    return inputs;
  }
  auto log = adapter::EventLog::Open(inputs.settings.identity,
                                     inputs.settings.log_file);
  if (!log) {
    return log.error();
  }
  inputs.log = std::move(log.value());
  return inputs;
}

/// Runs the control VM until a signal or a storage failure stops it, and
/// returns the exit code. Events go to the log and to operators who watch.
int Serve(const StartupInputs& inputs, adapter::FileLogStorage storage,
          adapter::StopSignals& signals) {
  asio::io_context io(1);
  rpc::EventFeed feed;
  const auto sink = adapter::MakeEventSink(inputs.log);
  const auto events = [sink, &feed](const Event& event) {
    sink(event);
    feed.Publish(event);
  };
  events({EventId::kProcessStarted, {}});
  if (storage.cut_bytes() > 0) {
    events({EventId::kTornTailCut,
            {{"bytes", std::to_string(storage.cut_bytes())}}});
  }
  control::ControlDaemon daemon(io, inputs.settings, inputs.secret,
                                std::move(storage), events,
                                adapter::ClockOf(inputs.log));
  rpc::ControlCalls calls(daemon, feed);
  rpc::OperatorServer server(calls, inputs.token);
  Status started = daemon.Start();
  if (started) {
    started = server.Start(inputs.settings.operator_listen);
  }
  if (!started) {
    return PrintError(started.error(), kExitCannotListen);
  }
  signals.Watch(io, [&] {
    events({EventId::kShutdownStarted, {}});
    daemon.LeaveGroup(kHandOverLimit, [&daemon] { daemon.Stop(); });
  });
  events({EventId::kProcessReady, {}});
  io.run();
  signals.Close();
  feed.Close();
  server.Stop();
  if (daemon.failure()) {
    return PrintError(*daemon.failure(), kExitStorage);
  }
  events({EventId::kProcessStopped, {}});
  return 0;
}

int Main(adapter::StopSignals& signals) {
  const auto inputs = ReadStartupInputs();
  if (!inputs) {
    return PrintError(inputs.error(), kExitBadSettings);
  }
  if (FLAGS_check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  auto storage =
      adapter::FileLogStorage::Open(inputs.value().settings.data_folder);
  if (!storage) {
    return PrintError(storage.error(), kExitStorage);
  }
  return Serve(inputs.value(), std::move(storage.value()), signals);
}

}  // namespace
}  // namespace rattanward

int main(int argc, char** argv) {
  rattanward::adapter::StopSignals signals;
  const rattanward::adapter::ProgramInfo info{
      "rattanward-control", RATTANWARD_VERSION,
      "Usage: rattanward-control --settings control.toml\n"
      "One control VM: replicated log, ledger and operator RPC."};
  if (!rattanward::adapter::ParseCommandLine(info, &argc, &argv)) {
    return 0;
  }
  return rattanward::Main(signals);
}
