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

    bool isFree(int type, int port)
    {
        int probe = ::socket(AF_INET, type, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        bool isBound = ::bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(probe);
        return isBound;
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

} // namespace agatevane::test
