package orders

import (
	"context"
	"sync"
)

// turn is a lock for which a goroutine waits no longer than its context.
type turn struct {
	once sync.Once
	free chan struct{}
}

func (t *turn) init() {
	t.once.Do(func() {
		t.free = make(chan struct{}, 1)
		t.free <- struct{}{}
	})
}

// take reports whether the lock was taken before ctx ended.
func (t *turn) take(ctx context.Context) bool {
	t.init()
	select {
	case <-t.free:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *turn) give() { t.free <- struct{}{} }
