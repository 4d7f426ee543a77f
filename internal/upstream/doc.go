// Package upstream manages the connections to endpoints and executes attempts on them: it dials, writes commands, reads replies
// and reports the result of each attempt. It does not depend on clients or requests.
//
// A Pool and its data are used only on the goroutine of one event loop unless stated otherwise. Each connection has a reading and
// a writing goroutine, which post Events that the loop passes to Pool.HandleEvent. A connection carries one attempt at a time, so
// that aborting an attempt affects no other.
package upstream
