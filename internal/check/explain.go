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
	Files                  []string           `json:"files"`
	Application            string             `json:"application"`
	Tier                   string             `json:"tier"`
	ListenAddresses        []string           `json:"listen"`
	MaxCallerConnections   int                `json:"caller_connections"`
	MaxEndpointConnections int                `json:"endpoint_connections"`
	Classes                []ClassExplanation `json:"classes"`
}

// ClassExplanation is the worst case of one class. Times are in nanoseconds as JSON.
type ClassExplanation struct {
	Name               string        `json:"class"`
	Semantics          string        `json:"semantics"`
	Scope              string        `json:"scope,omitempty"`
	RepeatWindow       time.Duration `json:"repeat_window,omitempty"`
	TargetLatency      time.Duration `json:"wanted"`
	Deadline           time.Duration `json:"deadline"`
	MaxAttempts        int           `json:"attempts"` // 0 is no bound
	MaxRetries         int           `json:"retries"`  // after an attempt that may have run; -1 is no bound
	Hedging            bool          `json:"second_copies"`
	LatestAttemptStart time.Duration `json:"last_begin"` // of an attempt, after the request came
	GiveUpAfter        time.Duration `json:"given_up"`   // answered by then, whatever has come
	MaxConnectTime     time.Duration `json:"connecting"` // the most that waiting for connections takes
	EligibleEndpoints  string        `json:"where"`
	RefusalMeaning     string        `json:"refusal"`
	FailureMeaning     string        `json:"failure"`
}

// Explain tells what follows from files that Deployment accepts, a sidecar each: for an
// operators' file beside every platform's configuration that it goes with, one.
func Explain(files []File) ([]Explanation, []config.Finding) {
	findings := Deployment(files)
	if config.HasRefusal(findings) {
		return nil, findings
	}
	checked, _ := pairFiles(files)
	var out []Explanation
	for _, c := range checked {
		x := Explanation{
			Application: cmp.Or(c.settings.Application.Name, c.merged.Name), Tier: cmp.Or(c.merged.Tier(), c.settings.Application.Tier),
			MaxCallerConnections: c.merged.MaxCallerConnections(), MaxEndpointConnections: c.merged.MaxEndpointConnections(),
		}
		for _, name := range []string{c.platformFile, c.settingsFile} {
			if name != "" {
				x.Files = append(x.Files, name)
			}
		}
		if c.merged.ListenAddress != "" {
			x.ListenAddresses = append([]string{c.merged.ListenAddress}, c.settings.Callers.ExtraListenAddresses...)
		}
		for _, k := range c.merged.BalancerConfig.Classes {
			x.Classes = append(x.Classes, c.explainClass(k))
		}
		out = append(out, x)
	}
	return out, findings
}

