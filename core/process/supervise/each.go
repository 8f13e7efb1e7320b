package supervise

import "sync"

// Each calls f for 0 to n-1 concurrently and returns after the last one. If a call panics, Each
// does, in the goroutine of its caller, so that a supervisor of it can restart the duty.
func Each(n int, f func(i int)) {
	panics := make([]*panicError, n)
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() { panics[i] = call(func() { f(i) }) })
	}
	running.Wait()
	for _, p := range panics {
		if p != nil {
			panic(p)
		}
	}
}
