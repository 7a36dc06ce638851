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

// pipe passes events from the executor to the HTTP library that writes the answer.
//
// Invariant: the reader ends with io.EOF only if the executor ended without a failure. After any
// other end the library closes the connection without the last chunk of the body, so that a cut
// answer cannot be mistaken for a whole one.
type pipe struct {
	execute.CallerState
	*io.PipeWriter
	reader  *io.PipeReader
	started atomic.Bool
	ended   atomic.Bool // the executor has returned
	// signals gets one message when the answer begins and one when the executor returns, which
	// holds its failure if it has one.
	signals loop.Mailbox
}

func newPipe(world loop.World) *pipe {
	reader, writer := io.Pipe()
	return &pipe{PipeWriter: writer, reader: reader, signals: world.Mailbox()}
}

// Event writes one event to the answer.
func (pipe *pipe) Event(event []byte) error {
	if pipe.started.CompareAndSwap(false, true) {
		pipe.signals.Put(nil)
	}
	_, err := pipe.Write(event)
	return err
}

func fail(ctx *fiber.Ctx, failure *verdict.Error) error {
	if failure.ComeBack > 0 {
		ctx.Set("Retry-After", strconv.Itoa(int((failure.ComeBack+time.Second-1)/time.Second)))
	}
	return ctx.Status(failure.Status).Type("json").Send(failure.JSON())
}

// header returns a copy of a header, as the library reuses its buffer after the handler returns.
func header(ctx *fiber.Ctx, name string) string { return strings.Clone(ctx.Get(name)) }

func reply(ctx *fiber.Ctx, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return ctx.Type("json").Send(body)
}

// App builds the HTTP server for callers.
func (daemon *Daemon) App() *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 64 << 20, StreamRequestBody: true, DisablePreParseMultipartForm: true, ErrorHandler: func(ctx *fiber.Ctx, err error) error {
		status := 500
		var fiberErr *fiber.Error
		if errors.As(err, &fiberErr) {
			status = fiberErr.Code
		}
		return fail(ctx, verdict.Reject(status, "bad_request", err.Error(), 0))
	}})
	app.Use(func(ctx *fiber.Ctx) error {
		err := ctx.Next()
		if daemon.leaving.Load() {
			// Each caller moves to another daemon between two of its requests, before this one
			// stops, so that none has to retry.
			ctx.Context().SetConnectionClose()
			ctx.Set("Swifttiller-Locate", "again")
		}
		return err
	})
	app.Get("/health", func(ctx *fiber.Ctx) error {
		isServing := daemon.Holder.View().IsValid(daemon.World.Now()) && !daemon.leaving.Load()
		if !isServing {
			ctx.Status(503)
		}
		return reply(ctx, map[string]any{"name": daemon.Process.Name, "serving": isServing})
	})
	app.Get("/v1/locate", daemon.locate)
	app.Post("/v1/completions", daemon.complete)
	app.Post("/v1/chat/completions", daemon.complete)
	app.Get("/v1/status", func(ctx *fiber.Ctx) error { return reply(ctx, daemon.Status()) })
	app.Get("/v1/counters", func(ctx *fiber.Ctx) error { return reply(ctx, daemon.Counters()) })
	app.Get("/v1/requests/:id", func(ctx *fiber.Ctx) error {
		found := daemon.Executor.Find(strings.Clone(ctx.Params("id")))
		if len(found) == 0 {
			return fail(ctx, verdict.Reject(404, "unknown", "this daemon has no record of this request", 0))
		}
		return reply(ctx, found)
	})
	return app
}

// locateReply is the body of an answer of /v1/locate.
type locateReply struct {
	Addresses []string `json:"addresses"`
	Ticket    string   `json:"ticket"`
	Expires   int64    `json:"expires_in_ms"`
	Serial    uint64   `json:"serial"`
}

