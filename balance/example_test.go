package balance_test

import (
	"fmt"
	"time"

	"barleydrum.example/barleydrum/balance"
)

// A request from its arrival to its response, with a retry in between. The sidecar feeds events and carries out
// actions; here it prints the actions that send something.
func Example() {
	b, err := balance.New(balance.Config{
		SidecarCount: 1,
		Classes: []balance.Class{{
			Name: "read", TargetLatency: 800 * time.Millisecond, Deadline: 2 * time.Second, Value: 1,
		}},
		Reporting:       balance.ReportsInProbe,
		Limits:          balance.Limits{Probes: true, Cancel: true},
		ClockResolution: time.Millisecond,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	printActions := func(actions []balance.Action) {
		for _, a := range actions {
			switch a.Kind {
			case balance.Probe:
				fmt.Println(now, "probe an endpoint")
			case balance.Send:
				fmt.Println(now, "send request", a.Request)
			}
		}
	}
	list := []balance.Endpoint{{ID: 1, Weight: 1}}
	printActions(b.EndpointsUpdated(now, balance.ListLastKnown, list, nil))
	printActions(b.RequestArrived(now, balance.Request{ID: 7, Timeout: time.Second}, nil))

	now += time.Millisecond
	printActions(b.ProbeEnded(now, 1, balance.OK, &balance.Load{InFlight: 0}, nil))

	// The endpoint refuses the request unread, so it may be sent again.
	now += time.Millisecond
	printActions(b.AttemptEnded(now, balance.Outcome{
		Request: 7, Attempt: 0, Endpoint: 1, Result: balance.Rejected, Elapsed: time.Millisecond,
	}, nil))

	now += time.Millisecond
	printActions(b.ProbeEnded(now, 1, balance.OK, &balance.Load{InFlight: 0}, nil))

	now += time.Millisecond
	printActions(b.AttemptEnded(now, balance.Outcome{
		Request: 7, Attempt: 1, Endpoint: 1, Result: balance.OK, RequestFinished: true, Elapsed: time.Millisecond,
	}, nil))
	// Output:
	// 1s probe an endpoint
	// 1.001s send request 7
	// 1.002s probe an endpoint
	// 1.003s send request 7
}
