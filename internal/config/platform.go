// Package config holds what a sidecar is told: the platform's configuration (JSON, see DEPLOY)
// and the operators' file (TOML). It does no I/O but reading the files that it is given.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/discovery"
	"barleydrum.example/barleydrum/internal/wire"
)

// Limits are what one sidecar may use of its machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// The limits of a deployment that states none.
const defaultMemoryMB, defaultSockets = 192, 1024

// Platform is what the platform tells a sidecar, see DEPLOY, "What a sidecar is told".
type Platform struct {
	Name             string
	ListenAddress    string
	DiscoveryAddress string
	Seed             uint64
	Limits           Limits
	BalancerConfig   balance.Config
	KnownEndpoints   discovery.List
	Zones            []string
	Tiers            []string // the tiers; Module.Tier is the index of the one it sends to

	// ClassIndex and Tenants are the indexes of names in Module.
	ClassIndex, TenantIndex map[string]int
}

// LoadPlatform reads the configuration file that PROXY_CONFIG names. The other
// variables, where set, go before what the file says. An error names the
// setting at fault.
func LoadPlatform(getenv func(string) string) (*Platform, error) {
	return loadPlatform(getenv, getenv)
}

// ReloadPlatform reads the file again. What it says goes before the variables now: these are
// as old as the process.
func ReloadPlatform(getenv func(string) string) (*Platform, error) {
	return loadPlatform(getenv, func(string) string { return "" })
}

func loadPlatform(getenv, override func(string) string) (*Platform, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("PROXY_CONFIG: not set")
	}
	text, err := ReadFile(path, MaxPlatformBytes)
	if err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	p, err := decodePlatform(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, v := range []struct {
		name string
		to   *string
	}{{"PROXY_NAME", &p.Name}, {"PROXY_LISTEN", &p.ListenAddress}, {"PROXY_DISCOVERY", &p.DiscoveryAddress}} {
		if s := override(v.name); s != "" {
			*v.to = s
		}
	}
	if err := p.checkAddresses(); err != nil {
		return nil, err
	}
	return p, nil
}

// ParsePlatform reads the text of a platform's configuration file.
func ParsePlatform(text []byte) (*Platform, error) {
	p, err := decodePlatform(text)
	if err != nil {
		return nil, err
	}
	return p, p.checkAddresses()
}

func (p *Platform) checkAddresses() error {
	for _, a := range []struct{ name, addr string }{{"listen", p.ListenAddress}, {"discovery", p.DiscoveryAddress}} {
		if err := discovery.CheckAddress(a.addr); err != nil {
			return fmt.Errorf("%s: %w", a.name, err)
		}
	}
	return nil
}

func decodePlatform(text []byte) (*Platform, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     discovery.List  `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	p := &Platform{
		Name: file.Name, ListenAddress: file.Listen, DiscoveryAddress: file.Discovery,
		Limits: file.Limits, KnownEndpoints: file.Known,
	}
	var err error
	if p.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if p.Limits.Cores < 0 || p.Limits.MemoryMB < 0 || p.Limits.Sockets < 0 {
		return nil, errors.New("limits: negative")
	}
	if p.Limits.MemoryMB == 0 {
		p.Limits.MemoryMB = defaultMemoryMB
	}
	if p.Limits.Sockets == 0 {
		p.Limits.Sockets = defaultSockets
	}
	if p.Limits.Sockets < MinSockets {
		return nil, fmt.Errorf("limits.sockets: %d is fewer than %d", p.Limits.Sockets, MinSockets)
	}
	if err := p.KnownEndpoints.Check(); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if p.BalancerConfig, _, err = wire.ParseConfig(file.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var names struct {
		Zones  []string `json:"zones"`
		Layers []string `json:"layers"`
	}
	if err := json.Unmarshal(file.Settings, &names); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p.Zones, p.Tiers = names.Zones, names.Layers
	return p, p.buildIndexes()
}

// buildIndexes makes Classes and Tenants.
func (p *Platform) buildIndexes() error {
	p.ClassIndex, p.TenantIndex = make(map[string]int), make(map[string]int)
	for i, k := range p.BalancerConfig.Classes {
		if _, ok := p.ClassIndex[k.Name]; ok || k.Name == "" {
			return fmt.Errorf("settings: classes[%d].name: %q is empty or taken", i, k.Name)
		}
		p.ClassIndex[k.Name] = i
	}
	for i, t := range p.BalancerConfig.Tenants {
		p.TenantIndex[t.Name] = i
	}
	return nil
}

// Tier is the name of the tier that the sidecar sends to, or empty where it is told none.
func (p *Platform) Tier() string {
	if t := p.BalancerConfig.Tier; t >= 0 && t < len(p.Tiers) {
		return p.Tiers[t]
	}
	return ""
}

// LongestDeadline is how long the most patient client waits.
func (p *Platform) LongestDeadline() time.Duration {
	var most time.Duration
	for _, k := range p.BalancerConfig.Classes {
		most = max(most, k.Deadline)
	}
	return most
}
