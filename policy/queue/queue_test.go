package queue

import (
	"slices"
	"testing"
)

// items returns the items of a queue in the order of dispatch.
func items(q *Queue[string]) (all []string) {
	for i := range q.Len() {
		all = append(all, q.At(i))
	}
	return all
}

func TestQueueOrdersByPriorityThenByArrival(t *testing.T) {
	var q Queue[string]
	for _, push := range []struct {
		item     string
		priority float64
	}{{"low 1", 1}, {"high 1", 5}, {"low 2", 1}, {"middle", 2}, {"high 2", 5}, {"zero", 0}} {
		q.Push(push.item, push.priority)
	}
	want := []string{"high 1", "high 2", "middle", "low 1", "low 2", "zero"}
	if got := items(&q); !slices.Equal(got, want) {
		t.Errorf("got order %q, want %q", got, want)
	}
}

func TestRemovalKeepsTheOrderOfOtherItems(t *testing.T) {
	for _, c := range []struct {
		name   string
		remove func(q *Queue[string])
		want   []string
	}{
		{"first by position", func(q *Queue[string]) { q.RemoveAt(0) }, []string{"b", "c"}},
		{"last by position", func(q *Queue[string]) { q.RemoveAt(2) }, []string{"a", "b"}},
		{"middle by item", func(q *Queue[string]) { q.Remove("b") }, []string{"a", "c"}},
		{"pushed again at a lower priority", func(q *Queue[string]) {
			q.Remove("a")
			q.Push("a", 0.5)
		}, []string{"b", "c", "a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var q Queue[string]
			for _, item := range []string{"a", "b", "c"} {
				q.Push(item, 1)
			}
			c.remove(&q)
			if got := items(&q); !slices.Equal(got, c.want) {
				t.Errorf("got order %q, want %q", got, c.want)
			}
		})
	}
}
