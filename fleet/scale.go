package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"swifttiller/dataplane"
	"swifttiller/loop"
	"swifttiller/settings"
	"swifttiller/wire"
)

// ScaleSize is the size of a cluster that is partly simulated: its replicas are stubs, and
// most of its data daemons are hollow, which means that they run inside this process and serve
// no callers.
type ScaleSize struct {
	Datas    int `json:"datas"`
	Replicas int `json:"replicas"`
	Regions  int `json:"regions"`
	Zones    int `json:"zones"`
	Routes   int `json:"routes"`
	Models   int `json:"models"`
	Controls int `json:"controls"`
}

// dimensions returns pointers to the fields of a size, by name.
func (size *ScaleSize) dimensions() map[string]*int {
	return map[string]*int{"datas": &size.Datas, "replicas": &size.Replicas, "regions": &size.Regions, "zones": &size.Zones, "routes": &size.Routes, "models": &size.Models, "controls": &size.Controls}
}

// With returns the size with one dimension changed, and false if there is no dimension of that
// name. If there are fewer zones than regions then, the number of zones is raised to that of
// the regions.
func (size ScaleSize) With(dimension string, value int) (ScaleSize, bool) {
	field, known := size.dimensions()[dimension]
	if known {
		*field = value
		if dimension == "regions" {
			size.Zones = max(size.Zones, value)
		}
	}
	return size, known
}

// Check returns the first problem of a size.
func (size ScaleSize) Check() error {
	for _, name := range slices.Sorted(maps.Keys(size.dimensions())) {
		if value := *size.dimensions()[name]; value < 1 || value > 25000 {
			return fmt.Errorf("%s is %d, which is not between 1 and 25000", name, value)
		}
	}
	switch {
	case size.Datas < ScaleReal+1 || size.Datas > 1000:
		return fmt.Errorf("datas is %d, which is not between %d and 1000", size.Datas, ScaleReal+1)
	case size.Controls > 9:
		return fmt.Errorf("controls is %d, but at most 9 control daemons are started as processes", size.Controls)
	case size.Regions > 64 || size.Zones < size.Regions || size.Zones > 256:
		return errors.New("regions must be at most 64, and zones at least as many as regions and at most 256")
	case size.Replicas > 8000:
		return fmt.Errorf("replicas is %d, which is more than the maximum of 8000 listeners", size.Replicas)
	case size.Models > 200:
		return fmt.Errorf("models is %d, which is more than the maximum of 200", size.Models)
	}
	return nil
}

// ScaleReal is the number of data daemons that run as separate processes.
const ScaleReal = 2

// ScaleOptions describe how a point is measured.
type ScaleOptions struct {
	// Programs is the folder with the executables controlplane and dataplane.
	Programs string
	// Warm is the idle time before the measurement, and Span the idle time that is measured.
	// After that, Changes configurations are sent, one every Pause.
	Warm, Span, Pause time.Duration
	Changes           int
}

// ScaleCalls are the calls of one method per second, summed over all daemons of a role.
type ScaleCalls struct {
	Calls float64 `json:"calls_s"`
	Bytes float64 `json:"bytes_s"`
}

// ScalePoint is the measurement at one size.
type ScalePoint struct {
	ScaleSize
	// Figures are the results by name. Those of a data daemon are means, over the hollow
	// daemons for messages and over the separate processes for processor time; its memory is
	// that of the separate process that uses most. Those of a control daemon are of the one
	// that has the highest.
	Figures map[string]float64 `json:"figures"`
	// Calls are by the caller's role and method.
	Calls map[string]ScaleCalls `json:"calls"`
	// Changes are the times of each change, in milliseconds: until it was acknowledged, and
	// until the last hollow daemon applied it.
	Changes []ScaleChange `json:"changes"`
	// Trouble says why the point could not be measured completely.
	Trouble string `json:"trouble,omitempty"`
}

// ScaleChange is the result of sending one configuration.
type ScaleChange struct {
	Acknowledged float64 `json:"acknowledged_ms"`
	Last         float64 `json:"last_apply_ms"`
	Status       int     `json:"status"`
	Applied      int     `json:"applied"`
	// Code is the error code if a change was not acknowledged.
	Code string `json:"code,omitempty"`
}

