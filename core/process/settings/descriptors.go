package settings

import "golang.org/x/sys/unix"

// CallerDescriptorFraction is the fraction of the descriptors that callers' connections may take. The
// others are for upstreams, other processes, the platform, files and the admin endpoints.
const CallerDescriptorFraction = 0.6

// Descriptors returns a fraction of the descriptors that the process may have, between 1 and most. These
// are maxDescriptors, unless that is 0 or more than the operating system allows.
func Descriptors(maxDescriptors int, fraction float64, most int) int {
	limit := systemDescriptors()
	if maxDescriptors > 0 {
		limit = min(limit, maxDescriptors)
	}
	return max(min(int(float64(limit)*fraction), most), 1)
}

// unlimitedDescriptors stands for a limit of the operating system that is unknown or has no end.
const unlimitedDescriptors = 1 << 20

// systemDescriptors returns the limit of the operating system.
func systemDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return unlimitedDescriptors // the process then fails to open more, and logs that
	}
	return int(min(limit.Cur, unlimitedDescriptors))
}
