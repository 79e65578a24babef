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

// Config is the configuration that a sidecar runs with: the platform's, narrowed by the operators'
// file.
type Config struct {
	*Platform
	Settings   *Settings
	Standalone bool // there is no platform, which would send SIGKILL some time after SIGTERM
}

// ReservedSockets is the number of file descriptors that are reserved for the listener, discovery,
// the runtime, the log and the configuration. MinSockets is the fewest descriptors that a sidecar
// can run with.
const ReservedSockets, MinSockets = 24, 64

// AcceptReserve is how many of the reserved descriptors callers' connections may use while others are being
// evicted, so that a new connection does not wait for them.
const AcceptReserve = 8

// The defaults of settings that neither the platform nor the file gives.
const (
	defaultConnectTimeout   = 250 * time.Millisecond
	defaultKeepAliveTimeout = 10 * time.Second
)

// MaxCallerConnections returns how many connections callers may have open. The default is a third
// of the descriptors, which is the most that callers need for the requests they may have open.
func (c *Config) MaxCallerConnections() int {
	return cmp.Or(c.Settings.Callers.MaxConnections, c.Limits.Sockets/3)
}

// MaxBodyFiles returns how many request bodies may be stored in files. Each uses a descriptor.
func (c *Config) MaxBodyFiles() int {
	if s := &c.Settings.Streams; s.RequestsEnabled() && s.MaxFilePerBody > 0 {
		return s.MaxOpenRequests
	}
	return 0
}

// MaxEndpointConnections returns how many connections to endpoints may be open. The default is the
// descriptors that callers, body files and the reserve leave.
func (c *Config) MaxEndpointConnections() int {
	rest := c.Limits.Sockets - c.MaxCallerConnections() - ReservedSockets - c.MaxBodyFiles()
	return cmp.Or(c.Settings.Endpoints.MaxConnections, max(rest, 1))
}

// ConnectTimeout returns how long it may take to connect to an endpoint.
func (c *Config) ConnectTimeout() time.Duration {
	return cmp.Or(c.BalancerConfig.Limits.ConnectTimeout, defaultConnectTimeout)
}

// KeepAliveTimeout returns the shortest time for which endpoints keep an idle connection open.
func (c *Config) KeepAliveTimeout() time.Duration {
	return cmp.Or(c.BalancerConfig.Limits.KeepAlive, defaultKeepAliveTimeout)
}

// ProbePath returns the path that probes request under the settings s, which may be newer than those
// of c.
func (c *Config) ProbePath(s *Settings) string {
	if s.Probe.Path != "" {
		return s.Probe.Path
	}
	if c.BalancerConfig.Reporting == balance.ReportsNone {
		return "/healthz"
	}
	return "/load"
}

// The balancer's values for the words that the file uses.
var semanticsValues = map[string]balance.Semantics{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}

