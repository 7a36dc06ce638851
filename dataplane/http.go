package dataplane

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v2"
	"golang.org/x/sys/unix"

	"swifttiller/decide"
	"swifttiller/execute"
	"swifttiller/loop"
	"swifttiller/verdict"
)

// pipe hands events from the executor to the library that writes the answer.
//
// Invariant: the reader ends with io.EOF only when the executor ended without a
// mishap; any other end makes the library close the connection without the
// body's closing chunk, so that a cut answer can't look whole.
type pipe struct {
	execute.Leaver
	*io.PipeWriter
	reader *io.PipeReader
	begun  atomic.Bool
	over   atomic.Bool // the executor has ended
	// turns gets one letter when the answer begins and one when the executor ends,
	// with its mishap.
	turns loop.Mailbox
}

func newPipe(world loop.World) *pipe {
	reader, writer := io.Pipe()
	return &pipe{PipeWriter: writer, reader: reader, turns: world.Mailbox()}
}

// Event passes one event on.
func (pipe *pipe) Event(event []byte) error {
	if pipe.begun.CompareAndSwap(false, true) {
		pipe.turns.Put(nil)
	}
	_, err := pipe.Write(event)
	return err
}

func fail(ctx *fiber.Ctx, mishap *verdict.Mishap) error {
	if mishap.ComeBack > 0 {
		ctx.Set("Retry-After", strconv.Itoa(int((mishap.ComeBack+time.Second-1)/time.Second)))
	}
	return ctx.Status(mishap.Status).Type("json").Send(mishap.JSON())
}

// header copies a header: the library's bytes end with the handler.
func header(ctx *fiber.Ctx, name string) string { return strings.Clone(ctx.Get(name)) }

func reply(ctx *fiber.Ctx, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return ctx.Type("json").Send(body)
}

// App makes the callers' endpoint.
func (daemon *Daemon) App() *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 64 << 20, StreamRequestBody: true, ErrorHandler: func(ctx *fiber.Ctx, err error) error {
		status := 500
		var known *fiber.Error
		if errors.As(err, &known) {
			status = known.Code
		}
		return fail(ctx, verdict.Decline(status, "bad_request", err.Error(), 0))
	}})
	app.Use(func(ctx *fiber.Ctx) error {
		err := ctx.Next()
		if daemon.leaving.Load() {
			// Callers leave before the end, each between two requests, so that
			// none of them has to try again.
			ctx.Context().SetConnectionClose()
			ctx.Set("Swifttiller-Locate", "again")
		}
		return err
	})
	app.Get("/health", func(ctx *fiber.Ctx) error {
		stands := daemon.Holder.View().Stands(daemon.World.Now()) && !daemon.leaving.Load()
		if !stands {
			ctx.Status(503)
		}
		return reply(ctx, map[string]any{"name": daemon.Process.Name, "serving": stands})
	})
	app.Get("/v1/locate", daemon.locate)
	app.Post("/v1/completions", daemon.complete)
	app.Post("/v1/chat/completions", daemon.complete)
	app.Get("/v1/status", func(ctx *fiber.Ctx) error { return reply(ctx, daemon.Status()) })
	app.Get("/v1/counters", func(ctx *fiber.Ctx) error { return reply(ctx, daemon.Counters()) })
	app.Get("/v1/requests/:id", func(ctx *fiber.Ctx) error {
		found := daemon.Executor.Find(strings.Clone(ctx.Params("id")))
		if len(found) == 0 {
			return fail(ctx, verdict.Decline(404, "unknown", "this daemon remembers no such request", 0))
		}
		return reply(ctx, found)
	})
	return app
}

// located is what locate answers.
type located struct {
	Addresses []string `json:"addresses"`
	Ticket    string   `json:"ticket"`
	Expires   int64    `json:"expires_in_ms"`
	Serial    uint64   `json:"serial"`
}

func (daemon *Daemon) locate(ctx *fiber.Ctx) error {
	prefix := decide.Prefix([]byte(ctx.Query("prefix")))
	members, ticket, life, mishap := daemon.Decider.Locate(strings.Clone(ctx.Query("model")), strings.Clone(ctx.Query("kind")), strings.Clone(ctx.Query("home")), strings.Clone(ctx.Query("zone")), prefix)
	if mishap != nil {
		return fail(ctx, mishap)
	}
	// The ticket's clock is its daemon's, told a little late; promise less.
	out := located{Ticket: ticket.Seal(), Expires: (life * 9 / 10).Milliseconds(), Serial: daemon.Holder.View().Serial}
	for _, member := range members {
		out.Addresses = append(out.Addresses, member.HTTP)
	}
	return reply(ctx, out)
}