// scaleProcess is a daemon that runs as a separate process.
type scaleProcess struct {
	command    *exec.Cmd
	name       string
	wire, http string
	ended      chan struct{}
}

// usage is a process's resource usage from the kernel: processor time in seconds, and its
// current and peak resident memory in megabytes.
type usage struct{ processor, resident, peak float64 }

// clockTicks is the number of the kernel's units of processor time in a second.
const clockTicks = 100

func usageOf(pid int) (out usage) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return out
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	if fields := strings.Fields(rest); len(fields) > 12 {
		for _, field := range fields[11:13] {
			ticks, _ := strconv.ParseFloat(field, 64)
			out.processor += ticks / clockTicks
		}
	}
	text, _ = os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			out.resident = kilobytes / 1024
		case "VmHWM:":
			out.peak = kilobytes / 1024
		}
	}
	return out
}

// hollow is a data daemon inside this process that serves no callers.
type hollow struct {
	*dataplane.Daemon
	world    *loop.Machine
	listener net.Listener
}

// scale is a running cluster at which a point is measured.
type scale struct {
	ScaleOptions
	size     ScaleSize
	folder   string
	controls []*scaleProcess
	datas    []*scaleProcess
	hollows  []*hollow
	counter  wire.Counter // of all hollow daemons
	probes   probes
	closing  []func()
	client   *http.Client
}

// probes counts the requests that the replicas' stubs and the platform's stub received, and
// the connections that were delayed because this process had no free file descriptor.
type probes struct{ requests, bytes, outOfFiles atomic.Int64 }

type countingListener struct {
	net.Listener
	probes *probes
}

// Accept returns a connection that counts its bytes. It retries if this process has no free
// file descriptor, since the server would stop for good on that error.
func (listener countingListener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) {
			listener.probes.outOfFiles.Add(1)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if err != nil {
			return nil, err
		}
		return countingConn{conn, listener.probes}, nil
	}
}

type countingConn struct {
	net.Conn
	probes *probes
}

// Read counts the bytes read.
func (conn countingConn) Read(out []byte) (int, error) {
	count, err := conn.Conn.Read(out)
	conn.probes.bytes.Add(int64(count))
	return count, err
}

// Write counts the bytes written.
func (conn countingConn) Write(text []byte) (int, error) {
	count, err := conn.Conn.Write(text)
	conn.probes.bytes.Add(int64(count))
	return count, err
}

func (scale *scale) region(index int) string { return fmt.Sprintf("g%d", index%scale.size.Regions+1) }

// zone returns the zone with a number and its region: zone n belongs to region n modulo the
// number of regions.
func (scale *scale) zone(index int) (region, zone string) {
	index %= scale.size.Zones
	return scale.region(index), fmt.Sprintf("%s-%d", scale.region(index), index/scale.size.Regions+1)
}

func (scale *scale) model(index int) string { return fmt.Sprintf("m%d", index%scale.size.Models+1) }

// document returns the cluster's configuration. The label distinguishes one version from the
// next.
func (scale *scale) document(platform string, label int) []byte {
	placements, engines, regions := map[string]any{}, map[string]any{}, map[string]any{}
	for index := range scale.size.Models {
		placements[scale.model(index)] = map[string]any{"version": "any", "capacity": 64}
		engines[scale.model(index)] = map[string]any{"probe_path": "/vitals", "conn_cap": 370, "cold_ms": 3000, "cold_per_s": 26, "berths": 64, "cache_tokens": 348621, "spacing": 4}
	}
	zones := map[string]map[string]any{}
	for index := range scale.size.Zones {
		region, zone := scale.zone(index)
		if zones[region] == nil {
			zones[region] = map[string]any{}
		}
		zones[region][zone] = map[string]any{}
	}
	for region, inside := range zones {
		regions[region] = map[string]any{"platform": "http://" + platform + "/" + region, "zones": inside}
	}
	routes := make([]any, scale.size.Routes)
	for index := range routes {
		routes[index] = map[string]any{
			"name": fmt.Sprintf("tenant-%d", index+1), "host": fmt.Sprintf("t%d.example", index+1), "prefix": "/", "kind": "streamed", "timeout_ms": 10000, "target_ms": 1000, "gap_ms": 300,
			"urgency": index % 3, "tries": 2, "shares": []any{map[string]any{"model": scale.model(index), "weight": 1}},
		}
	}
	text, _ := json.Marshal(map[string]any{"label": label, "whole": map[string]any{"placements": placements, "limits": routedLimits}, "engines": engines, "routes": routes, "regions": regions})
	return text
}

