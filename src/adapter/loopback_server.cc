#include "rattanward/adapter/loopback_server.h"

#include <iostream>

#include "rattanward/adapter/elastic_task_queue.h"

namespace rattanward::adapter {
namespace {

constexpr const char* kLoopback = "127.0.0.1";

}  // namespace

LoopbackServer::LoopbackServer(std::size_t max_threads) {
  server_.new_task_queue = [max_threads] {
    return new ElasticTaskQueue(max_threads);
  };
  server_.set_tcp_nodelay(true);
}

LoopbackServer::~LoopbackServer() {
  server_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

int LoopbackServer::Start(int port) {
  if (port == 0) {
    port = server_.bind_to_any_port(kLoopback);
  } else if (!server_.bind_to_port(kLoopback, port)) {
    std::cerr << "cannot listen on port " << port << "\n";
    return 0;
  }
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  std::cout << "listening on " << kLoopback << ":" << port << std::endl;
  return port;
}

}  // namespace rattanward::adapter
