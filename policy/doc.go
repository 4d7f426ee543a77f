// Package policy decides for one gateway of a metered service. Its interface is in settings.go, events.go and
// actions.go; the decisions are in the files named after their subject and in the packages below this one.
//
// Package quota decides whether a request is inside the quotas of its customer; admission.go connects it. An
// admitted request joins the queue of its priority, class weight x plan price, and leaves when the AIMD
// window of attempts has capacity, highest priority first. The choice of endpoint, hedges, retries and slow
// starts never change that order. A Gateway is single-threaded: the clock comes with the events, chance from
// the seed.
package policy
