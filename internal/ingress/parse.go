package ingress

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"lemontack/policy"
)

const mostKey = 256 // bytes of an idempotency key

// clientRequest is a client's command, taken apart, with the place of its answer on the client's connection.
type clientRequest struct {
	policy.Request
	key    uint64 // the client's id
	slot   *slot
	args   [][]byte      // the command as it came: name, customer, id, fields, body
	size   int           // of the args, in bytes
	dFrom  int           // where the value of d, the client's time-out in ms, begins in the fields
	dTo    int           // where it ends
	readAt time.Duration // when its last byte had been read
	until  time.Duration // when its client gives up
}

// respond gives the client the one final answer.
func (r *clientRequest) respond(answer []byte) { r.slot.answer(answer) }

// left reports whether the client has gone. The event that says so may still be on its way to the gateway.
func (r *clientRequest) left() bool { return r.slot != nil && r.slot.c.gone.Load() }

// leftAt is when the client has gone, on the gateway's clock; 0: it has not.
func (r *clientRequest) leftAt() time.Duration {
	if r.slot == nil {
		return 0
	}
	return time.Duration(r.slot.c.goneAt.Load())
}

// respondDuplicate answers a request whose id is that of an open one, which counts as a fault of the connection.
func (r *clientRequest) respondDuplicate() {
	c := r.slot.c
	c.duplicate.Store(r.key)
	c.observe().fault(c, faultDuplicate, "the id "+r.id()+" is taken", c.faults.Add(1))
	r.respond([]byte("-ERR a request of this id is being served\r\n"))
}

// release lets go of what is needed only until the request is over.
func (r *clientRequest) release() { r.args, r.slot = nil, nil }

// remote is the address of the request's client; "" once nothing is owed to it.
func (r *clientRequest) remote() string {
	if r.slot == nil {
		return ""
	}
	return r.slot.c.remote()
}

// id is the request's id as the client wrote it.
func (r *clientRequest) id() string { return fmt.Sprintf("%016x", r.key) }

// parse checks a request; it goes on only if a backend would take it.
func (g *Gateway) parse(args [][]byte, at time.Time) (*clientRequest, error) {
	do := string(args[0]) == "Q.DO"
	if len(args) < 4 || len(args) > 5 {
		return nil, fmt.Errorf("%s wants a customer, an id, fields and at most a body", args[0])
	}
	customer, err := hex16(args[1])
	if err != nil || customer >= 1<<33 {
		return nil, errors.New("the customer is not 16 hex digits below 2^33")
	}
	r := &clientRequest{}
	if r.key, err = hex16(args[2]); err != nil {
		return nil, errors.New("the id is not 16 hex digits")
	}
	fields := string(args[3])
	r.Customer = string(args[1])
	var d, spread, first uint64
	var key string
	seen := map[string]bool{}
	for from := 0; from <= len(fields); {
		part, _, _ := strings.Cut(fields[from:], ",")
		name, v, ok := strings.Cut(part, "=")
		if !ok || name == "" || seen[name] {
			return nil, errors.New("the fields are not a list of different names and values")
		}
		seen[name] = true
		var err error
		switch name {
		case "c":
			r.Class = v
		case "t":
			r.Plan = v
		case "d":
			d, err = strconv.ParseUint(v, 10, 31)
			r.dFrom, r.dTo = from+2, from+len(part)
		case "r":
			r.IsRetry = v == "1"
		case "k":
			key = v
		case "units":
			if strings.Trim(v, "0123456789.") != "" {
				return nil, errors.New("field units is not a plain number")
			}
			r.Units, err = strconv.ParseFloat(v, 64)
		case "spread":
			spread, err = strconv.ParseUint(v, 10, 31)
		case "first":
			first, err = strconv.ParseUint(v, 10, 31)
		}
		if err != nil {
			return nil, fmt.Errorf("field %s cannot be read", name)
		}
		from += len(part) + 1
	}
	class, known := g.classes[r.Class]
	switch {
	case !known:
		return nil, errors.New("unknown class")
	case !g.plans[r.Plan]:
		return nil, errors.New("unknown plan")
	case do == (class.Idempotency == policy.Idempotent):
		return nil, errors.New("the class does not go with the command")
	case class.Idempotency == policy.IdempotencyKey && (key == "" || len(key) > mostKey):
		return nil, errors.New("field k is missing or too long")
	case !seen["d"] || !seen["first"]:
		return nil, errors.New("field d or first is missing")
	case spread == 0 || spread > uint64(g.cfg.Settings.GatewayCount) || first >= uint64(g.cfg.Settings.GatewayCount):
		return nil, errors.New("there is no such set of gateways")
	case !(r.Units > 0) || r.Units > g.maxUnits:
		return nil, errors.New("field units is missing or out of range")
	}
	// The module takes a customer's plan and set from the first request that names it, so only what can be true
	// goes on. A client that says it will wait for ever is not believed.
	r.GatewaySpan, r.FirstGateway = int(spread), int(first)
	wait := min(time.Duration(d)*time.Millisecond, 2*class.Deadline)
	r.readAt = g.clock(at)
	r.until = r.readAt + wait
	r.Deadline = r.until - min(answerMargin, wait/4)
	for _, a := range args { // the buffer is the connection's
		r.args = append(r.args, append(make([]byte, 0, len(a)), a...))
		r.size += len(a)
	}
	return r, nil
}

func hex16(b []byte) (uint64, error) {
	if len(b) != 16 {
		return 0, errors.New("not 16 digits")
	}
	return strconv.ParseUint(string(b), 16, 64)
}
