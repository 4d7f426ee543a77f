package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// Request is a request of a client, as the client sees it.
type Request struct {
	ID      string
	Class   string
	Timeout time.Duration
	SentAt  time.Time
	Earlier time.Time // time of the answer before this one on the connection
	Kind    string    // value, busy, error; empty without an answer
	Text    string    // first bytes of the answer
	At      time.Time // time of the answer's last byte
	Ended   time.Time // time at which the ingress ended the connection, if that came first
	EndedBy string    // EOF or the error
	Left    time.Time // time at which the client closed the connection before the answer
}

// Client is a client's connection. Several requests may be open on it.
type Client struct {
	nc net.Conn

	mu      sync.Mutex
	pending []*Request
	closed  bool
	done    chan struct{}
	lastAt  time.Time
	EndedAt time.Time
}

// Dial opens a client's connection.
func Dial(address string) (*Client, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{nc: nc, done: make(chan struct{})}
	go c.read()
	return c, nil
}

// Done returns a channel that is closed when the connection has ended.
func (c *Client) Done() <-chan struct{} { return c.done }

// Order describes a request to send.
type Order struct {
	Class    string
	Plan     string
	Customer int
	Units    int
	Spread   int
	First    int
	Timeout  time.Duration
	Key      string
	Body     string
}

// command returns the command of an order with a new id.
func (o Order) command() (*Request, string) {
	r := &Request{ID: fmt.Sprintf("%016x", 0x5000000000+lastID.Add(1)), Class: o.Class, Timeout: o.Timeout}
	name := "Q.DO"
	if o.Class == "unit-status" {
		name = "Q.ASK"
	}
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=%d,spread=%d,first=%d", o.Class, o.Plan, o.Timeout.Milliseconds(), max(1, o.Units),
		max(1, o.Spread), o.First)
	if o.Key != "" {
		fields += ",k=" + o.Key
	}
	args := []string{name, fmt.Sprintf("%016x", o.Customer), r.ID, fields}
	if o.Body != "" {
		args = append(args, o.Body)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return r, text.String()
}

// Send writes the commands of the orders at once. It returns the requests, which are filled in as answers come.
func (c *Client) Send(orders ...Order) ([]*Request, error) {
	var requests []*Request
	var text strings.Builder
	for _, o := range orders {
		r, command := o.command()
		requests = append(requests, r)
		text.WriteString(command)
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, net.ErrClosed
	}
	c.pending = append(c.pending, requests...)
	c.mu.Unlock()
	_, err := io.WriteString(c.nc, text.String())
	now := time.Now()
	c.mu.Lock()
	for _, r := range requests {
		r.SentAt = now
	}
	c.mu.Unlock()
	return requests, err
}

// Close closes the connection: the client leaves.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	for _, r := range c.pending {
		r.Left = time.Now()
	}
	c.pending = nil
	c.mu.Unlock()
	c.nc.Close()
}

// Pending returns the number of requests without an answer.
func (c *Client) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

func (c *Client) read() {
	defer close(c.done)
	in := bufio.NewReaderSize(c.nc, 64<<10)
	for {
		kind, text, err := readAnswer(in)
		now := time.Now()
		c.mu.Lock()
		if err != nil {
			for _, r := range c.pending {
				r.Ended, r.EndedBy = now, reason(err)
			}
			c.pending, c.closed, c.EndedAt = nil, true, now
			c.mu.Unlock()
			c.nc.Close()
			return
		}
		if len(c.pending) > 0 {
			r := c.pending[0]
			c.pending = c.pending[1:]
			r.Kind, r.Text, r.At, r.Earlier = kind, text, now, c.lastAt
		}
		c.lastAt = now
		c.mu.Unlock()
	}
}

func reason(err error) string {
	if errors.Is(err, io.EOF) {
		return "end of the stream"
	}
	return err.Error()
}

// readAnswer reads one answer of an ingress.
func readAnswer(in *bufio.Reader) (kind, text string, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	line = strings.TrimRight(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "-BUSY"):
		return "busy", line, nil
	case !strings.HasPrefix(line, "$"):
		return "error", line, nil
	}
	var length int
	fmt.Sscanf(line, "$%d", &length)
	value := make([]byte, length+2)
	if _, err := io.ReadFull(in, value); err != nil {
		return "", "", err
	}
	return "value", string(value[:min(length, 40)]), nil
}

// Answered reports whether the request has its answer. It must not be called while the connection is being read.
func (r *Request) Answered() bool { return r.Kind != "" }

// IsOwnValue reports whether the value is the one that a backend has made for this request.
func (r *Request) IsOwnValue() bool { return strings.HasPrefix(r.Text, "value of "+r.ID) }
