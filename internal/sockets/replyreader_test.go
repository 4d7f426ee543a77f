package sockets

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"lemontack/internal/nettest"
)

// newTestReader returns a reader of a connection and the other end of it.
func newTestReader(t *testing.T) (*ReplyReader, *net.TCPConn) {
	t.Helper()
	peer, conn := nettest.ConnPair(t)
	return NewReplyReader(conn), peer
}

func send(t *testing.T, peer net.Conn, input string) {
	t.Helper()
	if _, err := io.WriteString(peer, input); err != nil {
		t.Fatal(err)
	}
}

// wantRead reads once and fails the test unless the result is as given.
func wantRead(t *testing.T, reader *ReplyReader, input string, wantErr error) {
	t.Helper()
	b := make([]byte, 16)
	if n, err := reader.Read(b); string(b[:n]) != input || !errors.Is(err, wantErr) {
		t.Fatalf("read %q, error %v; want %q, %v", b[:n], err, input, wantErr)
	}
}

func wantExpect(t *testing.T, reader *ReplyReader, want error) {
	t.Helper()
	if err := reader.Expect(1); !errors.Is(err, want) {
		t.Fatalf("Expect: got %v, want %v", err, want)
	}
}

// Input that is read while no reply is expected makes the connection unusable: it must not become part of the next reply.
func TestInputBeforeARequestMakesConnectionUnusable(t *testing.T) {
	reader, peer := newTestReader(t)
	if !reader.IsOpenWithoutInput() {
		t.Fatal("a new connection is unusable")
	}
	send(t, peer, "x")
	wantRead(t, reader, "", ErrUnusable)
	wantExpect(t, reader, ErrUnusable)
}

// The same holds for a connection that gives no access to its socket.
func TestInputBeforeARequestMakesPipeUnusable(t *testing.T) {
	conn, peer := net.Pipe()
	defer peer.Close()
	reader := NewReplyReader(conn)
	go io.WriteString(peer, "x")
	wantRead(t, reader, "", ErrUnusable)
	wantExpect(t, reader, ErrUnusable)
}

// Input that has arrived before a request and has not been read makes the connection unusable too, and so does its end.
func TestUnreadInputMakesConnectionUnusable(t *testing.T) {
	for name, act := range map[string]func(*net.TCPConn){
		"input": func(peer *net.TCPConn) { io.WriteString(peer, "x") },
		"end":   func(peer *net.TCPConn) { peer.CloseWrite() },
		"reset": func(peer *net.TCPConn) {
			peer.SetLinger(0)
			peer.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			reader, peer := newTestReader(t)
			act(peer)
			nettest.Eventually(t, "the connection is unusable", func() bool { return !reader.IsOpenWithoutInput() })
			wantExpect(t, reader, ErrUnusable)
		})
	}
}

// Replies to several requests are read in any pieces. Only what follows the last reply makes the connection unusable.
func TestInputBehindLastReplyMakesConnectionUnusable(t *testing.T) {
	reader, peer := newTestReader(t)
	wantExpect(t, reader, nil)
	wantExpect(t, reader, nil)
	send(t, peer, "ab")
	wantRead(t, reader, "ab", nil)
	if err := reader.Received(1); err != nil {
		t.Fatalf("first reply: got %v, want none", err)
	}
	if err := reader.Received(0); err != nil {
		t.Fatalf("second reply: got %v, want none", err)
	}
	wantExpect(t, reader, nil)
	send(t, peer, "cd")
	wantRead(t, reader, "cd", nil)
	if err := reader.Received(1); !errors.Is(err, ErrUnusable) {
		t.Fatalf("input behind the last reply: got %v, want %v", err, ErrUnusable)
	}
	wantExpect(t, reader, ErrUnusable)
}

// The end of the connection and its read deadline are reported as by net.Conn.
func TestReadReturnsEndAndTimeout(t *testing.T) {
	reader, peer := newTestReader(t)
	reader.conn.SetReadDeadline(time.Now().Add(-time.Second))
	wantRead(t, reader, "", os.ErrDeadlineExceeded)
	reader.conn.SetReadDeadline(time.Time{})
	peer.CloseWrite()
	wantRead(t, reader, "", io.EOF)
	reader.conn.Close()
	wantRead(t, reader, "", net.ErrClosed)
}
