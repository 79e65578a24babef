package upstream

import (
	"errors"
	"fmt"
	"net/http"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/http1"
	"barleydrum.example/barleydrum/internal/memory"
	"barleydrum.example/barleydrum/internal/tcpconn"
)

// unusableResponseError reports that a response arrived but can't be used. The request has run.
type unusableResponseError struct{ error }

func (e unusableResponseError) Unwrap() error { return e.error }

var errBodyTooLong = errors.New("body too long")

// parseResponse parses what has been received of the response and reports whether the response is complete.
func (x *Exchange) parseResponse() (complete bool, err error) {
	if x.readBuf == nil {
		return false, nil
	}
	for x.headLen == 0 {
		n, err := x.head.Parse(x.readBuf.Bytes())
		if n == 0 || err != nil {
			return false, err
		}
		if x.head.IsInterim() {
			if x.interimCount++; x.interimCount > maxInterimResponses {
				return false, http1.ErrTooManyInterimResponses
			}
			x.readBuf.Consume(n)
			x.head.Limits.HeadBytes -= n
			x.head.Reset()
			continue
		}
		if x.head.Status() == http.StatusSwitchingProtocols {
			return false, http1.ErrUnexpectedUpgrade
		}
		if x.framing, err = x.head.Framing(false); err != nil {
			return false, err
		}
		exceedsBuffer := x.framing == http1.FixedLength && x.head.ContentLength() > x.limits.BufferedBodyBytes
		x.stream.eligible = x.head.Status() == http.StatusOK && (exceedsBuffer || x.limits.StreamUnknownLength && x.framing != http1.FixedLength && x.framing != http1.NoBody)
		if length := x.head.ContentLength(); exceedsBuffer && (!x.stream.eligible || length > x.limits.StreamedBodyBytes) {
			return false, fmt.Errorf("%w: %d bytes", errBodyTooLong, length)
		}
		x.headLen = n
		if exceedsBuffer || x.framing == http1.Chunked || x.framing == http1.UntilClose {
			// Head and body will not be contiguous in readBuf: copy the head, and collect the body separately.
			if err := x.appendTo(&x.headBuf, x.readBuf.Bytes()[:n]); err != nil {
				return false, err
			}
			x.head.Rebase(x.headBuf.Bytes())
			x.readBuf.Consume(n)
			x.chunkDecoder = http1.ChunkedDecoder{Limits: http1.DefaultLimits, KeepTrailers: x.stream.eligible}
		} else {
			x.readBuf.ExpectLen(n + int(max(x.head.ContentLength(), 0)) + tcpconn.MinReadBytes)
		}
	}
	switch x.framing {
	case http1.FixedLength:
		if x.stream.eligible {
			x.stream.started = int64(x.readBuf.Len()) >= min(x.limits.PrefetchBytes, x.head.ContentLength())
			return false, nil
		}
		return int64(x.readBuf.Len()-x.headLen) >= x.head.ContentLength(), nil
	case http1.Chunked:
		for {
			data, n, err := x.chunkDecoder.Decode(x.readBuf.Bytes())
			if err == nil {
				err = x.appendToBody(data)
			}
			x.readBuf.Consume(n)
			switch {
			case err != nil:
				return false, err
			case x.chunkDecoder.Done():
				return true, nil
			case x.stream.eligible && n == 0 && int64(len(x.body)) >= x.limits.PrefetchBytes && len(x.body) > 0:
				x.stream.started = true
				return false, nil
			case !x.stream.eligible && int64(len(x.body)) > x.limits.BufferedBodyBytes:
				return false, errBodyTooLong
			case n == 0:
				return false, nil
			}
		}
	case http1.UntilClose:
		if err := x.appendToBody(x.readBuf.Bytes()); err != nil {
			return false, err
		}
		x.readBuf.Reset()
		x.stream.started = x.stream.eligible && int64(len(x.body)) >= x.limits.PrefetchBytes && len(x.body) > 0
		if !x.stream.eligible && int64(len(x.body)) > x.limits.BufferedBodyBytes {
			return false, errBodyTooLong
		}
		return false, nil
	}
	return true, nil
}

// appendToBody appends data to the body of a response that does not follow its head in readBuf.
func (x *Exchange) appendToBody(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if err := x.appendTo(&x.bodyBuf, data); err != nil {
		return err
	}
	x.body = x.bodyBuf.Bytes()
	return nil
}

// appendTo appends data to a buffer, which it takes from the pool first if it is nil. If the account has no room for it,
// it waits for a while.
func (x *Exchange) appendTo(buf **http1.Buffer, data []byte) error {
	return memory.Retry(func() error {
		if *buf == nil {
			*buf = x.pool.bodyBufs.TryGet()
		}
		if *buf == nil {
			return memory.ErrExhausted
		}
		space, ok := (*buf).TryReserve(len(data))
		if !ok {
			return memory.ErrExhausted
		}
		(*buf).Commit(copy(space, data))
		return nil
	}, nil)
}

// completeResponse ends an exchange whose response is complete. The connection may be reused if the response
// does not close it and no data has arrived after the response.
func (x *Exchange) completeResponse() {
	extraBytes := x.readBuf.Len()
	switch x.framing {
	case http1.NoBody:
		extraBytes -= x.headLen
		x.head.Rebase(x.readBuf.Bytes())
	case http1.FixedLength:
		text := x.readBuf.Bytes()
		x.head.Rebase(text)
		responseLen := x.headLen + int(x.head.ContentLength())
		x.body = text[x.headLen:responseLen]
		extraBytes -= responseLen
	}
	x.releaseConn(extraBytes == 0)
	x.loadReport, x.hasLoadReport = parseLoad(x.head.Value("X-Server-Load"))
	x.result = balance.Error
	switch x.head.Status() {
	case http.StatusOK:
		x.result = balance.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if string(x.head.Value("X-Not-Processed")) == "1" {
			x.result = balance.Rejected
		}
	}
	if x.result != balance.OK {
		x.releaseBuffers()
	}
}
