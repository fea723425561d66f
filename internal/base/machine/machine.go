// Package machine reads the limits of the machine that a process runs on.
package machine

import (
	"os"
	"strconv"
	"strings"
	"syscall"
)

// Memory returns the size of the machine's memory in bytes (source: /proc/meminfo), 0 if it isn't known.
func Memory() int64 {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	return memoryOf(string(data))
}

func memoryOf(meminfo string) int64 {
	for line := range strings.Lines(meminfo) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "MemTotal:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return 0
			}
			return kilobytes << 10
		}
	}
	return 0
}

// Descriptors returns how many descriptors the process may open (source: RLIMIT_NOFILE): at most the given number, unless that is 0.
func Descriptors(most int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return most
	}
	allowed := int(min(limit.Cur, 1<<30))
	if most > 0 {
		return min(most, allowed)
	}
	return allowed
}
