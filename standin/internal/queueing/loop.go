package queueing

import (
	"container/heap"
	"time"
)

// Loop runs functions in simulated time, ordered by their due time and then by the order in
// which they were scheduled.
type Loop struct {
	Now     time.Time
	tasks   taskHeap
	lastSeq int
}

type task struct {
	at  time.Time
	seq int
	run func()
}

// After schedules run at d after Now. A negative d counts as zero.
func (l *Loop) After(d time.Duration, run func()) {
	l.lastSeq++
	heap.Push(&l.tasks, task{at: l.Now.Add(max(d, 0)), seq: l.lastSeq, run: run})
}

// RunUntil runs all tasks that are due by end, including those that they schedule, and sets
// Now to end.
func (l *Loop) RunUntil(end time.Time) {
	for len(l.tasks) > 0 && !l.tasks[0].at.After(end) {
		t := heap.Pop(&l.tasks).(task)
		l.Now = t.at
		t.run()
	}
	l.Now = end
}

type taskHeap []task

func (h taskHeap) Len() int { return len(h) }
func (h taskHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *taskHeap) Push(x any) { *h = append(*h, x.(task)) }

// Pop implements heap.Interface.
func (h *taskHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
