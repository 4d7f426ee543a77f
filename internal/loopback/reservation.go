// Package loopback reserves addresses of the loopback interface for programs that listen later, for tests and test tools.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// acceptQueueLength is the backlog of a listener of a reservation, in connections.
const acceptQueueLength = 128

// Reservation reserves a loopback address: the system does not assign its port to another socket, and refuses connections to it
// until a program listens there. A program can listen there during the reservation if it sets SO_REUSEADDR, as package net does.
type Reservation struct {
	socket  *os.File // bound; it listens only after Listen
	address string
}

// Reserve reserves a free port of 127.0.0.1 until Close.
func Reserve() (*Reservation, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("create socket: %w", err)
	}
	socket := os.NewFile(uintptr(fd), "reservation")
	address, err := bindLoopback(fd)
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	return &Reservation{socket: socket, address: address}, nil
}

// bindLoopback binds a socket to a free port of 127.0.0.1 and returns its address.
func bindLoopback(fd int) (address string, err error) {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", fmt.Errorf("set SO_REUSEADDR: %w", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", fmt.Errorf("bind: %w", err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return "", fmt.Errorf("get socket name: %w", err)
	}
	inet, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return "", fmt.Errorf("get socket name: got %T, want *syscall.SockaddrInet4", name)
	}
	return fmt.Sprintf("127.0.0.1:%d", inet.Port), nil
}

// Address returns the address as host:port.
func (reservation *Reservation) Address() string { return reservation.address }

// Listen starts to listen on the reserved socket itself.
func (reservation *Reservation) Listen() (net.Listener, error) {
	if err := syscall.Listen(int(reservation.socket.Fd()), acceptQueueLength); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return net.FileListener(reservation.socket)
}

// Close ends the reservation. Listeners that Listen returned stay open.
func (reservation *Reservation) Close() error { return reservation.socket.Close() }
