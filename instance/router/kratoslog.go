package router

import (
	"fmt"
	"sync"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/hashicorp/go-hclog"
)

var setKratosLog sync.Once

// kratosLog writes the log lines of kratos to the instance's JSON log.
type kratosLog struct {
	lo hclog.Logger
}

// Log implements klog.Logger.
func (kl kratosLog) Log(level klog.Level, keyvals ...any) error {
	fields := make([]any, 0, len(keyvals))
	for _, kv := range keyvals {
		fields = append(fields, fmt.Sprint(kv))
	}
	if level >= klog.LevelWarn {
		kl.lo.Warn("message from kratos", fields...)
		return nil
	}
	kl.lo.Debug("message from kratos", fields...)
	return nil
}

// redirectKratosLog sets the logger of kratos, which is global to the process. Only
// the first call has an effect.
func redirectKratosLog(lo hclog.Logger) {
	setKratosLog.Do(func() { klog.SetLogger(kratosLog{lo: lo}) })
}
