// Package wire reads and writes the line protocol of the operators' bench: it
// reads batches of events and writes replies, which list actions. It makes no
// balancing decisions.
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

// The kinds of events, with the names of their messages.
const (
	InstanceCreated  EventKind = iota // NEW_INSTANCE
	InstanceStopped                   // POWER_OFF
	EndpointsUpdated                  // ENDPOINTS
	RequestArrived                    // QUERY
	ResponseStarted                   // HEAD_RECEIVED
	AttemptEnded                      // REPLY
	RequestAbandoned                  // ABORTED
	TimerFired                        // RING
	ProbeEnded                        // PROBE_RESULT
	PeerMessage                       // INBOX
)

// Event is one event of a batch. Only the fields that its kind uses are set.
type Event struct {
	Kind     EventKind
	Instance uint32 // number of the sidecar instance that the event is for
	Line     int    // line number of the event in the input, from 1

	Seed       uint64             // of InstanceCreated
	ConfigJSON []byte             // of InstanceCreated; valid until the next batch is read
	ListKind   balance.ListKind   // of EndpointsUpdated
	Endpoints  []balance.Endpoint // of EndpointsUpdated; shared between events, valid until the next batch is read
	Request    balance.Request    // of RequestArrived; other events about a request set its ID only
	Outcome    balance.Outcome    // of AttemptEnded and, in part, ResponseStarted and ProbeEnded; for its Load see [Event.Load]
	Timer      balance.Timer      // of TimerFired; zero for a cookie that AppendAction did not write

	reportValues [MaxLoadFields]float64
	reportLen    int          // number of values in reportValues; -1 without a load report
	load         balance.Load // what Load returns
}

// Batch is the events of one point in time.
type Batch struct {
	Now            time.Duration // simulated time of the events
	SequenceNumber uint64        // returned in the END line of the reply
	Events         []Event
}

// Reader reads batches. It is not safe for concurrent use.
type Reader struct {
	input        *bufio.Reader
	lineNumber   int                // number of the current line, from 1
	line         []byte             // the current line without its line feed
	longLine     []byte             // holds a line that exceeds the buffer of input
	lists        [16]registeredList // the registered endpoint lists by number
	configBuffer []byte             // holds the ConfigJSON of the batch's events
}

// registeredList is an endpoint list that ENDPOINTS lines refer to by its number.
type registeredList struct {
	registered bool
	endpoints  []balance.Endpoint
}

// MaxLoadFields is the maximum number of values in a load report.
const MaxLoadFields = 4

// LoadField says what a value of a load report measures.
type LoadField uint8

// The fields of a load report. They correspond to the fields of [balance.Load].
const (
	FieldUnknown     LoadField = iota // an unknown name in the settings; the value is ignored
	FieldInFlight                     // requests in flight
	FieldQueued                       // requests that wait
	FieldUtilization                  // share of the cores in use
	FieldLatency                      // recent service time in milliseconds
	FieldServed                       // requests per second
	FieldFailed                       // errors per second
)

// NewReader returns a Reader that reads from input.
func NewReader(input io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(input, 1<<20)}
}

// Read reads the next batch into b and reuses the memory of b.Events. It returns
// [io.EOF] if the input ends between two batches. Any other error begins with the
// number of the line at fault.
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
		return r.lineError(name, fmt.Errorf("batch does not start with TICK"))
	}
	b.Now = time.Duration(p.int())
	b.SequenceNumber = p.uint(64)
	if err := p.expectEnd(); err != nil {
		return r.lineError(name, err)
	}
	for {
		if err := r.readLine(); err != nil {
			if errors.Is(err, io.EOF) {
				return fmt.Errorf("line %d: batch %d is truncated: no EOB", r.lineNumber, b.SequenceNumber)
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

// lineError prefixes err with the number and the message name of the current line.
func (r *Reader) lineError(name []byte, err error) error {
	return fmt.Errorf("line %d: %.40q: %w", r.lineNumber, name, err)
}

// readLine reads the next line into r.line, without its line feed. The line is valid
// until the next call. At the end of the input it returns [io.EOF].
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
		return fmt.Errorf("%.40q: truncated: no line feed at the end", text)
	}
	if err != nil {
		return err
	}
	r.lineNumber++
	r.line = text[:len(text)-1]
	return nil
}

// readEvent parses the current line, whose message name has been taken, and adds
// its event to b. REGISTER adds no event.
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
		start := len(r.configBuffer)
		r.configBuffer = append(r.configBuffer, p.remainder()...)
		e.ConfigJSON = r.configBuffer[start:len(r.configBuffer):len(r.configBuffer)]
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

// readQuery parses the request of a QUERY line. Bit 0 of its flags says that the
// line's work hint applies, bit 1 that the client marked the request as a retry.
func (e *Event) readQuery(p *parser) {
	request := &e.Request
	request.ID = p.requestID()
	flags := p.optionalUint(32)
	request.Tenant = int(p.optionalUint(16))
	p.optionalUint(53)
	request.Timeout = time.Duration(p.int())
	request.Class = p.index()
	workHint := p.optionalUint(62)
	if flags&1 != 0 {
		request.ExpectedWork = time.Duration(workHint)
	}
	request.ClientRetry = flags&2 != 0
}

// readEndpoints parses the rest of an ENDPOINTS line and resolves the list that it
// refers to by number.
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
		return fmt.Errorf("unknown list kind %.40q", kind)
	}
	listNumber := p.uint(64)
	if err := p.expectEnd(); err != nil {
		return err
	}
	if listNumber >= uint64(len(r.lists)) || !r.lists[listNumber].registered {
		return fmt.Errorf("no list is registered under number %d", listNumber)
	}
	e.Endpoints = r.lists[listNumber].endpoints
	return nil
}

