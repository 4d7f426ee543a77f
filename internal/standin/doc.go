// Package standin simulates the services that an ingress connects to: discovery, the shared counter and backends. Each
// stand-in is written from the protocol alone and follows its rules for unresponsiveness, order and capacity. Tests use
// the stand-ins, and so do runs of a whole fleet in one process. They wait only through package time, so that they also
// run on a fake clock (testing/synctest) when they use a PipeListener.
//
// Discovery, Counter and Backend each serve any number of listeners. Serve accepts connections on the caller's
// goroutine. Each connection has a goroutine of its own, which ends when the connection closes. Close closes all
// connections. Counter and Backend wait in Close until the goroutines of the connections have returned.
package standin

// ServiceState determines how a stand-in responds to its clients.
type ServiceState int

const (
	// Up means that calls are served.
	Up ServiceState = iota
	// Silent means that connections are accepted and calls get no answer, as during a network partition. Calls that are
	// open or arrive in this state get no answer afterwards either.
	Silent
	// Down simulates a process that has exited: calls get no answer, and their connections are closed.
	Down
)
