package engine

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"testing"
	"time"

	"barleydrum.example/barleydrum/internal/discovery"
	"barleydrum.example/barleydrum/internal/fake"
)

// All sidecars must use the same ID for an endpoint, whatever the order of the list, and two names
// with the same hash must get different IDs.
func TestEndpointIDsAreStableAndUnique(t *testing.T) {
	hash := func(s string) uint32 {
		h := fnv.New32a()
		h.Write([]byte(s))
		return h.Sum32()
	}
	seen := make(map[uint32]string)
	var colliding []string // two names with the same hash
	for i := 0; colliding == nil; i++ {
		name := fmt.Sprint("s-", i)
		if other, ok := seen[hash(name)]; ok {
			colliding = []string{other, name}
		}
		seen[hash(name)] = name
	}
	list := func(names ...string) *discovery.List {
		l := new(discovery.List)
		for _, n := range names {
			l.Instances = append(l.Instances, discovery.Instance{ID: n, Lifecycle: "up"})
		}
		return l
	}
	first, second := newIDTable(nil), newIDTable(nil)
	a, b := first.listEntries(list(colliding[0], "x", colliding[1])), second.listEntries(list(colliding[1], colliding[0], "x"))
	if !reflect.DeepEqual(a, b) {
		t.Errorf("%+v and %+v differ", a, b)
	}
	if first.endpointID(colliding[0]) == first.endpointID(colliding[1]) {
		t.Errorf("%v have the same ID", colliding)
	}
	if again := first.listEntries(list(colliding[1])); again[0].ID != first.endpointID(colliding[1]) {
		t.Error("an ID changed")
	}
}

// An endpoint's start time, which a list gives in Unix time, must mean the same instant on the
// balancer's clock; otherwise the balancer takes endpoints for newer or older than they are.
func TestEndpointStartTimeIsOnBalancerClock(t *testing.T) {
	list := fake.EndpointList("127.0.0.1:2")
	list.Instances[0].StartedAtUnixMilli = time.Now().Add(-time.Minute).UnixMilli()
	e, err := New(fake.NewConfig(t, list))
	if err != nil {
		t.Fatal(err)
	}
	age := e.now() - e.ids.listEntries(&list)[0].StartedAt
	if age < time.Minute || age > time.Minute+testTimeout {
		t.Errorf("age %v, want a minute", age)
	}
	if got := e.toTime(e.now()); time.Until(got).Abs() > testTimeout {
		t.Errorf("the balancer's current time is %v on the machine's clock", got)
	}
}
