// Package virtualtime runs functions in virtual time, for simulations that take no real time.
package virtualtime

import (
	"container/heap"
	"time"
)

// Clock runs functions in virtual time. Those of the same time run in the order in which they were
// scheduled.
type Clock struct {
	Now time.Time
	// OnAdvance is called before Now moves to the time of the next function, OnEvent after each
	// function; nil for neither.
	OnAdvance func(next time.Time)
	OnEvent   func()

	events   events
	sequence int
}

// At schedules a function.
func (c *Clock) At(t time.Time, run func()) {
	c.sequence++
	heap.Push(&c.events, event{at: t, sequence: c.sequence, run: run})
}

// After schedules a function at d from now.
func (c *Clock) After(d time.Duration, run func()) { c.At(c.Now.Add(d), run) }

// Run runs the functions that are scheduled before the given time, also those that are scheduled meanwhile.
func (c *Clock) Run(until time.Time) {
	for len(c.events) > 0 && c.events[0].at.Before(until) {
		e := heap.Pop(&c.events).(event)
		if c.OnAdvance != nil {
			c.OnAdvance(e.at)
		}
		c.Now = e.at
		e.run()
		if c.OnEvent != nil {
			c.OnEvent()
		}
	}
}

// Advance runs the functions that are due within d from now, also those that are scheduled meanwhile, and moves
// Now by d.
func (c *Clock) Advance(d time.Duration) {
	end := c.Now.Add(d)
	c.Run(end.Add(1))
	c.Now = end
}

// event is a function that runs at a virtual time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// events implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