// serve starts an HTTP server on an address; it runs until the cluster is stopped.
func (scale *scale) serve(address string, handler fasthttp.RequestHandler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true}
	go func() { _ = server.Serve(countingListener{listener, &scale.probes}) }()
	scale.closing = append(scale.closing, func() { listener.Close() })
	return listener.Addr().String(), nil
}

// replicas starts the replicas' stubs and the platform's stub that lists them.
func (scale *scale) replicas() (platform string, err error) {
	lists := map[string][]map[string]string{}
	health := func(ctx *fasthttp.RequestCtx) {
		scale.probes.requests.Add(1)
		ctx.SetContentType("application/json")
		fmt.Fprintf(ctx, `{"boot":"b-%s","versions":[]}`, ctx.LocalAddr())
	}
	for index := range scale.size.Replicas {
		// All of 127/8 is loopback. Spreading the listeners over addresses leaves the ports of
		// 127.0.0.1 to the other processes.
		address, err := scale.serve(fmt.Sprintf("127.7.%d.%d:0", 1+index/200, 1+index%200), health)
		if err != nil {
			return "", err
		}
		region, zone := scale.zone(index)
		lists[region] = append(lists[region], map[string]string{"id": fmt.Sprintf("%s-r%d", zone, index+1), "address": address, "zone": zone, "state": "running", "model": scale.model(index / scale.size.Zones), "version": "v1"})
	}
	return scale.serve("127.0.0.1:0", func(ctx *fasthttp.RequestCtx) {
		list := lists[strings.TrimPrefix(string(ctx.Path()), "/")]
		if list == nil {
			list = []map[string]string{}
		}
		text, _ := json.Marshal(map[string]any{"replicas": list})
		ctx.SetContentType("application/json")
		_, _ = ctx.Write(text)
	})
}

// freeAddresses returns addresses on which nothing listens.
func freeAddresses(count int) (out []string, err error) {
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		out = append(out, listener.Addr().String())
	}
	return out, nil
}

// launch starts a daemon as a separate process.
func (scale *scale) launch(program, name string, at int, seeds, addresses []string, more ...string) (*scaleProcess, error) {
	region, zone := scale.zone(at)
	arguments := append([]string{"run", "--name", name, "--region", region, "--zone", zone, "--wire", addresses[0], "--http", addresses[1], "--seeds", strings.Join(seeds, ","), "--log", "warn", "--grace", "1"}, more...)
	out := &scaleProcess{command: exec.Command(filepath.Join(scale.Programs, program), arguments...), name: name, wire: addresses[0], http: addresses[1], ended: make(chan struct{})}
	log, err := os.Create(filepath.Join(scale.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	out.command.Stderr, out.command.Stdout = log, log
	// The kernel kills the daemon if this process dies for whatever reason.
	out.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := out.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = out.command.Wait()
		close(out.ended)
	}()
	return out, nil
}

// stop stops everything that was started.
func (scale *scale) stop() {
	for _, process := range scale.hollows {
		process.world.End()
		process.listener.Close()
	}
	processes := append(slices.Clone(scale.datas), scale.controls...)
	for _, process := range processes {
		_ = process.command.Process.Signal(syscall.SIGTERM)
	}
	deadline := time.After(4 * time.Second)
	for _, process := range processes {
		select {
		case <-process.ended:
		case <-deadline:
			_ = process.command.Process.Kill()
			<-process.ended
			deadline = time.After(0)
		}
	}
	for _, close := range scale.closing {
		close()
	}
	for _, process := range scale.hollows {
		process.world.Wait(time.Second)
	}
	_ = os.RemoveAll(scale.folder)
}

// request sends an HTTP request to a daemon.
func (scale *scale) request(method, url string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	answer, err := scale.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, text, err
}

// waitUntil polls the condition until it holds, the timeout passes or the context ends, and
// reports whether it holds.
func waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		if condition() {
			return true
		}
		sleep(ctx, 20*time.Millisecond)
	}
	return false
}

