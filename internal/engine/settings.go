package engine

import (
	"sync/atomic"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/config"
)

// currentSettings holds the settings in effect. Values that a reload (SIGHUP) may change must be read
// from it at each use. It is safe for concurrent use.
type currentSettings struct {
	atomic.Pointer[config.Settings]
}

// newCurrentSettings returns a currentSettings that holds s.
func newCurrentSettings(s *config.Settings) *currentSettings {
	current := new(currentSettings)
	current.Store(s)
	return current
}

// ApplySettings puts new settings into effect, as far as they need no restart. They must have passed
// internal/check together with the configuration that the sidecar was started with.
func (e *Engine) ApplySettings(s *config.Settings) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.Store(s)
	for i, class := range e.cfg.ReloadedClasses(s) {
		e.handleEvent(func(now time.Duration, actions []balance.Action) []balance.Action {
			return e.balancer.SetClassLimits(now, i, class, actions)
		})
	}
}
