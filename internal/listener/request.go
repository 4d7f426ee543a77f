package listener

import (
	"fmt"
	"time"

	"lemontack/policy"
)

// Request is a client's request, taken apart, with the place of its answer on the client's connection. Times are those of
// Config.Clock.
type Request struct {
	policy.Request
	ExternalID   uint64        // the id that the client gave it
	Args         [][]byte      // the command as it came: name, customer, id, fields, body
	Size         int           // of Args, in bytes
	TimeoutStart int           // where the value of d, the client's time-out in ms, begins in the fields
	TimeoutEnd   int           // where it ends
	ReadAt       time.Duration // when its last byte had been read, or may have come
	GiveUpAt     time.Duration // when its client gives up

	response *pendingResponse // nil: released, or not the request of a connection
}

// Respond gives the client the one final answer.
func (request *Request) Respond(answer []byte) { request.response.respond(answer) }

// ClientDisconnected reports whether the client has gone. The event that says so may still be on its way to the handler.
func (request *Request) ClientDisconnected() bool {
	return request.response != nil && request.response.conn.gone.Load()
}

// ClientDisconnectedAt returns when the client has gone; 0: it has not.
func (request *Request) ClientDisconnectedAt() time.Duration {
	if request.response == nil {
		return 0
	}
	return time.Duration(request.response.conn.goneAt.Load())
}

// RejectDuplicate answers a request whose id is that of an open one, which counts as a fault of the connection.
func (request *Request) RejectDuplicate() {
	c := request.response.conn
	c.duplicate.Store(request.ExternalID)
	c.observeFault(FaultDuplicate, "the id "+request.ExternalIDString()+" is taken", c.faults.Add(1))
	request.Respond([]byte("-ERR a request of this id is being served\r\n"))
}

// Release lets go of what is needed only until the request is over.
func (request *Request) Release() { request.Args, request.response = nil, nil }

// Released reports whether the request belongs to no connection any more.
func (request *Request) Released() bool { return request.response == nil }

// RemoteAddr is the address of the request's client; "" once nothing is owed to it.
func (request *Request) RemoteAddr() string {
	if request.response == nil {
		return ""
	}
	return request.response.conn.remoteAddr()
}

// ExternalIDString is the request's id as the client wrote it.
func (request *Request) ExternalIDString() string { return fmt.Sprintf("%016x", request.ExternalID) }
