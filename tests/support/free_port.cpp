#include "tests/support/free_port.h"

#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace agatevane::test {

namespace {

    //! Below 32768, where Linux's range for outgoing connections begins, and above the ports of scripts/demo.
    constexpr int firstPort = 22000;
    constexpr int lastPort = 32700;
    //! Test programs that run side by side begin this far from each other, spread by their process ids.
    constexpr int portsPerProcess = 97;

    //! A bound socket, or -1 if the port is taken.
    int bindPort(int type, int port)
    {
        int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
            return socket;
        ::close(socket);
        return -1;
    }

    bool isFree(int type, int port)
    {
        int socket = bindPort(type, port);
        if (socket < 0)
            return false;
        ::close(socket);
        return true;
    }

} // namespace

int freePort()
{
    constexpr int count = lastPort - firstPort;
    static int next = static_cast<int>(static_cast<long>(::getpid()) * portsPerProcess % count);
    for (int tried = 0; tried < count; ++tried) {
        int port = firstPort + next++ % count;
        if (isFree(SOCK_STREAM, port) && isFree(SOCK_DGRAM, port))
            return port;
    }
    throw std::runtime_error("no free port below the range of outgoing connections");
}

int reservedPort()
{
    constexpr int maxTries = 100;
    for (int tried = 0; tried < maxTries; ++tried) {
        int port = freePort();
        // The socket is never closed; the kernel closes it with the process.
        if (bindPort(SOCK_DGRAM, port) >= 0)
            return port;
    }
    throw std::runtime_error("no port could be reserved");
}

} // namespace agatevane::test
