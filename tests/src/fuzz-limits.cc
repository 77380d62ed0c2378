#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "rattanward/policy/account_limits.h"

namespace rattanward::policy {
namespace {

using Command = std::tuple<std::uint8_t, std::uint8_t>;
using Message = std::variant<AddressedRequest, PortionGrant>;

const ClientAccountId kAccount("a");
/// Maximum run time of a request in this test.
constexpr Duration kMaxRunTime = std::chrono::seconds(60);

// Simulates entries and a network that loses, delays, duplicates and reorders
// messages. As the oracle, counts the requests that are in flight and those
// that started in the last minute over all entries.
class Simulation {
 public:
  Simulation(int entries, std::uint32_t in_flight, std::uint32_t per_minute)
      : in_flight_limit_(in_flight), per_minute_limit_(per_minute) {
    ClientAccount account;
    account.id = kAccount;
    account.max_in_flight = in_flight;
    account.requests_per_minute = per_minute;
    accounts_ = {account};
    for (int i = 0; i < entries; ++i) {
      names_.emplace_back("p" + std::to_string(i));
    }
    for (int i = 0; i < entries; ++i) {
      limits_.emplace_back(entries);
      running_.emplace_back();
      Restart(i, true);
    }
  }

  void Apply(const Command& command) {
    const auto [kind, arg] = command;
    const std::size_t entry = arg % limits_.size();
    switch (kind % 10) {
      case 0:
      case 1:
      case 2:
        for (int i = 0; i <= arg / 8 % 8; ++i) {
          Start(entry);
        }
        return;
      case 3:
        return EndOldest(entry);
      case 4:
        return Advance(std::chrono::milliseconds(100 * arg), limits_.size());
      case 5:
        return Deliver(arg);
      case 6:
      case 7:
        return DeliverAll();
      case 8:
        return InjectFault(arg);
      default:
        // One entry sends no requests meanwhile, as if it were frozen.
        return Advance(std::chrono::seconds(arg), entry);
    }
  }

 private:
  void Start(std::size_t entry) {
    if (limits_[entry].TryStart(kAccount, now_) != AccountRefusal::kNone) {
      return;
    }
    running_[entry].push_back(now_);
    starts_.push_back(now_);
    std::size_t running = 0;
    for (const auto& own : running_) {
      running += own.size();
    }
    RC_ASSERT(in_flight_limit_ == 0 || running <= in_flight_limit_);
    std::erase_if(starts_, [this](TimePoint at) {
      return at <= now_ - std::chrono::minutes(1);
    });
    RC_ASSERT(per_minute_limit_ == 0 || starts_.size() <= per_minute_limit_);
  }

  void EndOldest(std::size_t entry) {
    if (!running_[entry].empty()) {
      running_[entry].pop_front();
      limits_[entry].End(kAccount);
    }
  }

  void Advance(Duration step, std::size_t frozen) {
    now_ += step;
    for (std::size_t entry = 0; entry < limits_.size(); ++entry) {
      while (!running_[entry].empty() &&
             now_ - running_[entry].front() > kMaxRunTime) {
        EndOldest(entry);
      }
      if (entry == frozen) {
        continue;
      }
      for (const AddressedRequest& out : limits_[entry].TakeRequests(now_)) {
        network_.emplace_back(out);
      }
    }
  }

  // Advances by one second and delivers the messages in transit, with the
  // answers to them.
  void DeliverAll() {
    Advance(std::chrono::seconds(1), limits_.size());
    const std::size_t arriving = 2 * network_.size();
    for (std::size_t i = 0; i < arriving && !network_.empty(); ++i) {
      Deliver(0);
    }
  }

  // Delivers one message in transit; one in four stays, to be delivered again.
  void Deliver(std::uint8_t arg) {
    if (network_.empty()) {
      return;
    }
    const std::size_t index = arg % network_.size();
    const Message message = network_[index];
    if (arg % 4 != 3) {
      network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (const auto* grant = std::get_if<PortionGrant>(&message)) {
      return limits_[IndexOf(grant->entry)].ApplyGrant(*grant);
    }
    const auto& request = std::get<AddressedRequest>(message);
    const auto answer =
        limits_[IndexOf(request.home)].Answer(request.request, now_);
    if (answer) {
      network_.emplace_back(*answer);
    }
  }

  // Loses a message or restarts an entry's process.
  void InjectFault(std::uint8_t arg) {
    if (arg % 4 == 0) {
      return Restart(arg / 4 % limits_.size(), false);
    }
    if (!network_.empty()) {
      network_.erase(network_.begin() +
                     static_cast<std::ptrdiff_t>(arg % network_.size()));
    }
  }

  void Restart(std::size_t entry, bool fresh) {
    limits_[entry] = AccountLimits(1);
    limits_[entry].SetAccounts(accounts_);
    limits_[entry].SetGroup({names_[entry], ++incarnations_, names_, fresh},
                            now_);
    running_[entry].clear();
    // A new process doesn't know its starts of the last minute, so it may
    // exceed the rate limit within that minute. The oracle forgets the starts
    // as well.
    if (!fresh) {
      starts_.clear();
    }
  }

  std::size_t IndexOf(const ProcessId& name) const {
    return std::find(names_.begin(), names_.end(), name) - names_.begin();
  }

  std::uint32_t in_flight_limit_;
  std::uint32_t per_minute_limit_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<ClientAccount> accounts_;
  std::vector<ProcessId> names_;
  std::vector<AccountLimits> limits_;
  std::vector<std::deque<TimePoint>> running_;
  std::vector<TimePoint> starts_;
  std::vector<Message> network_;
  std::uint64_t incarnations_ = 0;
};

}  // namespace

TEST_CASE("limits: all entries together never exceed an account's limits") {
  CHECK(rc::check("limits with an unreliable network",
                  [](const std::vector<Command>& commands) {
                    const int entries = *rc::gen::inRange(1, 6);
                    const auto in_flight =
                        *rc::gen::element<std::uint32_t>(0, 1, 3, 7, 20);
                    const auto per_minute =
                        *rc::gen::element<std::uint32_t>(0, 0, 2, 9, 30);
                    Simulation simulation(entries, in_flight, per_minute);
                    for (const Command& command : commands) {
                      simulation.Apply(command);
                    }
                  }));
}

TEST_CASE(
    "limits: with a reliable network one entry gets all but the other's "
    "share") {
  ClientAccount account;
  account.id = kAccount;
  account.max_in_flight = 20;
  const std::vector<ProcessId> names = {ProcessId("p0"), ProcessId("p1")};
  std::vector<AccountLimits> limits(2, AccountLimits(2));
  TimePoint now(std::chrono::hours(1));
  for (std::size_t i = 0; i < limits.size(); ++i) {
    limits[i].SetAccounts({account});
    limits[i].SetGroup({names[i], 1, names, true}, now);
  }
  const std::size_t home = limits[0].HomeOf(kAccount) == names[0] ? 0 : 1;
  AccountLimits& entry = limits[1 - home];
  int started = 0;
  for (int round = 0; round < 20; ++round) {
    for (int i = 0; i < 20; ++i) {
      started += entry.TryStart(kAccount, now) == AccountRefusal::kNone ? 1 : 0;
    }
    now += std::chrono::seconds(1);
    for (const AddressedRequest& out : entry.TakeRequests(now)) {
      entry.ApplyGrant(*limits[home].Answer(out.request, now));
    }
  }
  // The limit of 20 less the other entry's even share of 5.
  CHECK(started == 15);
}

}  // namespace rattanward::policy
