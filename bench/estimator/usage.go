package estimator

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc, see proc(5).
const clockTick = 10 * time.Millisecond

// usage is what a process has used so far.
type usage struct {
	cpu    time.Duration
	memory int64
}

func readUsage(pid int) (usage, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	// The command's name may hold blanks; the fields after it do not.
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
