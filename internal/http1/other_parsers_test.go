package http1

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// The other readers take some of what is refused here: that is why this one is our own. The
// count is logged for docs/design/0003-http1.md; were it none, theirs would do.
func TestOtherParsersAcceptRefusedHeads(t *testing.T) {
	var refused int
	var std, fast []string
	for _, c := range requestCases {
		if c.err == nil || !strings.Contains(c.text, "\n\r\n") && !strings.Contains(c.text, "\n\n") { // a head that is whole
			continue
		}
		refused++
		if _, err := http.ReadRequest(bufio.NewReader(strings.NewReader(c.text + strings.Repeat("x", 100)))); err == nil {
			std = append(std, c.name)
		}
		var r fasthttp.Request
		if err := r.Header.Read(bufio.NewReader(strings.NewReader(c.text + strings.Repeat("x", 100)))); err == nil {
			fast = append(fast, c.name)
		}
	}
	t.Logf("of %d refused heads net/http takes %d: %s", refused, len(std), strings.Join(std, "; "))
	t.Logf("and fasthttp %d: %s", len(fast), strings.Join(fast, "; "))
	if len(std) == 0 || len(fast) == 0 {
		t.Errorf("net/http takes %d of them, fasthttp %d", len(std), len(fast))
	}
}
