package fleet

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/tidwall/gjson"

	"swifttiller/replica"
)

// App serves the simulated hosting platform over HTTP.
func (platform *Platform) App() *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	var guard sync.Mutex
	app.Get("/regions/:region", func(ctx *fiber.Ctx) error {
		guard.Lock()
		defer guard.Unlock()
		status, body := platform.List(strings.Clone(ctx.Params("region")))
		if status == 429 {
			ctx.Set("Retry-After", "1")
		}
		return ctx.Status(status).Type("json").Send(body)
	})
	app.Post("/leave/:id", func(ctx *fiber.Ctx) error {
		guard.Lock()
		defer guard.Unlock()
		platform.Leave(strings.Clone(ctx.Params("id")))
		return ctx.SendString("{}")
	})
	return app
}

// CallerOptions configure the callers of Call.
type CallerOptions struct {
	At                      []string
	Model, Kind, Home, Zone string
	Count, Workers          int
	Bytes, Tokens, Prefixes int
	Retries                 int
	Pause                   time.Duration
	Show                    bool
	// Direct is the address of a replica to which requests are sent without a daemon, for
	// comparison. Model is then the name that the replica has for the model.
	Direct string
}

// Counters counts how requests ended, as the callers saw it.
type Counters struct {
	OK, NotRun, MayHaveRun, Ran, Cut, Foreign, Retried int
	Codes                                              map[string]int
}

// String formats the counts as one line.
func (tally Counters) String() string {
	return fmt.Sprintf("ok %d, not run %d, may have run %d, ran %d, cut %d, foreign bytes %d, retried %d, codes %v", tally.OK, tally.NotRun, tally.MayHaveRun, tally.Ran, tally.Cut, tally.Foreign, tally.Retried, tally.Codes)
}

// Prompt returns the body of a request whose prompt is one of a few long shared prefixes, followed by
// a unique suffix.
func Prompt(model string, roster, size, tokens int, id string) []byte {
	head := strings.Repeat(fmt.Sprintf("roster %d line. ", roster), size/14+1)[:max(1, size)]
	body, _ := json.Marshal(map[string]any{"model": model, "stream": true, "max_tokens": tokens, "prompt": head + " question " + id})
	return body
}

// Call sends the requests over HTTP with concurrent callers, and returns when all have ended.
func Call(options CallerOptions) Counters {
	client := &http.Client{Timeout: 2 * time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: options.Workers}}
	var next atomic.Int64
	var guard sync.Mutex
	total := Counters{Codes: map[string]int{}}
	var workers sync.WaitGroup
	runID := time.Now().UnixNano()
	for worker := 0; worker < options.Workers; worker++ {
		workers.Add(1)
		go func() {
			defer workers.Done()
			caller := caller{options: options, client: client}
			for {
				number := int(next.Add(1))
				if number > options.Count {
					return
				}
				id := fmt.Sprintf("%x-%d", runID, number)
				code, verdict, foreign, retried := caller.request(id, number)
				guard.Lock()
				total.Retried += retried
				if foreign {
					total.Foreign++
				}
				total.Codes[code]++
				switch verdict {
				case "ok":
					total.OK++
				case "not_run":
					total.NotRun++
				case "may_have_run":
					total.MayHaveRun++
				case "ran":
					total.Ran++
				default:
					total.Cut++
				}
				guard.Unlock()
				if options.Show {
					fmt.Printf("%s %s (%s)\n", id, verdict, code)
				}
				time.Sleep(options.Pause)
			}
		}()
	}
	workers.Wait()
	return total
}

// caller sends requests to the same daemons with the same ticket, until the ticket expires or a
// request fails.
type caller struct {
	options        CallerOptions
	client         *http.Client
	addresses      []string
	ticket         string
	ticketDeadline time.Time
	turn           int
}

