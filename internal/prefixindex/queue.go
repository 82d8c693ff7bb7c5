package prefixindex

// pendingLimit bounds the prompts that wait to be entered; beyond it the one of the lowest priority is dropped.
const pendingLimit = 256

// pending is a prompt that waits to be entered into the index.
type pending struct {
	replica  string
	chain    *Chain
	owner    string
	parts    int // of the chain, to enter
	priority int // tokens up to the last part to enter, times its sightings
	sequence int // order of arrival
}

// queue is a heap of pending prompts, the highest priority first.
type queue []pending

// Len is part of heap.Interface.
func (q *queue) Len() int { return len(*q) }

// Less is part of heap.Interface.
func (q *queue) Less(i, j int) bool {
	first, second := &(*q)[i], &(*q)[j]
	if first.priority != second.priority {
		return first.priority > second.priority
	}
	return first.sequence < second.sequence
}

// Swap is part of heap.Interface.
func (q *queue) Swap(i, j int) { (*q)[i], (*q)[j] = (*q)[j], (*q)[i] }

// Push is part of heap.Interface.
func (q *queue) Push(item any) { *q = append(*q, item.(pending)) }

// Pop is part of heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	*q = (*q)[:last]
	return item
}

// lowest is the position of the prompt with the lowest priority.
func (q *queue) lowest() int {
	lowest := 0
	for i := range *q {
		if q.Less(lowest, i) {
			lowest = i
		}
	}
	return lowest
}
