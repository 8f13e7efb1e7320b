package skew

import (
	"runtime"
	"syscall"
	"time"
)

// rusageThread is RUSAGE_THREAD of getrusage(2) on Linux, which selects the calling
// thread.
const rusageThread = 1

// cpuTime returns the CPU time that f uses on its thread. Unlike elapsed time, it
// does not depend on the load that other processes put on the machine.
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
