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

// idTable gives instances and zones the numbers by which the module knows them.
type idTable struct {
	byName          map[string]balance.EndpointID
	used            map[balance.EndpointID]bool
	configuredZones []string // those of the settings
}

func newIDTable(zones []string) *idTable {
	return &idTable{
		byName:          make(map[string]balance.EndpointID),
		used:            make(map[balance.EndpointID]bool),
		configuredZones: zones,
	}
}

// endpointID hashes an instance's name, so that every sidecar has the same number for
// it, also after a restart. A name whose number is taken is hashed again.
func (n *idTable) endpointID(name string) balance.EndpointID {
	if id, ok := n.byName[name]; ok {
		return id
	}
	h := fnv.New32a()
	for {
		io.WriteString(h, name)
		if id := balance.EndpointID(h.Sum32()); !n.used[id] {
			n.byName[name], n.used[id] = id, true
			return id
		}
	}
}

// release drops an instance that is gone.
func (n *idTable) release(name string) {
	delete(n.used, n.byName[name])
	delete(n.byName, name)
}

// zoneIndex returns a zone's index. One that the settings don't name is told by its hash: a
// number for each would be one more thing that grows with what discovery says.
func (n *idTable) zoneIndex(name string) int {
	if i := slices.Index(n.configuredZones, name); i >= 0 {
		return i
	}
	h := fnv.New32a()
	io.WriteString(h, name)
	return len(n.configuredZones) + int(h.Sum32())
}

// listEntry is one endpoint of a list and its address.
type listEntry struct {
	balance.Endpoint
	name, addr string
}

// listEntries translates a list that has passed its check. It goes by name, so that
// two names with one hash get the same numbers at every sidecar. The module's
// clock reads Unix time, see Engine.
func (n *idTable) listEntries(l *discovery.List) []listEntry {
	list := slices.Clone(l.Instances)
	slices.SortStableFunc(list, func(x, y discovery.Instance) int { return cmp.Compare(x.ID, y.ID) })
	out := make([]listEntry, len(list))
	for i, in := range list {
		weight := 1.0
		if in.Weight != nil {
			weight = *in.Weight
		}
		out[i] = listEntry{name: in.ID, addr: in.HostPort, Endpoint: balance.Endpoint{
			ID: n.endpointID(in.ID), Zone: n.zoneIndex(in.Zone), Cell: in.Cell, State: discovery.StatesByLifecycle[in.Lifecycle],
			Weight: weight, StartedAt: time.Duration(in.StartedAtUnixMilli) * time.Millisecond,
		}}
	}
	return out
}
