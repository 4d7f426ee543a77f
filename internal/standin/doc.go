// Package standin plays the systems that an ingress talks to: discovery, the shared counter and backends. They are
// written from the protocol and keep its rules on silence, order and capacity, for tests and for runs of a whole fleet
// in one process. They wait with package time alone, so that over a PipeListener they also run on a fake clock
// (testing/synctest).
//
// Discovery, Counter and Backend each serve any number of listeners. Serve accepts connections on the caller's
// goroutine; each connection has a goroutine of its own, which ends with the connection. Close ends all connections.
// Counter and Backend wait in Close until those goroutines have returned.
package standin

// ServiceState says how a stand-in meets its clients.
type ServiceState int

const (
	// Up serves.
	Up ServiceState = iota
	// Silent accepts and answers nothing, as behind a network partition. A connection that was open meanwhile, or came
	// meanwhile, stays silent for good.
	Silent
	// Down is a process that has ended: open connections are closed, and so are those that come.
	Down
)
