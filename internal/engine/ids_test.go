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

// Every sidecar has the same number for an endpoint, whatever the order of the list,
// and two names with one hash have two numbers.
func TestEndpointIDsAreStableAndUnique(t *testing.T) {
	hash := func(s string) uint32 {
		h := fnv.New32a()
		h.Write([]byte(s))
		return h.Sum32()
	}
	seen := make(map[uint32]string)
	var twins []string
	for i := 0; twins == nil; i++ {
		name := fmt.Sprint("s-", i)
		if other, ok := seen[hash(name)]; ok {
			twins = []string{other, name}
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
	one, other := newIDTable(nil), newIDTable(nil)
	a, b := one.listEntries(list(twins[0], "x", twins[1])), other.listEntries(list(twins[1], twins[0], "x"))
	if !reflect.DeepEqual(a, b) {
		t.Errorf("%+v and %+v differ", a, b)
	}
	if one.endpointID(twins[0]) == one.endpointID(twins[1]) {
		t.Errorf("%v share a number", twins)
	}
	if again := one.listEntries(list(twins[1])); again[0].ID != one.endpointID(twins[1]) {
		t.Error("a number changed")
	}
}

// The start of an endpoint, in Unix time, is at its place on the module's clock.
func TestEndpointStartTimeIsOnBalancerClock(t *testing.T) {
	l := fake.EndpointList("127.0.0.1:2")
	l.Instances[0].StartedAtUnixMilli = time.Now().Add(-time.Minute).UnixMilli()
	e, err := New(fake.NewConfig(t, l))
	if err != nil {
		t.Fatal(err)
	}
	age := e.now() - e.ids.listEntries(&l)[0].StartedAt
	if age < time.Minute || age > time.Minute+testTimeout {
		t.Errorf("age %v, want a minute", age)
	}
	if got := e.toTime(e.now()); time.Until(got).Abs() > testTimeout {
		t.Errorf("now is %v on the machine's clock", got)
	}
}