func (daemon *Daemon) locate(ctx *fiber.Ctx) error {
	prefix := decide.Prefix([]byte(ctx.Query("prefix")))
	members, ticket, lifetime, failure := daemon.Decider.Locate(strings.Clone(ctx.Query("model")), strings.Clone(ctx.Query("kind")), strings.Clone(ctx.Query("home")), strings.Clone(ctx.Query("zone")), prefix)
	if failure != nil {
		return fail(ctx, failure)
	}
	// The ticket expires on the clock of the daemon that issued it, and the caller gets this
	// duration somewhat later. Announce a tenth less.
	located := locateReply{Ticket: ticket.Seal(), Expires: (lifetime * 9 / 10).Milliseconds(), Serial: daemon.Holder.View().Serial}
	for _, member := range members {
		located.Addresses = append(located.Addresses, member.HTTP)
	}
	return reply(ctx, located)
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
	if timeout, err := strconv.Atoi(ctx.Get("Swifttiller-Patience-Ms")); err == nil && timeout > 0 {
		call.QueueTimeout = time.Duration(timeout) * time.Millisecond
	}
	bodyRead := false
	body, failure := daemon.Enter(call, func() []byte {
		bodyRead = true
		return append([]byte{}, ctx.Body()...) // the library reuses the buffer of the body
	})
	if failure != nil {
		if !bodyRead {
			ctx.Context().SetConnectionClose() // the unread body would precede the next request on the connection
		}
		return fail(ctx, failure)
	}
	pipe := newPipe(daemon.World)
	if conn, hasSocket := ctx.Context().Conn().(syscall.Conn); hasSocket {
		if raw, err := conn.SyscallConn(); err == nil {
			daemon.World.Go(func() { daemon.watchCaller(pipe, raw) })
		}
	}
	daemon.World.Go(func() {
		failure := daemon.Executor.Serve(call, body, pipe)
		pipe.ended.Store(true)
		if failure != nil {
			if pipe.started.Load() {
				// The failure is visible both to callers that parse events and, through the missing
				// end of the body, to all others.
				_ = pipe.Event(append(append([]byte("event: error\ndata: "), failure.JSON()...), "\n\n"...))
			}
			pipe.signals.Put(failure)
			pipe.CloseWithError(failure)
			return
		}
		pipe.signals.Put(nil)
		pipe.Close()
	})
	// The first message announces the beginning of the answer if there is one; the stream itself
	// then shows how it ends.
	signal, _ := pipe.signals.Take(loop.Forever)
	if failure, isFailure := signal.(*verdict.Error); isFailure {
		return fail(ctx, failure)
	}
	if !pipe.started.Load() && !pipe.ended.Load() {
		return fail(ctx, &verdict.Error{Verdict: verdict.MayHaveRun, Code: "stopped", Status: 503, Message: "this daemon stopped before the answer began"})
	}
	ctx.Type("text/event-stream")
	ctx.Set("Content-Type", "text/event-stream")
	ctx.Set("Cache-Control", "no-store")
	ctx.Context().SetBodyStream(pipe.reader, -1)
	return nil
}

// callerChecksPerStall is how often the connection of a caller is checked within stall_ms.
const callerChecksPerStall = 50

// watchCaller aborts the request when the caller closes its connection. The HTTP library reports a
// closed connection only on a write, and a replica may prefill a prompt for a long time before
// there is anything to write. Bytes that the caller sends meanwhile are left unread.
func (daemon *Daemon) watchCaller(pipe *pipe, conn syscall.RawConn) {
	interval := daemon.Holder.View().Tree.Duration("stall_ms", daemon.Process.Zone) / callerChecksPerStall
	for !pipe.ended.Load() && loop.Sleep(daemon.World, interval) {
		isGone := false
		err := conn.Control(func(descriptor uintptr) {
			var peeked [1]byte
			count, _, err := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			isGone = err == nil && count == 0 || err != nil && err != unix.EAGAIN && err != unix.EINTR
		})
		if (isGone || err != nil) && !pipe.ended.Load() {
			pipe.Disconnect()
			return
		}
	}
}

// Status returns what this daemon knows about itself.
func (daemon *Daemon) Status() map[string]any {
	view := daemon.Holder.View()
	tables := map[string]any{}
	for region, table := range view.RoutingTables {
		tables[region] = table
	}
	rejected := ""
	if reason := daemon.Holder.RejectReason.Load(); reason != nil {
		rejected = *reason
	}
	return map[string]any{
		"member": daemon.Self(), "serial": view.Serial, "permit_left_ms": (view.Deadline - daemon.World.Now()).Milliseconds(),
		"quota": daemon.Limiter.Status(), "permit_declined": rejected, "evacuated": slices.Sorted(maps.Keys(view.Evacuated)), "standings": tables, "members": view.Members, "report": daemon.Decider.Report(),
	}
}

// Counters returns the counters and gauges of the daemon.
func (daemon *Daemon) Counters() map[string]any {
	counts := daemon.Decider.Count()
	view := daemon.Holder.View()
	return map[string]any{
		"config_serial": view.Serial, "permit_left_ms": (view.Deadline - daemon.World.Now()).Milliseconds(), "running": daemon.Decider.Running(),
		"demanded": counts.Demanded, "retries_seen": counts.Retries, "retries_allowed": counts.Allowed, "redispatches": counts.Redispatches,
		"dispatches": counts.Attempts, "trial_dispatches": counts.Trials, "spilled": counts.Spilled, "affine": counts.Affine, "declined": counts.Rejected,
	}
}
