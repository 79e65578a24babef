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

// address is a host and port in a form in which addresses can be compared.
type address struct {
	owner     *checker // of the sidecar that uses the address
	key, text string   // the settings key, empty if the address is only compared, and its HOST:PORT
	hosts     []string // the IP addresses or names that the host stands for; "*" stands for all
	port      string   // without leading zeros
}

// newAddress parses text as HOST:PORT.
func newAddress(owner *checker, key, text string) address {
	host, port, _ := net.SplitHostPort(text)
	return address{owner, key, text, hostAddresses(host), strings.TrimLeft(port, "0")}
}

// hostAddresses returns the addresses that host stands for, in canonical form. The wildcards of
// IPv4 and of IPv6 both stand for all addresses of both kinds: by default, a listening IPv6
// socket accepts IPv4 connections as well.
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

// conflictsWith reports whether two listeners can't use x and y together.
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

// checkListenAddresses compares the addresses that sidecars listen on with each other, with
// discovery's address and with the endpoints'.
func (r *report) checkListenAddresses(checked []*checker) {
	addressesByPort := make(map[string][]address)
	for _, c := range checked {
		var addresses []address
		if listen := c.merged.ListenAddress; listen != "" {
			addresses = append(addresses, newAddress(c, "application.listen", listen))
		}
		for _, text := range c.settings.Callers.ExtraListenAddresses {
			addresses = append(addresses, newAddress(c, "callers.also_listen", text))
		}
		var conflicts report
		for i, x := range addresses {
			c.checkListenAddress(x, &conflicts)
			for _, y := range append(addresses[:i:i], addressesByPort[x.port]...) {
				if x.conflictsWith(y) && !sameSidecar(x, y) {
					x.owner.refuseIn(&conflicts, "listen-claimed", x.key, quote(x.text),
						fmt.Sprintf("an address other than %q, which is %s of %s", y.text, y.key, y.owner.name()))
				}
			}
		}
		r.add(conflicts.findings...)
		for _, x := range addresses {
			addressesByPort[x.port] = append(addressesByPort[x.port], x)
		}
	}
}

// sameSidecar reports whether x and y are the same address of the same sidecar, checked twice. A
// platform's configuration that is checked with two operators' files still is one sidecar.
func sameSidecar(x, y address) bool {
	return x.owner != y.owner && x.owner.platformFile != "" && x.owner.platformFile == y.owner.platformFile && x.key == y.key
}

// checkListenAddress adds a finding to conflicts if x, on which the sidecar listens, is an
// address that the sidecar connects to.
func (c *checker) checkListenAddress(x address, conflicts *report) {
	if d := c.merged.DiscoveryAddress; d != "" && sameHostPort(x, newAddress(c, "", d)) {
		c.refuseIn(conflicts, "listen-discovery", x.key, quote(x.text), "an address other than discovery's, "+quote(d))
	}
	for _, endpoint := range c.merged.KnownEndpoints.Instances {
		if sameHostPort(x, newAddress(c, "", endpoint.HostPort)) {
			c.refuseIn(conflicts, "listen-endpoint", x.key, quote(x.text), fmt.Sprintf("an address other than endpoint %q's", endpoint.ID))
		}
	}
}

// sameHostPort reports whether x and y have a host and the port in common. A wildcard in x is not
// counted, because y may be an address of another machine.
func sameHostPort(x, y address) bool {
	return x.port == y.port && slices.ContainsFunc(x.hosts, func(h string) bool { return h != "*" && slices.Contains(y.hosts, h) })
}

// refuseIn adds a finding as refuse does, but to r and not to the checker's own report.
func (c *checker) refuseIn(r *report, id, key, found, allowed string) {
	scratch := &checker{platformFile: c.platformFile, settings: c.settings, settingsFile: c.settingsFile}
	scratch.refuse(id, key, found, allowed)
	r.add(scratch.report.findings...)
}

// name returns the sidecar's name in findings: its file, or the name from the platform.
func (c *checker) name() string { return cmp.Or(c.settingsFile, c.platformFile, c.merged.Name) }

// checkTierCycles checks that no tier calls itself, directly or through other tiers.
func (r *report) checkTierCycles(checked []*checker) {
	calls := make(map[string][]string)
	firstChecker := make(map[string]*checker) // by tier; findings name its file
	var tiers []string
	for _, c := range checked {
		a := c.settings.Application
		if a.Tier == "" {
			continue
		}
		if firstChecker[a.Tier] == nil {
			firstChecker[a.Tier] = c
			tiers = append(tiers, a.Tier)
		}
		calls[a.Tier] = append(calls[a.Tier], a.DownstreamTiers...)
	}
	for _, from := range tiers {
		if path := shortestCycle(calls, from); path != nil && from == slices.Min(path) { // report each cycle once
			firstChecker[from].refuseIn(r, "tier-circle", "application.calls", strings.Join(append(path, from), " calls "), "calls without a circle")
		}
	}
}

// shortestCycle returns the tiers of the shortest chain of calls that leads from a tier back to
// itself, or nil if there is none. The path starts with from and does not repeat it at the end.
func shortestCycle(calls map[string][]string, from string) []string {
	previous := make(map[string]string)
	for queue := []string{from}; len(queue) > 0; queue = queue[1:] {
		tier := queue[0]
		for _, next := range calls[tier] {
			if next == from {
				path := []string{tier}
				for tier != from {
					tier = previous[tier]
					path = append(path, tier)
				}
				slices.Reverse(path)
				return path
			}
			if _, ok := previous[next]; !ok {
				previous[next] = tier
				queue = append(queue, next)
			}
		}
	}
	return nil
}

// checkSidecarCounts checks that no more sidecars send to a tier than their configurations state,
// and that each of these has a number of its own.
func (r *report) checkSidecarCounts(checked []*checker) {
	type tierIndex struct {
		tier  string
		index int
	}
	checkersByTier := make(map[string][]*checker)
	checkerByIndex := make(map[tierIndex]*checker)
	countedFiles := make(map[string]bool) // platforms' configurations
	for _, c := range checked {
		if c.platform == nil && !c.standalone || countedFiles[c.platformFile] && c.platformFile != "" {
			continue
		}
		countedFiles[c.platformFile] = true
		tier := cmp.Or(c.merged.Tier(), fmt.Sprintf("tier %d", c.merged.BalancerConfig.Tier))
		checkersByTier[tier] = append(checkersByTier[tier], c)
		key := tierIndex{tier, c.merged.BalancerConfig.SidecarIndex}
		if other := checkerByIndex[key]; other != nil {
			c.refuseIn(r, "sidecar-number", "fleet.number", fmt.Sprint(key.index), fmt.Sprintf("a number other than that of %s, which also sends to %s", other.name(), tier))
		}
		checkerByIndex[key] = c
	}
	for _, tier := range slices.Sorted(maps.Keys(checkersByTier)) {
		sidecars := checkersByTier[tier]
		for _, c := range sidecars {
			if stated := c.merged.BalancerConfig.SidecarCount; stated < len(sidecars) {
				c.refuseIn(r, "sidecars-undercounted", "fleet.sidecars", fmt.Sprint(stated), fmt.Sprintf("%d or more: the checked files have %[1]d sidecars that send to %s", len(sidecars), tier))
			}
		}
	}
}
