package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"barleydrum.example/barleydrum/balance"
)

// ParseConfig parses an instance's settings, a JSON object. It returns the
// balancer's configuration and the fields of a load report in the order in which
// reports list them. Unknown keys are ignored. Attempts can be canceled and a
// connection carries one request at a time unless limits.cancel and
// limits.maxStreams say otherwise. A field of a load report whose name is unknown
// is [FieldUnknown]. ParseConfig rejects unknown enumerated values and leaves all
// other checks to [balance.New].
func ParseConfig(text []byte) (balance.Config, []LoadField, error) {
	var raw settings
	raw.Limits.Cancel, raw.Limits.MaxStreams = true, 1
	if err := json.Unmarshal(text, &raw); err != nil {
		return balance.Config{}, nil, fmt.Errorf("config: %w", err)
	}
	cfg := balance.Config{
		SidecarIndex: raw.Me, SidecarCount: raw.Balancers, Tier: raw.Tier, Zone: raw.Zone,
		OverQuotaValue:             raw.OverShareWorth,
		ClientsMarkRetries:         raw.Clients.MarksRetry,
		EndpointsPropagateDeadline: raw.Specifics.PassesDeadline,
		MustSubscribe:              raw.Discovery == "ask",
		MaxSubscribeDelay:          raw.Rules.AskWithin,
		Costs:                      raw.Costs,
		Limits: balance.Limits{
			MaxAttempts: raw.Limits.AttemptsCap, Hedging: raw.Limits.SecondCopies,
			Probes: raw.Limits.Probes, Cancel: raw.Limits.Cancel, PeerMessages: raw.Limits.Peers, MaxRetryAfter: raw.Limits.MaxRetryAfter,
			ConnectTimeout: raw.Limits.ConnectTimeout, KeepAlive: raw.Limits.KeepAlive,
			MaxStreams: raw.Limits.MaxStreams,
		},
		ColdCapacityShare: raw.Rules.ColdShare, WarmupTime: raw.Rules.Cold,
		ColdOverloadMultiple: raw.Rules.FallMultiple, ColdOverloadTime: raw.Rules.TipAfter,
		DrainGrace: raw.Rules.DrainGrace, MaxDrainIdleTime: raw.Rules.ReleaseWithin,
		Objective: balance.ObjectiveWeights{
			Overall: raw.Goal.Whole, WorstWindow: raw.Goal.WorstWindow, WorstClass: raw.Goal.WorstClass,
			WorstTenant: raw.Goal.WorstTenant, Nines: raw.Goal.LogLossPart, NinesTarget: raw.Goal.NinesFull,
		},
		ValueScalesWithWork: raw.CountedBy == "work",
		ClockResolution:     raw.Step,
	}
	if !raw.Limits.RetryAfter {
		cfg.Limits.MaxRetryAfter = 0
	}
	for i, rawClass := range raw.Classes {
		class := balance.Class{
			Name: rawClass.Name, TargetLatency: rawClass.Goal, Deadline: rawClass.Deadline, Value: rawClass.Importance,
			LateValueShare: rawClass.LateShare, TargetWorkFactor: rawClass.AimStretch, RepeatWindow: rawClass.RepeatWindow, Streaming: rawClass.Stream,
		}
		var ok bool
		if class.Semantics, ok = semanticsByName[rawClass.Semantics]; !ok {
			return cfg, nil, fmt.Errorf("config: classes[%d].semantics: unknown value %q", i, rawClass.Semantics)
		}
		if class.Scope, ok = scopeByName[rawClass.KeyScope]; !ok && class.Semantics == balance.Keyed {
			return cfg, nil, fmt.Errorf("config: classes[%d].keyScope: unknown value %q", i, rawClass.KeyScope)
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	for _, t := range raw.Tenants {
		cfg.Tenants = append(cfg.Tenants, balance.Tenant(t))
	}
	var ok bool
	if cfg.WeightMeaning, ok = weightMeaningByName[raw.Weights]; !ok {
		return cfg, nil, fmt.Errorf("config: weights: unknown value %q", raw.Weights)
	}
	if cfg.Reporting, ok = reportingByName[raw.LoadInfo.How]; !ok {
		return cfg, nil, fmt.Errorf("config: loadInfo.how: unknown value %q", raw.LoadInfo.How)
	}
	fields := make([]LoadField, len(raw.LoadInfo.Fields))
	for i, name := range raw.LoadInfo.Fields {
		fields[i] = loadFieldByName[name]
	}
	return cfg, fields, nil
}

// settings is the JSON form of an instance's settings. Durations are in
// nanoseconds. Field names without a tag are JSON keys, which encoding/json
// matches without regard to case and prints in its errors, so they can't be renamed.
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

// The enumerated values of the settings and the names of load report fields. The
// empty string, where it is listed, stands for an absent key.
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