func (daemon *Daemon) complete(ctx *fiber.Ctx) error {
	call := &decide.Call{
		ID: header(ctx, "Swifttiller-Request-Id"), Ticket: header(ctx, "Swifttiller-Ticket"), Model: header(ctx, "Swifttiller-Model"),
		Kind: header(ctx, "Swifttiller-Kind"), Home: header(ctx, "Swifttiller-Home"), Path: strings.Clone(ctx.Path()),
		Retried: header(ctx, "Swifttiller-Retry") != "",
	}
	if call.Kind == "" {
		call.Kind = "completion"
		if strings.HasPrefix(call.Path, "/v1/chat") {
			call.Kind = "chat"
		}
	}
	if patience, err := strconv.Atoi(ctx.Get("Swifttiller-Patience-Ms")); err == nil && patience > 0 {
		call.Patience = time.Duration(patience) * time.Millisecond
	}
	read := false
	body, mishap := daemon.Enter(call, func() []byte {
		read = true
		return append([]byte{}, ctx.Body()...) // the body is the library's
	})
	if mishap != nil {
		if !read {
			ctx.Context().SetConnectionClose() // what was not read stands in the way of the next request
		}
		return fail(ctx, mishap)
	}
	pipe := newPipe(daemon.World)
	if conn, isRaw := ctx.Context().Conn().(syscall.Conn); isRaw {
		if raw, err := conn.SyscallConn(); err == nil {
			daemon.World.Go(func() { daemon.attend(pipe, raw) })
		}
	}
	daemon.World.Go(func() {
		mishap := daemon.Executor.Serve(call, body, pipe)
		pipe.over.Store(true)
		if mishap != nil {
			if pipe.begun.Load() {
				// Visible to whoever reads events, and to whoever reads the body.
				_ = pipe.Event(append(append([]byte("event: error\ndata: "), mishap.JSON()...), "\n\n"...))
			}
			pipe.turns.Put(mishap)
			pipe.CloseWithError(mishap)
			return
		}
		pipe.turns.Put(nil)
		pipe.Close()
	})
	// The first letter is of the beginning if there was one; then the stream tells
	// how it ends.
	first, _ := pipe.turns.Take(loop.Forever)
	if mishap, isMishap := first.(*verdict.Mishap); isMishap {
		return fail(ctx, mishap)
	}
	if !pipe.begun.Load() && !pipe.over.Load() {
		return fail(ctx, &verdict.Mishap{Verdict: verdict.MayHaveRun, Code: "stopped", Status: 503, Message: "this daemon ended before the answer began"})
	}
	ctx.Type("text/event-stream")
	ctx.Set("Content-Type", "text/event-stream")
	ctx.Set("Cache-Control", "no-store")
	ctx.Context().SetBodyStream(pipe.reader, -1)
	return nil
}

// attendShare is how often a caller's connection is looked at, as a share of
// stall_ms.
const attendShare = 50

// attend looks for the end of the caller's connection while its request runs: the
// library tells of it only on writing, and a replica may read a prompt for long
// before there is anything to write. What the caller sends on is left unread.
func (daemon *Daemon) attend(pipe *pipe, raw syscall.RawConn) {
	span := daemon.Holder.View().Tree.Span("stall_ms", daemon.Process.Zone) / attendShare
	for !pipe.over.Load() && loop.Sleep(daemon.World, span) {
		isGone := false
		err := raw.Control(func(file uintptr) {
			var peeked [1]byte
			count, _, err := unix.Recvfrom(int(file), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			isGone = err == nil && count == 0 || err != nil && err != unix.EAGAIN && err != unix.EINTR
		})
		if (isGone || err != nil) && !pipe.over.Load() {
			pipe.Leave()
			return
		}
	}
}

// Status is what this daemon knows of itself.
func (daemon *Daemon) Status() map[string]any {
	view := daemon.Holder.View()
	rows := map[string]any{}
	for region, one := range view.Standings {
		rows[region] = one
	}
	declined := ""
	if reason := daemon.Holder.Declined.Load(); reason != nil {
		declined = *reason
	}
	return map[string]any{
		"member": daemon.Self(), "serial": view.Serial, "permit_left_ms": (view.Expiry - daemon.World.Now()).Milliseconds(),
		"quota": daemon.Meter.Status(), "permit_declined": declined, "evacuated": slices.Sorted(maps.Keys(view.Evacuated)), "standings": rows, "members": view.Members, "report": daemon.Decider.Report(),
	}
}

// Counters are the daemon's counters and gauges.
func (daemon *Daemon) Counters() map[string]any {
	counts := daemon.Decider.Count()
	view := daemon.Holder.View()
	return map[string]any{
		"config_serial": view.Serial, "permit_left_ms": (view.Expiry - daemon.World.Now()).Milliseconds(), "running": daemon.Decider.Running(),
		"demanded": counts.Demanded, "retries_seen": counts.Retries, "retries_allowed": counts.Allowed, "redispatches": counts.Redispatches,
		"dispatches": counts.Dispatches, "trial_dispatches": counts.Trials, "spilled": counts.Spilled, "affine": counts.Affine, "declined": counts.Declined,
	}
}
