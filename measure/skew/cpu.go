package skew

import (
	"runtime"
	"syscall"
	"time"
)

// rusageThread selects the usage of the calling thread (Linux).
const rusageThread = 1

// cpuTime returns the processor time that f uses on its thread. Unlike the
// elapsed time it does not grow when other processes keep the machine busy.
func cpuTime(f func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := threadTime()
	f()
	return threadTime() - start
}

func threadTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(rusageThread, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
