package check

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
)

// address is an address that a sidecar listens on.
type address struct {
	owner     *checker
	key, text string
	hosts     []string // those it stands for; "*" is all
	port      string
}

func newAddress(by *checker, key, addr string) address {
	host, port, _ := net.SplitHostPort(addr)
	return address{by, key, addr, hostAddresses(host), strings.TrimLeft(port, "0")}
}

// hostAddresses are the addresses that a host stands for, each written in one way. A wildcard of
// either kind takes the port of both: an IPv6 socket takes IPv4 as well unless told not to.
func hostAddresses(host string) []string {
	host = strings.TrimSuffix(strings.ToLower(host), ".")
	if host == "localhost" {
		return []string{"127.0.0.1", "::1"}
	}
	ip, err := netip.ParseAddr(host)
	switch {
	case host == "" || host == "*":
		return []string{"*"}
	case err != nil:
		return []string{host}
	}
	if ip = ip.Unmap(); ip.IsUnspecified() {
		return []string{"*"}
	}
	return []string{ip.String()}
}

// conflictsWith tells whether two claims can't both hold.
func (x address) conflictsWith(y address) bool {
	if x.port != y.port {
		return false
	}
	for _, h := range x.hosts {
		if h == "*" || slices.Contains(y.hosts, h) || slices.Contains(y.hosts, "*") {
			return true
		}
	}
	return false
}

// checkListenAddresses checks the addresses that sidecars listen on against one another, discovery and the
// endpoints.
func (r *report) checkListenAddresses(checked []*checker) {
	ports := make(map[string][]address)
	for _, c := range checked {
		var own []address
		if listen := c.merged.ListenAddress; listen != "" {
			own = append(own, newAddress(c, "application.listen", listen))
		}
		for _, addr := range c.settings.Callers.ExtraListenAddresses {
			own = append(own, newAddress(c, "callers.also_listen", addr))
		}
		var bad report
		for i, x := range own {
			c.checkListenAddress(x, &bad)
			for _, y := range append(own[:i:i], ports[x.port]...) {
				if x.conflictsWith(y) && !sameSidecar(x, y) {
					x.owner.refuseIn(&bad, "listen-claimed", x.key, quote(x.text),
						fmt.Sprintf("an address apart from %q, which %s of %s claims", y.text, y.key, y.owner.name()))
				}
			}
		}
		r.add(bad.findings...)
		for _, x := range own {
			ports[x.port] = append(ports[x.port], x)
		}
	}
}

// sameSidecar tells whether two claims are one: a platform's configuration that goes with two
// files is still one sidecar.
func sameSidecar(x, y address) bool {
	return x.owner != y.owner && x.owner.platformFile != "" && x.owner.platformFile == y.owner.platformFile && x.key == y.key
}

// checkListenAddress checks an address of a sidecar against what it sends to.
func (c *checker) checkListenAddress(x address, bad *report) {
	if d := c.merged.DiscoveryAddress; d != "" && sameHostPort(x, newAddress(c, "", d)) {
		c.refuseIn(bad, "listen-discovery", x.key, quote(x.text), "an address apart from discovery's, "+quote(d))
	}
	for _, in := range c.merged.KnownEndpoints.Instances {
		if sameHostPort(x, newAddress(c, "", in.HostPort)) {
			c.refuseIn(bad, "listen-endpoint", x.key, quote(x.text), fmt.Sprintf("an address apart from endpoint %q's", in.ID))
		}
	}
}

// sameHostPort tells whether two claims name one host: what a wildcard covers may be another
// machine's.
func sameHostPort(x, y address) bool {
	return x.port == y.port && slices.ContainsFunc(x.hosts, func(h string) bool { return h != "*" && slices.Contains(y.hosts, h) })
}

// refuseIn adds a refusal to another report than the checker's own.
func (c *checker) refuseIn(to *report, id, key, found, allowed string) {
	at := &checker{platformFile: c.platformFile, settings: c.settings, settingsFile: c.settingsFile}
	at.refuse(id, key, found, allowed)
	to.add(at.report.findings...)
}

func (c *checker) name() string { return cmp.Or(c.settingsFile, c.platformFile, c.merged.Name) }

// checkTierCycles checks that no tier is called, however indirectly, by the endpoints of its own.
func (r *report) checkTierCycles(checked []*checker) {
	calls := make(map[string][]string)
	by := make(map[string]*checker)
	var tiers []string
	for _, c := range checked {
		a := c.settings.Application
		if a.Tier == "" {
			continue
		}
		if by[a.Tier] == nil {
			by[a.Tier] = c
			tiers = append(tiers, a.Tier)
		}
		calls[a.Tier] = append(calls[a.Tier], a.DownstreamTiers...)
	}
	for _, from := range tiers {
		if path := shortestCycle(calls, from); path != nil && from == slices.Min(path) { // once for each circle
			by[from].refuseIn(r, "tier-circle", "application.calls", strings.Join(append(path, from), " calls "), "a chain that ends")
		}
	}
}

// shortestCycle returns the shortest way from a tier back to itself, or nil.
func shortestCycle(calls map[string][]string, from string) []string {
	before := make(map[string]string)
	for queue := []string{from}; len(queue) > 0; queue = queue[1:] {
		at := queue[0]
		for _, next := range calls[at] {
			if next == from {
				path := []string{at}
				for at != from {
					at = before[at]
					path = append(path, at)
				}
				slices.Reverse(path)
				return path
			}
			if _, ok := before[next]; !ok {
				before[next] = at
				queue = append(queue, next)
			}
		}
	}
	return nil
}

// checkSidecarCounts checks that as many sidecars send to a tier as they are told, each with a number of
// its own.
func (r *report) checkSidecarCounts(checked []*checker) {
	type number struct {
		tier string
		me   int
	}
	tiers := make(map[string][]*checker)
	numbers := make(map[number]*checker)
	sidecars := make(map[string]bool)
	for _, c := range checked {
		if c.platform == nil && !c.standalone || sidecars[c.platformFile] && c.platformFile != "" {
			continue
		}
		sidecars[c.platformFile] = true
		tier := cmp.Or(c.merged.Tier(), fmt.Sprintf("tier %d", c.merged.BalancerConfig.Tier))
		tiers[tier] = append(tiers[tier], c)
		n := number{tier, c.merged.BalancerConfig.SidecarIndex}
		if other := numbers[n]; other != nil {
			c.refuseIn(r, "sidecar-number", "fleet.number", fmt.Sprint(n.me), fmt.Sprintf("a number apart from that of %s, which also sends to %s", other.name(), tier))
		}
		numbers[n] = c
	}
	for _, tier := range slices.Sorted(maps.Keys(tiers)) {
		all := tiers[tier]
		for _, c := range all {
			if told := c.merged.BalancerConfig.SidecarCount; told < len(all) {
				c.refuseIn(r, "sidecars-undercounted", "fleet.sidecars", fmt.Sprint(told), fmt.Sprintf("%d or more: so many send to %s here", len(all), tier))
			}
		}
	}
}
