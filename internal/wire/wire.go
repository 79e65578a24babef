// Package wire reads and writes the operators' line dialect: batches of events
// in, replies of actions out. It takes no decisions.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"barleydrum.example/barleydrum/balance"
)

// EventKind is the kind of an [Event].
type EventKind uint8

// The kinds of event.
const (
	InstanceCreated EventKind = iota
	InstanceStopped
	EndpointsUpdated
	RequestArrived
	ResponseStarted
	AttemptEnded
	RequestAbandoned
	TimerFired
	ProbeEnded
	PeerMessage
)

// Event is one event of a batch. Only the fields of its kind are set.
type Event struct {
	Kind     EventKind
	Instance uint32
	Line     int // its line in the input, from 1

	Seed       uint64
	ConfigJSON []byte // of NewInstance, valid until the next batch
	ListKind   balance.ListKind
	Endpoints  []balance.Endpoint // shared between events; valid until the next batch
	Request    balance.Request    // Query; its ID for all events about a request
	Outcome    balance.Outcome    // Reply, and ProbeResult as far as it goes; Load is not set
	Timer      balance.Timer      // zero for a cookie that no reply has set

	reportValues [MaxLoadFields]float64
	reportLen    int // of report; -1 without one
	load         balance.Load
}

// Batch is what has come in at one time.
type Batch struct {
	Now            time.Duration
	SequenceNumber uint64
	Events         []Event
}

// Reader reads batches.
type Reader struct {
	input        *bufio.Reader
	lineNumber   int
	line         []byte
	longLine     []byte
	lists        [16]registeredList
	configBuffer []byte
}

type registeredList struct {
	registered bool
	endpoints  []balance.Endpoint
}

// MaxLoadFields is the most values that a load report has.
const MaxLoadFields = 4

// LoadField is a value of a load report.
type LoadField uint8

// The values of a load report.
const (
	FieldUnknown LoadField = iota
	FieldInFlight
	FieldQueued
	FieldUtilization
	FieldLatency
	FieldServed
	FieldFailed
)

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(in, 1<<20)}
}

// Read reads the next batch into b. It returns io.EOF at the end of the input between two batches.
func (r *Reader) Read(b *Batch) error {
	b.Events = b.Events[:0]
	r.configBuffer = r.configBuffer[:0]
	for {
		if err := r.readLine(); err != nil {
			if errors.Is(err, io.EOF) {
				return io.EOF
			}
			return fmt.Errorf("line %d: %w", r.lineNumber, err)
		}
		if len(r.line) > 0 {
			break
		}
	}
	p := parser{rest: r.line}
	name := p.token()
	if string(name) != "TICK" {
		return r.lineError(name, fmt.Errorf("a batch starts with TICK"))
	}
	b.Now = time.Duration(p.int())
	b.SequenceNumber = p.uint(64)
	if err := p.expectEnd(); err != nil {
		return r.lineError(name, err)
	}
	for {
		if err := r.readLine(); err != nil {
			if errors.Is(err, io.EOF) {
				return fmt.Errorf("line %d: batch %d is cut off: no EOB", r.lineNumber, b.SequenceNumber)
			}
			return fmt.Errorf("line %d: %w", r.lineNumber, err)
		}
		p := parser{rest: r.line}
		name := p.token()
		if string(name) == "EOB" {
			if err := p.expectEnd(); err != nil {
				return r.lineError(name, err)
			}
			return nil
		}
		if err := r.readEvent(b, name, &p); err != nil {
			return r.lineError(name, err)
		}
	}
}

func (r *Reader) lineError(name []byte, err error) error {
	return fmt.Errorf("line %d: %.40q: %w", r.lineNumber, name, err)
}

// readLine reads a line into r.text, without its end.
func (r *Reader) readLine() error {
	text, err := r.input.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = append(r.longLine[:0], text...)
		for errors.Is(err, bufio.ErrBufferFull) {
			text, err = r.input.ReadSlice('\n')
			r.longLine = append(r.longLine, text...)
		}
		text = r.longLine
	}
	if errors.Is(err, io.EOF) && len(text) > 0 {
		r.lineNumber++
		return fmt.Errorf("%.40q: cut off: the line has no end", text)
	}
	if err != nil {
		return err
	}
	r.lineNumber++
	r.line = text[:len(text)-1]
	return nil
}

