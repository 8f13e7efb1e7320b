package orders

import (
	"context"
	"sync"
)

// mutex is a lock whose acquisition can be abandoned when a context is done. The
// zero value is unlocked.
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

// lock reports whether the mutex was acquired before ctx was done.
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
