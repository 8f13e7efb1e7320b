package orders

import (
	"context"
	"sync"
)

// mutex is a lock for which a goroutine waits no longer than its context.
type mutex struct {
	initOnce sync.Once
	unlocked chan struct{}
}

func (m *mutex) init() {
	m.initOnce.Do(func() {
		m.unlocked = make(chan struct{}, 1)
		m.unlocked <- struct{}{}
	})
}

// lock reports whether the lock was taken before ctx ended.
func (m *mutex) lock(ctx context.Context) bool {
	m.init()
	select {
	case <-m.unlocked:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *mutex) unlock() { m.unlocked <- struct{}{} }
