package check

import (
	"cmp"
	"fmt"
	"io"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/config"
)

// Explanation is the worst that follows from a sidecar's configuration.
type Explanation struct {
	Files       []string           `json:"files"`
	Application string             `json:"application"`
	Tier        string             `json:"tier"`
	Listen      []string           `json:"listen"`
	Callers     int                `json:"caller_connections"`
	Endpoints   int                `json:"endpoint_connections"`
	Classes     []ClassExplanation `json:"classes"`
}

// ClassExplanation is the worst case of one class. Times are in nanoseconds as JSON.
type ClassExplanation struct {
	Name         string        `json:"class"`
	Semantics    string        `json:"semantics"`
	Scope        string        `json:"scope,omitempty"`
	RepeatWindow time.Duration `json:"repeat_window,omitempty"`
	Wanted       time.Duration `json:"wanted"`
	Deadline     time.Duration `json:"deadline"`
	Attempts     int           `json:"attempts"` // 0 is no bound
	Retries      int           `json:"retries"`  // after an attempt that may have run; -1 is no bound
	SecondCopies bool          `json:"second_copies"`
	LastBegin    time.Duration `json:"last_begin"` // of an attempt, after the request came
	GivenUp      time.Duration `json:"given_up"`   // answered by then, whatever has come
	Connecting   time.Duration `json:"connecting"` // the most that waiting for connections takes
	Where        string        `json:"where"`
	Refusal      string        `json:"refusal"`
	Failure      string        `json:"failure"`
}

// Explain tells what follows from files that Deployment accepts, a sidecar each: for an
// operators' file beside every platform's configuration that it goes with, one.
func Explain(files []File) ([]Explanation, []config.Finding) {
	findings := Deployment(files)
	if config.Failed(findings) {
		return nil, findings
	}
	checked, _ := pairs(files)
	var out []Explanation
	for _, c := range checked {
		x := Explanation{
			Application: cmp.Or(c.settings.Application.Name, c.merged.Name), Tier: cmp.Or(c.merged.Tier(), c.settings.Application.Tier),
			Callers: c.merged.CallerConnections(), Endpoints: c.merged.EndpointConnections(),
		}
		for _, name := range []string{c.platformFile, c.settingsFile} {
			if name != "" {
				x.Files = append(x.Files, name)
			}
		}
		if c.merged.Listen != "" {
			x.Listen = append([]string{c.merged.Listen}, c.settings.Callers.AlsoListen...)
		}
		for _, k := range c.merged.Module.Classes {
			x.Classes = append(x.Classes, c.explain(k))
		}
		out = append(out, x)
	}
	return out, findings
}

// explain follows balance.Balancer: mayRetry, mayFollow, finish.
func (c *checker) explain(k balance.Class) ClassExplanation {
	l := c.merged.Module.Limits
	x := ClassExplanation{
		Name: k.Name, Semantics: config.SemanticsName(k.Semantics), Wanted: k.Goal, Deadline: k.Deadline,
		Attempts: c.attempts(k), Retries: -1, SecondCopies: l.SecondCopies && !k.OneCopy && k.Semantics != balance.Unsafe,
	}
	x.LastBegin, _ = LastBegin(k, x.Attempts)
	x.GivenUp = k.Deadline
	if k.LateShare == 0 {
		x.GivenUp = min(k.Goal, k.Deadline)
	}
	if x.Attempts > 0 {
		x.Retries = x.Attempts - 1
		x.Connecting = min(time.Duration(x.Attempts)*c.merged.ConnectTime(), x.GivenUp)
		if x.Attempts == 1 {
			x.SecondCopies, x.LastBegin = false, x.GivenUp
		}
	}
	switch {
	case k.Retries < 0 || k.Semantics == balance.Unsafe:
		x.Retries = 0
	case k.Retries > 0 && (x.Retries < 0 || k.Retries < x.Retries):
		x.Retries = k.Retries
	}
	const any = "any endpoint in service of the tier, an idle one of the fastest type first, each attempt to another while there is one"
	x.Failure = "promises nothing: an attempt may have run, and trying again could have the effect twice"
	never := "promises that no attempt has run: trying again does no harm"
	switch k.Semantics {
	case balance.Safe:
		x.Where, x.Refusal = any, "promises that trying again does no harm, also if an attempt has run"
		x.Failure = "promises nothing, but trying again does no harm: the class is safe"
	case balance.Unsafe:
		x.Where = any + "; a further attempt only if every earlier one is known not to have run"
		x.Refusal = never
	case balance.Keyed:
		x.Scope, x.RepeatWindow = config.ScopeName(k.Scope), k.RepeatWindow
		window := config.FormatTime(k.RepeatWindow)
		if k.Scope == balance.ScopeAll {
			x.Where = any + "; after one that may have run, only within " + window + " of that"
			x.Refusal = "promises that trying again with the same key does no harm: no attempt has run, or every endpoint drops a repeat until " +
				window + " after the first was sent"
			break
		}
		x.Where = any + "; after one that may have run, only endpoints of its " + x.Scope + ", and only within " + window + " of that"
		x.Refusal = never
	}
	return x
}

// WriteText writes an explanation for people.
func (x Explanation) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%s, sending to %s", x.Application, cmp.Or(x.Tier, "a tier that is not named"))
	for i, at := range x.Listen {
		fmt.Fprintf(w, "%s%s", [2]string{", listening on ", " and "}[min(i, 1)], at)
	}
	fmt.Fprintf(w, "\n  from         %v\n", x.Files)
	fmt.Fprintf(w, "  connections  %d of callers, %d to endpoints\n", x.Callers, x.Endpoints)
	for _, k := range x.Classes {
		k.writeText(w)
	}
}

func (k ClassExplanation) writeText(w io.Writer) {
	show := config.FormatTime
	line := func(name, format string, args ...any) {
		fmt.Fprintf(w, "    %-10s %s\n", name, fmt.Sprintf(format, args...))
	}
	fmt.Fprintf(w, "  class %s, %s", k.Name, k.Semantics)
	if k.Scope != "" {
		fmt.Fprintf(w, " (scope %s, repeats dropped for %s)", k.Scope, show(k.RepeatWindow))
	}
	fmt.Fprintln(w)
	line("attempts", "%s, %s of them after one that may have run; %s",
		most(k.Attempts, k.Attempts == 0), most(k.Retries, k.Retries < 0),
		map[bool]string{true: "a second copy may be out beside the first", false: "never two out together"}[k.SecondCopies])
	line("begin", "the last no later than %s after the request came", show(k.LastBegin))
	line("answered", "by %s at the latest (wanted within %s, the client waits %s)", show(k.GivenUp), show(k.Wanted), show(k.Deadline))
	if k.Connecting > 0 {
		line("connecting", "takes %s of that at the worst", show(k.Connecting))
	}
	line("goes to", "%s", k.Where)
	line("refused", "%s", k.Refusal)
	line("failed", "%s", k.Failure)
}

func most(n int, unbounded bool) string {
	switch {
	case unbounded:
		return "any number"
	case n == 0:
		return "none"
	}
	return fmt.Sprintf("%d at most", n)
}
