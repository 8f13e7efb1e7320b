package orders

import (
	"context"
	"sync"
)

// contextMutex is a lock for which a goroutine waits no longer than its context.
type contextMutex struct {
	initOnce sync.Once
	unlocked chan struct{}
}

func (m *contextMutex) init() {
	m.initOnce.Do(func() {
		m.unlocked = make(chan struct{}, 1)
		m.unlocked <- struct{}{}
	})
}

// lock reports whether the lock was taken before ctx ended.
func (m *contextMutex) lock(ctx context.Context) bool {
	m.init()
	select {
	case <-m.unlocked:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *contextMutex) unlock() { m.unlocked <- struct{}{} }
