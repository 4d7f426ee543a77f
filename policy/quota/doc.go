// Package quota decides, for one gateway, whether a request is within the quotas of its customer: the rate,
// the limit on concurrent attempts, and the ceiling. The quotas apply to all gateways together. The
// gateways coordinate through named numbers on a shared counter; each call of the counter adds to one
// number and returns its new total.
//
// A Manager owns the state of all customers. It is a state machine without a clock, goroutines or
// connections: it reads the time and calls the counter through its Host. It must be used by one goroutine
// only.
//
// # Leases
//
// By default a gateway spends the rate from a lease: units that it has taken from the customer's token
// bucket ahead of demand, with one call of the counter for many requests. Each gateway estimates the level
// of the token bucket from the totals that its calls return. While the counter does not respond, the lease
// grows at the gateway's share of the rate.
//
// # Central token buckets
//
// A customer has a central token bucket if its burst is smaller than one request of the largest size for
// each of its gateways. Leases would then stay unused, and each gateway would see too few of the customer's
// requests to estimate the level. The number on the counter is the usage since the start of the window in
// its name; the level is the burst plus the units refilled since then, minus that usage. A request claims
// its units with one add when it arrives. A claim that finds too few tokens is kept as a reservation if the
// missing units are refilled by the time of the client's retry: the retry uses it, and it is returned if no
// retry arrives.
//
// With many gateways, the requests exceed the calls that the counter can serve. The share of the requests
// that call the counter follows its delay by additive increase and multiplicative decrease (AIMD). Other
// requests are admitted if the expected gain exceeds the expected cost, estimated from the share of similar
// requests that the counter has granted to this gateway, and if a small local bucket, refilled at the
// gateway's share of the rate, holds their units. Without a counter only the local bucket is used.
//
// # Permits
//
// A limit on concurrent attempts that is smaller than the number of the customer's gateways is a
// distributed semaphore on the counter: a request acquires a permit by adding 1 before it is admitted, and
// returns it by subtracting 1 when its attempt ends. The name of the semaphore contains a window of a few
// deadlines, which bounds the time for which the permits of a crashed gateway are held. A total below the
// number of permits that this gateway holds means that the counter has lost its data; the gateway corrects
// it. If the counter does not respond, or its calls are needed for other requests, a request is admitted
// without a permit if the expected gain exceeds the expected cost, within this gateway's share of the
// limit. For a customer that also has a rate, permits are acquired only while the counter has spare calls,
// since calls for the rate prevent more over-quota requests than calls for permits. Any other limit
// is divided among the gateways.
//
// # Ceilings
//
// A ceiling is a rate that may never be exceeded. It is enforced by the grants of the counter or, without
// them, by a token bucket with this gateway's share of the ceiling.
//
// # Eviction
//
// The state of a customer is kept until nothing refers to it and a new state would grant no more: its names
// on the counter have expired, its bucket is full and its ceiling not exceeded. If the state of all
// customers takes more than Config.CustomerMemory, idle customers leave earlier, those first that lack
// least.
package quota
