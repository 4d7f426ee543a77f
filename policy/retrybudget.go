package policy

// retryBudgetRatio is the share of a retry or hedge that each first attempt adds to the budget, and so the
// largest lasting load of retries and hedges, relative to that of first attempts: with all of the budget
// spent they raise the load by 15%.
const retryBudgetRatio = 0.15

// retryBudget is the number of retries and hedges that may start. First attempts add to it, which limits
// retries and hedges to a share of the first attempts, so that they cannot amplify an overload.
type retryBudget float64

// deposit adds the share of one first attempt, up to a limit on the budget.
func (b *retryBudget) deposit(limit float64) { *b = min(retryBudget(limit), *b+retryBudgetRatio) }

// allowsRetry reports whether the budget holds at least one retry or hedge.
func (b retryBudget) allowsRetry() bool { return b >= 1 }

// withdraw removes one retry or hedge from the budget.
func (b *retryBudget) withdraw() { *b-- }
