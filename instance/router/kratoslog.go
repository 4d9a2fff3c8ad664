package router

import (
	"fmt"
	"sync"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/hashicorp/go-hclog"
)

var setKratosLog sync.Once

// kratosLog passes the log lines of kratos on to the instance's JSON log.
type kratosLog struct {
	lo hclog.Logger
}

// Log implements the logger of kratos.
func (kl kratosLog) Log(level klog.Level, keyvals ...any) error {
	fields := make([]any, 0, len(keyvals))
	for _, kv := range keyvals {
		fields = append(fields, fmt.Sprint(kv))
	}
	if level >= klog.LevelWarn {
		kl.lo.Warn("kratos", fields...)
		return nil
	}
	kl.lo.Debug("kratos", fields...)
	return nil
}

// redirectKratosLog redirects the log of kratos, which is global to the process.
func redirectKratosLog(lo hclog.Logger) {
	setKratosLog.Do(func() { klog.SetLogger(kratosLog{lo: lo}) })
}
