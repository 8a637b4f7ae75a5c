package installation

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
	"harehook.dev/harehook/review/standins/trial"
)

// groupSize is the number of members of a group.
const groupSize = 3

// Group is a group of controllers that agree on configuration. Each has one zone, north, and a list of nodes of its own.
// The members speak to each other through forwarders, so that one of them can be cut off.
type Group struct {
	Addresses [groupSize]string // for sidecars

	env        trial.Environment
	groups     [groupSize]string // addresses for members and operators
	forwarders [groupSize][groupSize]*fakeplatform.Forwarder
	members    [groupSize]*trial.Program
	sidecars   []*trial.Program
}

// StartGroup writes the files and starts the members.
func StartGroup(env trial.Environment, nodes []ListedNode) (*Group, error) {
	g := &Group{env: env}
	if err := g.startMembers(nodes); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

func (g *Group) startMembers(nodes []ListedNode) error {
	if err := g.reserve(); err != nil {
		return err
	}
	if err := g.List(nodes); err != nil {
		return err
	}
	for k := range groupSize {
		path := filepath.Join(g.env.Folder, fmt.Sprintf("member-%d.kdl", k+1))
		if err := os.WriteFile(path, []byte(g.memberText(k)), 0o600); err != nil {
			return err
		}
		var err error
		if g.members[k], err = trial.Start(g.env.Root, "exec bin/harehook-xds --config "+path, path+".log"); err != nil {
			return err
		}
	}
	return nil
}

// reserve chooses the addresses and starts the forwarders.
func (g *Group) reserve() (err error) {
	for k := range groupSize {
		if g.Addresses[k], err = trial.FreeAddress(); err != nil {
			return err
		}
		if g.groups[k], err = trial.FreeAddress(); err != nil {
			return err
		}
	}
	for from := range groupSize {
		for to := range groupSize {
			if from == to {
				continue
			}
			if g.forwarders[from][to], err = fakeplatform.NewForwarder(g.groups[to]); err != nil {
				return err
			}
		}
	}
	return nil
}

// memberText returns the configuration of a member.
func (g *Group) memberText(k int) string {
	var members strings.Builder
	for other := range groupSize {
		address := g.groups[k]
		if other != k {
			address = g.forwarders[k][other].Address()
		}
		fmt.Fprintf(&members, "        member %d %q\n", other+1, address)
	}
	return fmt.Sprintf(`conductor "member-%d" {
    listen %q
    seed %d
    sidecars 200
    zone "north"
    nodes "nodes-%d.kdl"
    route "quote" {
        prefix "/quote"
        slo-ms 750
        limit-ms %d
    }
    group {
        id %d
        listen %q
        data "data-%d"
%s    }
}
`, k+1, g.Addresses[k], k+1, k+1, TimeLimit.Milliseconds(), k+1, g.groups[k], k+1, members.String())
}

// List replaces the list of nodes of each member.
func (g *Group) List(nodes []ListedNode) error {
	for k := range groupSize {
		if err := writeList(filepath.Join(g.env.Folder, fmt.Sprintf("nodes-%d.kdl", k+1)), nodes); err != nil {
			return err
		}
	}
	return nil
}

// StartSidecar starts a sidecar that tries the given members.
func (g *Group) StartSidecar(name, listen string, members ...int) error {
	var text strings.Builder
	fmt.Fprintf(&text, "sidecar %q {\n    zone \"north\"\n    listen %q\n", name, listen)
	for _, k := range members {
		fmt.Fprintf(&text, "    conductor %q\n", g.Addresses[k])
	}
	text.WriteString("}\n")
	path := filepath.Join(g.env.Folder, name+".kdl")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		return err
	}
	sidecar, err := trial.Start(g.env.Root, "exec bin/harehook-sidecar --config "+path, path+".log")
	if err == nil {
		g.sidecars = append(g.sidecars, sidecar)
	}
	return err
}

// Agree has the group agree on the route's time limit, with the operators' tool at a member. It repeats the proposal
// until the group has a leader.
func (g *Group) Agree(at int, limit time.Duration) error {
	path := filepath.Join(g.env.Folder, "agreed.kdl")
	text := fmt.Sprintf("agreed {\n    route \"quote\" {\n        prefix \"/quote\"\n        limit-ms %d\n    }\n}\n", limit.Milliseconds())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	for range 5 {
		command := exec.Command(filepath.Join(g.env.Root, "bin", "harehookctl"), "--controller", g.groups[at], "propose", path, "--why", "trial")
		var output []byte
		output, err = command.CombinedOutput()
		g.env.Record.Add("member %d: propose limit-ms %d: %s", at+1, limit.Milliseconds(), strings.TrimSpace(string(output)))
		if err == nil {
			return nil
		}
		time.Sleep(time.Second)
	}
	return err
}

// CutOff cuts a member off from the others.
func (g *Group) CutOff(member int) {
	for other := range groupSize {
		if other != member {
			g.forwarders[member][other].Cut(true)
			g.forwarders[other][member].Cut(true)
		}
	}
	g.env.Record.Add("member %d is cut off from the others", member+1)
}

// Kill kills a member.
func (g *Group) Kill(member int) {
	g.members[member].Kill()
	g.env.Record.Add("member %d is killed", member+1)
}

// Status adds what the operators' tool shows of a member's sidecars to the record.
func (g *Group) Status(member int) {
	command := exec.Command(filepath.Join(g.env.Root, "bin", "harehookctl"), "--controller", g.Addresses[member], "sidecars")
	output, err := command.CombinedOutput()
	g.env.Record.Add("member %d: harehookctl sidecars (error: %v):\n%s", member+1, err, output)
}

// Connected reports whether a sidecar has a stream to a member.
func (g *Group) Connected(member int, sidecar string) bool {
	command := exec.Command(filepath.Join(g.env.Root, "bin", "harehookctl"), "--controller", g.Addresses[member], "sidecars")
	output, err := command.CombinedOutput()
	if err != nil {
		g.env.Record.Add("member %d: %v", member+1, err) // a rejected resource is an error of this command as well
	}
	for line := range strings.Lines(string(output)) {
		fields := strings.Fields(line)
		if len(fields) > 3 && fields[0] == sidecar && fields[3] == "connected" {
			return true
		}
	}
	return false
}

// Told returns whether a member has said in its log that it has read a changed list of nodes.
func (g *Group) Told(member int) bool {
	log, err := os.ReadFile(filepath.Join(g.env.Folder, fmt.Sprintf("member-%d.kdl.log", member+1)))
	return err == nil && strings.Contains(string(log), "list of nodes read")
}

// Close ends the programs and the forwarders.
func (g *Group) Close() {
	for _, sidecar := range g.sidecars {
		sidecar.Kill()
	}
	for _, member := range g.members {
		if member != nil {
			member.Kill()
		}
	}
	for _, row := range g.forwarders {
		for _, forwarder := range row {
			if forwarder != nil {
				forwarder.Close()
			}
		}
	}
}
