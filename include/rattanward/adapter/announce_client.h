#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/domain/upstream.h"

namespace rattanward::adapter {

/// @brief Announces one upstream to entries, over and over, on a thread.
/// @note Each round goes to the next entry of the list that answers.
class AnnounceClient {
 public:
  /// @brief Starts announcing.
  /// @param entries Endpoints that take announcements.
  /// @param token Token that the entries expect.
  /// @param period Time between two rounds.
  /// @param source Gives the announcement of a round; sequence is filled in.
  AnnounceClient(std::vector<Endpoint> entries, std::string token,
                 Duration period, std::function<Announcement()> source);
  ~AnnounceClient();
  AnnounceClient(const AnnounceClient&) = delete;
  AnnounceClient& operator=(const AnnounceClient&) = delete;

  /// @brief Announces now, to every entry, as when draining begins.
  void AnnounceToAll();

 private:
  void Run();
  bool Post(const Endpoint& entry, const std::string& body) const;
  std::string NextBody();

  std::vector<Endpoint> entries_;
  std::string token_;
  Duration period_;
  std::function<Announcement()> source_;
  std::atomic<std::uint64_t> sequence_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

/// @brief Reads "address:port,address:port".
/// @param text The list; empty parts are skipped.
/// @return The endpoints; an unreadable port becomes 0.
std::vector<Endpoint> ParseEndpoints(const std::string& text);

}  // namespace rattanward::adapter