// sleep waits for the given time, or until the context ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// start starts the cluster and waits until every hollow daemon has a valid lease and a
// complete routing table.
func (scale *scale) start(ctx context.Context) (platform string, err error) {
	if platform, err = scale.replicas(); err != nil {
		return "", err
	}
	addresses, err := freeAddresses(2 * (scale.size.Controls + ScaleReal))
	if err != nil {
		return "", err
	}
	var seeds []string
	for index := range scale.size.Controls {
		seeds = append(seeds, addresses[2*index])
	}
	for index := range scale.size.Controls {
		name := fmt.Sprintf("c%d", index+1)
		process, err := scale.launch("controlplane", name, index, seeds, addresses[2*index:], "--data", filepath.Join(scale.folder, name), "--count")
		if err != nil {
			return "", err
		}
		scale.controls = append(scale.controls, process)
	}
	if !waitUntil(ctx, 10*time.Second, func() bool {
		status, _, err := scale.request("POST", scale.controls[0].http+"/v1/init", nil)
		return err == nil && status == 200
	}) {
		return "", errors.New("core was not initialized within 10 s")
	}
	first := scale.document(platform, 1)
	status, text := 0, []byte(nil)
	if !waitUntil(ctx, 20*time.Second, func() bool {
		status, text, err = scale.request("POST", scale.controls[0].http+"/v1/config", first)
		return err == nil && status == 200
	}) {
		return "", fmt.Errorf("the first configuration (%d bytes) was answered with %d %s %v", len(first), status, text, err)
	}
	for index := range ScaleReal {
		at := 2 * (scale.size.Controls + index)
		process, err := scale.launch("dataplane", fmt.Sprintf("d%d", index+1), index, seeds, addresses[at:])
		if err != nil {
			return "", err
		}
		scale.datas = append(scale.datas, process)
	}
	for index := ScaleReal; index < scale.size.Datas; index++ {
		if err := scale.hollow(index, seeds); err != nil {
			return "", err
		}
	}
	valid := 0
	if !waitUntil(ctx, 30*time.Second, func() bool {
		valid = 0
		for _, process := range scale.hollows {
			rows := 0
			for _, table := range process.Holder.View().RoutingTables {
				rows += len(table.Rows)
			}
			if process.Holder.View().IsValid(process.world.Now()) && rows == scale.size.Replicas {
				valid++
			}
		}
		return valid == len(scale.hollows)
	}) {
		withLease, mostRows := 0, 0
		for _, process := range scale.hollows {
			rows := 0
			for _, table := range process.Holder.View().RoutingTables {
				rows += len(table.Rows)
			}
			if process.Holder.View().IsValid(process.world.Now()) {
				withLease++
			}
			mostRows = max(mostRows, rows)
		}
		return platform, fmt.Errorf("after 30 s %d of %d hollow daemons had a valid lease, and the most complete routing tables had %d of %d replicas", withLease, len(scale.hollows), mostRows, scale.size.Replicas)
	}
	return platform, nil
}

// hollow starts one hollow data daemon: the product's own code, without callers.
func (scale *scale) hollow(index int, seeds []string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	region, zone := scale.zone(index)
	world := loop.NewMachine()
	process := settings.Process{Name: fmt.Sprintf("d%d", index+1), Region: region, Zone: zone, Wire: listener.Addr().String(), HTTP: listener.Addr().String(), Seeds: seeds, Log: "warn", Grace: 1}
	daemon := dataplane.New(dataplane.Options{
		World: world, Net: &wire.TCP{World: world, Counter: &scale.counter}, Process: process, Incarnation: fmt.Sprintf("%x-%d", time.Now().UnixMilli(), index),
	})
	go wire.Serve(world, listener, daemon.Services())
	daemon.Run()
	scale.hollows = append(scale.hollows, &hollow{daemon, world, listener})
	return nil
}

