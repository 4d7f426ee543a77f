// Package upstream keeps the connections to endpoints and carries out the attempts on them: it dials, writes commands, reads
// replies and reports what became of each attempt. It knows nothing of clients and requests.
//
// A Pool belongs to the goroutine of one event loop, and so does everything in it that is not said to be otherwise. Each
// connection has a goroutine that reads and one that writes; they post Events, which the loop gives to Pool.HandleEvent. A
// connection carries one attempt at a time, so that giving one up affects no other.
package upstream
