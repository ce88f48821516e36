#include "traffic.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace PrimroseBridge {

Traffic measureTraffic()
{
    std::uint64_t bytes = 0;
    std::uint64_t segments = 0;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        const int descriptor = std::stoi(entry.path().filename().string());
        tcp_info info = {};
        socklen_t length = sizeof info;
        if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) == 0) {
            bytes += info.tcpi_bytes_acked;
            segments += info.tcpi_segs_out;
        }
    }
    return Traffic{bytes, segments};
}

std::uint64_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t threadCount()
{
    const std::filesystem::directory_iterator tasks("/proc/self/task");
    return static_cast<std::uint64_t>(std::distance(begin(tasks), end(tasks)));
}

} // namespace PrimroseBridge
