// Package policy decides for one gateway of a metered service. Its interface is in settings.go, events.go and
// actions.go; what decides is in the files named after their subject.
//
// A request spends units of its customer's leased block (lease), or claims them as it comes (ask). It joins
// the queue of its priority, class worth x plan price, and leaves when the AIMD window of attempts has room,
// highest first (release). The choice of server, hedges, retries and slow starts never change that order.
// A Gateway is single-threaded: the clock comes with the events, chance from the seed.
package policy
