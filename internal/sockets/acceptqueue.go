package sockets

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// AcceptQueueLength returns how many connections of a TCP listener are established and wait to be accepted. It returns false if
// the listener or the system does not tell. Source: field tcpi_unacked of TCP_INFO, which holds the length of the accept queue
// for a listening socket on Linux; tcp(7).
func AcceptQueueLength(listener net.Listener) (length int, ok bool) {
	socket, isSocket := listener.(syscall.Conn)
	if !isSocket {
		return 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	controlErr := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			length = int(info.Unacked)
		}
	})
	return length, err == nil && controlErr == nil
}