// snapshot holds all counters at one time.
type snapshot struct {
	at                 time.Time
	usages             map[string]usage
	own                usage
	calls              map[string][]wire.CallStats // by control daemon; "" for the hollow daemons
	syncs, reads       map[string]float64
	probes, probeBytes float64
}

func (scale *scale) takeSnapshot() snapshot {
	out := snapshot{at: time.Now(), usages: map[string]usage{}, own: usageOf(os.Getpid()), calls: map[string][]wire.CallStats{"": scale.counter.Snapshot()}, syncs: map[string]float64{}, reads: map[string]float64{}, probes: float64(scale.probes.requests.Load()), probeBytes: float64(scale.probes.bytes.Load())}
	for _, process := range append(slices.Clone(scale.datas), scale.controls...) {
		out.usages[process.name] = usageOf(process.command.Process.Pid)
	}
	for _, process := range scale.controls {
		_, text, err := scale.request("GET", process.http+"/v1/counters", nil)
		if err != nil {
			continue
		}
		var counters struct {
			Calls  []wire.CallStats
			Syncs  float64 `json:"disk_syncs"`
			Rounds struct{ Reads, Writes, Conflicts float64 }
		}
		_ = json.Unmarshal(text, &counters)
		out.calls[process.name], out.syncs[process.name], out.reads[process.name] = counters.Calls, counters.Syncs, counters.Rounds.Reads
	}
	return out
}

// addFigures computes the figures from the difference of two snapshots.
func (scale *scale) addFigures(before, after snapshot, point *ScalePoint, prefix string) {
	span := after.at.Sub(before.at).Seconds()
	figure := func(name string, value float64) { point.Figures[prefix+name] = math.Round(value*1e4) / 1e4 }
	processor := func(name string) float64 {
		return (after.usages[name].processor - before.usages[name].processor) / span
	}
	figure("seconds", span)
	dataCores, dataMB := 0.0, 0.0
	for _, process := range scale.datas {
		dataCores += processor(process.name) / ScaleReal
		dataMB = max(dataMB, after.usages[process.name].resident)
	}
	figure("data_cores", dataCores)
	figure("data_mb", dataMB)
	controlCores, controlCoresAll, controlMB, syncs, reads := 0.0, 0.0, 0.0, 0.0, 0.0
	wires := map[string]string{}
	for _, process := range scale.controls {
		wires[process.wire] = process.name
		controlCores, controlCoresAll = max(controlCores, processor(process.name)), controlCoresAll+processor(process.name)
		controlMB = max(controlMB, after.usages[process.name].resident)
		syncs = max(syncs, (after.syncs[process.name]-before.syncs[process.name])/span)
		reads = max(reads, (after.reads[process.name]-before.reads[process.name])/span)
	}
	figure("control_cores", controlCores)
	figure("control_cores_all", controlCoresAll)
	figure("control_mb", controlMB)
	figure("acceptor_syncs_s", syncs)
	figure("control_rounds_s", reads)
	figure("probes_s", (after.probes-before.probes)/span)
	figure("probe_bytes_s", (after.probeBytes-before.probeBytes)/span)
	figure("hollow_cores", (after.own.processor-before.own.processor)/span)
	figure("hollow_mb", after.own.resident)
	// The separate data daemons are assumed to send as many messages as the hollow ones.
	dataFactor := float64(scale.size.Datas) / float64(len(scale.hollows))
	callsOf, bytesOf := map[string]float64{}, map[string]float64{}
	registerCalls, registerBytes, dataCalls, dataBytes := 0.0, 0.0, 0.0, 0.0
	shareCalls, shareBytes := 0.0, 0.0
	for caller, rows := range after.calls {
		role, factor := "control", 1.0
		if caller == "" {
			role, factor = "data", dataFactor
		}
		old := map[[2]string]wire.CallStats{}
		for _, row := range before.calls[caller] {
			old[[2]string{row.Address, row.Method}] = row
		}
		for _, row := range rows {
			previous := old[[2]string{row.Address, row.Method}]
			calls := float64(row.Requests-previous.Requests) / span * factor
			transferred := float64(row.SentBytes+row.ReceivedBytes-previous.SentBytes-previous.ReceivedBytes) / span * factor
			key := role + " " + row.Method
			if prefix == "" {
				sum := point.Calls[key]
				point.Calls[key] = ScaleCalls{Calls: math.Round((sum.Calls+calls)*100) / 100, Bytes: math.Round(sum.Bytes + transferred)}
			}
			callee := wires[row.Address]
			callsOf[callee], bytesOf[callee] = callsOf[callee]+calls, bytesOf[callee]+transferred
			if caller != "" {
				callsOf[caller], bytesOf[caller] = callsOf[caller]+calls, bytesOf[caller]+transferred
			}
			isData := caller == "" || callee == ""
			switch {
			case isData:
				dataCalls, dataBytes = dataCalls+calls, dataBytes+transferred
			case strings.HasPrefix(row.Method, "Register."):
				registerCalls, registerBytes = registerCalls+calls, registerBytes+transferred
			default:
				shareCalls, shareBytes = shareCalls+calls, shareBytes+transferred
			}
		}
	}
	delete(callsOf, "")
	delete(bytesOf, "")
	figure("data_calls_s", dataCalls/float64(scale.size.Datas))
	figure("data_bytes_s", dataBytes/float64(scale.size.Datas))
	figure("register_calls_s", registerCalls)
	figure("register_bytes_s", registerBytes)
	figure("share_calls_s", shareCalls)
	figure("share_bytes_s", shareBytes)
	calls, transferred := 0.0, 0.0
	for name := range callsOf {
		calls, transferred = max(calls, callsOf[name]), max(transferred, bytesOf[name])
	}
	figure("control_calls_s", calls)
	figure("control_bytes_s", transferred)
}