var scopeValues = map[string]balance.Scope{"all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell}

var reportingValues = map[string]balance.Reporting{
	"probe": balance.ReportsInProbe, "answers": balance.ReportsInResponse, "none": balance.ReportsNone,
}

// SemanticsName returns the file's word for the semantics of a class.
func SemanticsName(s balance.Semantics) string { return nameOf(semanticsValues, s) }

// ScopeName returns the file's word for a scope.
func ScopeName(s balance.Scope) string { return nameOf(scopeValues, s) }

// nameOf returns the name of a value, or the value as fmt prints it if it has none.
func nameOf[V comparable](values map[string]V, value V) string {
	for name, v := range values {
		if v == value {
			return name
		}
	}
	return fmt.Sprint(value)
}

// Merge returns a platform's configuration narrowed by an operators' file. Where the file asks for
// more than the platform allows, the platform's value applies; it is internal/check that refuses
// such a file. If p is nil, there is no platform, and the file and the defaults give all values.
// Merge does not change p; the result shares s.
func Merge(p *Platform, s *Settings) *Config {
	isStandalone := p == nil
	if isStandalone {
		p = standalonePlatform(s)
	} else {
		narrowed := *p
		narrowed.BalancerConfig.Classes = slices.Clone(p.BalancerConfig.Classes)
		p = &narrowed
	}
	c := &Config{Platform: p, Settings: s, Standalone: isStandalone}
	c.narrowLimits()
	for name, class := range s.Classes {
		if i, ok := p.ClassIndex[name]; ok {
			p.BalancerConfig.Classes[i] = narrowClass(p.BalancerConfig.Classes[i], class)
		}
	}
	return c
}

// maxKillDeadline is the longest request deadline that a platform takes into account when it sets the
// time from SIGTERM to SIGKILL.
const maxKillDeadline = 3 * time.Second

// ShutdownRequestTimeout returns the longest time for which a request may still run after SIGTERM, if it
// was accepted before the end of shutdown.linger.
func (c *Config) ShutdownRequestTimeout() time.Duration {
	if c.Standalone {
		return c.LongestDeadline()
	}
	return min(c.LongestDeadline(), maxKillDeadline)
}

// minSet returns the smaller of two values, where zero means that a value is not set. If only one is
// set, it returns that one.
func minSet[V cmp.Ordered](x, y V) V {
	var unset V
	if x == unset || y == unset {
		return max(x, y)
	}
	return min(x, y)
}

// narrowLimits narrows the values that are not specific to a class by those that the file gives.
func (c *Config) narrowLimits() {
	s, p, balancer := c.Settings, c.Platform, &c.Platform.BalancerConfig
	p.Limits.Cores = minSet(p.Limits.Cores, s.Limits.Cores)
	p.Limits.MemoryMB = minSet(p.Limits.MemoryMB, int64(s.Limits.Memory)>>20)
	p.Limits.Sockets = minSet(p.Limits.Sockets, s.Limits.Sockets)
	balancer.Limits.ConnectTimeout = minSet(balancer.Limits.ConnectTimeout, s.Endpoints.ConnectTimeout)
	balancer.Limits.KeepAlive = minSet(balancer.Limits.KeepAlive, s.Endpoints.KeepAliveTimeout)
	balancer.Limits.MaxAttempts = minSet(balancer.Limits.MaxAttempts, s.Fleet.MaxAttempts)
	balancer.Limits.MaxRetryAfter = min(balancer.Limits.MaxRetryAfter, cmp.Or(s.Fleet.MaxRetryAfter, balancer.Limits.MaxRetryAfter))
	if s.Fleet.Hedging != nil {
		balancer.Limits.Hedging = balancer.Limits.Hedging && *s.Fleet.Hedging
	}
	balancer.DrainGrace = minSet(balancer.DrainGrace, s.Fleet.DrainGrace)
	balancer.ColdCapacityShare = minSet(balancer.ColdCapacityShare, s.Fleet.ColdCapacityShare)
	balancer.WarmupTime = max(balancer.WarmupTime, s.Fleet.WarmupTime)
	balancer.ColdOverloadMultiple = minSet(balancer.ColdOverloadMultiple, s.Fleet.OverloadMultiple)
	balancer.ColdOverloadTime = minSet(balancer.ColdOverloadTime, s.Fleet.OverloadTime)
	balancer.SidecarCount = max(balancer.SidecarCount, s.Fleet.SidecarCount)
}

// narrowClass returns a class of the platform narrowed by the file's values for it.
func narrowClass(class balance.Class, fileClass *Class) balance.Class {
	class.TargetLatency, class.Deadline = minSet(class.TargetLatency, fileClass.TargetLatency), minSet(class.Deadline, fileClass.Deadline)
	class.TargetLatency = min(class.TargetLatency, class.Deadline)
	platformSemantics := class.Semantics
	class.Semantics = max(class.Semantics, semanticsValues[fileClass.Semantics])
	class.Scope = max(class.Scope, scopeValues[fileClass.Scope])
	if platformSemantics == balance.Safe { // the platform gives no window for a safe class
		class.RepeatWindow = fileClass.RepeatWindow
	} else {
		class.RepeatWindow = minSet(class.RepeatWindow, fileClass.RepeatWindow)
	}
	class.Value = cmp.Or(fileClass.Value, class.Value)
	if fileClass.LateValueShare != nil {
		class.LateValueShare = min(class.LateValueShare, *fileClass.LateValueShare)
	}
	return withReloadableLimits(class, fileClass)
}

// withReloadableLimits returns a class with those limits that may change while a sidecar runs set
// to the file's values, or to none if fileClass is nil.
func withReloadableLimits(class balance.Class, fileClass *Class) balance.Class {
	class.MaxAttempts, class.MaxRetries, class.NoHedging, class.RetryStartWindow = 0, 0, false, 0
	if fileClass == nil {
		return class
	}
	class.MaxAttempts, class.RetryStartWindow = fileClass.MaxAttempts, fileClass.RetryWithin
	if fileClass.MaxRetries != nil {
		class.MaxRetries = cmp.Or(*fileClass.MaxRetries, -1) // the balancer takes 0 for no limit, -1 for no retries
	}
	class.NoHedging = fileClass.Hedging != nil && !*fileClass.Hedging
	return class
}

// ReloadedClasses returns the classes of a running sidecar with their reloadable limits set by the
// new settings s. All other values stay those of c.
func (c *Config) ReloadedClasses(s *Settings) []balance.Class {
	classes := slices.Clone(c.BalancerConfig.Classes)
	for i := range classes {
		classes[i] = withReloadableLimits(classes[i], s.Classes[classes[i].Name])
	}
	return classes
}

// standalonePlatform returns the configuration that stands in for a platform's where there is none.
// Values that the file does not give are those of the operators' main site (BRIEF, "Figures of the
// rules").
func standalonePlatform(s *Settings) *Platform {
	fleet := s.Fleet
	zones := fleet.Zones
	if len(zones) == 0 {
		zones = []string{cmp.Or(fleet.Zone, "local")}
	}
	p := &Platform{
		Name: s.Application.Name, ListenAddress: s.Application.ListenAddress, DiscoveryAddress: s.Application.DiscoveryAddress, Zones: zones,
		Limits: Limits{Cores: 1, MemoryMB: defaultMemoryMB, Sockets: defaultSockets}, Seed: rand.Uint64(),
		Tiers: []string{s.Application.Tier},
		BalancerConfig: balance.Config{
			SidecarIndex: fleet.SidecarIndex, SidecarCount: max(fleet.SidecarCount, 1), Zone: max(slices.Index(zones, fleet.Zone), 0),
			MustSubscribe: fleet.DiscoveryMode == "ask", MaxSubscribeDelay: 10 * time.Second,
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
	balancer := &p.BalancerConfig
	if s.Limits.Cores > 0 {
		p.Limits.Cores = s.Limits.Cores
	}
	if s.Limits.Memory > 0 {
		p.Limits.MemoryMB = int64(s.Limits.Memory) >> 20
	}
	p.Limits.Sockets = cmp.Or(s.Limits.Sockets, p.Limits.Sockets)
	if fleet.LoadReporting != "" {
		balancer.Reporting = reportingValues[fleet.LoadReporting]
	}
	balancer.DrainGrace = cmp.Or(fleet.DrainGrace, balancer.DrainGrace)
	balancer.ColdCapacityShare, balancer.WarmupTime = cmp.Or(fleet.ColdCapacityShare, balancer.ColdCapacityShare), cmp.Or(fleet.WarmupTime, balancer.WarmupTime)
	balancer.ColdOverloadMultiple, balancer.ColdOverloadTime = cmp.Or(fleet.OverloadMultiple, balancer.ColdOverloadMultiple), cmp.Or(fleet.OverloadTime, balancer.ColdOverloadTime)
	balancer.Limits.MaxAttempts = cmp.Or(fleet.MaxAttempts, balancer.Limits.MaxAttempts)
	balancer.Limits.MaxRetryAfter = cmp.Or(fleet.MaxRetryAfter, balancer.Limits.MaxRetryAfter)
	balancer.Limits.ConnectTimeout = cmp.Or(s.Endpoints.ConnectTimeout, balancer.Limits.ConnectTimeout)
	balancer.Limits.KeepAlive = cmp.Or(s.Endpoints.KeepAliveTimeout, balancer.Limits.KeepAlive)
	p.ClassIndex, p.TenantIndex = make(map[string]int), make(map[string]int)
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		fileClass := s.Classes[name]
		p.ClassIndex[name] = len(balancer.Classes)
		class := balance.Class{
			Name: name, TargetLatency: fileClass.TargetLatency, Deadline: fileClass.Deadline, Value: cmp.Or(fileClass.Value, 1),
			Semantics: semanticsValues[fileClass.Semantics], Scope: scopeValues[fileClass.Scope], RepeatWindow: fileClass.RepeatWindow,
		}
		if fileClass.LateValueShare != nil {
			class.LateValueShare = *fileClass.LateValueShare
		}
		balancer.Classes = append(balancer.Classes, class)
	}
	return p
}

// ClassKey returns the path of a class's table in the file, such as "class.NAME".
func ClassKey(name string) string { return "class." + quoteKey(name) }

// SemanticsByName returns the balancer's value for the file's word, or balance.Safe if there is none.
func SemanticsByName(name string) balance.Semantics { return semanticsValues[name] }

// ScopeByName returns the balancer's value for the file's word, or balance.ScopeAll if there is none.
func ScopeByName(name string) balance.Scope { return scopeValues[name] }

// ReportingName returns the file's word for a way of reporting load.
func ReportingName(r balance.Reporting) string { return nameOf(reportingValues, r) }
