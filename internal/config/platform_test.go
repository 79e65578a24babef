package config_test // not config, as internal/fake imports it

import (
	"strings"
	"testing"

	"barleydrum.example/barleydrum/balance"
	"barleydrum.example/barleydrum/internal/config"
	"barleydrum.example/barleydrum/internal/fake"
)

// A platform's configuration with one wrong value is rejected by an error that names the setting.
func TestParsePlatformErrorNamesSetting(t *testing.T) {
	valid := `{"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "1f",
"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": {"instances": []}, "settings": ` + fake.PlatformSettingsJSON + "}"
	p, err := config.ParsePlatform([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if p.ClassIndex["pay"] != 2 || p.BalancerConfig.Classes[2].Semantics != balance.Unsafe || p.Seed != 0x1f {
		t.Errorf("platform %+v", p)
	}
	for _, s := range []struct{ old, new, want string }{
		{`"seed": "1f"`, `"seed": "xyz"`, "seed"},
		{`"sockets": 1024`, `"sockets": 10`, "limits.sockets"},
		{`"sockets": 1024`, `"sockets": "many"`, "limits.sockets"},
		{`"instances": []`, `"instances": [{"instanceId": "s", "lifecycle": "odd"}]`, "known"},
		{`"semantics": "keyed"`, `"semantics": "maybe"`, "semantics"},
		{`"name": "pay"`, `"name": "read"`, "name"},
		{`"settings"`, `"setting"`, "settings"},
		{`{"name"`, `{name`, "invalid"},
	} {
		text := strings.Replace(valid, s.old, s.new, 1)
		if text == valid {
			t.Fatalf("%s is not in the text", s.old)
		}
		if _, err := config.ParsePlatform([]byte(text)); err == nil || !strings.Contains(err.Error(), s.want) {
			t.Errorf("%s: error %v, want one with %q", s.new, err, s.want)
		}
	}
}