// change sends a configuration and waits until the last hollow daemon has applied it.
func (scale *scale) change(ctx context.Context, document []byte) ScaleChange {
	type ending struct {
		status int
		code   string
		took   time.Duration
	}
	ended := make(chan ending, 1)
	before := uint64(0)
	for _, daemon := range scale.hollows {
		before = max(before, daemon.Holder.View().Serial)
	}
	began := time.Now()
	go func() {
		status, text, _ := scale.request("POST", scale.controls[0].http+"/v1/config", document)
		ended <- ending{status, gjson.GetBytes(text, "code").Str, time.Since(began)}
	}()
	out := ScaleChange{}
	milliseconds := func(span time.Duration) float64 { return math.Round(span.Seconds()*1e4) / 10 }
	// A change that was not acknowledged may still be applied, but need not be.
	timeout := func() time.Duration {
		if out.Status != 0 && out.Status != http.StatusOK {
			return 5 * time.Second
		}
		return 20 * time.Second
	}
	for !(out.Acknowledged > 0 && out.Applied == len(scale.hollows)) && time.Since(began) < timeout() && ctx.Err() == nil {
		out.Applied = 0
		for _, daemon := range scale.hollows {
			if daemon.Holder.View().Serial > before {
				out.Applied++
			}
		}
		if out.Applied == len(scale.hollows) && out.Last == 0 {
			out.Last = milliseconds(time.Since(began))
		}
		select {
		case result := <-ended:
			out.Status, out.Code, out.Acknowledged = result.status, result.code, milliseconds(result.took)
		case <-time.After(time.Millisecond):
		}
	}
	return out
}

