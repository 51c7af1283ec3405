#include "rig/ports.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <stdexcept>
#include <unistd.h>

namespace review {

int freePort()
{
    constexpr int firstPort = 18000;
    constexpr int portsPerProcess = 20;
    constexpr int processes = 600;
    constexpr int maxTries = 1000;
    static int next = firstPort + static_cast<int>(::getpid() % processes) * portsPerProcess;
    asio::io_context context;
    for (int tries = 0; tries < maxTries; ++tries) {
        int port = next++;
        asio::ip::tcp::acceptor acceptor(context);
        std::error_code error;
        acceptor.open(asio::ip::tcp::v4(), error);
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
        acceptor.bind({ asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port) }, error);
        if (!error)
            acceptor.listen(1, error);
        if (!error)
            return port;
    }
    throw std::runtime_error("no free port");
}

} // namespace review
