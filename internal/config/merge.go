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
const ReservedSockets, LeastSockets = 24, 64

// What holds where neither the platform nor the file says anything.
const (
	defaultConnectTime = 250 * time.Millisecond
	defaultKeepAlive   = 10 * time.Second
)

// CallerConnections is how many connections callers may have open: a third of the descriptors
// unless the file says otherwise, which is what they need at most for the requests that they
// may hold.
func (c *Config) CallerConnections() int {
	return cmp.Or(c.Settings.Callers.Connections, c.Limits.Sockets/3)
}

// Files is how many bodies may be kept in files: each takes a descriptor.
func (c *Config) Files() int {
	if s := &c.Settings.Streams; s.Takes() && s.File > 0 {
		return s.Open
	}
	return 0
}

// EndpointConnections is how many connections to endpoints may be open: the rest.
func (c *Config) EndpointConnections() int {
	rest := c.Limits.Sockets - c.CallerConnections() - ReservedSockets - c.Files()
	return cmp.Or(c.Settings.Endpoints.Connections, max(rest, 1))
}

// ConnectTime is how long a connection to an endpoint may take to come up.
func (c *Config) ConnectTime() time.Duration {
	return cmp.Or(c.Module.Limits.ConnectTimeout, defaultConnectTime)
}

// KeepAlive is how long an endpoint keeps an idle connection at the least.
func (c *Config) KeepAlive() time.Duration {
	return cmp.Or(c.Module.Limits.KeepAlive, defaultKeepAlive)
}

// ProbePath is what a probe asks an endpoint for by these settings.
func (c *Config) ProbePath(s *Settings) string {
	if s.Probe.Path != "" {
		return s.Probe.Path
	}
	if c.Module.Reporting == balance.ReportsNone {
		return "/healthz"
	}
	return "/load"
}

var semantics = map[string]balance.Semantics{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}

var scopes = map[string]balance.Scope{"all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell}

var reports = map[string]balance.Reporting{
	"probe": balance.ReportsProbe, "answers": balance.ReportsInAnswer, "none": balance.ReportsNone,
}

// SemanticsName and ScopeName are what the file calls the module's values.
func SemanticsName(s balance.Semantics) string { return nameOf(semantics, s) }

// ScopeName is what the file calls a scope.
func ScopeName(s balance.Scope) string { return nameOf(scopes, s) }

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
		p = standalone(s)
	} else {
		narrowed := *p
		narrowed.Module.Classes = slices.Clone(p.Module.Classes)
		p = &narrowed
	}
	c := &Config{Platform: p, Settings: s, Standalone: alone}
	c.narrowLimits()
	for name, k := range s.Class {
		if i, ok := p.Classes[name]; ok {
			p.Module.Classes[i] = narrow(p.Module.Classes[i], k)
		}
	}
	return c
}

// mostKillDeadline is the longest that a platform counts a deadline for as it sets when SIGKILL follows
// SIGTERM.
const mostKillDeadline = 3 * time.Second

// ShutdownDeadline is how long a request that was taken before the end of the linger time may take at most
// once SIGTERM has come.
func (c *Config) ShutdownDeadline() time.Duration {
	if c.Standalone {
		return c.LongestDeadline()
	}
	return min(c.LongestDeadline(), mostKillDeadline)
}

// less is the smaller of two values of which zero means that nothing is said.
func less[V cmp.Ordered](x, y V) V {
	var none V
	if x == none || y == none {
		return max(x, y)
	}
	return min(x, y)
}

func (c *Config) narrowLimits() {
	s, p, m := c.Settings, c.Platform, &c.Platform.Module
	p.Limits.Cores = less(p.Limits.Cores, s.Limits.Cores)
	p.Limits.MemoryMB = less(p.Limits.MemoryMB, int64(s.Limits.Memory)>>20)
	p.Limits.Sockets = less(p.Limits.Sockets, s.Limits.Sockets)
	m.Limits.ConnectTimeout = less(m.Limits.ConnectTimeout, s.Endpoints.ConnectTime)
	m.Limits.KeepAlive = less(m.Limits.KeepAlive, s.Endpoints.KeepAlive)
	m.Limits.MaxAttempts = less(m.Limits.MaxAttempts, s.Fleet.Attempts)
	m.Limits.MaxRetryAfter = min(m.Limits.MaxRetryAfter, cmp.Or(s.Fleet.MaxRetryAfter, m.Limits.MaxRetryAfter))
	if s.Fleet.SecondCopies != nil {
		m.Limits.SecondCopies = m.Limits.SecondCopies && *s.Fleet.SecondCopies
	}
	m.DrainGrace = less(m.DrainGrace, s.Fleet.DrainGrace)
	m.ColdShare = less(m.ColdShare, s.Fleet.ColdShare)
	m.ColdFor = max(m.ColdFor, s.Fleet.ColdTime)
	m.FallMultiple = less(m.FallMultiple, s.Fleet.FallMultiple)
	m.FallAfter = less(m.FallAfter, s.Fleet.FallTime)
	m.Balancers = max(m.Balancers, s.Fleet.Sidecars)
}

// narrow narrows a class by what the file says of it.
func narrow(k balance.Class, s *Class) balance.Class {
	k.Goal, k.Deadline = less(k.Goal, s.Wanted), less(k.Deadline, s.Deadline)
	k.Goal = min(k.Goal, k.Deadline)
	was := k.Semantics
	k.Semantics = max(k.Semantics, semantics[s.Semantics])
	k.Scope = max(k.Scope, scopes[s.Scope])
	if was == balance.Safe { // a platform has no window to say for it
		k.RepeatWindow = s.RepeatWindow
	} else {
		k.RepeatWindow = less(k.RepeatWindow, s.RepeatWindow)
	}
	k.Worth = cmp.Or(s.Worth, k.Worth)
	if s.LateWorth != nil {
		k.LateShare = min(k.LateShare, *s.LateWorth)
	}
	return limit(k, s)
}

