// Package discovery defines the endpoint lists that discovery serves, in the format that PROTOCOL,
// "Discovery", specifies, and validates them. It does no I/O: internal/sidecar requests lists,
// internal/config reads the last known one.
package discovery

import (
	"errors"
	"fmt"
	"net"
	"strconv"

	"barleydrum.example/barleydrum/balance"
)

// List is a full list of endpoints, or a list of changes to the previous one.
type List struct {
	Generation uint64     `json:"generation"` // the list's version
	Full       bool       `json:"reset"`      // a full list, not changes
	Instances  []Instance `json:"instances"`
}

// Instance is one endpoint in a list.
type Instance struct {
	ID                 string   `json:"instanceId"`
	HostPort           string   `json:"hostPort"`
	Zone               string   `json:"zone"`
	MachineType        string   `json:"machineType,omitempty"`
	Cell               int      `json:"cell"`
	Lifecycle          string   `json:"lifecycle"` // a key of StatesByLifecycle
	Weight             *float64 `json:"weight,omitempty"`
	StartedAtUnixMilli int64    `json:"startedAtMs"` // Unix time in milliseconds; 0 if unknown, which is treated as long ago
}

// StatesByLifecycle maps the values of Instance.Lifecycle to the balancer's endpoint states.
var StatesByLifecycle = map[string]balance.EndpointState{
	"up": balance.InService, "draining": balance.Draining, "removed": balance.Removed,
}

// GenerationString returns the list's version in decimal, as discovery requests give it.
func (l *List) GenerationString() string { return strconv.FormatUint(l.Generation, 10) }

// Check returns an error for the first entry that is not valid. A removed instance needs no address.
func (l *List) Check() error {
	for i := range l.Instances {
		instance := &l.Instances[i]
		if instance.ID == "" {
			return fmt.Errorf("instances[%d].instanceId: empty", i)
		}
		state, ok := StatesByLifecycle[instance.Lifecycle]
		if !ok {
			return fmt.Errorf("instance %q: lifecycle: unknown value %q", instance.ID, instance.Lifecycle)
		}
		if err := CheckAddress(instance.HostPort); err != nil && state != balance.Removed {
			return fmt.Errorf("instance %q: hostPort: %w", instance.ID, err)
		}
		if instance.Weight != nil && *instance.Weight < 0 {
			return fmt.Errorf("instance %q: weight: negative", instance.ID)
		}
		if instance.StartedAtUnixMilli < 0 || instance.StartedAtUnixMilli > int64(1<<62)/1e6 {
			return fmt.Errorf("instance %q: startedAtMs: out of range", instance.ID)
		}
	}
	return nil
}

// CheckAddress returns an error unless addr is HOST:PORT with a port from 1 to 65535.
func CheckAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || host == "" || n == 0 {
		return errors.New(strconv.Quote(addr) + " is not HOST:PORT")
	}
	return nil
}
