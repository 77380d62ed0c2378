#include "rattanward/entry/call_timer.h"

#include <asio/steady_timer.hpp>
#include <utility>

namespace rattanward::entry {
namespace {

class AsioCallTimer : public CallTimer {
 public:
  explicit AsioCallTimer(asio::io_context& io) : timer_(io) {}

  void Start(Duration delay, Callback callback) override {
    timer_.expires_after(delay);
    timer_.async_wait(
        [callback = std::move(callback)](const asio::error_code& e) {
          if (!e) {
            callback();
          }
        });
  }
  void Cancel() override { timer_.cancel(); }

 private:
  asio::steady_timer timer_;
};

}  // namespace

CallTimerFactory MakeCallTimerFactory(asio::io_context& io) {
  return [&io] { return std::make_unique<AsioCallTimer>(io); };
}

}  // namespace rattanward::entry
