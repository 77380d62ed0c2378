#include <gflags/gflags.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/signal_set.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <istream>
#include <memory>
#include <string>

#include "../../tests/fakes/silent_proxy.h"

DEFINE_string(listen, "127.0.0.1:0", "Address to relay from");
DEFINE_string(target, "", "Address to relay to");
DEFINE_string(control, "127.0.0.1:0",
              "Address that takes command lines: silence DIRECTION (present "
              "connections), cut DIRECTION (present and new ones), open (new "
              "ones work); DIRECTION is both, to-target or from-target");

namespace rattanward {
namespace {

using asio::ip::tcp;

/// Parses ADDRESS:PORT; throws if the port isn't a number.
Endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  return {text.substr(0, colon),
          static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

/// Directions named by a command; any text but "to-target" and "from-target"
/// means both.
fakes::Swallowed ParseDirection(const std::string& text) {
  return {text != "from-target", text != "to-target"};
}

/// TCP server that controls the proxy. It reads one command line per
/// connection, executes it and replies "ok" or "unknown command".
class CommandServer {
 public:
  CommandServer(asio::io_context& io, const Endpoint& listen,
                fakes::SilentProxy& proxy)
      : acceptor_(io, tcp::endpoint(asio::ip::make_address(listen.address),
                                    listen.port)),
        proxy_(proxy) {
    Accept();
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](const asio::error_code& error, tcp::socket socket) {
          if (!error) {
            ReadLine(std::make_shared<tcp::socket>(std::move(socket)));
            Accept();
          }
        });
  }

  void ReadLine(const std::shared_ptr<tcp::socket>& socket) {
    auto buffer = std::make_shared<asio::streambuf>();
    asio::async_read_until(
        *socket, *buffer, '\n',
        [this, socket, buffer](const asio::error_code& error, std::size_t) {
          if (error) {
            return;
          }
          std::istream line(buffer.get());
          std::string command;
          std::string direction;
          line >> command >> direction;
          asio::error_code ignored;
          asio::write(*socket, asio::buffer(Execute(command, direction)),
                      ignored);
        });
  }

  std::string Execute(const std::string& command,
                      const std::string& direction) {
    if (command == "silence") {
      proxy_.Silence(ParseDirection(direction));
    } else if (command == "cut") {
      proxy_.Silence(ParseDirection(direction));
      proxy_.SetNewConnections(ParseDirection(direction));
    } else if (command == "open") {
      proxy_.SetNewConnections({});
    } else {
      return "unknown command\n";
    }
    return "ok\n";
  }

  tcp::acceptor acceptor_;
  fakes::SilentProxy& proxy_;
};

void Run() {
  asio::io_context io;
  fakes::SilentProxy proxy(io, ParseEndpoint(FLAGS_listen),
                           ParseEndpoint(FLAGS_target));
  CommandServer command_server(io, ParseEndpoint(FLAGS_control), proxy);
  asio::signal_set silence_signals(io, SIGUSR1);
  std::function<void()> wait_for_signal = [&] {
    silence_signals.async_wait([&](const asio::error_code& error, int) {
      if (!error) {
        proxy.Silence({true, true});
        wait_for_signal();
      }
    });
  };
  wait_for_signal();
  asio::signal_set stop_signals(io, SIGTERM, SIGINT);
  stop_signals.async_wait([&](const asio::error_code&, int) { io.stop(); });
  std::cout << "listen " << ToString(proxy.endpoint())
            << " control 127.0.0.1:" << command_server.port() << std::endl;
  io.run();
}

}  // namespace
}  // namespace rattanward

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Relays TCP and can make connections go silent");
  gflags::SetVersionString(RATTANWARD_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    rattanward::Run();
  } catch (const std::exception& error) {
    std::cerr << "rattanward-fake-proxy: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
