package config

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"barleydrum.example/barleydrum/balance"
)

// Config is what a sidecar runs with: the platform's word, narrowed by the operators'.
type Config struct {
	*Platform
	Settings   *Settings
	Standalone bool // there is no platform, nor its SIGKILL
}

// The reserve of descriptors for the listener, discovery, the runtime, the log and the
// configuration, and the fewest that a sidecar can do with.
const ReservedSockets, MinSockets = 24, 64

// What holds where neither the platform nor the file says anything.
const (
	defaultConnectTimeout   = 250 * time.Millisecond
	defaultKeepAliveTimeout = 10 * time.Second
)

// MaxCallerConnections is how many connections callers may have open: a third of the descriptors
// unless the file says otherwise, which is what they need at most for the requests that they
// may hold.
func (c *Config) MaxCallerConnections() int {
	return cmp.Or(c.Settings.Callers.MaxConnections, c.Limits.Sockets/3)
}

// MaxBodyFiles is how many bodies may be kept in files: each takes a descriptor.
func (c *Config) MaxBodyFiles() int {
	if s := &c.Settings.Streams; s.RequestsEnabled() && s.MaxFilePerBody > 0 {
		return s.MaxOpenRequests
	}
	return 0
}

// MaxEndpointConnections is how many connections to endpoints may be open: the rest.
func (c *Config) MaxEndpointConnections() int {
	rest := c.Limits.Sockets - c.MaxCallerConnections() - ReservedSockets - c.MaxBodyFiles()
	return cmp.Or(c.Settings.Endpoints.MaxConnections, max(rest, 1))
}

// ConnectTimeout is how long a connection to an endpoint may take to come up.
func (c *Config) ConnectTimeout() time.Duration {
	return cmp.Or(c.BalancerConfig.Limits.ConnectTimeout, defaultConnectTimeout)
}

// KeepAliveTimeout is how long an endpoint keeps an idle connection at the least.
func (c *Config) KeepAliveTimeout() time.Duration {
	return cmp.Or(c.BalancerConfig.Limits.KeepAlive, defaultKeepAliveTimeout)
}

// ProbePath is what a probe asks an endpoint for by these settings.
func (c *Config) ProbePath(s *Settings) string {
	if s.Probe.Path != "" {
		return s.Probe.Path
	}
	if c.BalancerConfig.Reporting == balance.ReportsNone {
		return "/healthz"
	}
	return "/load"
}

var semanticsValues = map[string]balance.Semantics{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}

