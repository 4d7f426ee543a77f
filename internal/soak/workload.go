package soak

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"
)

const (
	customersPerIngress = 40
	customerIDStride    = 1000 // difference between the first customer ids of two ingresses
	urgentShare         = 0.05 // share of requests whose timeout is at most maxUrgentTimeoutMS
	maxUrgentTimeoutMS  = 2
	minTimeout          = 50 * time.Millisecond
)

// idempotency states whether a request may be executed more than once.
type idempotency int

const (
	idempotent idempotency = iota
	nonIdempotent
	idempotencyKey // allows more than one execution within deduplicationWindow
)

// configName returns the name of the idempotency in the settings of an ingress.
func (i idempotency) configName() string {
	switch i {
	case idempotent:
		return "read_like"
	case nonIdempotent:
		return "non_idempotent"
	default:
		return "idempotency_key"
	}
}

// requestClass is a class of requests in the settings of the ingresses.
type requestClass struct {
	name        string
	command     string
	idempotency idempotency
}

var classes = []requestClass{{"read", "Q.ASK", idempotent}, {"write", "Q.DO", nonIdempotent}, {"keyed", "Q.DO", idempotencyKey}}

// lastRequestID is shared by all runs of this process, so that their requests have different ids.
var lastRequestID atomic.Uint64

// workload draws the requests of a client to one ingress.
type workload struct {
	ingress int
	rng     *rand.Rand
}

func (w workload) drawClass() requestClass { return classes[w.rng.IntN(len(classes))] }

// drawTimeout draws the time from a request until the client's deadline.
func (w workload) drawTimeout() time.Duration {
	if w.rng.Float64() < urgentShare {
		return time.Duration(w.rng.IntN(maxUrgentTimeoutMS+1)) * time.Millisecond
	}
	return minTimeout + time.Duration(w.rng.IntN(int((maxTimeout-minTimeout)/time.Millisecond)))*time.Millisecond
}

// nextRequest draws a request and returns it with the encoded command.
func (w workload) nextRequest() (*request, []byte) {
	class := w.drawClass()
	return w.newRequest(class, w.drawTimeout())
}

// newRequest returns a request of a drawn customer and plan, and the encoded command.
func (w workload) newRequest(class requestClass, timeout time.Duration) (*request, []byte) {
	r := &request{id: lastRequestID.Add(1), ingress: w.ingress, class: class, timeout: timeout}
	fields := requestFields(class, w.rng.IntN(planCount), timeout, w.ingress)
	if class.idempotency == idempotencyKey {
		fields += fmt.Sprintf(",k=%x", r.id)
	}
	customer := customerID(w.ingress, w.rng.IntN(customersPerIngress))
	command := redcon.AppendArray(nil, 4)
	for _, arg := range []string{class.command, customer, requestID(r.id), fields} {
		command = redcon.AppendBulkString(command, arg)
	}
	return r, command
}

// requestFields returns the fields of a command without an idempotency key. firstGateway is the index of the first gateway
// that serves the customer.
func requestFields(class requestClass, plan int, timeout time.Duration, firstGateway int) string {
	return fmt.Sprintf("c=%s,t=%s,d=%d,units=1,spread=1,first=%d",
		class.name, planName(plan), timeout.Milliseconds(), firstGateway)
}

func planName(plan int) string { return fmt.Sprint("p", plan) }

func customerID(ingress, customer int) string {
	return fmt.Sprintf("%016x", ingress*customerIDStride+customer)
}

func requestID(id uint64) string { return fmt.Sprintf("%016x", id) }
