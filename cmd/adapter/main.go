// Command adapter runs balancers for the operators' bench. It reads batches of
// events from standard input and writes one reply for each to standard output, in
// the line protocol of package wire. It makes no decisions itself, opens no sockets and
// reads no clock: time is part of the events.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "adapter: %v\n", err)
		os.Exit(1)
	}
}

// instance is one simulated sidecar.
type instance struct {
	balancer   *balance.Balancer // nil if the settings were invalid or the balancer has panicked
	loadFields []wire.LoadField  // what the values of a load report measure, in their order
}

// run reads batches from input and writes their replies to output until the input
// ends between two batches. It returns an error for malformed input, an event of an
// unknown instance and a failed write. Invalid settings and a panic of a balancer
// are not errors of run: the reply reports them in a PANIC line, and later events of that
// instance are ignored until it is created again.
func run(input io.Reader, output io.Writer) error {
	instances := make(map[uint32]*instance)
	reader := wire.NewReader(input)
	writer := bufio.NewWriterSize(output, 1<<16)
	var batch wire.Batch
	var reply []byte
	var actions []balance.Action
	for {
		err := reader.Read(&batch)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply = reply[:0]
		for i := range batch.Events {
			e := &batch.Events[i]
			switch e.Kind {
			case wire.InstanceCreated:
				instances[e.Instance], err = newInstance(e)
				if err != nil {
					reply = wire.AppendPanic(reply, e.Instance, err.Error())
				}
				continue
			case wire.InstanceStopped:
				delete(instances, e.Instance)
				continue
			}
			inst := instances[e.Instance]
			if inst == nil {
				return fmt.Errorf("line %d: unknown instance sidecar_%d", e.Line, e.Instance)
			}
			if inst.balancer == nil {
				continue
			}
			actions, err = handleEvent(inst, &batch, e, actions[:0])
			if errors.Is(err, errPanic) {
				inst.balancer = nil
				reply = wire.AppendPanic(reply, e.Instance, err.Error())
				continue
			}
			if err != nil {
				return fmt.Errorf("line %d: %w", e.Line, err)
			}
			for j := range actions {
				reply = wire.AppendAction(reply, e.Instance, &actions[j])
			}
		}
		reply = wire.AppendEnd(reply, batch.SequenceNumber)
		if _, err := writer.Write(reply); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// newInstance returns the instance that an InstanceCreated event describes. With an
// error it returns an instance without a balancer, which ignores its events.
func newInstance(e *wire.Event) (*instance, error) {
	cfg, fields, err := wire.ParseConfig(e.ConfigJSON)
	if err != nil {
		return &instance{}, err
	}
	b, err := balance.New(cfg, e.Seed)
	return &instance{balancer: b, loadFields: fields}, err
}

// errPanic says that a balancer panicked. Its text is part of the PANIC line.
var errPanic = errors.New("panic")

// handleEvent passes an event to the balancer of its instance and returns actions
// with those of the balancer appended. The error wraps errPanic if the balancer
// panicked; any other error means that a load report does not fit the settings.
func handleEvent(inst *instance, batch *wire.Batch, e *wire.Event, actions []balance.Action) (_ []balance.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errPanic, p)
		}
	}()
	b, now := inst.balancer, batch.Now
	switch e.Kind {
	case wire.EndpointsUpdated:
		return b.EndpointsUpdated(now, e.ListKind, e.Endpoints, actions), nil
	case wire.RequestArrived:
		return b.RequestArrived(now, e.Request, actions), nil
	case wire.ResponseStarted:
		return b.ResponseStarted(now, e.Request.ID, e.Outcome.Attempt, actions), nil
	case wire.AttemptEnded:
		if e.Outcome.Load, err = e.Load(inst.loadFields); err != nil {
			return actions, err
		}
		return b.AttemptEnded(now, e.Outcome, actions), nil
	case wire.RequestAbandoned:
		return b.RequestAbandoned(now, e.Request.ID, actions), nil
	case wire.TimerFired:
		return b.TimerFired(now, e.Timer, actions), nil
	case wire.ProbeEnded:
		load, err := e.Load(inst.loadFields)
		if err != nil {
			return actions, err
		}
		return b.ProbeEnded(now, e.Outcome.Endpoint, e.Outcome.Result, load, actions), nil
	}
	return actions, nil // a PeerMessage: balancers exchange no messages
}
