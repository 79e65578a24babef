package wire

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"math"
	"strconv"

	"barleydrum.example/barleydrum/balance"
)

// parser parses the values of a line one by one. Values are separated by single
// spaces. The parser keeps the first error, which expectEnd returns. Values
// that are taken after an error are meaningless.
type parser struct {
	rest      []byte // the part of the line that has not been parsed
	exhausted bool   // no value remains; an empty rest before that is one empty value
	err       error  // the first error
}

// fail records an error unless there is one already.
func (p *parser) fail(format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf(format, args...)
	}
}

// token takes the next value.
func (p *parser) token() []byte {
	if p.exhausted {
		p.fail("too few values")
		return nil
	}
	i := bytes.IndexByte(p.rest, ' ')
	if i < 0 {
		p.exhausted = true
		return p.rest
	}
	w := p.rest[:i]
	p.rest = p.rest[i+1:]
	return w
}

// remainder takes the rest of the line as one value, which may contain spaces.
func (p *parser) remainder() []byte {
	if p.exhausted {
		p.fail("too few values")
		return nil
	}
	p.exhausted = true
	return p.rest
}

// expectEnd returns the first error of the line. A line that has further values
// is an error too.
func (p *parser) expectEnd() error {
	if !p.exhausted {
		p.fail("too many values")
	}
	return p.err
}

// parseUint parses a decimal number without a sign that fits into the given
// number of bits.
func (p *parser) parseUint(w []byte, bits int) uint64 {
	var n uint64
	if len(w) == 0 {
		p.fail("bad number %q", w)
		return 0
	}
	limit := uint64(math.MaxUint64) >> (64 - bits)
	for _, c := range w {
		d := uint64(c) - '0'
		if d > 9 || n > (limit-d)/10 {
			p.fail("bad number %.40q", w)
			return 0
		}
		n = n*10 + d
	}
	return n
}

// uint takes an unsigned number.
func (p *parser) uint(bits int) uint64 { return p.parseUint(p.token(), bits) }

// optionalUint takes an unsigned number, or "-" for an absent one, which it
// returns as 0.
func (p *parser) optionalUint(bits int) uint64 {
	w := p.token()
	if string(w) == "-" {
		return 0
	}
	return p.parseUint(w, bits)
}

// int takes a signed number.
func (p *parser) int() int64 {
	w := p.token()
	if len(w) > 0 && w[0] == '-' {
		return -int64(p.parseUint(w[1:], 63))
	}
	return int64(p.parseUint(w, 63))
}

// index takes an unsigned number of 31 bits, which fits into an int on every
// platform.
func (p *parser) index() int { return int(p.uint(31)) }

// float takes a finite floating-point number. For "-", an absent one, it returns
// the value of absent.
func (p *parser) float(absent float64) float64 {
	w := p.token()
	if string(w) == "-" {
		return absent
	}
	v, err := strconv.ParseFloat(string(w), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.fail("bad number %.40q", w)
	}
	return v
}

// bool takes 0 or 1.
func (p *parser) bool() bool {
	w := p.token()
	if len(w) != 1 || w[0] != '0' && w[0] != '1' {
		p.fail("%.40q is neither 0 nor 1", w)
		return false
	}
	return w[0] == '1'
}

// instanceID takes the name of an instance, such as sidecar_3, and returns its
// number.
func (p *parser) instanceID() uint32 {
	w := p.token()
	n, ok := bytes.CutPrefix(w, []byte("sidecar_"))
	if !ok {
		p.fail("bad instance %.40q", w)
		return 0
	}
	return uint32(p.parseUint(n, 32))
}

// endpointID takes the number of an endpoint.
func (p *parser) endpointID() balance.EndpointID { return balance.EndpointID(p.uint(32)) }

// requestID takes a request's ID: 16 lower-case hexadecimal digits.
func (p *parser) requestID() balance.RequestID {
	w := p.token()
	n, ok := parseHex(w)
	if !ok || len(w) != 16 {
		p.fail("bad request id %.40q", w)
	}
	return balance.RequestID(n)
}

// timer takes the cookie of a timer, as [AppendAction] writes it: the timer's
// kind, a dot and its reference. Any other cookie of 1 to 64 bytes is valid but
// yields the zero Timer, which belongs to no balancer.
func (p *parser) timer() balance.Timer {
	w := p.token()
	if len(w) == 0 || len(w) > 64 {
		p.fail("bad cookie %.70q", w)
	}
	kind, ref, ok := bytes.Cut(w, []byte{'.'})
	if !ok || len(kind) != 1 || kind[0] < '0' || kind[0] > '9' || len(ref) != 16 {
		return balance.Timer{}
	}
	n, ok := parseHex(ref)
	if !ok {
		return balance.Timer{}
	}
	return balance.Timer{Kind: kind[0] - '0', Ref: n}
}

// parseHex parses lower-case hexadecimal digits; ok is false if w has any other byte.
func parseHex(w []byte) (n uint64, ok bool) {
	for _, c := range w {
		switch {
		case c >= '0' && c <= '9':
			n = n<<4 | uint64(c-'0')
		case c >= 'a' && c <= 'f':
			n = n<<4 | uint64(c-'a'+10)
		default:
			return 0, false
		}
	}
	return n, true
}

// skipBase64 takes a value in base64, or "-" for an absent one, and discards it
// once it is checked.
func (p *parser) skipBase64() {
	w := p.token()
	if string(w) == "-" {
		return
	}
	buf := make([]byte, base64.StdEncoding.DecodedLen(len(w)))
	if _, err := base64.StdEncoding.Decode(buf, w); err != nil {
		p.fail("bad base64: %v", err)
	}
}

// endpointState takes the status of an endpoint.
func (p *parser) endpointState() balance.EndpointState {
	switch w := p.token(); string(w) {
	case "in_service":
		return balance.InService
	case "terminating":
		return balance.Draining
	case "terminated":
		return balance.Removed
	default:
		p.fail("unknown status %.40q", w)
		return balance.Removed
	}
}

// result takes the reason for which an attempt or a probe ended.
func (p *parser) result() balance.Result {
	switch w := p.token(); string(w) {
	case "completed":
		return balance.OK
	case "errored":
		return balance.Error
	case "saturated":
		return balance.Rejected
	case "overdue":
		return balance.Timeout
	case "refused_conn":
		return balance.ConnectFailed
	case "severed":
		return balance.Reset
	case "recalled":
		return balance.Canceled
	case "superseded":
		return balance.NotSent
	default:
		p.fail("unknown reason %.40q", w)
		return balance.NotSent
	}
}
