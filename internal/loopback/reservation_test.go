package loopback

import (
	"net"
	"testing"
)

func TestReservedAddressRefusesConnectionsUntilAProgramListens(t *testing.T) {
	reservation, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { reservation.Close() })
	if conn, err := net.Dial("tcp", reservation.Address()); err == nil {
		conn.Close()
		t.Fatal("dial of a reserved address succeeded, want an error")
	}
	listener, err := net.Listen("tcp", reservation.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", reservation.Address())
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
}

func TestReservationsHaveDifferentPorts(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		reservation, err := Reserve()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { reservation.Close() })
		if seen[reservation.Address()] {
			t.Fatalf("got %s twice, want different addresses", reservation.Address())
		}
		seen[reservation.Address()] = true
	}
}

func TestListenAcceptsAtTheReservedAddress(t *testing.T) {
	reservation, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	listener, err := reservation.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	reservation.Close()
	conn, err := net.Dial("tcp", reservation.Address())
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
}
