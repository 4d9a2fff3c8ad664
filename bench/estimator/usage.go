package estimator

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc; see proc(5). Linux reports
// them in 1/100 s.
const clockTick = 10 * time.Millisecond

// usage is the processor time that a process has used since its start, and its
// resident set size in bytes.
type usage struct {
	cpu    time.Duration
	memory int64
}

func readUsage(pid int) (usage, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	// The command's name may contain spaces; the fields after it don't. The
	// first of these is field 3 of proc(5), so that the fields used here are
	// utime (14), stime (15) and rss (24).
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return usage{}, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	if err != nil {
		return usage{}, err
	}
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	if err != nil {
		return usage{}, err
	}
	return usage{cpu: time.Duration(user+system) * clockTick, memory: pages * int64(os.Getpagesize())}, nil
}
