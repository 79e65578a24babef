package wire

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"math"
	"strconv"

	"barleydrum.example/barleydrum/balance"
)

// parser takes the values of a line one by one. The first mistake sticks and
// end returns it.
type parser struct {
	rest      []byte
	exhausted bool // nothing is left, not even an empty value
	err       error
}

func (p *parser) fail(format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf(format, args...)
	}
}

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

func (p *parser) remainder() []byte {
	if p.exhausted {
		p.fail("too few values")
		return nil
	}
	p.exhausted = true
	return p.rest
}

func (p *parser) expectEnd() error {
	if !p.exhausted {
		p.fail("too many values")
	}
	return p.err
}

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

func (p *parser) uint(bits int) uint64 { return p.parseUint(p.token(), bits) }

// optionalUint takes a number that may be absent, which counts as 0.
func (p *parser) optionalUint(bits int) uint64 {
	w := p.token()
	if string(w) == "-" {
		return 0
	}
	return p.parseUint(w, bits)
}

func (p *parser) int() int64 {
	w := p.token()
	if len(w) > 0 && w[0] == '-' {
		return -int64(p.parseUint(w[1:], 63))
	}
	return int64(p.parseUint(w, 63))
}

// index takes a number to be used as an index.
func (p *parser) index() int { return int(p.uint(31)) }

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

func (p *parser) bool() bool {
	w := p.token()
	if len(w) != 1 || w[0] != '0' && w[0] != '1' {
		p.fail("%.40q is neither 0 nor 1", w)
		return false
	}
	return w[0] == '1'
}

func (p *parser) instanceID() uint32 {
	w := p.token()
	n, ok := bytes.CutPrefix(w, []byte("sidecar_"))
	if !ok {
		p.fail("bad instance %.40q", w)
		return 0
	}
	return uint32(p.parseUint(n, 32))
}

func (p *parser) endpointID() balance.EndpointID { return balance.EndpointID(p.uint(32)) }

func (p *parser) requestID() balance.RequestID {
	w := p.token()
	n, ok := parseHex(w)
	if !ok || len(w) != 16 {
		p.fail("bad request id %.40q", w)
	}
	return balance.RequestID(n)
}

// timer takes a timer's token; one that no reply of ours has set is none of ours.
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
