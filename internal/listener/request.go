package listener

import (
	"fmt"
	"time"

	"lemontack/policy"
)

// Request is a client's parsed request, with a reference to the connection on which it is answered. Its times are on the clock
// of Config.Clock.
type Request struct {
	policy.Request
	ExternalID   uint64        // id that the client assigned
	Args         [][]byte      // the command as received: name, customer, id, fields, body
	Size         int           // total length of Args, in bytes
	TimeoutStart int           // offset in the fields of the value of d, the client's timeout in ms
	TimeoutEnd   int           // offset of its end
	ReadAt       time.Duration // time at which it was read, or the earliest time at which it may have arrived
	GiveUpAt     time.Duration // time at which the client stops waiting for the answer

	response *pendingResponse // nil after Release, and for a request without a connection
}

// Respond sends the final answer to the client. It has to be called exactly once, and never blocks.
func (request *Request) Respond(answer []byte) { request.response.respond(answer) }

// ClientDisconnected reports whether the client has disconnected. It may return true before Handler.ClientDisconnected is called.
func (request *Request) ClientDisconnected() bool {
	return request.response != nil && request.response.conn.disconnected.Load()
}

// ClientDisconnectedAt returns when the client disconnected, or 0 if it has not.
func (request *Request) ClientDisconnectedAt() time.Duration {
	if request.response == nil {
		return 0
	}
	return time.Duration(request.response.conn.disconnectedAt.Load())
}

// RejectDuplicate sends an error to a request with the id of an open one, and counts a fault of its connection.
func (request *Request) RejectDuplicate() {
	c := request.response.conn
	c.duplicateID.Store(request.ExternalID)
	c.observeFault(FaultDuplicate, "the id "+request.ExternalIDString()+" is in use", c.faults.Add(1))
	request.Respond([]byte("-ERR a request of this id is being served\r\n"))
}

// Release drops the references that are needed only until the request is answered or abandoned.
func (request *Request) Release() { request.Args, request.response = nil, nil }

// Released reports whether the request has no connection, as after Release.
func (request *Request) Released() bool { return request.response == nil }

// RemoteAddr returns the address of the request's client, or "" after Release.
func (request *Request) RemoteAddr() string {
	if request.response == nil {
		return ""
	}
	return request.response.conn.remoteAddr()
}

// ExternalIDString returns the id as 16 lower-case hex digits.
func (request *Request) ExternalIDString() string { return fmt.Sprintf("%016x", request.ExternalID) }
