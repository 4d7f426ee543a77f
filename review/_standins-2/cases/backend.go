package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// reply is what a backend does with a command: it answers with the text after the delay, or never.
type reply struct {
	delay time.Duration
	text  string
	never bool
}

// backend is a stand-in for a unit node: commands on a connection start at once, and their answers keep their order.
type backend struct {
	index    int
	address  string
	record   *record
	answer   func(backend int, command []string) reply
	listener net.Listener

	mu          sync.Mutex
	connections map[net.Conn]bool
	runs        map[string][]time.Time // by the id of the request
	closed      bool
}

func newBackend(index int, rec *record, answer func(int, []string) reply) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{index: index, address: listener.Addr().String(), record: rec, answer: answer, listener: listener,
		connections: map[net.Conn]bool{}, runs: map[string][]time.Time{}}
	go b.accept()
	return b, nil
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.closed {
			conn.Close()
		}
		b.connections[conn] = true
		b.mu.Unlock()
		go b.serve(conn)
	}
}

// serve answers the commands of one connection in their order.
func (b *backend) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		b.mu.Lock()
		delete(b.connections, conn)
		b.mu.Unlock()
	}()
	answers := make(chan func() (string, bool), 512)
	done := make(chan struct{})
	defer close(answers)
	go func() {
		defer close(done)
		for answer := range answers {
			text, ok := answer()
			if !ok {
				continue // never answered: nothing behind it is answered either
			}
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}()
	reader := bufio.NewReaderSize(conn, 16<<10)
	for {
		command, err := readCommand(reader)
		if err != nil {
			return
		}
		if command[0] != "Q.ASK" && command[0] != "Q.DO" {
			answers <- func() (string, bool) { return "-ERR\r\n", true }
			continue
		}
		b.ran(command)
		due, what := time.Now(), b.answer(b.index, command)
		answers <- func() (string, bool) {
			if what.never {
				for !b.isClosed() {
					time.Sleep(20 * time.Millisecond)
				}
				return "", false
			}
			time.Sleep(time.Until(due.Add(what.delay)))
			return what.text, true
		}
	}
}

func (b *backend) isClosed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

// ran records that a command has begun to run here: its last byte has arrived.
func (b *backend) ran(command []string) {
	b.mu.Lock()
	b.runs[command[2]] = append(b.runs[command[2]], time.Now())
	b.mu.Unlock()
	b.record.printf("backend %d runs %s %s %s", b.index, command[0], command[2], command[3])
}

func (b *backend) runsOf(id string) []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

func (b *backend) close() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for conn := range b.connections {
		conn.Close()
	}
}

// served is the answer to a request that was served: its value, its true units, and a load report.
func served(value string) string {
	const report = "util=0.40,latency_ms=40,queue=0"
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$6\r\ncost=1\r\n$%d\r\n%s\r\n", len(value), value, len(report), report)
}

// readCommand reads an array of bulk strings.
func readCommand(reader *bufio.Reader) ([]string, error) {
	count, err := readLength(reader, '*')
	if err != nil || count < 1 || count > 16 {
		return nil, fmt.Errorf("not a command: %d, %w", count, err)
	}
	command := make([]string, count)
	for i := range command {
		length, err := readLength(reader, '$')
		if err != nil || length < 0 {
			return nil, fmt.Errorf("not a bulk string: %d, %w", length, err)
		}
		text := make([]byte, length+2)
		if _, err := io.ReadFull(reader, text); err != nil {
			return nil, err
		}
		command[i] = string(text[:length])
	}
	return command, nil
}

func readLength(reader *bufio.Reader, kind byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if line == "" || line[0] != kind {
		return 0, fmt.Errorf("got %q, want %c", line, kind)
	}
	return strconv.Atoi(line[1:])
}
