package check

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/body"
	"barleydrum.example/barleydrum/internal/config"
)

// Figures of the rules (BRIEF, "Figures of the rules") and of the platform (PROTOCOL,
// "Figures" and "Callers to sidecars").
const (
	maxDrainGrace     = 500 * time.Millisecond // where no platform gives one
	minAcceptGrace    = 400 * time.Millisecond // connections go on coming for so long after SIGTERM
	killDelay         = 700 * time.Millisecond // SIGKILL comes so long after the longest deadline
	minWarmupTime     = 100 * time.Millisecond // no process warms up sooner
	minIdleTimeout    = 2 * time.Second        // an idle connection may be closed after it
	maxSlowCallerTime = 3 * time.Second        // a caller that sends nothing whole is ended within it
)

// Memory that a connection takes beside what its settings bound: a goroutine's stack and the
// buffers of its reads and writes, with room for a hedge's.
const perConnectionBytes = 24 << 10

func (c *checker) run() {
	if c.standalone {
		c.checkRequiredKeys()
		if config.HasRefusal(c.report.findings) {
			return // what is left out has no value to check
		}
	}
	if c.platform != nil {
		c.checkIdentity()
		c.checkNotLooser()
	}
	c.checkClassNames()
	for _, k := range c.merged.BalancerConfig.Classes {
		c.checkClass(k)
	}
	c.checkNames()
	c.checkDrains()
	c.checkColdStart()
	c.checkShutdown()
	c.checkCallers()
	c.checkStreams()
	c.checkCapacity()
	if c.standalone || c.platform != nil {
		if _, err := balance.New(c.merged.BalancerConfig, 1); err != nil {
			c.refuse("module", "", err.Error(), "")
		}
	}
}

// checkRequiredKeys reports what a file that is run with alone leaves out.
func (c *checker) checkRequiredKeys() {
	need := func(key, found, allowed string) {
		if found == "" {
			c.refuse(config.RuleMissingKey, key, "nothing", allowed, "a file that runs without a platform's configuration says all")
		}
	}
	a := c.settings.Application
	need("application.tier", a.Tier, "a name")
	need("application.listen", a.ListenAddress, "HOST:PORT")
	need("application.discovery", a.DiscoveryAddress, "HOST:PORT")
	if len(c.settings.Classes) == 0 {
		need("class.NAME", "", "a class at the least")
	}
	for _, name := range c.sortedClassNames() {
		k, at := c.settings.Classes[name], config.ClassKey(name)
		if k.TargetLatency == 0 {
			need(at+".wanted", "", "a time")
		}
		if k.Deadline == 0 {
			need(at+".deadline", "", "a time")
		}
		need(at+".semantics", k.Semantics, "safe, keyed or unsafe")
		if k.Semantics == "keyed" {
			need(at+".scope", k.Scope, "all, zone or cell")
			if k.RepeatWindow == 0 {
				need(at+".repeat_window", "", "a time")
			}
		}
	}
}

