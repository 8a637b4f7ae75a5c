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

// A start that cannot work ends with the code 1 and one line that says why.
func TestUnusableConfigurationEndsTheStart(t *testing.T) {
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
		{"no path", noPath, "GW_CONFIG names no configuration"},
		{"no file", noFile, "no such file"},
		{"half a file", "{", "unexpected end"},
		{"no settings", `{"listen":"a","discovery":"b:1","store":{"address":"c:1"}}`, "no settings"},
		{"empty", `{}`, "no address to listen on"},
		{"no discovery", `{"listen":"a"}`, "no address of discovery"},
		{"no relay", `{"listen":"a","discovery":"b"}`, "no address of the relay"},
		{"an address without a port", `{"listen":"a","discovery":"b","store":{"address":"c:1"},"settings":{}}`, "missing port"},
		{"no seed", `{"listen":"a","discovery":"b:1","store":{"address":"c:1"},"settings":` + settingsJSON + `}`, "no seed"},
		{"an address in use", fmt.Sprintf(complete, settingsJSON), "address already in use"},
		{"settings of another form", fmt.Sprintf(complete, `[1]`), "cannot unmarshal"},
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
				t.Errorf("the code is %d", code)
			}
			if bytes.Count(out, []byte("\n")) != 1 || !strings.Contains(string(out), c.want) {
				t.Errorf("the output is %q, which lacks %q", out, c.want)
			}
		})
	}
}

// The seed of the platform is hexadecimal; any other text counts by its FNV-1a hash, so it gives the same seed each time.
func TestParseSeed(t *testing.T) {
	for text, want := range map[string]uint64{"8c1f30d27a5be964": 0x8c1f30d27a5be964, "1": 1, "seed": 0x2cfad118d3ecc02c} {
		if seed, err := parseSeed(text); err != nil || seed != want {
			t.Errorf("%q: %#x, %v, not %#x", text, seed, err, want)
		}
	}
	if _, err := parseSeed(""); !errors.Is(err, errNoSeed) {
		t.Errorf("no seed: %v", err)
	}
}

// An operator who changes what only counts at a start has to be told so.
func TestRestartKeysNameWhatNeedsARestart(t *testing.T) {
	started := &configuration{Name: "n0", Listen: "a:1", Discovery: "b:1", Settings: []byte("{}")}
	changed := &configuration{Name: "n1", Listen: "a:2", Discovery: "b:2", Settings: []byte("{ }")}
	changed.Limits = limits{Cores: 2, MemoryMB: 64, Sockets: 9}
	if diff := cmp.Diff([]string{"name", "listen", "limits.sockets", "settings"}, started.restartKeys(changed)); diff != "" {
		t.Errorf("keys (-want +got):\n%s", diff)
	}
	if keys := started.restartKeys(started); keys != nil {
		t.Errorf("the same configuration: %v", keys)
	}
}
