package quota

import "time"

const (
	// minRefillRate is the lowest rate used to compute the wait for a refill, in units per second.
	minRefillRate = 0.01
	// maxSeconds is the longest time that is computed from a rate, in seconds, about 30 years. Sums with it
	// are within the range of a Duration.
	maxSeconds = 1e9
)

// Verdict is the result of a decision on a request.
type Verdict uint8

// Verdicts.
const (
	Pending  Verdict = iota // the reply of the shared counter will decide
	Admitted                // the request may be queued
	Rejected                // the request is over its quota
)

// Decision is a decision of the quotas on a request.
type Decision struct {
	Verdict    Verdict
	OverQuota  bool          // admitted although over the quota, because it gains more than it costs
	RetryAfter time.Duration // time after which a retry may succeed, if rejected
}

var (
	pending  = Decision{Verdict: Pending}
	admitted = Decision{Verdict: Admitted}
)

func rejected(retryAfter time.Duration) Decision {
	return Decision{Verdict: Rejected, RetryAfter: retryAfter}
}

// Admit decides on a new request, or calls the shared counter and leaves the decision to the reply.
func (m *Manager) Admit(charge *Charge) Decision {
	c := charge.customer
	if !c.hasCentralBucket {
		return m.resolve(charge, m.chargeLease(charge))
	}
	return m.admitByCentralBucket(charge)
}

// resolve decides on a request for which it is known whether it is within its rate.
func (m *Manager) resolve(charge *Charge, isWithinRate bool) Decision {
	if !isWithinRate {
		return m.resolveOverQuota(charge)
	}
	if charge.plan.MaxConcurrency > 0 {
		return m.acquirePermit(charge)
	}
	return admitted
}

// resolveOverQuota admits a request over its quota if it gains more than it costs and no request waits, or
// is about to wait, for capacity.
func (m *Manager) resolveOverQuota(charge *Charge) Decision {
	if charge.plan.OverQuotaWeight <= charge.plan.OverQuotaCost || m.host.Saturated() {
		return rejected(m.retryAfter(charge))
	}
	return Decision{Verdict: Admitted, OverQuota: true}
}

// retryAfter returns the time until the customer's token bucket holds the request's units.
func (m *Manager) retryAfter(charge *Charge) time.Duration {
	c, now := charge.customer, m.host.Now()
	if c.hasCentralBucket && c.bucket.exhaustedUntil > now {
		return max(c.bucket.exhaustedUntil-now, m.config.TickInterval)
	}
	if c.hasCentralBucket { // the level is unknown; an empty bucket refills within this time
		return seconds(charge.units / c.plan.Rate)
	}
	missing := max(charge.units-max(0, c.availableTokens(now))-max(0, c.lease.tokens), 1)
	return seconds(missing / max(c.plan.Rate, minRefillRate))
}

// seconds converts a number of seconds to a Duration, maxSeconds at most: a conversion beyond the range of a
// Duration has another result on each architecture.
func seconds(count float64) time.Duration {
	return time.Duration(min(count, maxSeconds) * float64(time.Second))
}