// explainClass follows balance.Balancer: mayRetry, mayFollow, finish.
func (c *checker) explainClass(k balance.Class) ClassExplanation {
	l := c.merged.BalancerConfig.Limits
	x := ClassExplanation{
		Name: k.Name, Semantics: config.SemanticsName(k.Semantics), TargetLatency: k.TargetLatency, Deadline: k.Deadline,
		MaxAttempts: c.maxAttempts(k), MaxRetries: -1, Hedging: l.Hedging && !k.NoHedging && k.Semantics != balance.Unsafe,
	}
	x.LatestAttemptStart, _ = LatestAttemptStart(k, x.MaxAttempts)
	x.GiveUpAfter = k.Deadline
	if k.LateValueShare == 0 {
		x.GiveUpAfter = min(k.TargetLatency, k.Deadline)
	}
	if x.MaxAttempts > 0 {
		x.MaxRetries = x.MaxAttempts - 1
		x.MaxConnectTime = min(time.Duration(x.MaxAttempts)*c.merged.ConnectTimeout(), x.GiveUpAfter)
		if x.MaxAttempts == 1 {
			x.Hedging, x.LatestAttemptStart = false, x.GiveUpAfter
		}
	}
	switch {
	case k.MaxRetries < 0 || k.Semantics == balance.Unsafe:
		x.MaxRetries = 0
	case k.MaxRetries > 0 && (x.MaxRetries < 0 || k.MaxRetries < x.MaxRetries):
		x.MaxRetries = k.MaxRetries
	}
	const any = "any endpoint in service of the tier, an idle one of the fastest type first, each attempt to another while there is one"
	x.FailureMeaning = "promises nothing: an attempt may have run, and trying again could have the effect twice"
	never := "promises that no attempt has run: trying again does no harm"
	switch k.Semantics {
	case balance.Safe:
		x.EligibleEndpoints, x.RefusalMeaning = any, "promises that trying again does no harm, also if an attempt has run"
		x.FailureMeaning = "promises nothing, but trying again does no harm: the class is safe"
	case balance.Unsafe:
		x.EligibleEndpoints = any + "; a further attempt only if every earlier one is known not to have run"
		x.RefusalMeaning = never
	case balance.Keyed:
		x.Scope, x.RepeatWindow = config.ScopeName(k.Scope), k.RepeatWindow
		window := config.FormatDuration(k.RepeatWindow)
		if k.Scope == balance.ScopeAll {
			x.EligibleEndpoints = any + "; after one that may have run, only within " + window + " of that"
			x.RefusalMeaning = "promises that trying again with the same key does no harm: no attempt has run, or every endpoint drops a repeat until " +
				window + " after the first was sent"
			break
		}
		x.EligibleEndpoints = any + "; after one that may have run, only endpoints of its " + x.Scope + ", and only within " + window + " of that"
		x.RefusalMeaning = never
	}
	return x
}

// WriteText writes an explanation for people.
func (x Explanation) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%s, sending to %s", x.Application, cmp.Or(x.Tier, "a tier that is not named"))
	for i, at := range x.ListenAddresses {
		fmt.Fprintf(w, "%s%s", [2]string{", listening on ", " and "}[min(i, 1)], at)
	}
	fmt.Fprintf(w, "\n  from         %v\n", x.Files)
	fmt.Fprintf(w, "  connections  %d of callers, %d to endpoints\n", x.MaxCallerConnections, x.MaxEndpointConnections)
	for _, k := range x.Classes {
		k.writeText(w)
	}
}

func (k ClassExplanation) writeText(w io.Writer) {
	show := config.FormatDuration
	line := func(name, format string, args ...any) {
		fmt.Fprintf(w, "    %-10s %s\n", name, fmt.Sprintf(format, args...))
	}
	fmt.Fprintf(w, "  class %s, %s", k.Name, k.Semantics)
	if k.Scope != "" {
		fmt.Fprintf(w, " (scope %s, repeats dropped for %s)", k.Scope, show(k.RepeatWindow))
	}
	fmt.Fprintln(w)
	line("attempts", "%s, %s of them after one that may have run; %s",
		formatMax(k.MaxAttempts, k.MaxAttempts == 0), formatMax(k.MaxRetries, k.MaxRetries < 0),
		map[bool]string{true: "a second copy may be out beside the first", false: "never two out together"}[k.Hedging])
	line("begin", "the last no later than %s after the request came", show(k.LatestAttemptStart))
	line("answered", "by %s at the latest (wanted within %s, the client waits %s)", show(k.GiveUpAfter), show(k.TargetLatency), show(k.Deadline))
	if k.MaxConnectTime > 0 {
		line("connecting", "takes %s of that at the worst", show(k.MaxConnectTime))
	}
	line("goes to", "%s", k.EligibleEndpoints)
	line("refused", "%s", k.RefusalMeaning)
	line("failed", "%s", k.FailureMeaning)
}

func formatMax(n int, unbounded bool) string {
	switch {
	case unbounded:
		return "any number"
	case n == 0:
		return "none"
	}
	return fmt.Sprintf("%d at most", n)
}