var scopeValues = map[string]balance.Scope{"all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell}

var reportingValues = map[string]balance.Reporting{
	"probe": balance.ReportsInProbe, "answers": balance.ReportsInResponse, "none": balance.ReportsNone,
}

// SemanticsName and ScopeName are what the file calls the module's values.
func SemanticsName(s balance.Semantics) string { return nameOf(semanticsValues, s) }

// ScopeName is what the file calls a scope.
func ScopeName(s balance.Scope) string { return nameOf(scopeValues, s) }

func nameOf[V comparable](names map[string]V, v V) string {
	for name, x := range names {
		if x == v {
			return name
		}
	}
	return fmt.Sprint(v)
}

// Merge narrows a platform's configuration by an operators' file. Where the file asks for
// more than the platform allows, the platform's word stands; that the file does so is for
// internal/check to refuse. Without a platform, the file alone says all.
func Merge(p *Platform, s *Settings) *Config {
	alone := p == nil
	if alone {
		p = standalonePlatform(s)
	} else {
		narrowed := *p
		narrowed.BalancerConfig.Classes = slices.Clone(p.BalancerConfig.Classes)
		p = &narrowed
	}
	c := &Config{Platform: p, Settings: s, Standalone: alone}
	c.narrowLimits()
	for name, k := range s.Classes {
		if i, ok := p.ClassIndex[name]; ok {
			p.BalancerConfig.Classes[i] = narrowClass(p.BalancerConfig.Classes[i], k)
		}
	}
	return c
}

// maxKillDeadline is the longest that a platform counts a deadline for as it sets when SIGKILL follows
// SIGTERM.
const maxKillDeadline = 3 * time.Second

// ShutdownRequestTimeout is how long a request that was taken before the end of the linger time may take at most
// once SIGTERM has come.
func (c *Config) ShutdownRequestTimeout() time.Duration {
	if c.Standalone {
		return c.LongestDeadline()
	}
	return min(c.LongestDeadline(), maxKillDeadline)
}

// minSet is the smaller of two values of which zero means that nothing is said.
func minSet[V cmp.Ordered](x, y V) V {
	var none V
	if x == none || y == none {
		return max(x, y)
	}
	return min(x, y)
}

func (c *Config) narrowLimits() {
	s, p, m := c.Settings, c.Platform, &c.Platform.BalancerConfig
	p.Limits.Cores = minSet(p.Limits.Cores, s.Limits.Cores)
	p.Limits.MemoryMB = minSet(p.Limits.MemoryMB, int64(s.Limits.Memory)>>20)
	p.Limits.Sockets = minSet(p.Limits.Sockets, s.Limits.Sockets)
	m.Limits.ConnectTimeout = minSet(m.Limits.ConnectTimeout, s.Endpoints.ConnectTimeout)
	m.Limits.KeepAlive = minSet(m.Limits.KeepAlive, s.Endpoints.KeepAliveTimeout)
	m.Limits.MaxAttempts = minSet(m.Limits.MaxAttempts, s.Fleet.MaxAttempts)
	m.Limits.MaxRetryAfter = min(m.Limits.MaxRetryAfter, cmp.Or(s.Fleet.MaxRetryAfter, m.Limits.MaxRetryAfter))
	if s.Fleet.Hedging != nil {
		m.Limits.Hedging = m.Limits.Hedging && *s.Fleet.Hedging
	}
	m.DrainGrace = minSet(m.DrainGrace, s.Fleet.DrainGrace)
	m.ColdCapacityShare = minSet(m.ColdCapacityShare, s.Fleet.ColdCapacityShare)
	m.WarmupTime = max(m.WarmupTime, s.Fleet.WarmupTime)
	m.ColdOverloadMultiple = minSet(m.ColdOverloadMultiple, s.Fleet.OverloadMultiple)
	m.ColdOverloadTime = minSet(m.ColdOverloadTime, s.Fleet.OverloadTime)
	m.SidecarCount = max(m.SidecarCount, s.Fleet.SidecarCount)
}

// narrowClass narrows a class by what the file says of it.
func narrowClass(k balance.Class, s *Class) balance.Class {
	k.TargetLatency, k.Deadline = minSet(k.TargetLatency, s.TargetLatency), minSet(k.Deadline, s.Deadline)
	k.TargetLatency = min(k.TargetLatency, k.Deadline)
	was := k.Semantics
	k.Semantics = max(k.Semantics, semanticsValues[s.Semantics])
	k.Scope = max(k.Scope, scopeValues[s.Scope])
	if was == balance.Safe { // a platform has no window to say for it
		k.RepeatWindow = s.RepeatWindow
	} else {
		k.RepeatWindow = minSet(k.RepeatWindow, s.RepeatWindow)
	}
	k.Value = cmp.Or(s.Value, k.Value)
	if s.LateValueShare != nil {
		k.LateValueShare = min(k.LateValueShare, *s.LateValueShare)
	}
	return withReloadableLimits(k, s)
}

// withReloadableLimits sets the bounds of a class that may change while a sidecar runs.
func withReloadableLimits(k balance.Class, s *Class) balance.Class {
	k.MaxAttempts, k.MaxRetries, k.NoHedging, k.RetryStartWindow = 0, 0, false, 0
	if s == nil {
		return k
	}
	k.MaxAttempts, k.RetryStartWindow = s.MaxAttempts, s.RetryWithin
	if s.MaxRetries != nil {
		k.MaxRetries = cmp.Or(*s.MaxRetries, -1)
	}
	k.NoHedging = s.Hedging != nil && !*s.Hedging
	return k
}

// ReloadedClasses returns the classes of a running sidecar with the bounds that may change set by
// other settings.
func (c *Config) ReloadedClasses(s *Settings) []balance.Class {
	out := slices.Clone(c.BalancerConfig.Classes)
	for i := range out {
		out[i] = withReloadableLimits(out[i], s.Classes[out[i].Name])
	}
	return out
}

// standalonePlatform is what a platform would say, by the file alone. The figures are those of the
// operators' main site (BRIEF, "Figures of the rules") where the file leaves them out.
func standalonePlatform(s *Settings) *Platform {
	f := s.Fleet
	zones := f.Zones
	if len(zones) == 0 {
		zones = []string{cmp.Or(f.Zone, "local")}
	}
	p := &Platform{
		Name: s.Application.Name, ListenAddress: s.Application.ListenAddress, DiscoveryAddress: s.Application.DiscoveryAddress, Zones: zones,
		Limits: Limits{Cores: 1, MemoryMB: defaultMemoryMB, Sockets: defaultSockets}, Seed: rand.Uint64(),
		Tiers: []string{s.Application.Tier},
		BalancerConfig: balance.Config{
			SidecarIndex: f.SidecarIndex, SidecarCount: max(f.SidecarCount, 1), Zone: max(slices.Index(zones, f.Zone), 0),
			MustSubscribe: f.DiscoveryMode == "ask", MaxSubscribeDelay: 10 * time.Second,
			Reporting: balance.ReportsInProbe, EndpointsPropagateDeadline: true,
			Costs:             balance.Costs{CrossZone: 0.005, LateFail: 0.08, Probe: 0.002, Waste: 0.04},
			Objective:         balance.ObjectiveWeights{Overall: 0.9, WorstWindow: 0.1},
			ColdCapacityShare: 0.14, WarmupTime: 22 * time.Second, ColdOverloadMultiple: 3, ColdOverloadTime: 2 * time.Second,
			DrainGrace: 500 * time.Millisecond, ClockResolution: time.Millisecond,
			Limits: balance.Limits{
				MaxAttempts: 6, Hedging: true, Cancel: true, Probes: true, MaxStreams: 1,
				MaxRetryAfter: 2 * time.Second, ConnectTimeout: defaultConnectTimeout, KeepAlive: defaultKeepAliveTimeout,
			},
		},
	}
	m := &p.BalancerConfig
	if s.Limits.Cores > 0 {
		p.Limits.Cores = s.Limits.Cores
	}
	if s.Limits.Memory > 0 {
		p.Limits.MemoryMB = int64(s.Limits.Memory) >> 20
	}
	p.Limits.Sockets = cmp.Or(s.Limits.Sockets, p.Limits.Sockets)
	if f.LoadReporting != "" {
		m.Reporting = reportingValues[f.LoadReporting]
	}
	m.DrainGrace = cmp.Or(f.DrainGrace, m.DrainGrace)
	m.ColdCapacityShare, m.WarmupTime = cmp.Or(f.ColdCapacityShare, m.ColdCapacityShare), cmp.Or(f.WarmupTime, m.WarmupTime)
	m.ColdOverloadMultiple, m.ColdOverloadTime = cmp.Or(f.OverloadMultiple, m.ColdOverloadMultiple), cmp.Or(f.OverloadTime, m.ColdOverloadTime)
	m.Limits.MaxAttempts = cmp.Or(f.MaxAttempts, m.Limits.MaxAttempts)
	m.Limits.MaxRetryAfter = cmp.Or(f.MaxRetryAfter, m.Limits.MaxRetryAfter)
	m.Limits.ConnectTimeout = cmp.Or(s.Endpoints.ConnectTimeout, m.Limits.ConnectTimeout)
	m.Limits.KeepAlive = cmp.Or(s.Endpoints.KeepAliveTimeout, m.Limits.KeepAlive)
	p.ClassIndex, p.TenantIndex = make(map[string]int), make(map[string]int)
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		k := s.Classes[name]
		p.ClassIndex[name] = len(m.Classes)
		class := balance.Class{
			Name: name, TargetLatency: k.TargetLatency, Deadline: k.Deadline, Value: cmp.Or(k.Value, 1),
			Semantics: semanticsValues[k.Semantics], Scope: scopeValues[k.Scope], RepeatWindow: k.RepeatWindow,
		}
		if k.LateValueShare != nil {
			class.LateValueShare = *k.LateValueShare
		}
		m.Classes = append(m.Classes, class)
	}
	return p
}

// ClassKey is the key of a class's part in the file.
func ClassKey(name string) string { return "class." + quoteKey(name) }

// SemanticsByName and Scope are the module's values for the file's words, ReportsName the file's
// word for the module's.
func SemanticsByName(word string) balance.Semantics { return semanticsValues[word] }

// ScopeByName is the module's value for the file's word.
func ScopeByName(word string) balance.Scope { return scopeValues[word] }

// ReportingName is the file's word for a way of reporting.
func ReportingName(r balance.Reporting) string { return nameOf(reportingValues, r) }