// MeasureScale starts a cluster of the size, measures it and stops it. An error means that
// nothing could be measured.
func MeasureScale(ctx context.Context, options ScaleOptions, size ScaleSize) (point ScalePoint, err error) {
	point = ScalePoint{ScaleSize: size, Figures: map[string]float64{}, Calls: map[string]ScaleCalls{}}
	if err := size.Check(); err != nil {
		return point, err
	}
	folder, err := os.MkdirTemp("", "scale")
	if err != nil {
		return point, err
	}
	scale := &scale{ScaleOptions: options, size: size, folder: folder, client: &http.Client{Timeout: 20 * time.Second}}
	defer scale.stop()
	platform, err := scale.start(ctx)
	if err != nil {
		point.Trouble = err.Error()
		if platform == "" {
			return point, nil
		}
	}
	sleep(ctx, options.Warm)
	before := scale.takeSnapshot()
	sleep(ctx, options.Span)
	idle := scale.takeSnapshot()
	scale.addFigures(before, idle, &point, "")
	point.Figures["document_bytes"] = float64(len(scale.document(platform, 1)))
	for turn := range options.Changes {
		if ctx.Err() != nil {
			break
		}
		sent := time.Now()
		change := scale.change(ctx, scale.document(platform, turn+2))
		point.Changes = append(point.Changes, change)
		point.Figures["acknowledged_ms"] = max(point.Figures["acknowledged_ms"], change.Acknowledged)
		point.Figures["last_apply_ms"] = max(point.Figures["last_apply_ms"], change.Last)
		sleep(ctx, options.Pause-time.Since(sent))
	}
	if options.Changes > 0 {
		scale.addFigures(idle, scale.takeSnapshot(), &point, "changing_")
	}
	valid := 0
	for _, daemon := range scale.hollows {
		if daemon.Holder.View().IsValid(daemon.world.Now()) {
			valid++
		}
	}
	point.Figures["fileless"] = float64(scale.probes.outOfFiles.Load())
	point.Figures["permits_stand"] = float64(valid) / float64(len(scale.hollows))
	return point, ctx.Err()
}

// ScaleSlope is how a figure depends on a dimension: a linear least-squares fit.
type ScaleSlope struct {
	Dimension string `json:"dimension"`
	Figure    string `json:"figure"`
	// Base is the figure at zero, Each the increase per unit of the dimension, and Spread the
	// standard error of Each.
	Base   float64 `json:"base"`
	Each   float64 `json:"each"`
	Spread float64 `json:"spread"`
	Points int     `json:"points"`
}

// Slope fits a line through points whose sizes differ in the dimension, leaving out points
// with a Trouble. It returns false if there are fewer than three points.
func Slope(points []ScalePoint, dimension, figure string) (ScaleSlope, bool) {
	out := ScaleSlope{Dimension: dimension, Figure: figure}
	var xs, ys []float64
	for _, point := range points {
		value, known := point.Figures[figure]
		if at := point.Value(dimension); at > 0 && known && point.Trouble == "" {
			xs, ys = append(xs, float64(at)), append(ys, value)
		}
	}
	count := float64(len(xs))
	sumX, sumY := 0.0, 0.0
	for index := range xs {
		sumX, sumY = sumX+xs[index], sumY+ys[index]
	}
	squares, products := 0.0, 0.0
	for index := range xs {
		squares += (xs[index] - sumX/count) * (xs[index] - sumX/count)
		products += (xs[index] - sumX/count) * (ys[index] - sumY/count)
	}
	if len(xs) < 3 || squares == 0 {
		return out, false
	}
	out.Points, out.Each = len(xs), products/squares
	out.Base = sumY/count - out.Each*sumX/count
	residuals := 0.0
	for index := range xs {
		residual := ys[index] - out.Base - out.Each*xs[index]
		residuals += residual * residual
	}
	out.Spread = math.Sqrt(residuals / (count - 2) / squares)
	return out, true
}

// The users' budget of control costs for each data daemon: fraction of a core, megabytes, and
// bytes a second.
const (
	BudgetCores = 0.012
	BudgetMB    = 64
	BudgetBytes = 20e3
)

// Value returns the size in a dimension, zero if there is no dimension of that name.
func (size ScaleSize) Value(dimension string) int {
	if field := size.dimensions()[dimension]; field != nil {
		return *field
	}
	return 0
}

// ScaleFigures returns the names of all figures of the points, sorted.
func ScaleFigures(points []ScalePoint) []string {
	names := map[string]bool{}
	for _, point := range points {
		for name := range point.Figures {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}
