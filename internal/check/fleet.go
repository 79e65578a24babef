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

// claim is an address that a sidecar listens on.
type claim struct {
	by        *checker
	key, addr string
	hosts     []string // those it stands for; "*" is all
	port      string
}

func newClaim(by *checker, key, addr string) claim {
	host, port, _ := net.SplitHostPort(addr)
	return claim{by, key, addr, hosts(host), strings.TrimLeft(port, "0")}
}

// hosts are the addresses that a host stands for, each written in one way. A wildcard of
// either kind takes the port of both: an IPv6 socket takes IPv4 as well unless told not to.
func hosts(host string) []string {
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

// meets tells whether two claims can't both hold.
func (x claim) meets(y claim) bool {
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

// claims checks the addresses that sidecars listen on against one another, discovery and the
// endpoints.
func (r *report) claims(checked []*checker) {
	ports := make(map[string][]claim)
	for _, c := range checked {
		var own []claim
		if listen := c.merged.ListenAddress; listen != "" {
			own = append(own, newClaim(c, "application.listen", listen))
		}
		for _, addr := range c.settings.Callers.ExtraListenAddresses {
			own = append(own, newClaim(c, "callers.also_listen", addr))
		}
		var bad report
		for i, x := range own {
			c.listensAt(x, &bad)
			for _, y := range append(own[:i:i], ports[x.port]...) {
				if x.meets(y) && !sameSidecar(x, y) {
					x.by.said(&bad, "listen-claimed", x.key, quoted(x.addr),
						fmt.Sprintf("an address apart from %q, which %s of %s claims", y.addr, y.key, y.by.name()))
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
func sameSidecar(x, y claim) bool {
	return x.by != y.by && x.by.platformFile != "" && x.by.platformFile == y.by.platformFile && x.key == y.key
}

// listensAt checks an address of a sidecar against what it sends to.
func (c *checker) listensAt(x claim, bad *report) {
	if d := c.merged.DiscoveryAddress; d != "" && exact(x, newClaim(c, "", d)) {
		c.said(bad, "listen-discovery", x.key, quoted(x.addr), "an address apart from discovery's, "+quoted(d))
	}
	for _, in := range c.merged.KnownEndpoints.Instances {
		if exact(x, newClaim(c, "", in.HostPort)) {
			c.said(bad, "listen-endpoint", x.key, quoted(x.addr), fmt.Sprintf("an address apart from endpoint %q's", in.ID))
		}
	}
}

// exact tells whether two claims name one host: what a wildcard covers may be another
// machine's.
func exact(x, y claim) bool {
	return x.port == y.port && slices.ContainsFunc(x.hosts, func(h string) bool { return h != "*" && slices.Contains(y.hosts, h) })
}

// said adds a refusal to another report than the checker's own.
func (c *checker) said(to *report, id, key, found, allowed string) {
	at := &checker{platformFile: c.platformFile, settings: c.settings, settingsFile: c.settingsFile}
	at.refuse(id, key, found, allowed)
	to.add(at.all.findings...)
}

func (c *checker) name() string { return cmp.Or(c.settingsFile, c.platformFile, c.merged.Name) }

// circles checks that no tier is called, however indirectly, by the endpoints of its own.
func (r *report) circles(checked []*checker) {
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
		if path := circle(calls, from); path != nil && from == slices.Min(path) { // once for each circle
			by[from].said(r, "tier-circle", "application.calls", strings.Join(append(path, from), " calls "), "a chain that ends")
		}
	}
}

// circle returns the shortest way from a tier back to itself, or nil.
func circle(calls map[string][]string, from string) []string {
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

// counts checks that as many sidecars send to a tier as they are told, each with a number of
// its own.
func (r *report) counts(checked []*checker) {
	type number struct {
		tier string
		me   int
	}
	tiers := make(map[string][]*checker)
	numbers := make(map[number]*checker)
	sidecars := make(map[string]bool)
	for _, c := range checked {
		if c.platform == nil && !c.alone || sidecars[c.platformFile] && c.platformFile != "" {
			continue
		}
		sidecars[c.platformFile] = true
		tier := cmp.Or(c.merged.Tier(), fmt.Sprintf("tier %d", c.merged.BalancerConfig.Tier))
		tiers[tier] = append(tiers[tier], c)
		n := number{tier, c.merged.BalancerConfig.SidecarIndex}
		if other := numbers[n]; other != nil {
			c.said(r, "sidecar-number", "fleet.number", fmt.Sprint(n.me), fmt.Sprintf("a number apart from that of %s, which also sends to %s", other.name(), tier))
		}
		numbers[n] = c
	}
	for _, tier := range slices.Sorted(maps.Keys(tiers)) {
		all := tiers[tier]
		for _, c := range all {
			if told := c.merged.BalancerConfig.SidecarCount; told < len(all) {
				c.said(r, "sidecars-undercounted", "fleet.sidecars", fmt.Sprint(told), fmt.Sprintf("%d or more: so many send to %s here", len(all), tier))
			}
		}
	}
}
