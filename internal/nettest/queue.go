package nettest

import (
	"net"
	"syscall"
	"testing"
	"unsafe"
)

// AwaitDelivery waits until all that sender has written has arrived at the other end of its TCP connection, read or not.
func AwaitDelivery(t testing.TB, sender net.Conn) {
	t.Helper()
	Eventually(t, "the input has arrived", func() bool { return queueLength(t, sender, syscall.TIOCOUTQ) == 0 })
}

// AwaitRead waits until all that sender has written has been read from receiver, the other end of its TCP connection, or until
// receiver is closed.
func AwaitRead(t testing.TB, sender, receiver net.Conn) {
	t.Helper()
	AwaitDelivery(t, sender)
	Eventually(t, "the input has been read", func() bool { return queueLength(t, receiver, syscall.TIOCINQ) == 0 })
}

// queueLength returns the length in bytes of a queue of a TCP socket, TIOCOUTQ for sent bytes that have not been acknowledged and
// TIOCINQ for received ones that have not been read, or 0 if the connection is closed.
func queueLength(t testing.TB, conn net.Conn, queue uintptr) int32 {
	t.Helper()
	rawConn, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var length int32
	rawConn.Control(func(fd uintptr) {
		if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, queue, uintptr(unsafe.Pointer(&length))); errno != 0 {
			t.Errorf("ioctl %#x: %v", queue, errno)
		}
	})
	return length
}
