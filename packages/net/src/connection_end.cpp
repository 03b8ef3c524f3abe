#include "nutmegsill/connection_end.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

namespace nutmegsill {

ConnectionEnd connectionEnd(int fd) {
  ConnectionEnd out;
  tcp_info info{};
  socklen_t size = sizeof(info);
  int bytes = 0;
  out.IsOrderly = ::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
                  info.tcpi_state == TCP_CLOSE_WAIT &&
                  ::ioctl(fd, SIOCOUTQ, &bytes) == 0;
  out.UnacknowledgedBytes = bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
  return out;
}

bool isQuiet(int fd) {
  char byte = 0;
  return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace nutmegsill
