// Package policy makes the decisions of one gateway of a service with quotas: which requests it admits, in
// which order and at which endpoints it attempts them, when it retries or hedges, and how each request ends.
//
// It is a pure state machine without I/O, goroutines or a clock of its own. A Gateway is created with its
// settings (settings.go) and a seed. Gateway.Handle receives one event at a time (events.go), with the
// current time, and returns the actions to be taken (actions.go). Equal settings, seeds and events lead to
// equal actions.
//
// # Request processing
//
// An Arrival is charged to its customer's quotas: it spends units of this gateway's lease of the customer's
// rate, or claims them at the shared counter. An admitted request is queued by its priority, which is the
// priority weight of its class times the price of its plan (dispatch.go). It leaves the queue, highest
// priority first, when the window of the limiter has capacity (dispatch.go). The choice of the endpoint,
// retries, hedges and slow start never change that order. A failed attempt is followed by a retry, and an
// attempt whose answer is overdue by a hedge, if the class allows it and the retry budget is not exhausted
// (attempts.go). Each request has exactly one final answer.
//
// The stateful components are separate packages, which do not depend on this one:
//
//   - balancer: endpoints, outlier ejection, slow start and the choice of the endpoint
//   - latency: estimates of answer latency
//   - limiter: the AIMD window on attempts in flight
//   - model: the data types shared by all packages
//   - queue: the priority queue
//   - quota: whether a request is within the quotas of its customer; admission.go connects it
package policy
