package execute_test

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"swifttiller/decide"
	"swifttiller/execute"
	"swifttiller/loop"
	"swifttiller/permit"
	"swifttiller/replica"
	"swifttiller/session"
	"swifttiller/settings"
	"swifttiller/standing"
	"swifttiller/verdict"
)

// reply is what a scripted replica does with one dispatch.
type reply struct {
	mishap *verdict.Mishap
	status int
	events []string
	err    error // behind the events; nil for a clean end
}

// Next gives the events in their order.
func (reply *reply) Next() ([]byte, error) {
	if len(reply.events) > 0 {
		event := reply.events[0]
		reply.events = reply.events[1:]
		return []byte(event), nil
	}
	if reply.err != nil {
		return nil, reply.err
	}
	return nil, io.EOF
}

// Close has nothing to end.
func (*reply) Close() {}

// scripted answers dispatches in their order, and notes behind which event each was to
// go on, and that none went to a replica twice.
type scripted struct {
	replies  []*reply
	after    []string
	replicas map[string]int
	// astray counts dispatches that were not told whose request it is, and its rank.
	astray int
}

// Send gives the next reply.
func (scripted *scripted) Send(ask *replica.Ask) (*replica.Answer, *verdict.Mishap) {
	if mishap := ask.Gate(); mishap != nil {
		return nil, mishap
	}
	scripted.after = append(scripted.after, ask.After)
	scripted.replicas[ask.Replica]++
	if ask.Tenant != "whose" || ask.Urgency != 3 {
		scripted.astray++
	}
	next := scripted.replies[min(len(scripted.after), len(scripted.replies))-1]
	if next.mishap != nil {
		return nil, next.mishap
	}
	return &replica.Answer{Head: replica.Head{Status: next.status, Events: true}, Header: &fasthttp.ResponseHeader{}, Length: -1, Source: next}, nil
}

func events(from, until int) (list []string) {
	for number := from; number <= until; number++ {
		list = append(list, fmt.Sprintf("id: %d\ndata: x\n\n", number))
	}
	return list
}

// answered stands for no mishap at all.
const answered = verdict.Verdict(99)

// stage is a data daemon with so many replicas, and demand that pays for twenty repeats.
func stage(t *testing.T, replicas int) (loop.World, *decide.Decider, func() *permit.View) {
	t.Helper()
	tree, problems := settings.Parse([]byte(`{"whole":{"placements":{"m":{"version":"any","capacity":64}}},"engines":{"m":{"probe_path":"/vitals","berths":64}},
 "routes":[{"name":"r","host":"h.example","prefix":"/resumed/","kind":"streamed","timeout_ms":10000,"target_ms":1000,"tries":3,"resume":true,"shares":[{"model":"m","weight":1}]},
  {"name":"o","host":"h.example","prefix":"/once/","kind":"streamed","timeout_ms":10000,"target_ms":1000,"tries":3,"shares":[{"model":"m","weight":1}]}],
 "tenants":[{"name":"whose","keys":["k"],"urgency":3}],
 "regions":{"a":{"zones":{"a-1":{}}}}}`))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	place := standing.Standing{Region: "a"}
	for index := range replicas {
		id := fmt.Sprint("i-", index)
		place.Places = append(place.Places, standing.Place{ID: id, Address: id, Zone: "a-1", Region: "a", Boot: id, Capacity: 64, Whole: 64, Warm: 1})
		place.Rows = append(place.Rows, standing.Row{Replica: id, Model: "m", Version: "v1"})
	}
	view := &permit.View{Serial: 1, Tree: tree, Expiry: loop.Forever, Evacuated: map[string]bool{}, Standings: map[string]standing.Standing{"a": place}}
	world := loop.NewMachine()
	holder := func() *permit.View { return view }
	decider := decide.New(decide.Options{World: world, Holder: holder, Self: session.Member{Name: "x", Role: session.Data, Region: "a", Zone: "a-1"}})
	for range 100 {
		_ = decider.Direct(&decide.Routed{Host: "h.example", Key: "k", Path: "/once/x", Expiry: world.Now() + time.Minute})
	}
	return world, decider, holder
}

