package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"swifttiller/replica"
)

var errFailed = errors.New("simulated replica failed on purpose")

// App serves the simulated replica over HTTP.
func (stub *Replica) App() *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 64 << 20})
	app.Get("/health", func(ctx *fiber.Ctx) error { return ctx.Type("json").Send(stub.Probe()) })
	app.Post("/weights", func(ctx *fiber.Ctx) error {
		var order replica.Order
		if err := json.Unmarshal(ctx.Body(), &order); err != nil {
			return ctx.Status(400).SendString(err.Error())
		}
		status, body := stub.Order(order)
		return ctx.Status(status).Type("json").Send(body)
	})
	complete := func(ctx *fiber.Ctx) error {
		serial, _ := strconv.ParseUint(ctx.Get("Swifttiller-Serial"), 10, 64)
		if way, isOdd := strings.CutPrefix(ctx.Get("Swifttiller-Kind"), "odd-"); isOdd && stub.Odd {
			return breakConnection(ctx, strings.Clone(way), strings.Clone(ctx.Get("Swifttiller-Request-Id")))
		}
		answer, status, rejection := stub.Arrive(bytes.Clone(ctx.Body()), strings.Clone(ctx.Get("Swifttiller-Request-Id")), strings.Clone(ctx.Get("Swifttiller-Kind")), strings.Clone(ctx.Get("Swifttiller-Home")), serial, "")
		if answer == nil {
			return ctx.Status(status).Type("json").Send(rejection)
		}
		first, err := answer.Next()
		if err != nil {
			return ctx.Status(500).Type("json").SendString(`{"error":{"message":"failed"}}`)
		}
		ctx.Set("Content-Type", "text/event-stream")
		ctx.Context().SetBodyStream(&answerBody{answer: answer, pending: first}, -1)
		return nil
	}
	app.Post("/v1/completions", complete)
	app.Post("/v1/chat/completions", complete)
	app.Get("/log", func(ctx *fiber.Ctx) error {
		stub.mutex.Lock()
		defer stub.mutex.Unlock()
		return ctx.JSON(map[string]any{"served": stub.Log, "loads": stub.Loads, "peak": stub.Peak, "flooded": stub.ColdOverload, "fenced": stub.Fenced})
	})
	app.Post("/leave", func(ctx *fiber.Ctx) error { stub.Leave(); return ctx.SendString("{}") })
	return app
}

// breakConnection fails a request below HTTP, by writing a faulty response to the connection.
func breakConnection(ctx *fiber.Ctx, way, id string) error {
	ctx.Context().HijackSetNoResponse(true)
	ctx.Context().Hijack(func(conn net.Conn) {
		piece := fmt.Sprintf("data: {\"choices\":[{\"text\":\"%s:0 \"}]}\n\n", id)
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
		text := map[string]string{
			"reset": "", "hang": "", "reset-head": head, "reset-stream": head + chunk(piece), "silent": head + chunk(piece), "bad-chunk": head + chunk(piece) + "ZZ\r\nnonsense\r\n",
			"half": head + chunk(piece) + chunk("data: {\"choi") + "0\r\n\r\n", "no-done": head + chunk(piece) + "0\r\n\r\n", "bad-head": "HTTP/1.1 two hundred\r\n\r\n",
			"other": head + chunk(piece+"data: [DONE]\n\n"+"data: {\"choices\":[{\"text\":\"late:0 \"}]}\n\n") + "0\r\n\r\n",
		}[way]
		_, _ = conn.Write([]byte(text))
		if way == "hang" || way == "silent" {
			_, _ = io.Copy(io.Discard, conn) // until the client closes the connection
		}
		if inner, isWrapped := conn.(interface{ UnsafeConn() net.Conn }); isWrapped && strings.HasPrefix(way, "reset") {
			if tcp, isTCP := inner.UnsafeConn().(*net.TCPConn); isTCP {
				time.Sleep(20 * time.Millisecond) // lets the client read what was sent, which a reset would discard
				_ = tcp.SetLinger(0)
			}
		}
	})
	return nil
}

// answerBody reads an answer as a response body.
type answerBody struct {
	answer  *Answer
	pending []byte
}

func (body *answerBody) Read(out []byte) (int, error) {
	if len(body.pending) == 0 {
		event, err := body.answer.Next()
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		} else if err != nil {
			return 0, errFailed
		}
		body.pending = event
	}
	count := copy(out, body.pending)
	body.pending = body.pending[count:]
	return count, nil
}

func (body *answerBody) Close() error { body.answer.Abort(); return nil }

// Platform is a simulated platform. It lists replicas; changes show after a lag, and queries
// are rate limited.
type Platform struct {
	Lag, Least time.Duration
	now        func() time.Duration
	entries    []platformEntry
	lastQuery  map[string]time.Duration
	// Broken makes it answer 500.
	Broken bool
}

type platformEntry struct {
	listedAt, removedAt time.Duration
	Region              string
	ID                  string `json:"id"`
	Address             string `json:"address"`
	Zone                string `json:"zone"`
	State               string `json:"state"`
	Model               string `json:"model,omitempty"`
	Version             string `json:"version,omitempty"`
	leavingAt           time.Duration
}

// NewPlatform makes a platform that reads the time from now.
func NewPlatform(now func() time.Duration, lag, least time.Duration) *Platform {
	return &Platform{Lag: lag, Least: least, now: now, lastQuery: map[string]time.Duration{}}
}

// Never is a time that is never reached.
const Never = time.Duration(1<<62 - 1)

// Add adds a replica to the list, after the lag.
func (platform *Platform) Add(region, id, address, zone string) {
	platform.AddServing(region, id, address, zone, "", "")
}

// AddServing is Add for a replica whose model and version are in the list.
func (platform *Platform) AddServing(region, id, address, zone, model, version string) {
	at := platform.now() + platform.Lag
	if platform.now() == 0 {
		at = 0
	}
	platform.entries = append(platform.entries, platformEntry{listedAt: at, removedAt: Never, leavingAt: Never, Region: region, ID: id, Address: address, Zone: zone, Model: model, Version: version})
}

// Leave marks a replica as leaving, after the lag.
func (platform *Platform) Leave(id string) {
	for index := range platform.entries {
		if entry := &platform.entries[index]; entry.ID == id && entry.removedAt == Never {
			entry.leavingAt = platform.now() + platform.Lag
		}
	}
}

// Remove removes a replica from the list, after the lag.
func (platform *Platform) Remove(id string) {
	for index := range platform.entries {
		if entry := &platform.entries[index]; entry.ID == id && entry.removedAt == Never {
			entry.removedAt = platform.now() + platform.Lag
		}
	}
}

// List answers a query for a region's replicas with a status and a body.
func (platform *Platform) List(region string) (int, []byte) {
	now := platform.now()
	if platform.Broken {
		return 500, nil
	}
	if last, seen := platform.lastQuery[region]; seen && now-last < platform.Least {
		return 429, nil
	}
	platform.lastQuery[region] = now
	list := []platformEntry{}
	for _, entry := range platform.entries {
		if entry.Region == region && entry.listedAt <= now && now < entry.removedAt {
			entry.State = "running"
			if entry.leavingAt <= now {
				entry.State = "leaving"
			}
			list = append(list, entry)
		}
	}
	body, _ := json.Marshal(map[string]any{"replicas": list})
	return 200, body
}
