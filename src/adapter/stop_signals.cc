#include "rattanward/adapter/stop_signals.h"

#include <pthread.h>

#include <csignal>
#include <utility>

namespace rattanward::adapter {
namespace {

void SetHeldBack(int how) {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  pthread_sigmask(how, &set, nullptr);
}

}  // namespace

StopSignals::StopSignals() {
  SetHeldBack(SIG_BLOCK);
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
}

void StopSignals::Watch(asio::io_context& io, std::function<void()> on_stop) {
  signals_.emplace(io, SIGTERM, SIGINT);
  signals_->async_wait(
      [on_stop = std::move(on_stop)](const asio::error_code& e, int) {
        if (!e) {
          on_stop();
        }
      });
  SetHeldBack(SIG_UNBLOCK);
}

void StopSignals::Close() {
  SetHeldBack(SIG_BLOCK);
  signals_.reset();
}

}  // namespace rattanward::adapter