// limit sets the bounds of a class that may change while a sidecar runs.
func limit(k balance.Class, s *Class) balance.Class {
	k.MaxAttempts, k.Retries, k.OneCopy, k.RetryWithin = 0, 0, false, 0
	if s == nil {
		return k
	}
	k.MaxAttempts, k.RetryWithin = s.Attempts, s.RetryWithin
	if s.Retries != nil {
		k.Retries = cmp.Or(*s.Retries, -1)
	}
	k.OneCopy = s.SecondCopies != nil && !*s.SecondCopies
	return k
}

// Limited returns the classes of a running sidecar with the bounds that may change set by
// other settings.
func (c *Config) Limited(s *Settings) []balance.Class {
	out := slices.Clone(c.Module.Classes)
	for i := range out {
		out[i] = limit(out[i], s.Class[out[i].Name])
	}
	return out
}

// standalone is what a platform would say, by the file alone. The figures are those of the
// operators' main site (BRIEF, "Figures of the rules") where the file leaves them out.
func standalone(s *Settings) *Platform {
	f := s.Fleet
	zones := f.Zones
	if len(zones) == 0 {
		zones = []string{cmp.Or(f.Zone, "local")}
	}
	p := &Platform{
		Name: s.Application.Name, Listen: s.Application.Listen, Discovery: s.Application.Discovery, Zones: zones,
		Limits: Limits{Cores: 1, MemoryMB: defaultMemoryMB, Sockets: defaultSockets}, Seed: rand.Uint64(),
		Layers: []string{s.Application.Tier},
		Module: balance.Config{
			Me: f.Number, Balancers: max(f.Sidecars, 1), Zone: max(slices.Index(zones, f.Zone), 0),
			AskDiscovery: f.List == "ask", AskWithin: 10 * time.Second,
			Reporting: balance.ReportsProbe, PassesBudget: true,
			Costs:     balance.Costs{CrossZone: 0.005, LateFail: 0.08, Probe: 0.002, Waste: 0.04},
			Goal:      balance.GoalWeights{Whole: 0.9, WorstWindow: 0.1},
			ColdShare: 0.14, ColdFor: 22 * time.Second, FallMultiple: 3, FallAfter: 2 * time.Second,
			DrainGrace: 500 * time.Millisecond, Step: time.Millisecond,
			Limits: balance.Limits{
				MaxAttempts: 6, SecondCopies: true, Cancel: true, Probes: true, MaxStreams: 1,
				MaxRetryAfter: 2 * time.Second, ConnectTimeout: defaultConnectTime, KeepAlive: defaultKeepAlive,
			},
		},
	}
	m := &p.Module
	if s.Limits.Cores > 0 {
		p.Limits.Cores = s.Limits.Cores
	}
	if s.Limits.Memory > 0 {
		p.Limits.MemoryMB = int64(s.Limits.Memory) >> 20
	}
	p.Limits.Sockets = cmp.Or(s.Limits.Sockets, p.Limits.Sockets)
	if f.Reports != "" {
		m.Reporting = reports[f.Reports]
	}
	m.DrainGrace = cmp.Or(f.DrainGrace, m.DrainGrace)
	m.ColdShare, m.ColdFor = cmp.Or(f.ColdShare, m.ColdShare), cmp.Or(f.ColdTime, m.ColdFor)
	m.FallMultiple, m.FallAfter = cmp.Or(f.FallMultiple, m.FallMultiple), cmp.Or(f.FallTime, m.FallAfter)
	m.Limits.MaxAttempts = cmp.Or(f.Attempts, m.Limits.MaxAttempts)
	m.Limits.MaxRetryAfter = cmp.Or(f.MaxRetryAfter, m.Limits.MaxRetryAfter)
	m.Limits.ConnectTimeout = cmp.Or(s.Endpoints.ConnectTime, m.Limits.ConnectTimeout)
	m.Limits.KeepAlive = cmp.Or(s.Endpoints.KeepAlive, m.Limits.KeepAlive)
	p.Classes, p.Tenants = make(map[string]int), make(map[string]int)
	for _, name := range slices.Sorted(maps.Keys(s.Class)) {
		k := s.Class[name]
		p.Classes[name] = len(m.Classes)
		class := balance.Class{
			Name: name, Goal: k.Wanted, Deadline: k.Deadline, Worth: cmp.Or(k.Worth, 1),
			Semantics: semantics[k.Semantics], Scope: scopes[k.Scope], RepeatWindow: k.RepeatWindow,
		}
		if k.LateWorth != nil {
			class.LateShare = *k.LateWorth
		}
		m.Classes = append(m.Classes, class)
	}
	return p
}

// ClassKey is the key of a class's part in the file.
func ClassKey(name string) string { return "class." + quoteKey(name) }

// Semantics and Scope are the module's values for the file's words, ReportsName the file's
// word for the module's.
func Semantics(word string) balance.Semantics { return semantics[word] }

// Scope is the module's value for the file's word.
func Scope(word string) balance.Scope { return scopes[word] }

// ReportsName is the file's word for a way of reporting.
func ReportsName(r balance.Reporting) string { return nameOf(reports, r) }
