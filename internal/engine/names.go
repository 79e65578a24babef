package engine

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/discovery"
)

// names gives instances and zones the numbers by which the module knows them.
type names struct {
	ids   map[string]balance.EndpointID
	taken map[balance.EndpointID]bool
	zones []string // those of the settings
}

func newNames(zones []string) *names {
	return &names{
		ids:   make(map[string]balance.EndpointID),
		taken: make(map[balance.EndpointID]bool),
		zones: zones,
	}
}

// id hashes an instance's name, so that every sidecar has the same number for
// it, also after a restart. A name whose number is taken is hashed again.
func (n *names) id(name string) balance.EndpointID {
	if id, ok := n.ids[name]; ok {
		return id
	}
	h := fnv.New32a()
	for {
		io.WriteString(h, name)
		if id := balance.EndpointID(h.Sum32()); !n.taken[id] {
			n.ids[name], n.taken[id] = id, true
			return id
		}
	}
}

// forget drops an instance that is gone.
func (n *names) forget(name string) {
	delete(n.taken, n.ids[name])
	delete(n.ids, name)
}

// zone returns a zone's index. One that the settings don't name is told by its hash: a
// number for each would be one more thing that grows with what discovery says.
func (n *names) zone(name string) int {
	if i := slices.Index(n.zones, name); i >= 0 {
		return i
	}
	h := fnv.New32a()
	io.WriteString(h, name)
	return len(n.zones) + int(h.Sum32())
}

// entry is one endpoint of a list and its address.
type entry struct {
	balance.Endpoint
	name, addr string
}

// entries translates a list that has passed its check. It goes by name, so that
// two names with one hash get the same numbers at every sidecar. The module's
// clock reads Unix time, see Engine.
func (n *names) entries(l *discovery.List) []entry {
	list := slices.Clone(l.Instances)
	slices.SortStableFunc(list, func(x, y discovery.Instance) int { return cmp.Compare(x.ID, y.ID) })
	out := make([]entry, len(list))
	for i, in := range list {
		weight := 1.0
		if in.Weight != nil {
			weight = *in.Weight
		}
		out[i] = entry{name: in.ID, addr: in.HostPort, Endpoint: balance.Endpoint{
			ID: n.id(in.ID), Zone: n.zone(in.Zone), Cell: in.Cell, State: discovery.StatesByLifecycle[in.Lifecycle],
			Weight: weight, StartedAt: time.Duration(in.StartedAtUnixMilli) * time.Millisecond,
		}}
	}
	return out
}