// readList parses a REGISTER line and the ENTRY lines after it, and registers the
// list under its number. Events that were read before keep the previous list of
// that number: each list has its own memory.
func (r *Reader) readList(p *parser) error {
	listNumber := p.uint(64)
	count := p.uint(31)
	if err := p.expectEnd(); err != nil {
		return err
	}
	if listNumber >= uint64(len(r.lists)) {
		return fmt.Errorf("list number %d is not from 0 to %d", listNumber, len(r.lists)-1)
	}
	endpoints := make([]balance.Endpoint, 0, min(count, 1<<16))
	for range count {
		if err := r.readLine(); err != nil {
			return fmt.Errorf("list is truncated: %w", err)
		}
		p := parser{rest: r.line}
		if name := p.token(); string(name) != "ENTRY" {
			return fmt.Errorf("list is truncated by %.40q", name)
		}
		var endpoint balance.Endpoint
		endpoint.ID = p.endpointID()
		endpoint.Zone = int(p.optionalUint(31))
		p.optionalUint(31)
		endpoint.Cell = int(p.optionalUint(31))
		endpoint.State = p.endpointState()
		endpoint.Weight = p.float(1)
		endpoint.StartedAt = time.Duration(p.optionalUint(63))
		if err := p.expectEnd(); err != nil {
			return fmt.Errorf("ENTRY: %w", err)
		}
		endpoints = append(endpoints, endpoint)
	}
	r.lists[listNumber] = registeredList{registered: true, endpoints: endpoints}
	return nil
}

// readLoad parses the load report at the end of a line: numbers separated by
// commas, of which an absent one is "-" and read as -1, or a sole "-" for no
// report. The instance's settings define what each number measures; see
// [Event.Load].
func (e *Event) readLoad(p *parser) {
	e.reportLen = -1
	unparsed := p.token()
	if string(unparsed) == "-" || p.err != nil {
		return
	}
	for e.reportLen = 0; len(unparsed) > 0; e.reportLen++ {
		number, rest, _ := bytes.Cut(unparsed, []byte{','})
		unparsed = rest
		if e.reportLen == MaxLoadFields {
			p.fail("load report has more than %d values", MaxLoadFields)
			return
		}
		value := -1.0
		if string(number) != "-" {
			var err error
			if value, err = strconv.ParseFloat(string(number), 64); err != nil {
				p.fail("bad number %.40q in load report", number)
				return
			}
		}
		e.reportValues[e.reportLen] = value
	}
}

// Load returns the load report of an AttemptEnded or ProbeEnded event, or nil if it
// has none. The fields are those of the instance's settings, in the order of the
// report's values; a report of another length is an error. Fields that are not
// reported are -1. The result belongs to e and is valid as long as e is.
func (e *Event) Load(fields []LoadField) (*balance.Load, error) {
	if e.reportLen < 0 {
		return nil, nil
	}
	if e.reportLen != len(fields) {
		return nil, fmt.Errorf("load report has %d values, want %d", e.reportLen, len(fields))
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

// AppendAction appends to dst the line of an action of the given instance and
// returns the extended buffer.
func AppendAction(dst []byte, instance uint32, a *balance.Action) []byte {
	appendName := func(name string) {
		dst = append(dst, name...)
		dst = append(dst, " sidecar_"...)
		dst = strconv.AppendUint(dst, uint64(instance), 10)
	}
	appendInt := func(n int64) {
		dst = append(dst, ' ')
		dst = strconv.AppendInt(dst, n, 10)
	}
	appendRequestID := func() {
		dst = append(dst, ' ')
		dst = appendHex(dst, uint64(a.Request))
	}
	switch a.Kind {
	case balance.Send:
		appendName("TRY")
		appendRequestID()
		appendInt(int64(a.Endpoint))
		appendInt(int64(a.Deadline))
	case balance.Cancel:
		appendName("WITHDRAW")
		appendRequestID()
		appendInt(int64(a.Attempt))
	case balance.Shed:
		appendName("SHED")
		appendRequestID()
		appendInt(int64(a.Delay))
	case balance.Fail:
		appendName("RESPOND_ERROR")
		appendRequestID()
	case balance.SetTimer:
		appendName("AFTER")
		dst = append(dst, ' ')
		dst = strconv.AppendUint(dst, uint64(a.Timer.Kind), 10)
		dst = append(dst, '.')
		dst = appendHex(dst, a.Timer.Ref)
		appendInt(int64(a.Delay))
	case balance.Probe:
		appendName("TEST")
		appendInt(int64(a.Endpoint))
	case balance.CloseIdle:
		appendName("RELEASE")
		appendInt(int64(a.Endpoint))
	case balance.Subscribe:
		appendName("STREAM_CHANGES")
		appendInt(1)
	}
	return append(dst, '\n')
}

// AppendPanic appends to dst the line that reports that the instance's balancer
// failed, and returns the extended buffer. Control characters in text are replaced
// by spaces, so that it stays one line.
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

// AppendEnd appends to dst the line that ends the reply to the batch with the given
// sequence number, and returns the extended buffer.
func AppendEnd(dst []byte, sequenceNumber uint64) []byte {
	dst = append(dst, "END "...)
	dst = strconv.AppendUint(dst, sequenceNumber, 10)
	return append(dst, '\n')
}

// appendHex appends n as 16 lower-case hexadecimal digits.
func appendHex(dst []byte, n uint64) []byte {
	for shift := 60; shift >= 0; shift -= 4 {
		dst = append(dst, "0123456789abcdef"[n>>shift&15])
	}
	return dst
}
