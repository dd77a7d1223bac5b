package applier

import "container/heap"

// expiryQueue orders claims by the time at which they expire.
type expiryQueue struct {
	items expiryHeap
}

type expiryItem struct {
	key ClaimKey
	at  int64
}

func (q *expiryQueue) push(key ClaimKey, at int64) {
	heap.Push(&q.items, expiryItem{key: key, at: at})
}

func (q *expiryQueue) pop() { heap.Pop(&q.items) }

func (q *expiryQueue) peek() (ClaimKey, int64, bool) {
	if len(q.items) == 0 {
		return ClaimKey{}, 0, false
	}
	return q.items[0].key, q.items[0].at, true
}

type expiryHeap []expiryItem

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiryItem)) }
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
