package main

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"

	"barleydrum.example/barleydrum/internal/check"
	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/engine"
	"barleydrum.example/barleydrum/internal/sidecar"
)

// configLoader is where the configuration comes from.
type configLoader struct {
	settingsPath string // the operators' file, empty for none
	getenv       func(string) string
}

// loadInitial reads the configuration to begin with.
func (s configLoader) loadInitial() (*config.Config, error) { return s.load(config.LoadPlatform) }

// reload reads it as it is now.
func (s configLoader) reload() (*config.Config, error) { return s.load(config.ReloadPlatform) }

func (s configLoader) load(platform func(func(string) string) (*config.Platform, error)) (*config.Config, error) {
	var p *config.Platform
	if s.settingsPath == "" || s.getenv("PROXY_CONFIG") != "" {
		var err error
		if p, err = platform(s.getenv); err != nil {
			return nil, err
		}
	}
	if s.settingsPath == "" {
		// The platform's word stands: the module guards the rules by itself, whatever it is told.
		cfg, findings := check.Sidecar(p, s.getenv("PROXY_CONFIG"), nil, "")
		for _, f := range findings {
			if f.Level == config.LevelRefused {
				slog.Error("configuration", "finding", f.String())
			}
		}
		if cfg == nil {
			cfg = config.Merge(p, config.DefaultSettings())
		}
		return cfg, nil
	}
	file, findings := config.LoadSettings(s.settingsPath)
	var cfg *config.Config
	if !config.HasRefusal(findings) {
		cfg, findings = check.Sidecar(p, s.getenv("PROXY_CONFIG"), file, s.settingsPath)
	}
	var refused []string
	for _, f := range findings {
		if f.Level == config.LevelRefused {
			refused = append(refused, f.String())
		} else {
			slog.Warn("configuration", "finding", f.String())
		}
	}
	if len(refused) > 0 {
		return nil, errors.New(strings.Join(refused, "\n"))
	}
	return cfg, nil
}

// settingsReloader is the configuration that the program runs with.
type settingsReloader struct {
	loader       configLoader
	startConfig  *config.Config
	lastSettings *config.Settings // those of the last reload
}

// reload follows the discovery that the configuration names now, and has those settings take
// effect that need no restart. If any of it can't be used, all stays as it is.
func (r *settingsReloader) reload(e *engine.Engine, d *sidecar.DiscoveryClient) {
	cfg, err := r.loader.reload()
	if err != nil {
		slog.Error("reload: keeping the configuration at hand", "err", err)
		return
	}
	d.SetAddress(cfg.DiscoveryAddress)
	if r.loader.settingsPath == "" {
		return
	}
	var live []string
	for _, c := range config.Diff(r.lastSettings.Values(), cfg.Settings.Values()) {
		if c.Reloadable {
			live = append(live, c.String())
		}
	}
	var restart []string
	for _, c := range config.Diff(r.startConfig.Settings.Values(), cfg.Settings.Values()) {
		if !c.Reloadable {
			restart = append(restart, c.String())
		}
	}
	e.ApplySettings(cfg.Settings)
	r.lastSettings = cfg.Settings
	slog.Info("reload: settings", "changed", fmt.Sprint(len(live)), "live", live)
	if len(restart) > 0 {
		slog.Warn("reload: these take effect at a restart", "settings", restart)
	}
}
