package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// insertion puts a source of this package's test data beside a file of the product, and has one line of that file
// call it, in the programs of a soak only: the product's own code stays as it is.
type insertion struct{ source, beside, line, call string }

var insertions = []insertion{
	{"lossy_file.go.txt", "disk/disk.go", "return os.OpenFile(filepath.Join(string(root), name), flags, 0o600)", "return openLossy(filepath.Join(string(root), name), flags)"},
	{"faulty_links.go.txt", "wire/wire.go", "dial = net.DialTimeout", "dial = dialFaulty"},
	{"faulty_links.go.txt", "wire/wire.go", "go server.ServeConn(conn)", "go server.ServeConn(faulty(conn))"},
}

// overlay writes the files of the faulty build to a folder, and gives the flag of `go build` that uses them.
func overlay(t *testing.T, folder string) string {
	t.Helper()
	replaced := map[string]string{}
	contents := map[string]string{}
	read := func(path string) string {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	for _, one := range insertions {
		path, err := filepath.Abs(filepath.Join("..", one.beside))
		if err != nil {
			t.Fatal(err)
		}
		if contents[path] == "" {
			contents[path] = read(path)
		}
		if strings.Count(contents[path], one.line) != 1 {
			t.Fatalf("%q does not occur once in %s", one.line, one.beside)
		}
		contents[path] = strings.Replace(contents[path], one.line, one.call, 1)
		contents[filepath.Join(filepath.Dir(path), strings.TrimSuffix(one.source, ".txt"))] = read(filepath.Join("testdata", one.source))
	}
	for path, text := range contents {
		copied := filepath.Join(folder, fmt.Sprintf("overlay-%d.go", len(replaced)))
		if err := os.WriteFile(copied, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		replaced[path] = copied
	}
	text, err := json.Marshal(map[string]any{"Replace": replaced})
	if err != nil {
		t.Fatal(err)
	}
	list := filepath.Join(folder, "overlay.json")
	if err := os.WriteFile(list, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return "-overlay=" + list
}

// regionDelay is the delay one way between two regions of the deployment on which the fault was seen.
const regionDelay = 55 * time.Millisecond

// linksFile is where the processes of a faulty build read how the links are.
func (cluster *cluster) linksFile() string { return filepath.Join(cluster.folder, "links.json") }

// cutLink is a link that is cut in one direction, from one address to another.
type cutLink [2]string

// writeLinks tells all processes how the links are. The caller holds the guard.
func (cluster *cluster) writeLinks() {
	regions := map[string]string{}
	for _, one := range cluster.machines {
		regions[one.ip] = one.zone.region
	}
	text, err := json.Marshal(map[string]any{"Regions": regions, "DelayMS": regionDelay.Milliseconds(), "Cuts": cluster.cuts})
	if err == nil {
		if err = os.WriteFile(cluster.linksFile()+".new", text, 0o600); err == nil {
			err = os.Rename(cluster.linksFile()+".new", cluster.linksFile())
		}
	}
	if err != nil {
		cluster.history.fail("the links can't be written: %v", err)
	}
}

// cut cuts links or joins them again.
func (cluster *cluster) cut(links []cutLink, isCut bool) {
	cluster.guard.Lock()
	defer cluster.guard.Unlock()
	for _, one := range links {
		if isCut {
			cluster.cuts = append(cluster.cuts, one)
		} else if index := slices.Index(cluster.cuts, one); index >= 0 {
			cluster.cuts = slices.Delete(cluster.cuts, index, index+1)
		}
	}
	cluster.writeLinks()
}

// longestCut is how long a link is cut at the most.
const longestCut = 8 * time.Second

// cutOff cuts a machine of a role off from control daemons, one way or both ways: a control daemon from all others, a
// data daemon from one or all.
func (faults *faults) cutOff(role string) {
	cluster, random := faults.cluster, faults.random
	one := pick(random, cluster.of(role))
	if faults.spared(one) {
		return
	}
	var links []cutLink
	others := without(cluster.of(control), one)
	if role == data && random.IntN(2) == 0 {
		others = []*machine{pick(random, others)}
	}
	ways := 1 + random.IntN(3)
	for _, other := range others {
		if ways&1 > 0 {
			links = append(links, cutLink{one.ip, other.ip})
		}
		if ways&2 > 0 {
			links = append(links, cutLink{other.ip, one.ip})
		}
	}
	lasts := time.Duration(random.Int64N(int64(longestCut)))
	cutting := cluster.history.disturb(one.name, fmt.Sprintf("cut off from %d control daemons, ways %d, for %v", len(others), ways, lasts))
	cluster.cut(links, true)
	cluster.group.Go(func() {
		cluster.wait(lasts)
		cluster.cut(links, false)
		cluster.history.settle(cutting)
	})
}

// TestRulesOverFaultyLinksAndDisks: as TestRulesOverRealProcesses, with delays between regions, links that are cut one way
// or both, and disks that lose what was not synced when a process is killed.
func TestRulesOverFaultyLinksAndDisks(t *testing.T) {
	lasts := time.Duration(*secondsFlag) * time.Second
	list := seeds()
	if *seedFlag == 0 {
		lasts, list = min(lasts, shortRun), ciSeeds[:1]
	}
	folder := t.TempDir()
	words := programs(t, folder, overlay(t, folder))
	for _, seed := range list {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			deployment := sklepik(*controlFlag, *dataFlag)
			deployment.changePause, deployment.isFaulty = *changesFlag, true
			soak(t, deployment, words, seed, lasts)
		})
	}
}
