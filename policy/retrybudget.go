package policy

// retryBudgetRatio is the part of a retry or hedge that each first attempt adds to the budget: with all of it
// spent, retries and hedges raise the load by 15%.
const retryBudgetRatio = 0.15

// retryBudget is the number of retries and hedges that may start. First attempts fill it, so that retries and
// hedges stay a share of them and cannot multiply an overload.
type retryBudget float64

// fill adds the share of one first attempt, up to a limit.
func (b *retryBudget) fill(limit float64) { *b = min(retryBudget(limit), *b+retryBudgetRatio) }

// allows reports whether a retry or hedge may start.
func (b retryBudget) allows() bool { return b >= 1 }

// spend takes one retry or hedge out.
func (b *retryBudget) spend() { *b-- }
