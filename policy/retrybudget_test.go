package policy

import "testing"

func TestRetryBudgetAllowsAShareOfTheFirstAttempts(t *testing.T) {
	var budget retryBudget
	retries := 0
	for range 1000 {
		budget.deposit(10)
		if budget.allowsRetry() {
			budget.withdraw()
			retries++
		}
	}
	if retries < 149 || retries > 150 {
		t.Errorf("got %d retries for 1000 first attempts, want 149 or 150", retries)
	}
}

func TestRetryBudgetIsLimited(t *testing.T) {
	var budget retryBudget
	for range 1000 {
		budget.deposit(3)
	}
	retries := 0
	for ; budget.allowsRetry(); retries++ {
		budget.withdraw()
	}
	if retries != 3 {
		t.Errorf("got %d retries from a full budget, want 3", retries)
	}
}
