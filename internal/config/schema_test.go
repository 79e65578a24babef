package config

import (
	"reflect"
	"slices"
	"strings"
	"testing"
)

// setNonzero sets every scalar in v to a nonzero value, and every slice and map in v to one element.
func setNonzero(t *testing.T, v reflect.Value) {
	t.Helper()
	switch {
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			setNonzero(t, v.Field(i))
		}
	case v.Kind() == reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		setNonzero(t, v.Index(0))
	case v.Kind() == reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		setNonzero(t, key)
		setNonzero(t, value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setNonzero(t, v.Elem())
	case v.Kind() == reflect.String:
		v.SetString("name")
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.CanInt():
		v.SetInt(1)
	case v.CanUint():
		v.SetUint(1)
	case v.CanFloat():
		v.SetFloat(1)
	default:
		t.Fatalf("no value for a %s", v.Type())
	}
}

// Operators and their tools read these paths in the output of drumctl config diff. A Go field that is
// renamed without a name tag would change them.
func TestPlatformValuesKeepPrintedPaths(t *testing.T) {
	var p Platform
	setNonzero(t, reflect.ValueOf(&p).Elem())
	var got []string
	for _, v := range p.Values() {
		got = append(got, v.Path)
	}
	want := []string{
		"Name",
		"Listen",
		"Discovery",
		"Limits.Cores",
		"Limits.MemoryMB",
		"Limits.Sockets",
		"Zones",
		"Layers",
		"Settings.Me",
		"Settings.Balancers",
		"Settings.Tier",
		"Settings.Zone",
		"Settings.Classes[name].Name",
		"Settings.Classes[name].Goal",
		"Settings.Classes[name].Deadline",
		"Settings.Classes[name].Worth",
		"Settings.Classes[name].LateShare",
		"Settings.Classes[name].GoalStretch",
		"Settings.Classes[name].Semantics",
		"Settings.Classes[name].Scope",
		"Settings.Classes[name].RepeatWindow",
		"Settings.Classes[name].Stream",
		"Settings.Classes[name].MaxAttempts",
		"Settings.Classes[name].Retries",
		"Settings.Classes[name].OneCopy",
		"Settings.Classes[name].RetryWithin",
		"Settings.Tenants[name].Name",
		"Settings.Tenants[name].Quota",
		"Settings.Tenants[name].Share",
		"Settings.OverQuotaWorth",
		"Settings.MarksRepeats",
		"Settings.PassesBudget",
		"Settings.AskDiscovery",
		"Settings.AskWithin",
		"Settings.Weights",
		"Settings.Reporting",
		"Settings.Costs.Connection",
		"Settings.Costs.CrossZone",
		"Settings.Costs.Handshake",
		"Settings.Costs.LateFail",
		"Settings.Costs.Peer",
		"Settings.Costs.Probe",
		"Settings.Costs.Waste",
		"Settings.Limits.MaxAttempts",
		"Settings.Limits.SecondCopies",
		"Settings.Limits.Probes",
		"Settings.Limits.Cancel",
		"Settings.Limits.Peers",
		"Settings.Limits.MaxRetryAfter",
		"Settings.Limits.ConnectTimeout",
		"Settings.Limits.KeepAlive",
		"Settings.Limits.MaxStreams",
		"Settings.ColdShare",
		"Settings.ColdFor",
		"Settings.FallMultiple",
		"Settings.FallAfter",
		"Settings.DrainGrace",
		"Settings.ReleaseWithin",
		"Settings.Goal.Whole",
		"Settings.Goal.WorstWindow",
		"Settings.Goal.WorstClass",
		"Settings.Goal.WorstTenant",
		"Settings.Goal.Nines",
		"Settings.Goal.NinesFull",
		"Settings.WorthByWork",
		"Settings.Step",
	}
	if !slices.Equal(got, want) {
		t.Errorf("paths:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}
