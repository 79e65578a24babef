// Package config reads and merges the configuration of a sidecar: the platform's configuration
// (JSON, see DEPLOY) and the operators' file (TOML). Its only I/O is reading these files.
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

// Limits are the resources of its machine that one sidecar may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"` // in MiB
	Sockets  int     `json:"sockets"`   // file descriptors
}

// The limits of a platform that gives none, in MiB and file descriptors.
const defaultMemoryMB, defaultSockets = 192, 1024

// Platform is the platform's configuration of a sidecar, see DEPLOY, "What a sidecar is told".
type Platform struct {
	Name             string
	ListenAddress    string // HOST:PORT on which callers are served
	DiscoveryAddress string // HOST:PORT of the discovery agent or service
	Seed             uint64
	Limits           Limits
	BalancerConfig   balance.Config
	KnownEndpoints   discovery.List // the last known list of endpoints
	Zones            []string       // names of the zones; BalancerConfig.Zone is the index of the sidecar's own
	Tiers            []string       // names of the tiers; BalancerConfig.Tier is the index of the one that the sidecar sends to

	// ClassIndex and TenantIndex hold the indexes of classes and tenants in BalancerConfig by name.
	ClassIndex, TenantIndex map[string]int
}

// LoadPlatform reads the configuration file that the environment variable PROXY_CONFIG names. The
// variables PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY, where set, override the file's values. An
// error names the setting at fault.
func LoadPlatform(getenv func(string) string) (*Platform, error) {
	return loadPlatform(getenv, getenv)
}

// ReloadPlatform reads the configuration file again. The other variables no longer override the file's
// values: they date from the start of the process, and the file may be newer.
func ReloadPlatform(getenv func(string) string) (*Platform, error) {
	return loadPlatform(getenv, func(string) string { return "" })
}

// loadPlatform reads the file that the variable PROXY_CONFIG of getenv names. Values that override
// returns for the other variables replace those of the file, unless they are empty.
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
		name  string
		field *string
	}{{"PROXY_NAME", &p.Name}, {"PROXY_LISTEN", &p.ListenAddress}, {"PROXY_DISCOVERY", &p.DiscoveryAddress}} {
		if value := override(v.name); value != "" {
			*v.field = value
		}
	}
	if err := p.checkAddresses(); err != nil {
		return nil, err
	}
	return p, nil
}

// ParsePlatform decodes and checks the text of a platform's configuration file. An error names the
// setting at fault.
func ParsePlatform(text []byte) (*Platform, error) {
	p, err := decodePlatform(text)
	if err != nil {
		return nil, err
	}
	return p, p.checkAddresses()
}

// checkAddresses checks the form of the listen and discovery addresses.
func (p *Platform) checkAddresses() error {
	for _, a := range []struct{ name, addr string }{{"listen", p.ListenAddress}, {"discovery", p.DiscoveryAddress}} {
		if err := discovery.CheckAddress(a.addr); err != nil {
			return fmt.Errorf("%s: %w", a.name, err)
		}
	}
	return nil
}

// decodePlatform decodes and checks all of a platform's configuration but its addresses, which
// environment variables may override.
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

// buildIndexes sets ClassIndex and TenantIndex. Names of classes must be unique and not empty.
func (p *Platform) buildIndexes() error {
	p.ClassIndex, p.TenantIndex = make(map[string]int), make(map[string]int)
	for i, k := range p.BalancerConfig.Classes {
		if _, ok := p.ClassIndex[k.Name]; ok || k.Name == "" {
			return fmt.Errorf("settings: classes[%d].name: %q is empty, or another class has it", i, k.Name)
		}
		p.ClassIndex[k.Name] = i
	}
	for i, t := range p.BalancerConfig.Tenants {
		p.TenantIndex[t.Name] = i
	}
	return nil
}

// Tier returns the name of the tier that the sidecar sends to, or "" if the platform gives none.
func (p *Platform) Tier() string {
	if i := p.BalancerConfig.Tier; i >= 0 && i < len(p.Tiers) {
		return p.Tiers[i]
	}
	return ""
}

// LongestDeadline returns the longest deadline of all classes.
func (p *Platform) LongestDeadline() time.Duration {
	var longest time.Duration
	for _, k := range p.BalancerConfig.Classes {
		longest = max(longest, k.Deadline)
	}
	return longest
}
