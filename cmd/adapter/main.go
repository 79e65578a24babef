// Command adapter hosts balancers for the operators' bench: batches of events
// on standard input, replies on standard output.
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

// instance is one sidecar: its balancer, nil if its settings were at fault, and its report's fields.
type instance struct {
	balancer   *balance.Balancer
	loadFields []wire.LoadField
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	instances := make(map[uint32]*instance)
	reader := wire.NewReader(in)
	w := bufio.NewWriterSize(out, 1<<16)
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
			in := instances[e.Instance]
			if in == nil {
				return fmt.Errorf("line %d: unknown instance sidecar_%d", e.Line, e.Instance)
			}
			if in.balancer == nil {
				continue
			}
			actions, err = handleEvent(in, &batch, e, actions[:0])
			if errors.Is(err, errPanic) {
				in.balancer = nil
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
		if _, err := w.Write(reply); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

func newInstance(e *wire.Event) (*instance, error) {
	cfg, fields, err := wire.ParseConfig(e.ConfigJSON)
	if err != nil {
		return &instance{}, err
	}
	b, err := balance.New(cfg, e.Seed)
	return &instance{balancer: b, loadFields: fields}, err
}

var errPanic = errors.New("panic")

// handleEvent gives an event to its balancer.
func handleEvent(in *instance, batch *wire.Batch, e *wire.Event, acts []balance.Action) (_ []balance.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errPanic, p)
		}
	}()
	b, now := in.balancer, batch.Now
	switch e.Kind {
	case wire.EndpointsUpdated:
		return b.EndpointsUpdated(now, e.ListKind, e.Endpoints, acts), nil
	case wire.RequestArrived:
		return b.RequestArrived(now, e.Request, acts), nil
	case wire.ResponseStarted:
		return b.ResponseStarted(now, e.Request.ID, e.Outcome.Attempt, acts), nil
	case wire.AttemptEnded:
		if e.Outcome.Load, err = e.Load(in.loadFields); err != nil {
			return acts, err
		}
		return b.AttemptEnded(now, e.Outcome, acts), nil
	case wire.RequestAbandoned:
		return b.RequestAbandoned(now, e.Request.ID, acts), nil
	case wire.TimerFired:
		return b.TimerFired(now, e.Timer, acts), nil
	case wire.ProbeEnded:
		load, err := e.Load(in.loadFields)
		if err != nil {
			return acts, err
		}
		return b.ProbeEnded(now, e.Outcome.Endpoint, e.Outcome.Result, load, acts), nil
	}
	return acts, nil // a peer's message: the balancer has no use for it
}
