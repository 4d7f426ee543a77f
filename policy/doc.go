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
//
// # Central token buckets
//
// A customer whose burst holds less than two requests for each of its gateways has a central token bucket: leased
// blocks would lie idle, and most gateways see it too seldom to know its store. The counter's name keeps the
// bucket, less what the rate has filled in since the window of the name began, and a request claims its units with
// one add as it comes. A claim that finds the bucket short stays: it is a reservation of what fills in next, which
// the client's repeat uses, and which is given back if none comes.
//
// A large fleet has more requests than the counter bears calls. The share that asks follows the counter's delay
// (AIMD). The rest is admitted where that is worth more than it costs: by the share of such requests that the
// counter has granted here, and by a small local bucket that fills at the gateway's share of the rate. Without a
// counter that bucket is all there is.
//
// # Permits
//
// A limit on attempts out at once is a distributed semaphore on the counter: a permit is one add as a request is
// let in, and one take-off as its attempt ends. A name lasts some deadlines, which bounds what a crashed gateway
// holds, and a total below what a gateway holds itself is put right: the counter came back with less. Where the
// counter is silent or short of calls a request goes without a permit if that is worth more than it costs, within
// this gateway's share of the limit. Beside a rate, permits are asked for only while the counter has calls to spare:
// the rate's own calls hold more of what is beyond.
package policy
