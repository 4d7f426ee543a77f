package rig

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"lemontack/internal/standin"
)

// Cluster is a small deployment: backends, discovery and the counter as stand-ins, and the ingresses as processes.
type Cluster struct {
	Backends  []*Backend
	Discovery *standin.Discovery
	Counter   *standin.Counter
	Ingresses []*Ingress

	DiscoveryAddress, CounterAddress string
	Dir                              string
}

// NewCluster starts the stand-ins and prepares the ingresses, whose settings change may adapt.
func NewCluster(root string, backends, ingresses, memoryMB, sockets int, behave func(b *Backend, id, class string) Answer,
	change func(Object)) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Dir: dir}
	for i := range backends {
		b, err := NewBackend(i, behave)
		if err != nil {
			return nil, err
		}
		c.Backends = append(c.Backends, b)
	}
	c.Discovery = standin.NewDiscovery(standin.DiscoveryConfig{})
	c.Discovery.SetList(c.Targets())
	if c.DiscoveryAddress, err = Serve(c.Discovery.Serve); err != nil {
		return nil, err
	}
	c.Counter = standin.NewCounter(standin.CounterConfig{CallsPerSecond: 1300, Shards: 2})
	if c.CounterAddress, err = Serve(c.Counter.Serve); err != nil {
		return nil, err
	}
	for i := range ingresses {
		in, err := NewIngress(root, dir, fmt.Sprint("n", i))
		if err != nil {
			return nil, err
		}
		settings := Settings(i, ingresses)
		if change != nil {
			change(settings)
		}
		config := Config(fmt.Sprint("n", i), in.Address, c.DiscoveryAddress, c.CounterAddress, memoryMB, sockets, c.Targets(), settings)
		if err := in.WriteConfig(config); err != nil {
			return nil, err
		}
		c.Ingresses = append(c.Ingresses, in)
	}
	OnStop(c.stop)
	return c, nil
}

// Serve serves a stand-in on a free port.
func Serve(serve func(net.Listener) error) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go serve(ln) // ends with the process of the case
	return ln.Addr().String(), nil
}

// Targets returns the list of the backends, all serving and started long ago.
func (c *Cluster) Targets() (list []standin.Target) {
	for _, b := range c.Backends {
		list = append(list, c.Target(b.Index, "SERVING"))
	}
	return list
}

// Target returns the entry of a backend.
func (c *Cluster) Target(i int, state string) standin.Target {
	return standin.Target{UID: fmt.Sprintf("s-%08x", 0x5be2a07c+i*7919), Address: c.Backends[i].Address, Zone: "pdx-1", Model: "std-2c",
		State: state, Capacity: 1}
}

// Start starts all ingresses and waits until they are ready.
func (c *Cluster) Start() error {
	for _, in := range c.Ingresses {
		if err := in.Start(); err != nil {
			return err
		}
	}
	for _, in := range c.Ingresses {
		if err := in.AwaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all ingresses and removes the temporary folder.
func (c *Cluster) stop() {
	for _, in := range c.Ingresses {
		in.Kill()
	}
	os.RemoveAll(c.Dir)
}

// Record is the record of a run. It is safe for concurrent use.
type Record struct {
	Start time.Time

	mu   sync.Mutex
	file *os.File
}

// NewRecord creates the file of the record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, Start: time.Now()}, err
}

// Printf writes a line with the time since the start of the run.
func (r *Record) Printf(format string, args ...any) { r.PrintAt(time.Now(), format, args...) }

// PrintAt writes a line with another time.
func (r *Record) PrintAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", at.Sub(r.Start).Seconds(), fmt.Sprintf(format, args...))
}

// Requests writes what was sent, run and answered, one line for each request.
func (r *Record) Requests(requests []*Request, ran map[string][]Attempt) {
	since := func(at time.Time) string {
		if at.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.4f", at.Sub(r.Start).Seconds())
	}
	for _, q := range requests {
		line := fmt.Sprintf("request %s %s d=%dms sent=%s", q.ID, q.Class, q.Timeout.Milliseconds(), since(q.SentAt))
		for _, a := range ran[q.ID] {
			line += fmt.Sprintf(" run at backend %d from=%s answered=%s", a.Backend, since(a.LastByte), since(a.AnsweredAt))
			if !a.MoreAt.IsZero() {
				line += fmt.Sprintf(" unfinished second answer=%s", since(a.MoreAt))
			}
		}
		switch {
		case q.Kind != "":
			line += fmt.Sprintf(" got %s at=%s", q.Kind, since(q.At))
			if q.Kind == "value" && !q.IsOwnValue() {
				line += fmt.Sprintf(" FOREIGN: %q", q.Text)
			}
		case !q.Ended.IsZero():
			line += fmt.Sprintf(" NO ANSWER, the ingress ended the connection at=%s (%s)", since(q.Ended), q.EndedBy)
		case !q.Left.IsZero():
			line += fmt.Sprintf(" client left at=%s", since(q.Left))
		}
		r.PrintAt(q.SentAt, "%s", line)
	}
}

// Ran returns the attempts at all backends by the id of their request.
func (c *Cluster) Ran() map[string][]Attempt {
	ran := map[string][]Attempt{}
	for _, b := range c.Backends {
		for _, a := range b.Attempts() {
			ran[a.ID] = append(ran[a.ID], a)
		}
	}
	return ran
}

// Answered reports whether a backend has answered one of the attempts.
func Answered(attempts []Attempt) bool {
	for _, a := range attempts {
		if !a.AnsweredAt.IsZero() {
			return true
		}
	}
	return false
}
