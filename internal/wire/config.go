package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"barleydrum.example/barleydrum/balance"
)

// ParseConfig reads an instance's settings, and the fields of its load reports in
// order. Unknown keys are skipped.
func ParseConfig(text []byte) (balance.Config, []LoadField, error) {
	var s settings
	s.Limits.Cancel, s.Limits.MaxStreams = true, 1
	if err := json.Unmarshal(text, &s); err != nil {
		return balance.Config{}, nil, fmt.Errorf("config: %w", err)
	}
	c := balance.Config{
		SidecarIndex: s.Me, SidecarCount: s.Balancers, Tier: s.Tier, Zone: s.Zone,
		OverQuotaValue:             s.OverShareWorth,
		ClientsMarkRetries:         s.Clients.MarksRetry,
		EndpointsPropagateDeadline: s.Specifics.PassesDeadline,
		MustSubscribe:              s.Discovery == "ask",
		MaxSubscribeDelay:          s.Rules.AskWithin,
		Costs:                      s.Costs,
		Limits: balance.Limits{
			MaxAttempts: s.Limits.AttemptsCap, Hedging: s.Limits.SecondCopies,
			Probes: s.Limits.Probes, Cancel: s.Limits.Cancel, PeerMessages: s.Limits.Peers, MaxRetryAfter: s.Limits.MaxRetryAfter,
			ConnectTimeout: s.Limits.ConnectTimeout, KeepAlive: s.Limits.KeepAlive,
			MaxStreams: s.Limits.MaxStreams,
		},
		ColdCapacityShare: s.Rules.ColdShare, WarmupTime: s.Rules.Cold,
		ColdOverloadMultiple: s.Rules.FallMultiple, ColdOverloadTime: s.Rules.TipAfter,
		DrainGrace: s.Rules.DrainGrace, MaxDrainIdleTime: s.Rules.ReleaseWithin,
		Objective: balance.ObjectiveWeights{
			Overall: s.Goal.Whole, WorstWindow: s.Goal.WorstWindow, WorstClass: s.Goal.WorstClass,
			WorstTenant: s.Goal.WorstTenant, Nines: s.Goal.LogLossPart, NinesTarget: s.Goal.NinesFull,
		},
		ValueScalesWithWork: s.CountedBy == "work",
		ClockResolution:     s.Step,
	}
	if !s.Limits.RetryAfter {
		c.Limits.MaxRetryAfter = 0
	}
	for i, k := range s.Classes {
		class := balance.Class{
			Name: k.Name, TargetLatency: k.Goal, Deadline: k.Deadline, Value: k.Importance,
			LateValueShare: k.LateShare, TargetWorkFactor: k.AimStretch, RepeatWindow: k.RepeatWindow, Streaming: k.Stream,
		}
		var ok bool
		if class.Semantics, ok = semanticsByName[k.Semantics]; !ok {
			return c, nil, fmt.Errorf("config: classes[%d].semantics: unknown value %q", i, k.Semantics)
		}
		if class.Scope, ok = scopeByName[k.KeyScope]; !ok && class.Semantics == balance.Keyed {
			return c, nil, fmt.Errorf("config: classes[%d].keyScope: unknown value %q", i, k.KeyScope)
		}
		c.Classes = append(c.Classes, class)
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, balance.Tenant(t))
	}
	var ok bool
	if c.WeightMeaning, ok = weightMeaningByName[s.Weights]; !ok {
		return c, nil, fmt.Errorf("config: weights: unknown value %q", s.Weights)
	}
	if c.Reporting, ok = reportingByName[s.LoadInfo.How]; !ok {
		return c, nil, fmt.Errorf("config: loadInfo.how: unknown value %q", s.LoadInfo.How)
	}
	fields := make([]LoadField, len(s.LoadInfo.Fields))
	for i, name := range s.LoadInfo.Fields {
		fields[i] = loadFieldByName[name]
	}
	return c, fields, nil
}

// settings are the settings as they come; times are in nanoseconds.
type settings struct {
	Balancers, Me, Tier, Zone int
	Classes                   []struct {
		Goal         time.Duration `json:"goalTimeNs"`
		Deadline     time.Duration `json:"hardLimitNs"`
		Importance   float64
		KeyScope     string
		LateShare    float64
		AimStretch   float64
		Name         string
		RepeatWindow time.Duration `json:"repeatWindowNs"`
		Semantics    string
		Stream       bool
	}
	Clients   struct{ MarksRetry bool }
	Costs     balance.Costs
	CountedBy string
	Discovery string
	Specifics struct{ PassesDeadline bool }
	Limits    struct {
		AttemptsCap                                     int
		Cancel, Peers, Probes, RetryAfter, SecondCopies bool
		ConnectTimeout                                  time.Duration `json:"connectTimeoutNs"`
		KeepAlive                                       time.Duration `json:"keepaliveNs"`
		MaxRetryAfter                                   time.Duration `json:"maxRetryAfterNs"`
		MaxStreams                                      int
	}
	Goal struct {
		Whole, WorstWindow, WorstClass, WorstTenant, LogLossPart, NinesFull float64
	}
	LoadInfo struct {
		Fields []string
		How    string
	}
	OverShareWorth float64
	Rules          struct {
		AskWithin     time.Duration `json:"askWithinNs"`
		Cold          time.Duration `json:"coldNs"`
		ColdShare     float64
		FallMultiple  float64
		TipAfter      time.Duration `json:"tipAfterNs"`
		DrainGrace    time.Duration `json:"drainGraceNs"`
		ReleaseWithin time.Duration `json:"releaseWithinNs"`
	}
	Tenants []struct {
		Name  string
		Quota float64 `json:"quotaPerS"`
		Share float64
	}
	Step    time.Duration `json:"stepNs"`
	Weights string
}

// An empty name is a key that was left out.
var (
	semanticsByName = map[string]balance.Semantics{
		"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe,
	}
	scopeByName = map[string]balance.Scope{
		"all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell,
	}
	weightMeaningByName = map[string]balance.WeightMeaning{
		"": balance.WeightNone, "silent": balance.WeightNone, "nominal": balance.WeightCapacity,
		"rough": balance.WeightCapacityEstimate, "live": balance.WeightCapacityPerLoad,
	}
	reportingByName = map[string]balance.Reporting{
		"": balance.ReportsNone, "silent": balance.ReportsNone, "pull": balance.ReportsInProbe,
		"piggyback": balance.ReportsInResponse,
	}
	loadFieldByName = map[string]LoadField{
		"busy_reqs": FieldInFlight, "pending": FieldQueued, "cpu_share": FieldUtilization,
		"svc_ms": FieldLatency, "served_ps": FieldServed, "failed_ps": FieldFailed,
	}
)
