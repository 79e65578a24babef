package check

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/config"
)

// Limits from the rules (BRIEF, "Figures of the rules") and from the platform (PROTOCOL,
// "Figures" and "Callers to sidecars").
const (
	maxDrainGrace     = 500 * time.Millisecond // where no platform sets one
	minAcceptGrace    = 400 * time.Millisecond // callers open connections for this long after SIGTERM
	killDelay         = 700 * time.Millisecond // from the longest deadline to SIGKILL
	minWarmupTime     = 100 * time.Millisecond // no process warms up faster
	minIdleTimeout    = 2 * time.Second        // an idle connection may be closed after this time
	maxSlowCallerTime = 3 * time.Second        // a caller that sends no complete request is disconnected within this time
)

// perConnectionBytes is the memory that a connection needs besides what its settings limit: a
// goroutine's stack and the buffers of its reads and writes, with room for those of a hedge.
const perConnectionBytes = 24 << 10

// run makes all checks of a single sidecar and adds their findings to the report.
func (c *checker) run() {
	if c.standalone {
		c.checkRequiredKeys()
		if config.HasRefusal(c.report.findings) {
			return // the other checks need the missing values
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

// checkRequiredKeys reports keys that are missing from a file that is used without a platform.
func (c *checker) checkRequiredKeys() {
	require := func(key, found, allowed string) {
		if found == "" {
			c.refuse(config.RuleMissingKey, key, "nothing", allowed, "set the key: a file without a platform's configuration must be complete")
		}
	}
	application := c.settings.Application
	require("application.tier", application.Tier, "a name")
	require("application.listen", application.ListenAddress, "HOST:PORT")
	require("application.discovery", application.DiscoveryAddress, "HOST:PORT")
	if len(c.settings.Classes) == 0 {
		require("class.NAME", "", "at least one class")
	}
	for _, name := range c.sortedClassNames() {
		k, prefix := c.settings.Classes[name], config.ClassKey(name)
		if k.TargetLatency == 0 {
			require(prefix+".wanted", "", "a time")
		}
		if k.Deadline == 0 {
			require(prefix+".deadline", "", "a time")
		}
		require(prefix+".semantics", k.Semantics, "safe, keyed or unsafe")
		if k.Semantics == "keyed" {
			require(prefix+".scope", k.Scope, "all, zone or cell")
			if k.RepeatWindow == 0 {
				require(prefix+".repeat_window", "", "a time")
			}
		}
	}
}

// sortedClassNames returns the names of the classes in the operators' file, in order.
func (c *checker) sortedClassNames() []string {
	var names []string
	for name := range c.settings.Classes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// checkIdentity reports keys of the file that describe another sidecar than the platform's
// configuration does.
func (c *checker) checkIdentity() {
	p, s := c.platform, c.settings
	requireSame := func(key, file, platform string) {
		if c.setsAny(key) && file != platform {
			c.refuse("platform-differs", key, quote(file), quote(platform)+", as "+c.platformFile+" says")
		}
	}
	requireSame("application.listen", s.Application.ListenAddress, p.ListenAddress)
	requireSame("application.discovery", s.Application.DiscoveryAddress, p.DiscoveryAddress)
	if p.Tier() != "" {
		requireSame("application.tier", s.Application.Tier, p.Tier())
	}
	if i := p.BalancerConfig.Zone; i >= 0 && i < len(p.Zones) {
		requireSame("fleet.zone", s.Fleet.Zone, p.Zones[i])
	}
	requireSame("fleet.zones", strings.Join(s.Fleet.Zones, ", "), strings.Join(p.Zones, ", "))
	requireSame("fleet.number", fmt.Sprint(s.Fleet.SidecarIndex), fmt.Sprint(p.BalancerConfig.SidecarIndex))
	discoveryMode := "push"
	if p.BalancerConfig.MustSubscribe {
		discoveryMode = "ask"
	}
	requireSame("fleet.list", s.Fleet.DiscoveryMode, discoveryMode)
	requireSame("fleet.reports", s.Fleet.LoadReporting, config.ReportingName(p.BalancerConfig.Reporting))
	if len(s.Callers.ExtraListenAddresses) > 0 {
		c.refuse("listen-extra", "callers.also_listen", strings.Join(s.Callers.ExtraListenAddresses, ", "), "none")
	}
}

// checkNotLooser reports values of the file that are less strict than the platform's. 0 as a
// platform's value means that the platform sets no upper limit.
func (c *checker) checkNotLooser() {
	p, s, balancer := c.platform, c.settings, c.platform.BalancerConfig
	requireAtMost := func(id, key string, file, platform float64, show func(float64) string) {
		if c.setsAny(key) && platform > 0 && file > platform {
			c.refuse(id, key, show(file), show(platform)+" at most, as "+c.platformFile+" says")
		}
	}
	requireAtLeast := func(id, key string, file, platform float64, show func(float64) string) {
		if c.setsAny(key) && file < platform {
			c.refuse(id, key, show(file), show(platform)+" at least, as "+c.platformFile+" says")
		}
	}
	number := func(v float64) string { return fmt.Sprintf("%g", v) }
	duration := func(v float64) string { return config.FormatDuration(time.Duration(v)) }
	size := func(v float64) string { return config.Size(v).String() }
	requireAtMost("looser-limit", "limits.cores", s.Limits.Cores, p.Limits.Cores, number)
	requireAtMost("looser-limit", "limits.memory", float64(s.Limits.Memory), float64(p.Limits.MemoryMB<<20), size)
	requireAtMost("looser-limit", "limits.sockets", float64(s.Limits.Sockets), float64(p.Limits.Sockets), number)
	requireAtMost("looser-limit", "fleet.attempts", float64(s.Fleet.MaxAttempts), float64(balancer.Limits.MaxAttempts), number)
	requireAtMost("looser-limit", "endpoints.connect_time", float64(s.Endpoints.ConnectTimeout), float64(balancer.Limits.ConnectTimeout), duration)
	requireAtMost("looser-limit", "endpoints.keep_alive", float64(s.Endpoints.KeepAliveTimeout), float64(balancer.Limits.KeepAlive), duration)
	requireAtMost("looser-limit", "fleet.max_retry_after", float64(s.Fleet.MaxRetryAfter), float64(balancer.Limits.MaxRetryAfter), duration)
	if s.Fleet.Hedging != nil && *s.Fleet.Hedging && !balancer.Limits.Hedging {
		c.refuse("looser-limit", "fleet.second_copies", "true", "false, as "+c.platformFile+" says")
	}
	requireAtMost("looser-drain", "fleet.drain_grace", float64(s.Fleet.DrainGrace), float64(balancer.DrainGrace), duration)
	requireAtMost("looser-cold", "fleet.cold_share", s.Fleet.ColdCapacityShare, balancer.ColdCapacityShare, number)
	requireAtMost("looser-cold", "fleet.fall_multiple", s.Fleet.OverloadMultiple, balancer.ColdOverloadMultiple, number)
	requireAtMost("looser-cold", "fleet.fall_time", float64(s.Fleet.OverloadTime), float64(balancer.ColdOverloadTime), duration)
	requireAtLeast("looser-cold", "fleet.cold_time", float64(s.Fleet.WarmupTime), float64(balancer.WarmupTime), duration)
	requireAtLeast("looser-cold", "fleet.sidecars", float64(s.Fleet.SidecarCount), float64(balancer.SidecarCount), number)
	for _, name := range c.sortedClassNames() {
		i, ok := p.ClassIndex[name]
		if !ok {
			continue
		}
		k, platformClass, prefix := s.Classes[name], balancer.Classes[i], config.ClassKey(name)
		requireAtMost("looser-time", prefix+".wanted", float64(k.TargetLatency), float64(platformClass.TargetLatency), duration)
		requireAtMost("looser-time", prefix+".deadline", float64(k.Deadline), float64(platformClass.Deadline), duration)
		if k.LateValueShare != nil && *k.LateValueShare > platformClass.LateValueShare {
			c.refuse("looser-time", prefix+".late_worth", number(*k.LateValueShare), number(platformClass.LateValueShare)+" at most, as "+c.platformFile+" says")
		}
		if k.Semantics != "" && config.SemanticsByName(k.Semantics) < platformClass.Semantics {
			c.refuse("looser-semantics", prefix+".semantics", quote(k.Semantics), quote(config.SemanticsName(platformClass.Semantics))+" or stricter")
		}
		if platformClass.Semantics != balance.Keyed {
			continue
		}
		if k.Scope != "" && config.ScopeByName(k.Scope) < platformClass.Scope {
			c.refuse("looser-scope", prefix+".scope", quote(k.Scope), quote(config.ScopeName(platformClass.Scope))+" or narrower")
		}
		requireAtMost("looser-window", prefix+".repeat_window", float64(k.RepeatWindow), float64(platformClass.RepeatWindow), duration)
	}
}

// checkNames reports zones and tiers that do not exist, and names that are empty or used twice.
// The sidecar itself would use the first zone in place of an unknown one, and would use the last
// of two endpoints with the same name for both.
func (c *checker) checkNames() {
	p := c.platform
	if p == nil {
		if zone := c.settings.Fleet.Zone; zone != "" && len(c.settings.Fleet.Zones) > 0 && !slices.Contains(c.settings.Fleet.Zones, zone) {
			c.refuse("zone-unknown", "fleet.zone", quote(zone), "one of fleet.zones")
		}
		return
	}
	balancer := p.BalancerConfig
	if n := len(p.Zones); n > 0 && (balancer.Zone < 0 || balancer.Zone >= n) {
		c.refuse("zone-unknown", "settings.zone", fmt.Sprint(balancer.Zone), fmt.Sprintf("0 to %d, an index of settings.zones", n-1))
	}
	if n := len(p.Tiers); n > 0 && (balancer.Tier < 0 || balancer.Tier >= n) {
		c.refuse("tier-unknown", "settings.tier", fmt.Sprint(balancer.Tier), fmt.Sprintf("0 to %d, an index of settings.layers", n-1))
	}
	c.checkUnique("settings.zones", p.Zones)
	c.checkUnique("settings.layers", p.Tiers)
	tenants := make([]string, len(balancer.Tenants))
	for i, t := range balancer.Tenants {
		tenants[i] = t.Name
	}
	c.checkUnique("settings.tenants", tenants)
	endpointIDs := make([]string, len(p.KnownEndpoints.Instances))
	for i, endpoint := range p.KnownEndpoints.Instances {
		endpointIDs[i] = endpoint.ID
		if len(p.Zones) > 0 && endpoint.Zone != "" && !slices.Contains(p.Zones, endpoint.Zone) {
			c.refuse("zone-unknown", fmt.Sprintf("known.instances[%d].zone", i), quote(endpoint.Zone), "one of settings.zones")
		}
	}
	c.checkUnique("known.instances", endpointIDs)
}

// checkUnique reports names of a list that are empty or occur twice.
func (c *checker) checkUnique(key string, names []string) {
	seen := make(map[string]bool)
	for i, name := range names {
		if seen[name] || name == "" {
			c.refuse("name-twice", fmt.Sprintf("%s[%d]", key, i), quote(name), "a name that is not empty and occurs once")
		}
		seen[name] = true
	}
}

// checkClassNames reports classes of the file that the platform does not have, and names that
// differ from another class's only in case.
func (c *checker) checkClassNames() {
	nameByLowerCase := make(map[string]string)
	if c.platform != nil {
		for _, k := range c.platform.BalancerConfig.Classes {
			if other, ok := nameByLowerCase[strings.ToLower(k.Name)]; ok {
				c.refuse("class-case", "settings.classes", quote(k.Name), "a name other than "+quote(other))
			}
			nameByLowerCase[strings.ToLower(k.Name)] = k.Name
		}
	}
	for _, name := range c.sortedClassNames() {
		other, ok := nameByLowerCase[strings.ToLower(name)]
		switch {
		case ok && other != name:
			c.refuse("class-case", config.ClassKey(name), quote(name), "a name other than "+quote(other), "did you mean "+other+"?")
		case !ok && c.platform != nil:
			var known []string
			for _, k := range c.platform.BalancerConfig.Classes {
				known = append(known, k.Name)
			}
			c.refuse("class-unknown", config.ClassKey(name), quote(name), strings.Join(known, ", "))
		}
		if !ok {
			nameByLowerCase[strings.ToLower(name)] = name
		}
	}
}

// checkClass checks one class as the sidecar would use it. A value of 0 is unknown, because the
// file is checked without its platform's configuration.
func (c *checker) checkClass(k balance.Class) {
	prefix := config.ClassKey(k.Name)
	file := c.settings.Classes[k.Name]
	if file == nil {
		file = new(config.Class)
	}
	if k.Semantics == balance.Unsafe {
		if file.MaxRetries != nil && *file.MaxRetries > 0 {
			c.refuse("unsafe-retried", prefix+".retries", fmt.Sprint(*file.MaxRetries), "0")
		}
		if file.Hedging != nil && *file.Hedging {
			c.refuse("unsafe-copied", prefix+".second_copies", "true", "false")
		}
	}
	c.checkTimes(prefix, k, file)
	if k.Semantics == balance.Keyed {
		c.checkRepeatWindow(prefix, k)
	}
	attempts := c.maxAttempts(k)
	if file.MaxRetries != nil && attempts > 0 && *file.MaxRetries >= attempts {
		c.warn("retries-over-attempts", prefix+".retries", fmt.Sprint(*file.MaxRetries), fmt.Sprintf("%d at most", attempts-1))
	}
	if file.Hedging != nil && *file.Hedging && attempts == 1 {
		c.warn("copies-over-attempts", prefix+".second_copies", "true", "false with one attempt")
	}
}

// maxAttempts returns the largest number of attempts of a request of class k; 0 means no limit.
func (c *checker) maxAttempts(k balance.Class) int {
	n := c.merged.BalancerConfig.Limits.MaxAttempts
	if k.MaxAttempts > 0 && (n == 0 || k.MaxAttempts < n) {
		n = k.MaxAttempts
	}
	return n
}

// checkTimes checks that a class's times are consistent with each other and with the connect, probe
// and margin settings. prefix is the key of the class.
func (c *checker) checkTimes(prefix string, k balance.Class, file *config.Class) {
	target, deadline := k.TargetLatency, k.Deadline
	if i, ok := c.merged.ClassIndex[k.Name]; ok && c.platform != nil { // as configured, before the merge
		target = cmp.Or(file.TargetLatency, c.platform.BalancerConfig.Classes[i].TargetLatency)
	} else {
		target = cmp.Or(file.TargetLatency, target)
	}
	show := config.FormatDuration
	if target > 0 && deadline > 0 && target > deadline {
		c.refuse("wanted-past-deadline", prefix+".wanted", show(target), "from 1ms to the deadline, "+show(deadline))
	}
	switch within := k.RetryStartWindow; {
	case within > 0 && deadline > 0 && within > deadline:
		c.refuse("retry-past-deadline", prefix+".retry_within", show(within), show(target)+" at most, the wanted time")
	case within > 0 && target > 0 && within > target:
		c.refuse("retry-past-wanted", prefix+".retry_within", show(within), show(target)+" at most, the wanted time")
	}
	if k.TargetLatency == 0 {
		return
	}
	margin, connect, probe := c.settings.Callers.ResponseMargin, c.merged.ConnectTimeout(), c.settings.Probe.Timeout
	bothMargins := 2 * min(margin, k.TargetLatency/10)
	if margin > k.TargetLatency/10 {
		c.warn("margin-over-tenth", "callers.answer_margin", show(margin), show(k.TargetLatency/10)+" at most for class "+k.Name)
	}
	switch {
	case 2*margin >= k.TargetLatency && c.setsAny("callers.answer_margin"):
		c.refuse("margin-past-wanted", "callers.answer_margin", show(margin), "under half of "+show(k.TargetLatency)+", the wanted time of class "+k.Name)
	case connect+bothMargins >= k.TargetLatency && (c.platform != nil && c.platform.BalancerConfig.Limits.ConnectTimeout > 0 || c.setsAny("endpoints.connect_time", prefix+".wanted")):
		c.refuse("connect-past-wanted", "endpoints.connect_time", show(connect), "under "+show(k.TargetLatency-bothMargins)+" for class "+k.Name)
	case c.setsAttemptBound(prefix, "attempts") && c.maxAttempts(k) > 1 && connect*time.Duration(c.maxAttempts(k))+bothMargins > k.TargetLatency:
		key := prefix + ".attempts"
		if !c.setsAny(key) {
			key = "fleet.attempts"
		}
		c.refuse("attempts-past-wanted", key, fmt.Sprintf("%d attempts of %s", c.maxAttempts(k), show(connect)),
			fmt.Sprintf("%s in all for class %s, which is enough for %d", show(k.TargetLatency-bothMargins), k.Name, max((k.TargetLatency-bothMargins)/connect, 1)))
	}
	if probe >= k.TargetLatency && c.setsAny("probe.time", prefix+".wanted") {
		c.refuse("probe-past-wanted", "probe.time", show(probe), "under "+show(k.TargetLatency)+", the wanted time of class "+k.Name)
	}
	if within := k.RetryStartWindow; within > 0 && within < connect {
		c.warn("retry-idle", prefix+".retry_within", show(within), show(connect)+" or more, or a shorter connect_time")
	}
}

// setsAttemptBound reports whether the file sets any of the values that the check of a bound such as
// "attempts" compares: the key for the class or for all classes, connect_time, or the class's wanted.
// prefix is the key of the class.
func (c *checker) setsAttemptBound(prefix, key string) bool {
	return c.setsAny(prefix+"."+key, "fleet."+key, "endpoints.connect_time", prefix+".wanted")
}

// LatestAttemptStart returns how long after the arrival of its request the last attempt of a class
// may start, and whether there may be more than one attempt. attempts is the largest number of
// attempts; 0 means no limit.
func LatestAttemptStart(k balance.Class, attempts int) (time.Duration, bool) {
	latest := k.Deadline
	if k.LateValueShare == 0 {
		latest = min(latest, k.TargetLatency)
	}
	if k.RetryStartWindow > 0 {
		latest = min(latest, k.RetryStartWindow)
	}
	return latest, attempts != 1
}

// checkRepeatWindow checks that endpoints still remember the key of a keyed request when its last
// attempt starts.
func (c *checker) checkRepeatWindow(prefix string, k balance.Class) {
	if k.RepeatWindow == 0 {
		if c.standalone || c.platform != nil {
			c.refuse("no-window", prefix+".repeat_window", "nothing", "a time")
		}
		return
	}
	show := config.FormatDuration
	latest, severalAttempts := LatestAttemptStart(k, c.maxAttempts(k))
	if severalAttempts && latest >= k.RepeatWindow {
		key := prefix + ".repeat_window"
		if k.RetryStartWindow == latest {
			key = prefix + ".retry_within"
		}
		c.refuse("late-repeat", key, "an attempt "+show(latest)+" after the arrival of the request", "under the repeat window, "+show(k.RepeatWindow))
	}
	if k.Deadline > k.RepeatWindow {
		c.warn("client-past-window", prefix+".deadline", show(k.Deadline), show(k.RepeatWindow)+" at most, the repeat window")
	}
}

// checkDrains checks the grace for draining endpoints, and that discovery reports a drain within it.
func (c *checker) checkDrains() {
	balancer, show := c.merged.BalancerConfig, config.FormatDuration
	// If the platform sets a grace, checkNotLooser compares the file with it.
	if c.platform == nil || c.platform.BalancerConfig.DrainGrace == 0 {
		if grace := c.settings.Fleet.DrainGrace; grace > maxDrainGrace {
			c.refuse("drain-grace", "fleet.drain_grace", show(grace), show(maxDrainGrace)+" at most")
		}
	}
	discovery := c.settings.Discovery
	polls := c.settings.Fleet.DiscoveryMode == "ask" || balancer.MustSubscribe
	if watch, limit := discovery.PushWait+discovery.PushResponseTimeout+discovery.MinPause, cmp.Or(balancer.DrainGrace, maxDrainGrace); !polls && watch > limit &&
		c.setsAny("discovery.push_wait", "discovery.push_answer", "discovery.pause", "fleet.drain_grace") {
		key := "discovery.push_wait"
		for _, k := range []string{"discovery.push_answer", "discovery.pause", "fleet.drain_grace"} {
			if !c.setsAny(key) {
				key = k
			}
		}
		c.refuse("drain-unheard", key, show(discovery.PushWait)+" + "+show(discovery.PushResponseTimeout)+" + "+show(discovery.MinPause), show(limit)+" at most in all")
	}
}

// checkColdStart checks the warm-up time and the sidecar's number among the sidecars of its tier.
func (c *checker) checkColdStart() {
	balancer := c.merged.BalancerConfig
	if warmup := c.settings.Fleet.WarmupTime; c.standalone && warmup > 0 && warmup < minWarmupTime && balancer.ColdCapacityShare < 1 {
		c.refuse("cold-instant", "fleet.cold_time", config.FormatDuration(warmup), fmt.Sprintf("%s or more with cold_share %g", config.FormatDuration(minWarmupTime), balancer.ColdCapacityShare))
	}
	if balancer.SidecarIndex >= balancer.SidecarCount && (c.standalone || c.platform != nil) && balancer.SidecarCount > 0 {
		c.refuse("sidecar-number", "fleet.number", fmt.Sprint(balancer.SidecarIndex), fmt.Sprintf("0 to %d", balancer.SidecarCount-1))
	}
}

// checkShutdown checks the times of the shutdown against the platform's. An installation without a
// platform chooses its own.
func (c *checker) checkShutdown() {
	shutdown, show := c.settings.Shutdown, config.FormatDuration
	if c.platform == nil {
		return
	}
	if shutdown.AcceptGrace < minAcceptGrace {
		c.refuse("linger-short", "shutdown.linger", show(shutdown.AcceptGrace), show(minAcceptGrace)+" or more")
	}
	if shutdown.AcceptGrace+shutdown.DeadlineMargin > killDelay {
		key := "shutdown.linger"
		if !c.setsAny(key) {
			key = "shutdown.spare"
		}
		c.refuse("shutdown-past-kill", key, show(shutdown.AcceptGrace)+" + "+show(shutdown.DeadlineMargin), show(killDelay)+" at most in all")
	}
}

// checkCallers checks how long callers' connections are held, and the time of probes.
func (c *checker) checkCallers() {
	callers, show := c.settings.Callers, config.FormatDuration
	if c.platform != nil && callers.IdleTimeout < minIdleTimeout {
		c.refuse("idle-short", "callers.idle_time", show(callers.IdleTimeout), show(minIdleTimeout)+" or more")
	}
	if callers.HeadTimeout+callers.BodyTimeout > maxSlowCallerTime {
		c.warn("slow-callers", "callers.head_time", show(callers.HeadTimeout)+" + "+show(callers.BodyTimeout), show(maxSlowCallerTime)+" at most in all")
	}
	if connect := c.merged.ConnectTimeout(); c.settings.Probe.Timeout < connect && c.setsAny("probe.time", "endpoints.connect_time") {
		c.warn("probe-under-connect", "probe.time", show(c.settings.Probe.Timeout), show(connect)+" or more")
	}
}

// checkStreams checks that the limits of streamed bodies are consistent with each other and with
// those of bodies held in memory.
func (c *checker) checkStreams() {
	s := &c.settings.Streams
	size := func(v config.Size) string { return v.String() }
	for _, b := range []struct {
		key, bufferedKey string
		limit, buffered  config.Size
	}{
		{"streams.max_body", "callers.max_body", s.MaxRequestBody, c.settings.Callers.MaxRequestBody},
		{"streams.max_answer", "endpoints.max_answer", s.MaxResponseBody, c.settings.Endpoints.MaxResponseBody},
	} {
		if b.limit == 0 {
			continue
		}
		if c.platform != nil {
			c.refuse("streams-platform", b.key, size(b.limit), "0 with a platform's configuration")
		}
		if b.limit < b.buffered {
			c.refuse("streams-short", b.key, size(b.limit), size(b.buffered)+" or more ("+b.bufferedKey+")")
		}
	}
	for _, b := range []struct {
		key, totalKey  string
		perBody, total config.Size
	}{{"streams.memory", "streams.memory_all", s.MaxMemoryPerBody, s.MaxMemoryTotal}, {"streams.file", "streams.files_all", s.MaxFilePerBody, s.MaxFilesTotal}} {
		if b.perBody > 0 && b.total < b.perBody-min(s.Window, b.perBody) {
			c.refuse("streams-kept", b.key, size(b.perBody), size(b.total)+" at most ("+b.totalKey+")")
		}
	}
	if connections := c.merged.MaxCallerConnections(); s.RequestsEnabled() && s.MaxOpenRequests > connections {
		c.refuse("streams-open", "streams.open", fmt.Sprint(s.MaxOpenRequests), fmt.Sprintf("%d at most, the connections of callers", connections))
	}
}

// checkCapacity checks the file descriptors and the memory needed in the worst case.
func (c *checker) checkCapacity() {
	s, merged := c.settings, c.merged
	callers, endpoints := merged.MaxCallerConnections(), merged.MaxEndpointConnections()
	if descriptors := callers + endpoints + merged.MaxBodyFiles() + config.ReservedSockets; descriptors > merged.Limits.Sockets {
		key := "callers.connections"
		for _, k := range []string{"endpoints.connections", "limits.sockets", "streams.open", "streams.file"} {
			if !c.setsAny(key) {
				key = k
			}
		}
		c.refuse("descriptors", key, fmt.Sprintf("%d for callers, %d for endpoints, %d for body files and %d in reserve", callers, endpoints, merged.MaxBodyFiles(), config.ReservedSockets),
			fmt.Sprintf("%d in all", merged.Limits.Sockets))
		return // no memory check, because so many connections can't be opened
	}
	memoryBytes := float64(merged.Limits.MemoryMB) * (1 << 20)
	bufferedBytes := float64(callers) * float64(s.Callers.MaxRequestHead+s.Callers.MaxRequestBody+s.Endpoints.MaxResponseBody)
	streamBytes := float64(merged.MaxStreamBytes())
	worstCaseBytes := bufferedBytes + streamBytes + float64(callers+endpoints)*perConnectionBytes + float64(endpoints)*float64(s.Endpoints.MaxResponseHead+s.Endpoints.MaxResponseBody)
	found := func(v float64) string {
		return config.Size(math.Round(v/(1<<20))*(1<<20)).String() + " in the worst case"
	}
	allowed := config.Size(memoryBytes).String()
	keys := []string{"callers.max_body", "endpoints.max_answer", "callers.connections", "callers.max_head", "limits.memory", "limits.sockets"}
	if i := slices.IndexFunc(keys, func(k string) bool { return c.setsAny(k) }); bufferedBytes > memoryBytes && i >= 0 {
		c.refuse("memory", keys[i], found(bufferedBytes), allowed)
	} else if streamBytes > memoryBytes {
		key := "streams.open"
		for _, k := range []string{"streams.memory_all", "streams.files_all", "streams.window", "streams.max_body", "streams.max_answer"} {
			if !c.setsAny(key) {
				key = k
			}
		}
		c.refuse("streams-memory", key, found(streamBytes), allowed)
	} else if worstCaseBytes > memoryBytes {
		c.warn("memory-tight", "limits.memory", found(worstCaseBytes), allowed)
	}
}
