package sock

import "golang.org/x/sys/unix"

// States of a TCP connection in struct tcp_info of Linux.
const (
	tcpStateClose     = 7 // it was reset
	tcpStateCloseWait = 8 // the peer has closed
)

// closedBehindData reports whether the peer has closed a socket with unread data.
func closedBehindData(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && (info.State == tcpStateClose || info.State == tcpStateCloseWait)
}
