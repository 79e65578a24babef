package http1

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// net/http and fasthttp accept some of the heads that this package rejects, which is why it exists. The counts
// are logged for docs/design/0003-http1.md. If one of them accepted none, that parser would do instead.
func TestOtherParsersAcceptRejectedHeads(t *testing.T) {
	var rejected int
	var stdAccepts, fastAccepts []string // names of cases
	for _, c := range requestCases {
		if c.err == nil || !strings.Contains(c.text, "\n\r\n") && !strings.Contains(c.text, "\n\n") { // accepted, or an incomplete head
			continue
		}
		rejected++
		if _, err := http.ReadRequest(bufio.NewReader(strings.NewReader(c.text + strings.Repeat("x", 100)))); err == nil {
			stdAccepts = append(stdAccepts, c.name)
		}
		var r fasthttp.Request
		if err := r.Header.Read(bufio.NewReader(strings.NewReader(c.text + strings.Repeat("x", 100)))); err == nil {
			fastAccepts = append(fastAccepts, c.name)
		}
	}
	t.Logf("of %d refused heads net/http accepts %d: %s", rejected, len(stdAccepts), strings.Join(stdAccepts, "; "))
	t.Logf("and fasthttp accepts %d: %s", len(fastAccepts), strings.Join(fastAccepts, "; "))
	if len(stdAccepts) == 0 || len(fastAccepts) == 0 {
		t.Errorf("net/http accepts %d of them, fasthttp %d", len(stdAccepts), len(fastAccepts))
	}
}
