package soak

import (
	"fmt"
	"maps"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"
)

// The routes of the test below: a first one, and later ones that lead to services whose healthy replicas work for a
// while before an answer begins.
const (
	addedHost      = "added.example"
	addedTimeout   = 4 * time.Second
	addedLeft      = addedTimeout - 100*time.Millisecond
	addedSpan      = 12 * time.Second
	addedPerSecond = 6 // requests on each route, to all data daemons together
)

// slowService is a healthy service that answers late, and the route to it.
type slowService struct {
	name         string
	answersAfter time.Duration
	kind         string
	isResumable  bool
	tries        int
}

// slowServices have one route each; the first service answers at once.
var slowServices = []slowService{
	{"pool-a", 0, "safe", false, 2},
	{"pool-b", 1500 * time.Millisecond, "safe", false, 2},
	{"pool-c", 2500 * time.Millisecond, "safe", false, 2},
	{"pool-d", 3 * time.Second, "safe", false, 3},
	{"pool-e", 2500 * time.Millisecond, "streamed", true, 2},
}

func (service slowService) prefix() string { return "/" + service.name + "/" }

// route is the route to the service.
func (service slowService) route() route {
	return route{
		Name: service.name, Host: addedHost, Prefix: service.prefix(), Service: service.name, Kind: service.kind, Tries: service.tries, Resume: service.isResumable,
		Timeout: int(addedTimeout.Milliseconds()), Target: 1000, Gap: 300, Homes: []string{},
	}
}

// answers counts what became of the requests on one route, by data daemon and by status and code.
type answers struct {
	guard     sync.Mutex
	byMachine map[string]*tally
	kinds     map[string]int
}

func (answers *answers) add(machine *machine, status int, body []byte) {
	answers.guard.Lock()
	defer answers.guard.Unlock()
	if answers.byMachine[machine.name] == nil {
		answers.byMachine[machine.name] = &tally{}
	}
	one := answers.byMachine[machine.name]
	one.sent++
	if status == fasthttp.StatusOK {
		one.served++
	}
	answers.kinds[fmt.Sprint(status, " ", gjson.GetBytes(body, "code"))]++
}

// ask sends one request on a service's route through a data daemon and counts what becomes of it.
func (service slowService) ask(machine *machine, answers *answers) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod("POST")
	request.SetRequestURI(fmt.Sprintf("http://%s:%d%sx", machine.ip, counterPort, service.prefix()))
	request.Header.SetHost(addedHost)
	request.UseHostHeader = true
	request.Header.Set("Attempt-Id", fmt.Sprintf("%016x", requests.Add(1)))
	request.Header.Set("Model", "m")
	request.Header.Set("Time-Left-Ms", strconv.Itoa(int(addedLeft.Milliseconds())))
	if service.kind == "streamed" {
		request.Header.Set(headerEvents, "3")
	} else {
		request.Header.Set(headerLines, "1")
	}
	request.SetBodyString("{}")
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(request, response, 2*addedTimeout); err != nil {
		answers.add(machine, 0, nil)
		return
	}
	answers.add(machine, response.StatusCode(), response.Body())
}

// TestAddedRoutesToSlowServicesAreServed guards against attempts that are given up as their replicas work in silence:
// routes that were added later and lead to a slow service were served less than a quarter as often as the first ones (CONFIG).
func TestAddedRoutesToSlowServicesAreServed(t *testing.T) {
	deployment := sklepik(3, 3)
	cluster, operator := beginQuiet(t, deployment, 40)
	document := maps.Clone(operator.current)
	for _, service := range slowServices {
		cluster.provider.slowDown(service.name, service.answersAfter)
		document[key(addedHost, service.prefix())] = service.route()
		operator.send(&change{basedOn: operator.edition, edition: operator.edition + 1, document: maps.Clone(document)})
	}
	cluster.wait(deployment.apply)
	seen := make([]*answers, len(slowServices))
	var senders sync.WaitGroup
	machines := cluster.of(data)
	for index, service := range slowServices {
		seen[index] = &answers{byMachine: map[string]*tally{}, kinds: map[string]int{}}
		senders.Go(func() {
			for number := range int(addedSpan/time.Second) * addedPerSecond {
				senders.Go(func() { service.ask(machines[number%len(machines)], seen[index]) })
				cluster.wait(time.Second / addedPerSecond)
			}
		})
	}
	senders.Wait()
	first := seen[0]
	for index, service := range slowServices[1:] {
		added := seen[index+1]
		t.Logf("%s, %s after %v: %v", service.name, service.kind, service.answersAfter, added.kinds)
		for machine, one := range added.byMachine {
			other := first.byMachine[machine]
			if one.sent < leastAdded {
				t.Errorf("vacuous: %d requests on the route to %s through %s", one.sent, service.name, machine)
			}
			if float64(one.served)/float64(one.sent) < addedPart*float64(other.served)/float64(other.sent) {
				t.Errorf("CONFIG: %s served %d of %d requests on the added route to %s, and %d of %d on the first one", machine, one.served, one.sent, service.name, other.served, other.sent)
			}
		}
		if ended := added.kinds["502 replica_silent"]; ended > 0 {
			t.Errorf("%d requests to %s were ended before their time, as their replicas worked in silence", ended, service.name)
		}
	}
}
