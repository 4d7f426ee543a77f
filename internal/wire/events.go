package wire

import (
	"errors"
	"fmt"

	"lemontack/policy"
)

var errTruncatedList = errors.New("members: input ends inside the endpoint list")

// readMessage decodes one message. isKnown is false for unknown names. An endpoint list continues on the following lines, which
// readMessage reads too.
func (r *BatchReader) readMessage(name string, fields lineFields) (message Message, isKnown bool, err error) {
	p := &fieldParser{fields: fields}
	switch name {
	case "BEGIN":
		message.Start = decodeInstanceStart(p)
	case "DESTROY":
		message.Destroyed = true
	default:
		message.Event, isKnown = r.decodeEvent(name, p)
		if !isKnown {
			return Message{}, false, nil
		}
	}
	p.require("i")
	message.Instance = p.int("i")
	return message, true, p.parseError(r.line, name)
}

func decodeInstanceStart(p *fieldParser) *InstanceStart {
	start := &InstanceStart{Seed: p.uint("nonce64", 64)}
	p.require("facts")
	if p.err != nil {
		return nil
	}
	settings, _, err := ParseSettings([]byte(p.text("facts")))
	if err != nil {
		p.recordError("facts", err)
	}
	start.Settings = settings
	return start
}

func (r *BatchReader) decodeEvent(name string, p *fieldParser) (event policy.Event, isKnown bool) {
	switch name {
	case "MEMBERSHIP":
		return r.decodeEndpointsChanged(p), true
	case "ARRIVAL":
		return decodeArrival(p), true
	case "STARTED":
		return decodeStreamStarted(p), true
	case "ATTEMPT_END":
		return decodeAttemptEnded(p), true
	case "DROPPED":
		return decodeClientDisconnected(p), true
	case "TICK_DUE":
		return policy.TimerFired{}, true
	case "PROBE_DONE":
		return decodeHealthCheckEnded(p), true
	case "INBOX":
		return decodeGossipReceived(p), true
	case "COUNTER_REPLY":
		return decodeCounterReply(p), true
	}
	return nil, false
}

func decodeArrival(p *fieldParser) policy.Event {
	p.require("call", "giveUpAtUs")
	return policy.Arrival{Request: policy.Request{
		ID:           p.requestID(),
		Class:        p.text("qos"),
		Plan:         p.text("terms"),
		Customer:     p.text("holder"),
		Deadline:     p.microseconds("giveUpAtUs"),
		Units:        p.float("sizeUnits"),
		GatewaySpan:  p.int("width"),
		FirstGateway: p.int("setFrom"),
		IsRetry:      p.bool("againByClient"),
	}}
}

func decodeStreamStarted(p *fieldParser) policy.Event {
	p.require("call", "try")
	return policy.StreamStarted{
		ID:      p.requestID(),
		Attempt: p.int("try"),
	}
}

func decodeAttemptEnded(p *fieldParser) policy.Event {
	p.require("call", "try", "backend", "stateCode")
	return policy.AttemptEnded{
		ID:              p.requestID(),
		Attempt:         p.int("try"),
		Endpoint:        p.endpointID(),
		Outcome:         outcome(p.text("stateCode")),
		Latency:         p.microseconds("lagUs"),
		RequestFinished: p.bool("over"),
		SettledUnits:    p.float("settled"),
		LoadReport:      p.loadReport("metrics"),
	}
}

func decodeClientDisconnected(p *fieldParser) policy.Event {
	p.require("call")
	return policy.ClientDisconnected{ID: p.requestID()}
}

func decodeHealthCheckEnded(p *fieldParser) policy.Event {
	p.require("backend", "stateCode")
	return policy.HealthCheckEnded{
		Endpoint:   p.endpointID(),
		Outcome:    outcome(p.text("stateCode")),
		Latency:    p.microseconds("lagUs"),
		LoadReport: p.loadReport("metrics"),
	}
}

func decodeGossipReceived(p *fieldParser) policy.Event {
	return policy.GossipReceived{
		From: p.int("from"),
		Body: p.base64("msg"),
	}
}

func decodeCounterReply(p *fieldParser) policy.Event {
	p.require("counter", "stateCode")
	return policy.CounterReply{
		Name:    p.text("counter"),
		Outcome: outcome(p.text("stateCode")),
		Total:   p.float("total"),
	}
}

// decodeEndpointsChanged decodes an endpoint list and reads the lines of its entries, which follow.
func (r *BatchReader) decodeEndpointsChanged(p *fieldParser) policy.Event {
	p.require("form")
	form := p.text("form")
	event := policy.EndpointsChanged{
		IsSnapshot: form == "full" || form == "cached",
		Failed:     form == "failed",
	}
	for n := p.int("members"); n > 0 && p.err == nil; n-- {
		event.Endpoints = append(event.Endpoints, r.readEndpoint(p))
	}
	return event
}

// readEndpoint reads the line of one entry of an endpoint list. It records errors in the parser of the list.
func (r *BatchReader) readEndpoint(listParser *fieldParser) policy.Endpoint {
	text, err := r.nextLine()
	if err != nil {
		listParser.recordError("", errTruncatedList)
		return policy.Endpoint{}
	}
	name, fields := splitLine(text)
	if name != "M" {
		listParser.recordError("", fmt.Errorf("members: got %q, want M", name))
		return policy.Endpoint{}
	}
	p := &fieldParser{fields: fields}
	p.require("backend")
	endpoint := policy.Endpoint{
		ID:        p.endpointID(),
		Zone:      p.text("az"),
		Kind:      p.text("flavor"),
		Cell:      p.int("block"),
		State:     endpointState(p.text("lifecycle")),
		Capacity:  p.float("scale"),
		StartedAt: p.microseconds("sinceUs"),
	}
	if p.err != nil {
		listParser.recordError(p.faultyField, p.err)
	}
	return endpoint
}

func endpointState(text string) policy.EndpointState {
	switch text {
	case "on":
		return policy.Serving
	case "off":
		return policy.Removed
	}
	return policy.Draining
}

func outcome(text string) policy.Outcome {
	switch text {
	case "done":
		return policy.Succeeded
	case "busy":
		return policy.Rejected
	case "etimedout":
		return policy.TimedOut
	case "econnrefused":
		return policy.ConnectFailed
	case "econnreset":
		return policy.Reset
	case "ecanceled":
		return policy.Cancelled
	case "skipped":
		return policy.NotSent
	}
	return policy.Failed
}
