package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// With an invalid configuration the program must exit with code 1 and print one line that names the fault.
func TestInvalidConfigurationFailsStartup(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	const (
		noPath = ""
		noFile = "-"
	)
	complete := `{"listen":"` + occupied.Addr().String() + `","discovery":"127.0.0.1:1","seed":"1","store":{"address":"127.0.0.1:2"},"settings":%s}`
	for _, c := range []struct{ name, text, want string }{
		{"no path", noPath, "GW_CONFIG is not set: it must be the path of the configuration file"},
		{"no file", noFile, "no such file"},
		{"partial file", "{", "unexpected end"},
		{"no settings", `{"listen":"a","discovery":"b:1","store":{"address":"c:1"}}`, "settings are missing: set settings"},
		{"empty", `{}`, "listen address is missing: set listen or GW_LISTEN"},
		{"no discovery", `{"listen":"a"}`, "discovery address is missing: set discovery or GW_DISCOVERY"},
		{"no relay", `{"listen":"a","discovery":"b"}`, "relay address is missing: set store.address"},
		{"address without a port", `{"listen":"a","discovery":"b","store":{"address":"c:1"},"settings":{}}`, "missing port"},
		{"no seed", `{"listen":"a","discovery":"b:1","store":{"address":"c:1"},"settings":` + settingsJSON + `}`, "seed is missing: set seed"},
		{"address in use", fmt.Sprintf(complete, settingsJSON), "address already in use"},
		{"settings of the wrong type", fmt.Sprintf(complete, `[1]`), "cannot unmarshal"},
		{"settings without zones", fmt.Sprintf(complete, `{}`), "zones: must not be empty"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			switch c.text {
			case noPath:
				path = ""
			case noFile:
			default:
				if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			program := exec.Command(binary)
			program.Env = append(os.Environ(), "GW_CONFIG="+path)
			out, _ := program.CombinedOutput()
			if code := program.ProcessState.ExitCode(); code != 1 {
				t.Errorf("got exit code %d, want 1", code)
			}
			if bytes.Count(out, []byte("\n")) != 1 || !strings.Contains(string(out), c.want) {
				t.Errorf("got output %q, want one line with %q", out, c.want)
			}
		})
	}
}

// The platform's seed is hexadecimal. Any other text must be hashed with FNV-1a, so that it gives the same seed each
// time.
func TestParseSeed(t *testing.T) {
	for text, want := range map[string]uint64{"8c1f30d27a5be964": 0x8c1f30d27a5be964, "1": 1, "seed": 0x2cfad118d3ecc02c} {
		if seed, err := parseSeed(text); err != nil || seed != want {
			t.Errorf("parseSeed(%q): got %#x and error %v, want %#x", text, seed, err, want)
		}
	}
	if _, err := parseSeed(""); !errors.Is(err, errNoSeed) {
		t.Errorf("parseSeed(\"\"): got error %v, want %v", err, errNoSeed)
	}
}

// An operator who changes a value that takes effect only after a restart must learn this from the log.
func TestKeysNeedingRestart(t *testing.T) {
	initial := &configuration{Name: "n0", Listen: "a:1", Discovery: "b:1", Settings: []byte("{}")}
	changed := &configuration{Name: "n1", Listen: "a:2", Discovery: "b:2", Settings: []byte("{ }")}
	changed.Limits = limits{Cores: 2, MemoryMB: 64, Sockets: 9}
	if diff := cmp.Diff([]string{"name", "listen", "limits.sockets", "settings"}, initial.keysNeedingRestart(changed)); diff != "" {
		t.Errorf("keys (-want +got):\n%s", diff)
	}
	if keys := initial.keysNeedingRestart(initial); keys != nil {
		t.Errorf("same configuration: got keys %v, want none", keys)
	}
}