func (r *Reader) readEvent(b *Batch, name []byte, p *parser) error {
	if string(name) == "REGISTER" {
		return r.readList(p)
	}
	b.Events = append(b.Events, Event{Line: r.lineNumber})
	e := &b.Events[len(b.Events)-1]
	e.Instance = p.instanceID()
	switch string(name) {
	case "NEW_INSTANCE":
		e.Kind = InstanceCreated
		e.Seed = p.uint(64)
		from := len(r.configBuffer)
		r.configBuffer = append(r.configBuffer, p.remainder()...)
		e.ConfigJSON = r.configBuffer[from:len(r.configBuffer):len(r.configBuffer)]
	case "POWER_OFF":
		e.Kind = InstanceStopped
	case "ENDPOINTS":
		e.Kind = EndpointsUpdated
		return r.readEndpoints(e, p)
	case "QUERY":
		e.Kind = RequestArrived
		e.readQuery(p)
	case "HEAD_RECEIVED":
		e.Kind = ResponseStarted
		e.Request.ID = p.requestID()
		e.Outcome.Attempt = p.index()
		e.Outcome.Elapsed = time.Duration(p.int())
		e.Outcome.Endpoint = p.endpointID()
	case "REPLY":
		e.Kind = AttemptEnded
		e.Request.ID = p.requestID()
		e.Outcome.Request = e.Request.ID
		e.Outcome.Result = p.result()
		e.Outcome.RequestFinished = p.bool()
		e.Outcome.Endpoint = p.endpointID()
		e.Outcome.Attempt = p.index()
		e.Outcome.Elapsed = time.Duration(p.int())
		e.readLoad(p)
	case "ABORTED":
		e.Kind = RequestAbandoned
		e.Request.ID = p.requestID()
	case "RING":
		e.Kind = TimerFired
		e.Timer = p.timer()
	case "PROBE_RESULT":
		e.Kind = ProbeEnded
		e.Outcome.Endpoint = p.endpointID()
		e.Outcome.Result = p.result()
		e.Outcome.Elapsed = time.Duration(p.int())
		e.readLoad(p)
	case "INBOX":
		e.Kind = PeerMessage
		p.uint(31)
		p.skipBase64()
	default:
		return errors.New("unknown message")
	}
	return p.expectEnd()
}

func (e *Event) readQuery(p *parser) {
	q := &e.Request
	q.ID = p.requestID()
	marks := p.optionalUint(32)
	q.Tenant = int(p.optionalUint(16))
	p.optionalUint(53)
	q.Timeout = time.Duration(p.int())
	q.Class = p.index()
	hint := p.optionalUint(62)
	if marks&1 != 0 {
		q.ExpectedWork = time.Duration(hint)
	}
	q.ClientRetry = marks&2 != 0
}

func (r *Reader) readEndpoints(e *Event, p *parser) error {
	kind := p.token()
	p.optionalUint(64)
	switch string(kind) {
	case "changes":
		e.ListKind = balance.ListChanges
	case "all":
		e.ListKind = balance.ListFull
	case "remembered":
		e.ListKind = balance.ListLastKnown
	case "refused":
		e.ListKind = balance.ListUnavailable
		p.token()
		return p.expectEnd()
	default:
		return fmt.Errorf("unknown kind of list %.40q", kind)
	}
	n := p.uint(64)
	if err := p.expectEnd(); err != nil {
		return err
	}
	if n >= uint64(len(r.lists)) || !r.lists[n].registered {
		return fmt.Errorf("no list has the number %d", n)
	}
	e.Endpoints = r.lists[n].endpoints
	return nil
}

// readList reads a list. Events read before keep the one that had its number.
func (r *Reader) readList(p *parser) error {
	n := p.uint(64)
	count := p.uint(31)
	if err := p.expectEnd(); err != nil {
		return err
	}
	if n >= uint64(len(r.lists)) {
		return fmt.Errorf("list number %d is not from 0 to %d", n, len(r.lists)-1)
	}
	entries := make([]balance.Endpoint, 0, min(count, 1<<16))
	for range count {
		if err := r.readLine(); err != nil {
			return fmt.Errorf("the list is cut off: %w", err)
		}
		p := parser{rest: r.line}
		if name := p.token(); string(name) != "ENTRY" {
			return fmt.Errorf("the list is cut off by %.40q", name)
		}
		var e balance.Endpoint
		e.ID = p.endpointID()
		e.Zone = int(p.optionalUint(31))
		p.optionalUint(31)
		e.Cell = int(p.optionalUint(31))
		e.State = p.endpointState()
		e.Weight = p.float(1)
		e.StartedAt = time.Duration(p.optionalUint(63))
		if err := p.expectEnd(); err != nil {
			return fmt.Errorf("ENTRY: %w", err)
		}
		entries = append(entries, e)
	}
	r.lists[n] = registeredList{registered: true, endpoints: entries}
	return nil
}

