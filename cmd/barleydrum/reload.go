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

// configLoader reads the configuration from the platform's file and the operators' settings file.
type configLoader struct {
	settingsPath string // the operators' settings file, empty if there is none
	getenv       func(string) string
}

// loadInitial reads the configuration at the start of the program.
func (l configLoader) loadInitial() (*config.Config, error) { return l.load(config.LoadPlatform) }

// reload reads the configuration again while the program runs.
func (l configLoader) reload() (*config.Config, error) { return l.load(config.ReloadPlatform) }

// load reads, merges and checks the configuration, the platform's part through loadPlatform. With a
// settings file, findings that forbid its use are returned as an error, and all others are logged.
// Without one, findings that would forbid the use of the platform's configuration are only logged, and
// all others are ignored.
func (l configLoader) load(loadPlatform func(func(string) string) (*config.Platform, error)) (*config.Config, error) {
	var p *config.Platform
	if l.settingsPath == "" || l.getenv("PROXY_CONFIG") != "" {
		var err error
		if p, err = loadPlatform(l.getenv); err != nil {
			return nil, err
		}
	}
	if l.settingsPath == "" {
		// The platform's configuration is used in spite of findings: the balancer enforces the rules itself,
		// whatever its configuration says.
		cfg, findings := check.Sidecar(p, l.getenv("PROXY_CONFIG"), nil, "")
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
	settings, findings := config.LoadSettings(l.settingsPath)
	var cfg *config.Config
	if !config.HasRefusal(findings) {
		cfg, findings = check.Sidecar(p, l.getenv("PROXY_CONFIG"), settings, l.settingsPath)
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

// settingsReloader applies reloaded configurations to the running program.
type settingsReloader struct {
	loader       configLoader
	startConfig  *config.Config   // the configuration at the start of the program
	lastSettings *config.Settings // the settings in effect, from the last successful reload or the start
}

// reload reads the configuration again, switches to the discovery address in it and applies those
// settings that need no restart. If any part of the configuration is not usable, nothing changes.
func (r *settingsReloader) reload(eng *engine.Engine, discoveryClient *sidecar.DiscoveryClient) {
	cfg, err := r.loader.reload()
	if err != nil {
		slog.Error("reload failed: keeping the current configuration", "err", err)
		return
	}
	discoveryClient.SetAddress(cfg.DiscoveryAddress)
	if r.loader.settingsPath == "" {
		return
	}
	var applied []string
	for _, change := range config.Diff(r.lastSettings.Values(), cfg.Settings.Values()) {
		if change.Reloadable {
			applied = append(applied, change.String())
		}
	}
	var needRestart []string
	for _, change := range config.Diff(r.startConfig.Settings.Values(), cfg.Settings.Values()) {
		if !change.Reloadable {
			needRestart = append(needRestart, change.String())
		}
	}
	eng.ApplySettings(cfg.Settings)
	r.lastSettings = cfg.Settings
	slog.Info("reload: settings applied", "changed", fmt.Sprint(len(applied)), "live", applied)
	if len(needRestart) > 0 {
		slog.Warn("reload: these settings take effect only after a restart", "settings", needRestart)
	}
}