// TestPassages: what a caller is told of a routed request, by what its dispatches met.
func TestPassages(t *testing.T) {
	cut := &verdict.Mishap{Verdict: verdict.MayHaveRun, Code: "replica_cut", Status: 502}
	silent := &verdict.Mishap{Verdict: verdict.MayHaveRun, Code: "replica_silent", Status: 502}
	unreached := &verdict.Mishap{Verdict: verdict.NotRun, Code: "replica_unreached", Status: 503}
	declined := &verdict.Mishap{Verdict: verdict.NotRun, Code: "replica_declined", Status: 503}
	broken := errors.New("cut")
	for _, one := range []struct {
		name       string
		path       string
		replies    []*reply
		verdict    verdict.Verdict // of a mishap, unless status is that of an answer
		status     int
		text       string
		isCut      bool
		dispatches []string // behind which event each was to go on
	}{
		{"whole", "/resumed/", []*reply{{status: 200, events: events(1, 3)}}, answered, 200, "123", false, []string{""}},
		{"cut, and nobody else can be reached", "/resumed/", []*reply{{mishap: cut}, {mishap: unreached}}, verdict.MayHaveRun, 502, "", false, []string{"", "", "", "", ""}},
		{"silent, and turned away elsewhere", "/resumed/", []*reply{{mishap: silent}, {mishap: declined}}, verdict.MayHaveRun, 502, "", false, []string{"", "", ""}},
		{"failed, and nobody else can be reached", "/resumed/", []*reply{{status: 500}, {mishap: unreached}}, verdict.Ran, 502, "", false, []string{"", "", "", "", ""}},
		{"failed, and whole elsewhere", "/resumed/", []*reply{{status: 500}, {status: 200, events: events(1, 2)}}, answered, 200, "12", false, []string{"", ""}},
		{"turned away everywhere", "/resumed/", []*reply{{mishap: declined}}, verdict.NotRun, 503, "", false, []string{"", "", ""}},
		{"goes on elsewhere", "/resumed/", []*reply{{status: 200, events: events(1, 2), err: broken}, {status: 200, events: events(3, 5)}}, answered, 200, "12345", false, []string{"", "2"}},
		{"goes on elsewhere and is cut there, thrice", "/resumed/", []*reply{{status: 200, events: events(1, 2), err: broken}, {status: 200, events: events(3, 3), err: broken}, {status: 200, events: events(4, 4), err: broken}}, answered, 200, "1234", true, []string{"", "2", "3"}},
		{"fails where it was to go on", "/resumed/", []*reply{{status: 200, events: events(1, 2), err: broken}, {status: 404, events: events(9, 9)}}, answered, 200, "12", true, []string{"", "2"}},
		{"cut and not to be repeated", "/once/", []*reply{{mishap: cut}}, verdict.MayHaveRun, 502, "", false, []string{""}},
		{"broken off and not to be repeated", "/once/", []*reply{{status: 200, events: events(1, 2), err: broken}}, answered, 200, "12", true, []string{""}},
		{"turned away, then whole, not to be repeated", "/once/", []*reply{{mishap: declined}, {status: 200, events: events(1, 1)}}, answered, 200, "1", false, []string{"", ""}},
		{"failed and not to be repeated", "/once/", []*reply{{status: 500}}, answered, 500, "", false, []string{""}},
	} {
		t.Run(one.name, func(t *testing.T) {
			world, decider, holder := stage(t, 9)
			script := &scripted{replies: one.replies, replicas: map[string]int{}}
			executor := &execute.Executor{Options: execute.Options{World: world, Decider: decider, Relayer: script, Holder: holder}}
			routed := &decide.Routed{ID: "q", Host: "h.example", Key: "k", Path: one.path + "x", Expiry: world.Now() + time.Minute}
			if mishap := decider.Direct(routed); mishap != nil {
				t.Fatal(mishap.Code)
			}
			passage, mishap := executor.Relay(routed, replica.Ask{}, &execute.Leaver{})
			switch {
			case mishap != nil && (one.verdict == answered || mishap.Verdict != one.verdict || mishap.Status != one.status):
				t.Errorf("told %v %s %d", mishap.Verdict, mishap.Code, mishap.Status)
			case mishap == nil && one.verdict != answered:
				t.Errorf("answered %d", passage.Status)
			case mishap == nil:
				text, err := io.ReadAll(passage)
				want := ""
				for _, number := range one.text {
					want += fmt.Sprintf("id: %c\ndata: x\n\n", number)
				}
				if string(text) != want || (err != nil) != one.isCut || passage.Status != one.status {
					t.Errorf("status %d, got %q, %v", passage.Status, text, err)
				}
				_ = passage.Close()
			}
			if fmt.Sprint(script.after) != fmt.Sprint(one.dispatches) {
				t.Errorf("dispatched behind %q", script.after)
			}
			for id, count := range script.replicas {
				if count > 1 {
					t.Errorf("%s got it %d times", id, count)
				}
			}
			if script.astray > 0 {
				t.Errorf("%d dispatches name another tenant or rank", script.astray)
			}
			if decider.Running() != 0 {
				t.Errorf("%d still run", decider.Running())
			}
		})
	}
}

// TestArrivalsAtFormerLives: a request that a replica turns away, as it has begun another
// life, arrived there all the same; what is sent on then draws on the budget of repeats.
func TestArrivalsAtFormerLives(t *testing.T) {
	const asked, paid = 100, 20
	world, decider, holder := stage(t, 1000)
	anew := &verdict.Mishap{Verdict: verdict.NotRun, Code: replica.AnewCode, Status: 503}
	script := &scripted{replies: []*reply{{mishap: anew}}, replicas: map[string]int{}}
	executor := &execute.Executor{Options: execute.Options{World: world, Decider: decider, Relayer: script, Holder: holder}}
	for index := range asked {
		routed := &decide.Routed{ID: fmt.Sprint("q", index), Host: "h.example", Key: "k", Path: "/once/x", Expiry: world.Now() + time.Minute}
		if mishap := decider.Direct(routed); mishap != nil {
			t.Fatal(mishap.Code)
		}
		_, mishap := executor.Relay(routed, replica.Ask{}, &execute.Leaver{})
		if mishap == nil || mishap.Verdict != verdict.NotRun || mishap.ComeBack <= 0 {
			t.Fatalf("told %+v", mishap)
		}
	}
	// A fifth of these and of those before.
	if again := len(script.after) - asked; again > paid+asked/5 || again < paid {
		t.Errorf("retries: %d of %d arrivals are repeats, for %d requests", again, len(script.after), 5*paid+asked)
	}
}
