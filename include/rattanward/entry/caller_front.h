#pragma once

#include <httplib.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "rattanward/entry/caller_request.h"
#include "rattanward/entry/entry_core.h"

namespace rattanward::entry {

/// @brief Makes the guard of a request that may run at most once.
using GuardFactory = std::function<std::shared_ptr<RunGuard>(
    const CheckedRequest& request, const ConfigSnapshot& config)>;

/// @brief HTTP side towards callers.
class CallerFront {
 public:
  /// @brief Prepares the routes.
  /// @param core The entry's control thread.
  /// @param recorder Logs and counts requests.
  /// @param id_prefix Start of request ids; unique for this process's life.
  /// @param max_threads Connections served at once.
  /// @param guards Makes guards; may be empty if nothing needs one.
  /// @param metrics Text of GET /metrics.
  CallerFront(EntryCore& core, const RequestRecorder& recorder,
              std::string id_prefix, std::size_t max_threads,
              GuardFactory guards, std::function<std::string()> metrics);
  ~CallerFront();
  CallerFront(const CallerFront&) = delete;
  CallerFront& operator=(const CallerFront&) = delete;

  /// @brief Listens and serves on a thread of its own.
  /// @return The port in use.
  /// Errors: kDisconnected if the endpoint cannot be bound.
  Result<std::uint16_t> Start(const Endpoint& listen);

  /// @brief Fails readiness; new requests are still served.
  void FailReadiness() { ready_ = false; }

  /// @brief Requests whose answer has not wholly gone out.
  std::size_t InFlight() const { return in_flight_; }

  /// @brief Stops serving; call it once InFlight() is zero.
  void Stop();

 private:
  class OpenRequest;

  void Routes();
  void Health();
  void ListModels(const httplib::Request& request, httplib::Response& response);
  void Serve(const httplib::Request& request, httplib::Response& response,
             bool completion);
  void Answer(CheckedRequest checked, const ConfigSnapshot& snapshot,
              httplib::Response& response);
  void AnswerFromChannel(const std::shared_ptr<AnswerChannel>& channel,
                         const std::shared_ptr<OpenRequest>& open,
                         httplib::Response& response);
  RequestId NextId();

  EntryCore& core_;
  const RequestRecorder& recorder_;
  std::string id_prefix_;
  GuardFactory guards_;
  std::function<std::string()> metrics_;
  httplib::Server server_;
  std::thread thread_;
  std::atomic<bool> ready_{true};
  std::atomic<std::size_t> in_flight_{0};
  std::atomic<std::uint64_t> next_id_{1};
};

}  // namespace rattanward::entry
