package check

import (
	"cmp"
	"fmt"
	"io"
	"time"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/config"
)

// Explanation describes the worst case that a sidecar's configuration allows.
type Explanation struct {
	Files                  []string           `json:"files"` // names of the files that the sidecar runs with
	Application            string             `json:"application"`
	Tier                   string             `json:"tier"`   // empty if no file names it
	ListenAddresses        []string           `json:"listen"` // HOST:PORT each
	MaxCallerConnections   int                `json:"caller_connections"`
	MaxEndpointConnections int                `json:"endpoint_connections"`
	Classes                []ClassExplanation `json:"classes"`
}

// ClassExplanation describes the worst case of one class. JSON has its times in nanoseconds.
type ClassExplanation struct {
	Name               string        `json:"class"`
	Semantics          string        `json:"semantics"`               // safe, keyed or unsafe
	Scope              string        `json:"scope,omitempty"`         // all, zone or cell; only for keyed
	RepeatWindow       time.Duration `json:"repeat_window,omitempty"` // only for keyed
	TargetLatency      time.Duration `json:"wanted"`
	Deadline           time.Duration `json:"deadline"`
	MaxAttempts        int           `json:"attempts"` // 0 means no limit
	MaxRetries         int           `json:"retries"`  // after an attempt that may have run; -1 means no limit
	Hedging            bool          `json:"second_copies"`
	LatestAttemptStart time.Duration `json:"last_begin"` // after the request was received
	GiveUpAfter        time.Duration `json:"given_up"`   // after the request was received; the caller has a response by then
	MaxConnectTime     time.Duration `json:"connecting"` // longest total time spent on connecting; 0 if attempts have no limit
	EligibleEndpoints  string        `json:"where"`      // which endpoints an attempt may go to
	RefusalMeaning     string        `json:"refusal"`    // what a refusal promises to the caller
	FailureMeaning     string        `json:"failure"`    // what a failure promises to the caller
}

// Explain returns one explanation for each sidecar that the files configure, with Deployment's
// findings. An operators' file that is used with several platforms' configurations has one for
// each of them. If Deployment refuses the files, there are no explanations.
func Explain(files []File) ([]Explanation, []config.Finding) {
	findings := Deployment(files)
	if config.HasRefusal(findings) {
		return nil, findings
	}
	checked, _ := pairFiles(files)
	var explanations []Explanation
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
		explanations = append(explanations, x)
	}
	return explanations, findings
}

// explainClass describes a class. It mirrors the decisions of admitRetry, mayRepeatAt and finish of
// balance.Balancer.
func (c *checker) explainClass(k balance.Class) ClassExplanation {
	limits := c.merged.BalancerConfig.Limits
	x := ClassExplanation{
		Name: k.Name, Semantics: config.SemanticsName(k.Semantics), TargetLatency: k.TargetLatency, Deadline: k.Deadline,
		MaxAttempts: c.maxAttempts(k), MaxRetries: -1, Hedging: limits.Hedging && !k.NoHedging && k.Semantics != balance.Unsafe,
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
	const anyEndpoint = "any endpoint of the tier that is in service, idle ones of the fastest machine type first, each attempt to a different endpoint if there is one"
	x.FailureMeaning = "promises nothing: an attempt may have run, and trying again could take effect twice"
	noneRan := "promises that no attempt has run: trying again does no harm"
	switch k.Semantics {
	case balance.Safe:
		x.EligibleEndpoints, x.RefusalMeaning = anyEndpoint, "promises that trying again does no harm, even if an attempt has run"
		x.FailureMeaning = "promises nothing, but trying again does no harm: the class is safe"
	case balance.Unsafe:
		x.EligibleEndpoints = anyEndpoint + "; a further attempt only if every earlier one is known not to have run"
		x.RefusalMeaning = noneRan
	case balance.Keyed:
		x.Scope, x.RepeatWindow = config.ScopeName(k.Scope), k.RepeatWindow
		window := config.FormatDuration(k.RepeatWindow)
		if k.Scope == balance.ScopeAll {
			x.EligibleEndpoints = anyEndpoint + "; after an attempt that may have run, only within " + window + " of that attempt"
			x.RefusalMeaning = "promises that trying again with the same key does no harm: no attempt has run, or every endpoint drops a repeated request until " +
				window + " after the first attempt was sent"
			break
		}
		x.EligibleEndpoints = anyEndpoint + "; after an attempt that may have run, only endpoints of its " + x.Scope + ", and only within " + window + " of that attempt"
		x.RefusalMeaning = noneRan
	}
	return x
}

// WriteText writes the explanation as text for people. Errors of w are ignored.
func (x Explanation) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%s, sending to %s", x.Application, cmp.Or(x.Tier, "an unnamed tier"))
	for i, address := range x.ListenAddresses {
		fmt.Fprintf(w, "%s%s", [2]string{", listening on ", " and "}[min(i, 1)], address)
	}
	fmt.Fprintf(w, "\n  from         %v\n", x.Files)
	fmt.Fprintf(w, "  connections  %d from callers, %d to endpoints\n", x.MaxCallerConnections, x.MaxEndpointConnections)
	for _, k := range x.Classes {
		k.writeText(w)
	}
}

// writeText writes one line for each property of the class.
func (k ClassExplanation) writeText(w io.Writer) {
	show := config.FormatDuration
	line := func(name, format string, args ...any) {
		fmt.Fprintf(w, "    %-10s %s\n", name, fmt.Sprintf(format, args...))
	}
	fmt.Fprintf(w, "  class %s, %s", k.Name, k.Semantics)
	if k.Scope != "" {
		fmt.Fprintf(w, " (scope %s, repeated requests dropped for %s)", k.Scope, show(k.RepeatWindow))
	}
	fmt.Fprintln(w)
	line("attempts", "%s, %s of them after an attempt that may have run; %s",
		formatMax(k.MaxAttempts, k.MaxAttempts == 0), formatMax(k.MaxRetries, k.MaxRetries < 0),
		map[bool]string{true: "a second one may be in flight beside the first", false: "never two in flight together"}[k.Hedging])
	line("begin", "the last one no later than %s after the request arrived", show(k.LatestAttemptStart))
	line("answered", "by %s at the latest (wanted within %s, the client waits %s)", show(k.GiveUpAfter), show(k.TargetLatency), show(k.Deadline))
	if k.MaxConnectTime > 0 {
		line("connecting", "takes at most %s of that", show(k.MaxConnectTime))
	}
	line("goes to", "%s", k.EligibleEndpoints)
	line("refused", "%s", k.RefusalMeaning)
	line("failed", "%s", k.FailureMeaning)
}

// formatMax returns the text for a largest number n, or for no limit.
func formatMax(n int, unbounded bool) string {
	switch {
	case unbounded:
		return "any number"
	case n == 0:
		return "none"
	}
	return fmt.Sprintf("%d at most", n)
}
