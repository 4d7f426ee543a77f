// Package quota decides, for one gateway, whether a request is inside the quotas of its customer: the rate,
// the limit on concurrent attempts, and the ceiling. The quotas hold over all gateways together; the gateways
// coordinate through named numbers on a shared counter, each call of which adds to one number and returns its
// new total.
//
// A Manager owns the state of all customers. It is a state machine without a clock, goroutines or
// connections: the time and the calls of the counter go through its Host, and it is used by one goroutine.
//
// # Leases
//
// By default a gateway spends the rate from a lease: units that it has taken from the customer's token bucket
// ahead of demand, with one call of the counter for many requests. Each gateway estimates the level of the
// token bucket from the totals that its calls return. While the counter is silent, the lease grows at the
// gateway's share of the rate.
//
// # Central token buckets
//
// A customer whose burst holds less than one of the largest requests for each of its gateways has a central
// token bucket: leases would lie idle, and each gateway sees too few of its requests to estimate the level.
// The number on the counter is the usage since the window of its name began; the level is the burst and what
// the rate has refilled since then, less that usage. A request claims its units with one add as it arrives. A
// claim that finds too few tokens remains as a reservation of the next refill: the client's retry uses it,
// and it is returned if no retry arrives.
//
// A large number of gateways has more requests than the counter can take calls. The share of the requests
// that call follows the delay of the counter by additive increase and multiplicative decrease (AIMD). The
// others are admitted where the expected gain is above the expected cost: by the share of such requests that
// the counter has granted here, and by a small local bucket that fills at the gateway's share of the rate.
// Without a counter only that bucket is left.
//
// # Permits
//
// The limit on concurrent attempts is a distributed semaphore on the counter: a permit is one add as a
// request is admitted, and one subtraction as its attempt ends. A name lasts for a few deadlines, which
// bounds how long the permits of a crashed gateway are held, and a total below what this gateway holds by
// itself is corrected: the counter has lost its numbers. Where the counter is silent, or its calls are needed
// elsewhere, a request is admitted without a permit if the expected gain is above the expected cost, within
// this gateway's share of the limit. For a customer that also has a rate, permits are acquired only while the
// counter has spare calls, since calls for the rate prevent more over-quota requests than calls for permits.
//
// # Ceilings
//
// A ceiling is a rate that may never be exceeded. It holds by the grants of the counter and, without them, by
// a token bucket with this gateway's share of the ceiling.
package quota
