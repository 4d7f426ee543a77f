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

// readTimeout is the time from the dial after which reads of a client's connection fail.
const readTimeout = time.Minute

// ReadFields and WriteFields are the fields of commands of the idempotent class read and the non-idempotent class write.
const (
	ReadFields  = "c=read,t=p,d=50000,units=1,spread=1,first=0"
	WriteFields = "c=write,t=p,d=50000,units=1,spread=1,first=0"
)

// customer is the customer id in the commands that Ask and Do encode.
const customer = "00000000b4d65521"

// Dial opens a connection as a client and closes it at the end of the test. Reads fail after readTimeout.
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

// Ask encodes a Q.ASK command with a request id.
func Ask(id int, fields string) string {
	return Command("Q.ASK", customer, fmt.Sprintf("%016x", id), fields)
}

// Do encodes a Q.DO command with a request id.
func Do(id int, fields string) string {
	return Command("Q.DO", customer, fmt.Sprintf("%016x", id), fields)
}

// DoWithBody encodes a Q.DO command with a request id and a body.
func DoWithBody(id int, fields, body string) string {
	return Command("Q.DO", customer, fmt.Sprintf("%016x", id), fields, body)
}

// ReadLine reads one line of a reply and returns it without the line end. An incomplete line fails the test.
func ReadLine(t testing.TB, in *bufio.Reader) string {
	t.Helper()
	line, err := in.ReadString('\n')
	if err != nil {
		t.Fatalf("read line: got %q, %v, want a complete line", line, err)
	}
	return strings.TrimRight(line, "\r\n")
}

// WantValue reads a reply and fails the test if it is not the bulk string "value".
func WantValue(t testing.TB, in *bufio.Reader) {
	t.Helper()
	if header, value := ReadLine(t, in), ReadLine(t, in); header != "$5" || value != "value" {
		t.Fatalf(`got reply %q %q, want "$5" "value"`, header, value)
	}
}
