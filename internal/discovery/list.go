// Package discovery holds the lists of endpoints that discovery gives out, in the form that
// PROTOCOL, "Discovery", lays down, and their check. It does no I/O: internal/sidecar asks
// for lists, internal/config reads the last known one.
package discovery

import (
	"errors"
	"fmt"
	"net"
	"strconv"

	"barleydrum.example/barleydrum/balance"
)

// List is a list of endpoints, or of changes to one.
type List struct {
	Generation uint64     `json:"generation"`
	Full       bool       `json:"reset"` // the whole list, not changes
	Instances  []Instance `json:"instances"`
}

// Instance is one endpoint.
type Instance struct {
	ID                 string   `json:"instanceId"`
	HostPort           string   `json:"hostPort"`
	Zone               string   `json:"zone"`
	MachineType        string   `json:"machineType,omitempty"`
	Cell               int      `json:"cell"`
	Lifecycle          string   `json:"lifecycle"` // a key of States
	Weight             *float64 `json:"weight,omitempty"`
	StartedAtUnixMilli int64    `json:"startedAtMs"` // Unix time in milliseconds; 0 is long ago
}

// StatesByLifecycle are the lifecycles of an instance.
var StatesByLifecycle = map[string]balance.EndpointState{
	"up": balance.InService, "draining": balance.Draining, "removed": balance.Removed,
}

// GenerationString is the list's version as a call names it.
func (l *List) GenerationString() string { return strconv.FormatUint(l.Generation, 10) }

// Check returns an error for the first entry that can't be used.
func (l *List) Check() error {
	for i := range l.Instances {
		in := &l.Instances[i]
		if in.ID == "" {
			return fmt.Errorf("instances[%d].instanceId: empty", i)
		}
		state, ok := StatesByLifecycle[in.Lifecycle]
		if !ok {
			return fmt.Errorf("instance %q: lifecycle: unknown value %q", in.ID, in.Lifecycle)
		}
		if err := CheckAddress(in.HostPort); err != nil && state != balance.Removed {
			return fmt.Errorf("instance %q: hostPort: %w", in.ID, err)
		}
		if in.Weight != nil && *in.Weight < 0 {
			return fmt.Errorf("instance %q: weight: negative", in.ID)
		}
		if in.StartedAtUnixMilli < 0 || in.StartedAtUnixMilli > int64(1<<62)/1e6 {
			return fmt.Errorf("instance %q: startedAtMs: out of range", in.ID)
		}
	}
	return nil
}

// CheckAddress returns an error for what is not HOST:PORT with a port from 1 to 65535.
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
