// Package policy decides for one gateway of a metered service: which requests it admits, in which order and
// at which endpoints it attempts them, when it retries or hedges, and how each request ends.
//
// It is a pure state machine without I/O, goroutines or a clock of its own. A Gateway is given its settings
// (settings.go) and a seed; then it is told of one event after the other (events.go), with the time, and
// returns the actions to be taken (actions.go). Equal settings, seeds and events lead to equal actions.
//
// # The life of a request
//
// An Arrival is charged to its customer's quotas: it spends units of the lease that this gateway has of the
// customer's rate, or claims them at the shared counter. A request that they admit joins the queue at its
// priority, priority weight of the class times price of the plan (request.go). It leaves the queue, highest
// priority first, when the window of the limiter has capacity (dispatch.go). The choice of the endpoint,
// retries, hedges and slow start never change that order. An attempt that fails is followed by a retry, and
// one whose answer is overdue by a hedge, where the class allows it and the retry budget has some left
// (attempts.go). Each request has exactly one final answer.
//
// Parts with a state of their own are packages of their own, which know nothing of this one:
//
//   - balancer: endpoints, outlier ejection, slow start and the choice of the endpoint
//   - latency: estimates of how long answers take
//   - limiter: the AIMD window on attempts in flight
//   - model: the plain data that all share
//   - queue: the priority queue
//   - quota: whether a request is inside the quotas of its customer; admission.go connects it
package policy
