package nettest

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// readTimeout is the time after which a read of a client's connection fails.
const readTimeout = time.Minute

// ReadFields and WriteFields are the fields of a command of the idempotent class read and of the non-idempotent class write.
const (
	ReadFields  = "c=read,t=p,d=50000,units=1,spread=1,first=0"
	WriteFields = "c=write,t=p,d=50000,units=1,spread=1,first=0"
)

// customer is the customer of the commands that Ask and Do encode.
const customer = "00000000b4d65521"

// Dial opens a client's connection, which the end of the test closes. Its reads fail after a minute.
func Dial(t testing.TB, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	return conn, bufio.NewReader(conn)
}

// Command encodes a command as an array of bulk strings.
func Command(args ...string) string {
	b := redcon.AppendArray(nil, len(args))
	for _, arg := range args {
		b = redcon.AppendBulkString(b, arg)
	}
	return string(b)
}

// Ask encodes a Q.ASK command of the request with this id.
func Ask(id int, fields string) string {
	return Command("Q.ASK", customer, fmt.Sprintf("%016x", id), fields)
}

// Do encodes a Q.DO command of the request with this id.
func Do(id int, fields string) string {
	return Command("Q.DO", customer, fmt.Sprintf("%016x", id), fields)
}

// ReadLine reads one line of a reply and returns it without its end. An incomplete line fails the test.
func ReadLine(t testing.TB, in *bufio.Reader) string {
	t.Helper()
	line, err := in.ReadString('\n')
	if err != nil {
		t.Fatalf("read %q: %v", line, err)
	}
	return strings.TrimRight(line, "\r\n")
}

// WantValue reads a reply, which must be the bulk string "value".
func WantValue(t testing.TB, in *bufio.Reader) {
	t.Helper()
	if header, value := ReadLine(t, in), ReadLine(t, in); header != "$5" || value != "value" {
		t.Fatalf("reply %q %q, want the value", header, value)
	}
}