// readLoad takes the report at the end of a line. What its values mean is in the instance's settings.
func (e *Event) readLoad(p *parser) {
	e.reportLen = -1
	row := p.token()
	if string(row) == "-" || p.err != nil {
		return
	}
	for e.reportLen = 0; len(row) > 0; e.reportLen++ {
		part, rest, _ := bytes.Cut(row, []byte{','})
		row = rest
		if e.reportLen == MaxLoadFields {
			p.fail("a load report of over %d values", MaxLoadFields)
			return
		}
		v := -1.0
		if string(part) != "-" {
			var err error
			if v, err = strconv.ParseFloat(string(part), 64); err != nil {
				p.fail("bad number %.40q in a load report", part)
				return
			}
		}
		e.reportValues[e.reportLen] = v
	}
}

// Load returns the report of a Reply or ProbeResult whose values are these fields, or nil if it has none.
// It is valid as long as the event.
func (e *Event) Load(fields []LoadField) (*balance.Load, error) {
	if e.reportLen < 0 {
		return nil, nil
	}
	if e.reportLen != len(fields) {
		return nil, fmt.Errorf("a load report of %d values, not %d", e.reportLen, len(fields))
	}
	e.load = balance.Load{InFlight: -1, Queued: -1, Utilization: -1, LatencyMS: -1, ServedPerSecond: -1, FailedPerSecond: -1}
	for i, f := range fields {
		switch v := e.reportValues[i]; f {
		case FieldInFlight:
			e.load.InFlight = v
		case FieldQueued:
			e.load.Queued = v
		case FieldUtilization:
			e.load.Utilization = v
		case FieldLatency:
			e.load.LatencyMS = v
		case FieldServed:
			e.load.ServedPerSecond = v
		case FieldFailed:
			e.load.FailedPerSecond = v
		}
	}
	return &e.load, nil
}

// AppendAction appends the line of an action.
func AppendAction(dst []byte, instance uint32, a *balance.Action) []byte {
	line := func(name string) {
		dst = append(dst, name...)
		dst = append(dst, " sidecar_"...)
		dst = strconv.AppendUint(dst, uint64(instance), 10)
	}
	num := func(n int64) {
		dst = append(dst, ' ')
		dst = strconv.AppendInt(dst, n, 10)
	}
	request := func() {
		dst = append(dst, ' ')
		dst = appendHex(dst, uint64(a.Request))
	}
	switch a.Kind {
	case balance.Send:
		line("TRY")
		request()
		num(int64(a.Endpoint))
		num(int64(a.Deadline))
	case balance.Cancel:
		line("WITHDRAW")
		request()
		num(int64(a.Attempt))
	case balance.Shed:
		line("SHED")
		request()
		num(int64(a.Delay))
	case balance.Fail:
		line("RESPOND_ERROR")
		request()
	case balance.SetTimer:
		line("AFTER")
		dst = append(dst, ' ')
		dst = strconv.AppendUint(dst, uint64(a.Timer.Kind), 10)
		dst = append(dst, '.')
		dst = appendHex(dst, a.Timer.Ref)
		num(int64(a.Delay))
	case balance.Probe:
		line("TEST")
		num(int64(a.Endpoint))
	case balance.CloseIdle:
		line("RELEASE")
		num(int64(a.Endpoint))
	case balance.Subscribe:
		line("STREAM_CHANGES")
		num(1)
	}
	return append(dst, '\n')
}

// AppendPanic appends the line that reports a failure of the decision code.
func AppendPanic(dst []byte, instance uint32, text string) []byte {
	dst = append(dst, "PANIC sidecar_"...)
	dst = strconv.AppendUint(dst, uint64(instance), 10)
	dst = append(dst, ' ')
	for _, c := range []byte(text) {
		if c < ' ' {
			c = ' '
		}
		dst = append(dst, c)
	}
	return append(dst, '\n')
}

// AppendEnd appends the line that ends a reply.
func AppendEnd(dst []byte, serial uint64) []byte {
	dst = append(dst, "END "...)
	dst = strconv.AppendUint(dst, serial, 10)
	return append(dst, '\n')
}

func appendHex(dst []byte, n uint64) []byte {
	for shift := 60; shift >= 0; shift -= 4 {
		dst = append(dst, "0123456789abcdef"[n>>shift&15])
	}
	return dst
}
