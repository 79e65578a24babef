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

// idTable maps the names of instances and zones to the numbers by which the balancer identifies them.
type idTable struct {
	byName          map[string]balance.EndpointID
	usedIDs         map[balance.EndpointID]bool // the IDs in byName
	configuredZones []string                    // the zones of the settings, numbered by their index
}

// newIDTable returns a table without instances.
func newIDTable(zones []string) *idTable {
	return &idTable{
		byName:          make(map[string]balance.EndpointID),
		usedIDs:         make(map[balance.EndpointID]bool),
		configuredZones: zones,
	}
}

// endpointID returns the ID of an instance, and assigns one to a new name. The ID is a hash of the
// name, so that every sidecar uses the same ID, also after a restart. On a collision the name is
// appended to the hash's input until the ID is free.
func (t *idTable) endpointID(name string) balance.EndpointID {
	if id, ok := t.byName[name]; ok {
		return id
	}
	h := fnv.New32a()
	for {
		io.WriteString(h, name)
		if id := balance.EndpointID(h.Sum32()); !t.usedIDs[id] {
			t.byName[name], t.usedIDs[id] = id, true
			return id
		}
	}
}

// release frees the ID of an instance that has been removed.
func (t *idTable) release(name string) {
	delete(t.usedIDs, t.byName[name])
	delete(t.byName, name)
}

// zoneIndex returns the number of a zone. A zone that the settings don't name is numbered by a hash of
// its name: a table of such zones would grow without bound with what discovery reports.
func (t *idTable) zoneIndex(name string) int {
	if i := slices.Index(t.configuredZones, name); i >= 0 {
		return i
	}
	h := fnv.New32a()
	io.WriteString(h, name)
	return len(t.configuredZones) + int(h.Sum32())
}

// listEntry is one endpoint of a list, with its name and address (HOST:PORT).
type listEntry struct {
	balance.Endpoint
	name, addr string
}

// listEntries converts a list that has passed [discovery.List.Check]. It sorts the instances by name, so
// that names with the same hash get the same IDs at every sidecar. StartedAt is in Unix time, which needs no
// conversion to the balancer's clock, see [New].
func (t *idTable) listEntries(list *discovery.List) []listEntry {
	instances := slices.Clone(list.Instances)
	slices.SortStableFunc(instances, func(x, y discovery.Instance) int { return cmp.Compare(x.ID, y.ID) })
	entries := make([]listEntry, len(instances))
	for i, instance := range instances {
		weight := 1.0
		if instance.Weight != nil {
			weight = *instance.Weight
		}
		entries[i] = listEntry{name: instance.ID, addr: instance.HostPort, Endpoint: balance.Endpoint{
			ID: t.endpointID(instance.ID), Zone: t.zoneIndex(instance.Zone), Cell: instance.Cell, State: discovery.StatesByLifecycle[instance.Lifecycle],
			Weight: weight, StartedAt: time.Duration(instance.StartedAtUnixMilli) * time.Millisecond,
		}}
	}
	return entries
}
