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

// request is one request of a usual client.
type request struct {
	id     string
	class  string
	plan   string
	wait   time.Duration // how long the client will wait
	sentAt time.Time     // its last byte was written

	answer     string // the first line of the answer, or "" if there is none
	value      string
	answeredAt time.Time
}

var requestNumber struct {
	sync.Mutex
	next uint64
}

func newRequest(class, plan string, wait time.Duration) *request {
	requestNumber.Lock()
	defer requestNumber.Unlock()
	requestNumber.next++
	return &request{id: fmt.Sprintf("%016x", 0x9b1f03aa00000000+requestNumber.next), class: class, plan: plan, wait: wait}
}

// encode returns the command. The body is sent with Q.DO only.
func (r *request) encode(customer uint64, spread int, body string) string {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=1,spread=%d,first=0", r.class, r.plan, r.wait.Milliseconds(), spread)
	words := []string{"Q.ASK", fmt.Sprintf("%016x", customer), r.id, fields}
	if r.class == "book-callout" {
		words[0] = "Q.DO"
		words = append(words, body)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	return text.String()
}

// clientConn is a connection of a usual client. It reads all the time, as fast as answers come.
type clientConn struct {
	conn   net.Conn
	name   string
	record *record

	mu      sync.Mutex
	open    []*request // sent and not answered, in order
	done    []*request // answered
	closed  bool       // the client itself has closed it
	endedAt time.Time  // the ingress's side ended it
	endErr  error
	ended   chan struct{}
}

func dialClient(address, name string, rec *record) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &clientConn{conn: conn, name: name, record: rec, ended: make(chan struct{})}
	go c.read()
	return c, nil
}

// send writes a request whole.
func (c *clientConn) send(r *request, text string) error {
	c.mu.Lock()
	c.open = append(c.open, r)
	c.mu.Unlock()
	_, err := io.WriteString(c.conn, text)
	c.mu.Lock()
	r.sentAt = time.Now()
	c.mu.Unlock()
	if err != nil {
		c.record.printf("client %s could not send %s: %v", c.name, r.id, err)
		return err
	}
	c.record.printf("client %s sent %s %s d=%d", c.name, r.class, r.id, r.wait.Milliseconds())
	return nil
}

func (c *clientConn) read() {
	reader := bufio.NewReaderSize(c.conn, 64<<10)
	for {
		line, value, err := readAnswer(reader)
		now := time.Now()
		c.mu.Lock()
		if err != nil {
			c.endedAt, c.endErr = now, err
			if !c.closed {
				c.record.printf("client %s: connection ended: %v, %d requests open", c.name, err, len(c.open))
			}
			c.mu.Unlock()
			close(c.ended)
			return
		}
		if len(c.open) == 0 {
			c.record.printf("client %s got %q with no request open", c.name, line)
			c.mu.Unlock()
			continue
		}
		r := c.open[0]
		c.open = c.open[1:]
		r.answer, r.value, r.answeredAt = line, value, now
		c.done = append(c.done, r)
		c.mu.Unlock()
		c.record.printf("client %s got %s for %s after %d ms", c.name, line, r.id, now.Sub(r.sentAt).Milliseconds())
	}
}

// readAnswer reads one answer: its first line, and the value of a bulk string.
func readAnswer(reader *bufio.Reader) (line, value string, err error) {
	line, err = reader.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if !strings.HasPrefix(line, "$") {
		return line, "", nil
	}
	length, err := strconv.Atoi(line[1:])
	if err != nil || length < 0 {
		return line, "", nil
	}
	text := make([]byte, length+2)
	if _, err := io.ReadFull(reader, text); err != nil {
		return "", "", err
	}
	return line, string(text[:length]), nil
}

// hasEnded reports whether the ingress has ended the connection.
func (c *clientConn) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// close closes the client's side.
func (c *clientConn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.conn.Close()
}
