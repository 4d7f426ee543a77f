package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Attempt is a command that has reached a backend whole.
type Attempt struct {
	ID         string
	Class      string
	Backend    int
	FirstByte  time.Time
	LastByte   time.Time
	AnsweredAt time.Time // zero while it has no answer
	MoreAt     time.Time // time at which more was written behind the answer
}

// maxMoreDelay is how late More may be; if it would be later, it is not written.
const maxMoreDelay = 3 * time.Millisecond

// Answer says what a backend does with a command: it answers with Text after Delay. An empty Text means no answer. More is
// written behind the answer, MoreAfter later, if no other command has come on the connection by then; Rest ends it RestAfter later.
type Answer struct {
	Delay     time.Duration
	Text      string
	MoreAfter time.Duration
	More      string
	RestAfter time.Duration
	Rest      string
}

// Backend is one backend. Behave decides what happens to each command; it is called concurrently.
type Backend struct {
	Index   int
	Address string
	Behave  func(b *Backend, id, class string) Answer

	ln net.Listener

	mu       sync.Mutex
	attempts []*Attempt
}

// NewBackend starts a backend on a free port.
func NewBackend(index int, behave func(b *Backend, id, class string) Answer) (*Backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{Index: index, Address: ln.Addr().String(), Behave: behave, ln: ln}
	go b.accept() // ends with the process of the case
	return b, nil
}

func (b *Backend) accept() {
	for {
		nc, err := b.ln.Accept()
		if err != nil {
			return
		}
		go b.serve(nc)
	}
}

// Attempts returns copies of the attempts so far.
func (b *Backend) Attempts() (list []Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.attempts {
		list = append(list, *a)
	}
	return list
}

// serve serves the commands of one connection, one after another: an ingress writes the next one after the answer.
func (b *Backend) serve(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReaderSize(nc, 4<<10)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		args, err := readCommand(in)
		if err != nil {
			return
		}
		if len(args) < 4 {
			io.WriteString(nc, "-ERR unknown command\r\n")
			continue
		}
		a := &Attempt{ID: args[2], Class: field(args[3], "c"), Backend: b.Index, FirstByte: first, LastByte: time.Now()}
		b.mu.Lock()
		b.attempts = append(b.attempts, a)
		b.mu.Unlock()
		answer := b.Behave(b, a.ID, a.Class)
		if answer.Text == "" { // keeps the connection open, in silence
			io.Copy(io.Discard, in)
			return
		}
		time.Sleep(answer.Delay)
		if _, err := io.WriteString(nc, answer.Text); err != nil {
			return
		}
		b.mu.Lock()
		a.AnsweredAt = time.Now()
		b.mu.Unlock()
		answered := time.Now()
		if answer.More == "" {
			continue
		}
		nc.SetReadDeadline(time.Now().Add(answer.MoreAfter))
		_, err = in.Peek(1)
		nc.SetReadDeadline(time.Time{})
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Since(answered) < answer.MoreAfter+maxMoreDelay {
			io.WriteString(nc, answer.More)
			time.Sleep(answer.RestAfter)
			io.WriteString(nc, answer.Rest)
			b.mu.Lock()
			a.MoreAt = time.Now()
			b.mu.Unlock()
		}
	}
}

// Value returns a backend's answer with a value that begins with the id of the request and has the given length.
func Value(id string, length int) string {
	value := "value of " + id + strings.Repeat(".", max(0, length-len(id)-9))
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$13\r\nused=2,cost=2\r\n$-1\r\n", len(value), value)
}

// LastElement is the last element of Value.
const LastElement = "$-1\r\n"

// Unfinished returns the part of Value that comes before its last element: an answer that never ends.
func Unfinished(id string, length int) string {
	return strings.TrimSuffix(Value(id, length), LastElement)
}

// field returns the value of a field of a command.
func field(fields, name string) string {
	for part := range strings.SplitSeq(fields, ",") {
		if value, ok := strings.CutPrefix(part, name+"="); ok {
			return value
		}
	}
	return ""
}

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	count, err := readLength(in, '*')
	if err != nil {
		return nil, err
	}
	args := make([]string, 0, count)
	for range count {
		length, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		text := make([]byte, length+2)
		if _, err := io.ReadFull(in, text); err != nil {
			return nil, err
		}
		args = append(args, string(text[:length]))
	}
	return args, nil
}

func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 3 || line[0] != kind {
		return 0, fmt.Errorf("unexpected line %q", line)
	}
	return strconv.Atoi(strings.TrimRight(line[1:], "\r\n"))
}
