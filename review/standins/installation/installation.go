// Package installation starts a small installation without the platform: a controller (harehook-xds) and a sidecar
// (harehook-sidecar), with nodes that are stand-ins. It follows docs/operators.md and the users' pages.
package installation

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"harehook.dev/harehook/review/standins/trial"
)

// TimeLimit is the time limit of all routes, that of seat-quote and ticket-issue on the users' pages.
const TimeLimit = 2 * time.Second

// errNotServing is returned if the sidecar answers no request in time.
var errNotServing = errors.New("the sidecar answers no request")

// Installation is a controller and its sidecar in the zone north.
type Installation struct {
	SidecarAddress string

	folder   string
	programs []*trial.Program
}

// Start writes the files and starts the controller and the sidecar. It returns when a request has been answered.
func Start(env trial.Environment, nodes []ListedNode) (*Installation, error) {
	in := &Installation{folder: env.Folder}
	controllerAddress, err := trial.FreeAddress()
	if err != nil {
		return nil, err
	}
	if in.SidecarAddress, err = trial.FreeAddress(); err != nil {
		return nil, err
	}
	if err := in.List(nodes); err != nil {
		return nil, err
	}
	controller := fmt.Sprintf(`conductor "first" {
    listen "%s"
    seed 7
    sidecars 200
    zone "north"
    zone "south"
    nodes "nodes.kdl"
    route "quote" {
        prefix "/quote"
        slo-ms 750
        limit-ms %d
        importance 2
    }
    route "issue" {
        prefix "/issue"
        slo-ms 750
        limit-ms %d
        importance 3
        mutating
    }
}
`, controllerAddress, TimeLimit.Milliseconds(), TimeLimit.Milliseconds())
	sidecar := fmt.Sprintf(`sidecar "till-1" {
    zone "north"
    listen "%s"
    conductor "%s"
    mutating "issue"
}
`, in.SidecarAddress, controllerAddress)
	for _, program := range []struct{ command, text string }{
		{"harehook-xds", controller},
		{"harehook-sidecar", sidecar},
	} {
		if err := in.start(env, program.command, program.text); err != nil {
			in.Close()
			return nil, err
		}
	}
	if err := in.awaitAnswer(); err != nil {
		in.Close()
		return nil, err
	}
	env.Record.Add("the installation answers requests")
	return in, nil
}

// start starts a program with a configuration.
func (in *Installation) start(env trial.Environment, command, text string) error {
	path := filepath.Join(in.folder, command+".kdl")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	program, err := trial.Start(env.Root, fmt.Sprintf("exec bin/%s --config %s", command, path), filepath.Join(in.folder, command+".log"))
	if err != nil {
		return err
	}
	in.programs = append(in.programs, program)
	return nil
}

// awaitAnswer waits until the sidecar forwards requests.
func (in *Installation) awaitAnswer() error {
	const attempts = 100
	client := http.Client{Timeout: TimeLimit}
	for range attempts {
		response, err := client.Get("http://" + in.SidecarAddress + "/quote/first")
		if err == nil {
			response.Body.Close() //nolint:errcheck // nothing is read from it
			if response.StatusCode == http.StatusOK {
				client.CloseIdleConnections()
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errNotServing
}

// ListedNode is an entry of the list of nodes.
type ListedNode struct {
	Name, Zone, Address string
	Draining            bool
}

// List replaces the file of the list of nodes.
func (in *Installation) List(nodes []ListedNode) error {
	return writeList(filepath.Join(in.folder, "nodes.kdl"), nodes)
}

// writeList replaces a file with a list of nodes.
func writeList(path string, nodes []ListedNode) error {
	var text strings.Builder
	for _, n := range nodes {
		fmt.Fprintf(&text, "node %q zone=%q address=%q", n.Name, n.Zone, n.Address)
		if n.Draining {
			text.WriteString(` state="draining"`)
		}
		text.WriteString("\n")
	}
	if err := os.WriteFile(path+".new", []byte(text.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Running reports whether no program has ended.
func (in *Installation) Running() bool {
	for _, program := range in.programs {
		if !program.Running() {
			return false
		}
	}
	return true
}

// Close ends the programs.
func (in *Installation) Close() {
	for _, program := range in.programs {
		program.Kill()
	}
}