// locate asks the configured daemons in turn for addresses and a ticket, and reports whether one of
// them answered.
func (caller *caller) locate() bool {
	query := url.Values{"model": {caller.options.Model}, "kind": {caller.options.Kind}, "home": {caller.options.Home}, "zone": {caller.options.Zone}}
	for range caller.options.At {
		caller.turn++
		response, err := caller.client.Get("http://" + caller.options.At[caller.turn%len(caller.options.At)] + "/v1/locate?" + query.Encode())
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode != 200 {
			continue
		}
		root := gjson.ParseBytes(body)
		caller.addresses = nil
		for _, address := range root.Get("addresses").Array() {
			caller.addresses = append(caller.addresses, address.Str)
		}
		caller.ticket = root.Get("ticket").Str
		caller.ticketDeadline = time.Now().Add(time.Duration(root.Get("expires_in_ms").Int()) * time.Millisecond)
		return true
	}
	return false
}

// request sends a request, and retries it only while it is known not to have run.
func (caller *caller) request(id string, number int) (code, verdict string, foreign bool, retried int) {
	for attempt := 0; ; attempt++ {
		if direct := caller.options.Direct; direct != "" {
			caller.addresses, caller.ticket, caller.ticketDeadline = []string{direct}, "none", time.Now().Add(time.Hour)
		}
		if caller.ticket == "" || time.Now().After(caller.ticketDeadline) {
			if !caller.locate() {
				code, verdict = "nowhere", "not_run"
			}
		}
		if caller.ticket != "" {
			code, verdict, foreign = caller.send(id, number, attempt)
		}
		if verdict != "not_run" || attempt >= caller.options.Retries {
			return code, verdict, foreign, retried
		}
		caller.ticket = "" // locate again, as the endpoint may have changed
		retried++
		time.Sleep(time.Duration(100<<min(attempt, 4)) * time.Millisecond)
	}
}

// send makes one attempt and returns its error code and verdict, and whether the answer had bytes of
// another request.
func (caller *caller) send(id string, number, attempt int) (code, verdict string, foreign bool) {
	options := caller.options
	path := "/v1/completions"
	body := Prompt(options.Model, number%max(1, options.Prefixes), options.Bytes, options.Tokens, id)
	request, _ := http.NewRequest("POST", "http://"+caller.addresses[0]+path, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	for name, value := range map[string]string{"Request-Id": id, "Ticket": caller.ticket, "Model": options.Model, "Kind": options.Kind, "Home": options.Home} {
		if value != "" {
			request.Header.Set("Swifttiller-"+name, value)
		}
	}
	if attempt > 0 {
		request.Header.Set("Swifttiller-Retry", fmt.Sprint(attempt))
	}
	response, err := caller.client.Do(request)
	if err != nil {
		if strings.Contains(err.Error(), "refused") {
			return "unreached", "not_run", false
		}
		return "cut", "cut", false
	}
	defer response.Body.Close()
	if response.Header.Get("Swifttiller-Locate") != "" {
		defer func() { caller.ticket = "" }()
	}
	if response.StatusCode != 200 {
		text, _ := io.ReadAll(response.Body)
		return gjson.GetBytes(text, "code").Str, gjson.GetBytes(text, "verdict").Str, false
	}
	code, verdict, foreign, _ = Read(response.Body, id)
	return code, verdict, foreign
}

// Read reads an event stream to its end and reports how it ended. Every event must start with the ID
// of the request; otherwise the answer is foreign.
func Read(stream io.Reader, id string) (code, verdict string, foreign bool, events int) {
	reader := bufio.NewReader(stream)
	var pending []byte
	done := false
	buffer := make([]byte, 4096)
	for {
		for {
			event, rest := replica.SplitEvent(pending)
			if event == nil {
				break
			}
			pending = rest
			events++
			switch {
			case replica.IsTerminalEvent(event):
				done = true
			case bytes.HasPrefix(event, []byte("event: error")):
				_, data, _ := strings.Cut(string(event), "data: ")
				code, verdict = gjson.Get(data, "code").Str, gjson.Get(data, "verdict").Str
			default:
				text := gjson.Get(strings.TrimPrefix(string(event), "data: "), "choices.0.text").Str
				foreign = foreign || !strings.HasPrefix(text, id+":")
			}
		}
		count, err := reader.Read(buffer)
		pending = append(pending, buffer[:count]...)
		if err != nil && count == 0 {
			if err == io.EOF && done && code == "" {
				return "ok", "ok", foreign, events
			}
			if code == "" {
				code, verdict = "cut", "cut"
			}
			return code, verdict, foreign, events
		}
	}
}
