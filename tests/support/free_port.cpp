#include "tests/support/free_port.h"

#include <cstddef>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

namespace agatevane::test {

namespace {

    //! Below 32768, where Linux's range for outgoing connections begins, and above the ports of scripts/demo.
    constexpr int firstPort = 22000;
    constexpr int lastPort = 32700;
    //! Distance between the first ports tried by processes with successive ids, so that parallel tests rarely try the
    //! same ones.
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

    //! Reserves the port for this process among all test processes by binding a name in the kernel's table of local
    //! sockets. The socket is never closed: the kernel frees the name when the process ends.
    bool reserve(int port)
    {
        int socket = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_un name {};
        name.sun_family = AF_UNIX;
        // A name that begins with a zero byte creates no file.
        auto text = "agatevane-test-port-" + std::to_string(port);
        text.copy(name.sun_path + 1, sizeof name.sun_path - 1);
        auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + text.size());
        if (::bind(socket, reinterpret_cast<sockaddr*>(&name), size) == 0)
            return true;
        ::close(socket);
        return false;
    }

} // namespace

int freePort()
{
    constexpr int count = lastPort - firstPort;
    static int next = static_cast<int>(static_cast<long>(::getpid()) * portsPerProcess % count);
    for (int tried = 0; tried < count; ++tried) {
        int port = firstPort + next++ % count;
        if (reserve(port) && isFree(SOCK_STREAM, port) && isFree(SOCK_DGRAM, port))
            return port;
    }
    throw std::runtime_error("no free port below the range of outgoing connections");
}

} // namespace agatevane::test
