// Package policy decides for one gateway of a metered service. Its interface is in settings.go, events.go and
// actions.go; what decides is in the files named after their subject.
//
// A request spends units of its customer's leased block (lease), or claims them as it comes (ask). It joins
// the queue of its priority, class worth x plan price, and leaves when the AIMD window of attempts has room,
// highest first (release). The choice of server, hedges, retries and slow starts never change that order.
// A Gateway is single-threaded: the clock comes with the events, chance from the seed.
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