func (c *checker) sortedClassNames() []string {
	var names []string
	for name := range c.settings.Classes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// checkIdentity reports where the file and the platform say different things of what the sidecar is.
func (c *checker) checkIdentity() {
	p, s := c.platform, c.settings
	same := func(key, file, platform string) {
		if c.setsAny(key) && file != platform {
			c.refuse("platform-differs", key, quote(file), quote(platform)+", as "+c.platformFile+" says")
		}
	}
	same("application.listen", s.Application.ListenAddress, p.ListenAddress)
	same("application.discovery", s.Application.DiscoveryAddress, p.DiscoveryAddress)
	if p.Tier() != "" {
		same("application.tier", s.Application.Tier, p.Tier())
	}
	if i := p.BalancerConfig.Zone; i >= 0 && i < len(p.Zones) {
		same("fleet.zone", s.Fleet.Zone, p.Zones[i])
	}
	same("fleet.zones", strings.Join(s.Fleet.Zones, ", "), strings.Join(p.Zones, ", "))
	same("fleet.number", fmt.Sprint(s.Fleet.SidecarIndex), fmt.Sprint(p.BalancerConfig.SidecarIndex))
	list := "push"
	if p.BalancerConfig.MustSubscribe {
		list = "ask"
	}
	same("fleet.list", s.Fleet.DiscoveryMode, list)
	same("fleet.reports", s.Fleet.LoadReporting, config.ReportingName(p.BalancerConfig.Reporting))
	if len(s.Callers.ExtraListenAddresses) > 0 {
		c.refuse("listen-extra", "callers.also_listen", strings.Join(s.Callers.ExtraListenAddresses, ", "), "none")
	}
}

// checkNotLooser reports where the file promises more than the platform.
func (c *checker) checkNotLooser() {
	p, s, m := c.platform, c.settings, c.platform.BalancerConfig
	over := func(id, key string, file, platform float64, show func(float64) string) {
		if c.setsAny(key) && platform > 0 && file > platform {
			c.refuse(id, key, show(file), show(platform)+" at most, as "+c.platformFile+" says")
		}
	}
	under := func(id, key string, file, platform float64, show func(float64) string) {
		if c.setsAny(key) && file < platform {
			c.refuse(id, key, show(file), show(platform)+" at the least, as "+c.platformFile+" says")
		}
	}
	number := func(v float64) string { return fmt.Sprintf("%g", v) }
	duration := func(v float64) string { return config.FormatDuration(time.Duration(v)) }
	size := func(v float64) string { return config.Size(v).String() }
	over("looser-limit", "limits.cores", s.Limits.Cores, p.Limits.Cores, number)
	over("looser-limit", "limits.memory", float64(s.Limits.Memory), float64(p.Limits.MemoryMB<<20), size)
	over("looser-limit", "limits.sockets", float64(s.Limits.Sockets), float64(p.Limits.Sockets), number)
	over("looser-limit", "fleet.attempts", float64(s.Fleet.MaxAttempts), float64(m.Limits.MaxAttempts), number)
	over("looser-limit", "endpoints.connect_time", float64(s.Endpoints.ConnectTimeout), float64(m.Limits.ConnectTimeout), duration)
	over("looser-limit", "endpoints.keep_alive", float64(s.Endpoints.KeepAliveTimeout), float64(m.Limits.KeepAlive), duration)
	over("looser-limit", "fleet.max_retry_after", float64(s.Fleet.MaxRetryAfter), float64(m.Limits.MaxRetryAfter), duration)
	if s.Fleet.Hedging != nil && *s.Fleet.Hedging && !m.Limits.Hedging {
		c.refuse("looser-limit", "fleet.second_copies", "true", "false, as "+c.platformFile+" says")
	}
	over("looser-drain", "fleet.drain_grace", float64(s.Fleet.DrainGrace), float64(m.DrainGrace), duration)
	over("looser-cold", "fleet.cold_share", s.Fleet.ColdCapacityShare, m.ColdCapacityShare, number)
	over("looser-cold", "fleet.fall_multiple", s.Fleet.OverloadMultiple, m.ColdOverloadMultiple, number)
	over("looser-cold", "fleet.fall_time", float64(s.Fleet.OverloadTime), float64(m.ColdOverloadTime), duration)
	under("looser-cold", "fleet.cold_time", float64(s.Fleet.WarmupTime), float64(m.WarmupTime), duration)
	under("looser-cold", "fleet.sidecars", float64(s.Fleet.SidecarCount), float64(m.SidecarCount), number)
	for _, name := range c.sortedClassNames() {
		i, ok := p.ClassIndex[name]
		if !ok {
			continue
		}
		k, of, at := s.Classes[name], m.Classes[i], config.ClassKey(name)
		over("looser-time", at+".wanted", float64(k.TargetLatency), float64(of.TargetLatency), duration)
		over("looser-time", at+".deadline", float64(k.Deadline), float64(of.Deadline), duration)
		if k.LateValueShare != nil && *k.LateValueShare > of.LateValueShare {
			c.refuse("looser-time", at+".late_worth", number(*k.LateValueShare), number(of.LateValueShare)+" at most, as "+c.platformFile+" says")
		}
		if k.Semantics != "" && config.SemanticsByName(k.Semantics) < of.Semantics {
			c.refuse("looser-semantics", at+".semantics", quote(k.Semantics), quote(config.SemanticsName(of.Semantics))+" or stricter")
		}
		if of.Semantics != balance.Keyed {
			continue
		}
		if k.Scope != "" && config.ScopeByName(k.Scope) < of.Scope {
			c.refuse("looser-scope", at+".scope", quote(k.Scope), quote(config.ScopeName(of.Scope))+" or narrower")
		}
		over("looser-window", at+".repeat_window", float64(k.RepeatWindow), float64(of.RepeatWindow), duration)
	}
}

// checkNames reports what a platform's configuration names that isn't there, and names that stand
// for two things. The program would take the first zone for one that there isn't, and the
// last of two endpoints with one name for both.
func (c *checker) checkNames() {
	p := c.platform
	if p == nil {
		if z := c.settings.Fleet.Zone; z != "" && len(c.settings.Fleet.Zones) > 0 && !slices.Contains(c.settings.Fleet.Zones, z) {
			c.refuse("zone-unknown", "fleet.zone", quote(z), "one of fleet.zones")
		}
		return
	}
	m := p.BalancerConfig
	if n := len(p.Zones); n > 0 && (m.Zone < 0 || m.Zone >= n) {
		c.refuse("zone-unknown", "settings.zone", fmt.Sprint(m.Zone), fmt.Sprintf("0 to %d, an index of settings.zones", n-1))
	}
	if n := len(p.Tiers); n > 0 && (m.Tier < 0 || m.Tier >= n) {
		c.refuse("tier-unknown", "settings.tier", fmt.Sprint(m.Tier), fmt.Sprintf("0 to %d, an index of settings.layers", n-1))
	}
	c.checkUnique("settings.zones", p.Zones)
	c.checkUnique("settings.layers", p.Tiers)
	tenants := make([]string, len(m.Tenants))
	for i, t := range m.Tenants {
		tenants[i] = t.Name
	}
	c.checkUnique("settings.tenants", tenants)
	ids := make([]string, len(p.KnownEndpoints.Instances))
	for i, in := range p.KnownEndpoints.Instances {
		ids[i] = in.ID
		if len(p.Zones) > 0 && in.Zone != "" && !slices.Contains(p.Zones, in.Zone) {
			c.refuse("zone-unknown", fmt.Sprintf("known.instances[%d].zone", i), quote(in.Zone), "one of settings.zones")
		}
	}
	c.checkUnique("known.instances", ids)
}

// checkUnique reports names of a list that are empty or stand in it twice.
func (c *checker) checkUnique(key string, names []string) {
	seen := make(map[string]bool)
	for i, name := range names {
		if seen[name] || name == "" {
			c.refuse("name-twice", fmt.Sprintf("%s[%d]", key, i), quote(name), "a name that is not empty and stands there once")
		}
		seen[name] = true
	}
}

// checkClassNames reports names that stand for no class, or nearly for another.
func (c *checker) checkClassNames() {
	folded := make(map[string]string)
	if c.platform != nil {
		for _, k := range c.platform.BalancerConfig.Classes {
			if other, ok := folded[strings.ToLower(k.Name)]; ok {
				c.refuse("class-case", "settings.classes", quote(k.Name), "a name apart from "+quote(other))
			}
			folded[strings.ToLower(k.Name)] = k.Name
		}
	}
	for _, name := range c.sortedClassNames() {
		other, ok := folded[strings.ToLower(name)]
		switch {
		case ok && other != name:
			c.refuse("class-case", config.ClassKey(name), quote(name), "a name apart from "+quote(other), "did you mean "+other+"?")
		case !ok && c.platform != nil:
			var known []string
			for _, k := range c.platform.BalancerConfig.Classes {
				known = append(known, k.Name)
			}
			c.refuse("class-unknown", config.ClassKey(name), quote(name), strings.Join(known, ", "))
		}
		if !ok {
			folded[strings.ToLower(name)] = name
		}
	}
}

// checkClass checks one class as it is in effect. A value of 0 is not known here: the file is
// checked without its platform.
func (c *checker) checkClass(k balance.Class) {
	at := config.ClassKey(k.Name)
	file := c.settings.Classes[k.Name]
	if file == nil {
		file = new(config.Class)
	}
	if k.Semantics == balance.Unsafe {
		if file.MaxRetries != nil && *file.MaxRetries > 0 {
			c.refuse("unsafe-retried", at+".retries", fmt.Sprint(*file.MaxRetries), "0")
		}
		if file.Hedging != nil && *file.Hedging {
			c.refuse("unsafe-copied", at+".second_copies", "true", "false")
		}
	}
	c.checkTimes(at, k, file)
	if k.Semantics == balance.Keyed {
		c.checkRepeatWindow(at, k)
	}
	attempts := c.maxAttempts(k)
	if file.MaxRetries != nil && attempts > 0 && *file.MaxRetries >= attempts {
		c.warn("retries-over-attempts", at+".retries", fmt.Sprint(*file.MaxRetries), fmt.Sprintf("%d at most", attempts-1))
	}
	if file.Hedging != nil && *file.Hedging && attempts == 1 {
		c.warn("copies-over-attempts", at+".second_copies", "true", "false with one attempt")
	}
}

// maxAttempts is the most attempts of a class, 0 for no bound.
func (c *checker) maxAttempts(k balance.Class) int {
	n := c.merged.BalancerConfig.Limits.MaxAttempts
	if k.MaxAttempts > 0 && (n == 0 || k.MaxAttempts < n) {
		n = k.MaxAttempts
	}
	return n
}

// checkTimes checks that a class's times fit in one another.
func (c *checker) checkTimes(at string, k balance.Class, file *config.Class) {
	wanted, deadline := k.TargetLatency, k.Deadline
	if i, ok := c.merged.ClassIndex[k.Name]; ok && c.platform != nil { // as they were asked for
		wanted = cmp.Or(file.TargetLatency, c.platform.BalancerConfig.Classes[i].TargetLatency)
	} else {
		wanted = cmp.Or(file.TargetLatency, wanted)
	}
	show := config.FormatDuration
	if wanted > 0 && deadline > 0 && wanted > deadline {
		c.refuse("wanted-past-deadline", at+".wanted", show(wanted), "from 1ms to the deadline, "+show(deadline))
	}
	switch within := k.RetryStartWindow; {
	case within > 0 && deadline > 0 && within > deadline:
		c.refuse("retry-past-deadline", at+".retry_within", show(within), show(wanted)+" at most, the time that the answer is wanted within")
	case within > 0 && wanted > 0 && within > wanted:
		c.refuse("retry-past-wanted", at+".retry_within", show(within), show(wanted)+" at most, the time that the answer is wanted within")
	}
	if k.TargetLatency == 0 {
		return
	}
	margin, connect, probe := c.settings.Callers.ResponseMargin, c.merged.ConnectTimeout(), c.settings.Probe.Timeout
	kept := 2 * min(margin, k.TargetLatency/10)
	if margin > k.TargetLatency/10 {
		c.warn("margin-over-tenth", "callers.answer_margin", show(margin), show(k.TargetLatency/10)+" at most for class "+k.Name)
	}
	switch {
	case 2*margin >= k.TargetLatency && c.setsAny("callers.answer_margin"):
		c.refuse("margin-past-wanted", "callers.answer_margin", show(margin), "under half of "+show(k.TargetLatency)+", wanted of class "+k.Name)
	case connect+kept >= k.TargetLatency && (c.platform != nil && c.platform.BalancerConfig.Limits.ConnectTimeout > 0 || c.setsAny("endpoints.connect_time", at+".wanted")):
		c.refuse("connect-past-wanted", "endpoints.connect_time", show(connect), "under "+show(k.TargetLatency-kept)+" for class "+k.Name)
	case c.setsAttemptBound(at, "attempts") && c.maxAttempts(k) > 1 && connect*time.Duration(c.maxAttempts(k))+kept > k.TargetLatency:
		key := at + ".attempts"
		if !c.setsAny(key) {
			key = "fleet.attempts"
		}
		c.refuse("attempts-past-wanted", key, fmt.Sprintf("%d attempts of %s", c.maxAttempts(k), show(connect)),
			fmt.Sprintf("%s together, for class %s; that is %d", show(k.TargetLatency-kept), k.Name, max((k.TargetLatency-kept)/connect, 1)))
	}
	if probe >= k.TargetLatency && c.setsAny("probe.time", at+".wanted") {
		c.refuse("probe-past-wanted", "probe.time", show(probe), "under "+show(k.TargetLatency)+", wanted of class "+k.Name)
	}
	if within := k.RetryStartWindow; within > 0 && within < connect {
		c.warn("retry-idle", at+".retry_within", show(within), show(connect)+" or more, or a shorter connect_time")
	}
}

// setsAttemptBound tells whether the file sets a bound for a class or for all.
func (c *checker) setsAttemptBound(at, key string) bool {
	return c.setsAny(at+"."+key, "fleet."+key, "endpoints.connect_time", at+".wanted")
}

// LatestAttemptStart is when the last attempt of a class may begin after its request came, and whether
// one beyond the first may.
func LatestAttemptStart(k balance.Class, attempts int) (time.Duration, bool) {
	last := k.Deadline
	if k.LateValueShare == 0 {
		last = min(last, k.TargetLatency)
	}
	if k.RetryStartWindow > 0 {
		last = min(last, k.RetryStartWindow)
	}
	return last, attempts != 1
}

// checkRepeatWindow checks that a keyed class's repeats find their key remembered.
func (c *checker) checkRepeatWindow(at string, k balance.Class) {
	if k.RepeatWindow == 0 {
		if c.standalone || c.platform != nil {
			c.refuse("no-window", at+".repeat_window", "nothing", "a time")
		}
		return
	}
	show := config.FormatDuration
	last, more := LatestAttemptStart(k, c.maxAttempts(k))
	if more && last >= k.RepeatWindow {
		key := at + ".repeat_window"
		if k.RetryStartWindow == last {
			key = at + ".retry_within"
		}
		c.refuse("late-repeat", key, "an attempt "+show(last)+" after the request came", "under the repeat window, "+show(k.RepeatWindow))
	}
	if k.Deadline > k.RepeatWindow {
		c.warn("client-past-window", at+".deadline", show(k.Deadline), show(k.RepeatWindow)+" at most, the repeat window")
	}
}

func (c *checker) checkDrains() {
	m, show := c.merged.BalancerConfig, config.FormatDuration
	// Where a platform gives a grace, that is the measure, see looser.
	if c.platform == nil || c.platform.BalancerConfig.DrainGrace == 0 {
		if grace := c.settings.Fleet.DrainGrace; grace > maxDrainGrace {
			c.refuse("drain-grace", "fleet.drain_grace", show(grace), show(maxDrainGrace)+" at most")
		}
	}
	w := c.settings.Discovery
	asked := c.settings.Fleet.DiscoveryMode == "ask" || m.MustSubscribe
	if call, most := w.PushWait+w.PushResponseTimeout+w.MinPause, cmp.Or(m.DrainGrace, maxDrainGrace); !asked && call > most &&
		c.setsAny("discovery.push_wait", "discovery.push_answer", "discovery.pause", "fleet.drain_grace") {
		key := "discovery.push_wait"
		for _, k := range []string{"discovery.push_answer", "discovery.pause", "fleet.drain_grace"} {
			if !c.setsAny(key) {
				key = k
			}
		}
		c.refuse("drain-unheard", key, show(w.PushWait)+" + "+show(w.PushResponseTimeout)+" + "+show(w.MinPause), show(most)+" together at most")
	}
}

func (c *checker) checkColdStart() {
	m := c.merged.BalancerConfig
	if at := c.settings.Fleet.WarmupTime; c.standalone && at > 0 && at < minWarmupTime && m.ColdCapacityShare < 1 {
		c.refuse("cold-instant", "fleet.cold_time", config.FormatDuration(at), fmt.Sprintf("%s or more with cold_share %g", config.FormatDuration(minWarmupTime), m.ColdCapacityShare))
	}
	if m.SidecarIndex >= m.SidecarCount && (c.standalone || c.platform != nil) && m.SidecarCount > 0 {
		c.refuse("sidecar-number", "fleet.number", fmt.Sprint(m.SidecarIndex), fmt.Sprintf("0 to %d", m.SidecarCount-1))
	}
}

// checkShutdown checks the end against the platform's; another installation sets its own.
func (c *checker) checkShutdown() {
	end, show := c.settings.Shutdown, config.FormatDuration
	if c.platform == nil {
		return
	}
	if end.AcceptGrace < minAcceptGrace {
		c.refuse("linger-short", "shutdown.linger", show(end.AcceptGrace), show(minAcceptGrace)+" or more")
	}
	if end.AcceptGrace+end.DeadlineMargin > killDelay {
		key := "shutdown.linger"
		if !c.setsAny(key) {
			key = "shutdown.spare"
		}
		c.refuse("shutdown-past-kill", key, show(end.AcceptGrace)+" + "+show(end.DeadlineMargin), show(killDelay)+" together at most")
	}
}

func (c *checker) checkCallers() {
	k, show := c.settings.Callers, config.FormatDuration
	if c.platform != nil && k.IdleTimeout < minIdleTimeout {
		c.refuse("idle-short", "callers.idle_time", show(k.IdleTimeout), show(minIdleTimeout)+" or more")
	}
	if k.HeadTimeout+k.BodyTimeout > maxSlowCallerTime {
		c.warn("slow-callers", "callers.head_time", show(k.HeadTimeout)+" + "+show(k.BodyTimeout), show(maxSlowCallerTime)+" together")
	}
	if connect := c.merged.ConnectTimeout(); c.settings.Probe.Timeout < connect && c.setsAny("probe.time", "endpoints.connect_time") {
		c.warn("probe-under-connect", "probe.time", show(c.settings.Probe.Timeout), show(connect)+" or more")
	}
}

// checkStreams checks bodies that flow: their bounds beside one another, and their time.
func (c *checker) checkStreams() {
	s := &c.settings.Streams
	size := func(v config.Size) string { return v.String() }
	for _, b := range []struct {
		key, heldKey string
		most, held   config.Size
	}{
		{"streams.max_body", "callers.max_body", s.MaxRequestBody, c.settings.Callers.MaxRequestBody},
		{"streams.max_answer", "endpoints.max_answer", s.MaxResponseBody, c.settings.Endpoints.MaxResponseBody},
	} {
		if b.most == 0 {
			continue
		}
		if c.platform != nil {
			c.refuse("streams-platform", b.key, size(b.most), "0, beside a platform's configuration")
		}
		if b.most < b.held {
			c.refuse("streams-short", b.key, size(b.most), size(b.held)+" or more, which "+b.heldKey+" is")
		}
	}
	for _, b := range []struct {
		key, allKey string
		one, all    config.Size
	}{{"streams.memory", "streams.memory_all", s.MaxMemoryPerBody, s.MaxMemoryTotal}, {"streams.file", "streams.files_all", s.MaxFilePerBody, s.MaxFilesTotal}} {
		if b.one > 0 && b.all < b.one-min(s.Window, b.one) {
			c.refuse("streams-kept", b.key, size(b.one), size(b.all)+" at most, which "+b.allKey+" is")
		}
	}
	if most := c.merged.MaxCallerConnections(); s.RequestsEnabled() && s.MaxOpenRequests > most {
		c.refuse("streams-open", "streams.open", fmt.Sprint(s.MaxOpenRequests), fmt.Sprintf("%d at most, the connections of callers", most))
	}
}

// maxStreamBytes is what bodies that flow may hold: those of requests by their number, and an answer's
// buffer for each caller.
func (c *checker) maxStreamBytes() float64 {
	s := &c.settings.Streams
	held := 0.0
	if s.RequestsEnabled() {
		held += float64(s.MaxOpenRequests)*float64(s.BodyLimits().MaxBufferBytes()) + float64(s.MaxMemoryTotal)
		if s.RAMDisk != nil && *s.RAMDisk {
			held += float64(s.MaxFilesTotal)
		}
	}
	if s.MaxResponseBody > 0 {
		held += float64(c.merged.MaxCallerConnections()) * float64(max(s.ResponseCommitThreshold, body.BlockSize))
	}
	return held
}

// checkCapacity checks descriptors and memory at the worst.
func (c *checker) checkCapacity() {
	s, m := c.settings, c.merged
	callers, endpoints := m.MaxCallerConnections(), m.MaxEndpointConnections()
	if sum := callers + endpoints + m.MaxBodyFiles() + config.ReservedSockets; sum > m.Limits.Sockets {
		key := "callers.connections"
		for _, k := range []string{"endpoints.connections", "limits.sockets", "streams.open", "streams.file"} {
			if !c.setsAny(key) {
				key = k
			}
		}
		c.refuse("descriptors", key, fmt.Sprintf("%d for callers, %d for endpoints, %d for files and %d in reserve", callers, endpoints, m.MaxBodyFiles(), config.ReservedSockets),
			fmt.Sprintf("%d together", m.Limits.Sockets))
		return // what so many would hold says nothing
	}
	memory := float64(m.Limits.MemoryMB) * (1 << 20)
	held := float64(callers) * float64(s.Callers.MaxRequestHead+s.Callers.MaxRequestBody+s.Endpoints.MaxResponseBody)
	flowing := c.maxStreamBytes()
	all := held + flowing + float64(callers+endpoints)*perConnectionBytes + float64(endpoints)*float64(s.Endpoints.MaxResponseHead+s.Endpoints.MaxResponseBody)
	found := func(v float64) string { return config.Size(math.Round(v/(1<<20))*(1<<20)).String() + " at the worst" }
	allowed := config.Size(memory).String()
	keys := []string{"callers.max_body", "endpoints.max_answer", "callers.connections", "callers.max_head", "limits.memory", "limits.sockets"}
	if i := slices.IndexFunc(keys, func(k string) bool { return c.setsAny(k) }); held > memory && i >= 0 {
		c.refuse("memory", keys[i], found(held), allowed)
	} else if flowing > memory {
		key := "streams.open"
		for _, k := range []string{"streams.memory_all", "streams.files_all", "streams.window", "streams.max_body", "streams.max_answer"} {
			if !c.setsAny(key) {
				key = k
			}
		}
		c.refuse("streams-memory", key, found(flowing), allowed)
	} else if all > memory {
		c.warn("memory-tight", "limits.memory", found(all), allowed)
	}
}
