package engine

import (
	"sync/atomic"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/config"
)

// currentSettings holds the settings at hand. What SIGHUP may change is read from it each time.
type currentSettings struct {
	atomic.Pointer[config.Settings]
}

func newCurrentSettings(s *config.Settings) *currentSettings {
	l := new(currentSettings)
	l.Store(s)
	return l
}

// ApplySettings has the sidecar go by other settings, as far as they need no restart. They must have
// passed internal/check beside the configuration that the sidecar was started with.
func (e *Engine) ApplySettings(s *config.Settings) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.Store(s)
	for i, k := range e.cfg.ReloadedClasses(s) {
		e.handleEvent(func(now time.Duration, acts []balance.Action) []balance.Action {
			return e.balancer.SetClassLimits(now, i, k, acts)
		})
	}
}
