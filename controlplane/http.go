package controlplane

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"swifttiller/verdict"
)

// sendError sends an error as JSON, with its status and, if a retry makes sense, Retry-After.
func sendError(ctx *fiber.Ctx, err error) error {
	failure := OperatorError(err)
	if failure.ComeBack > 0 {
		ctx.Set("Retry-After", strconv.Itoa(int((failure.ComeBack+time.Second-1)/time.Second)))
	}
	return ctx.Status(failure.Status).Type("json").Send(failure.JSON())
}

// sendJSON sends the value as JSON, or the error if there is one.
func sendJSON(ctx *fiber.Ctx, value any, err error) error {
	if err != nil {
		return sendError(ctx, err)
	}
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return ctx.Type("json").Send(body)
}

// App makes the HTTP API for operators.
func (daemon *Daemon) App() *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 8 << 20, ErrorHandler: func(ctx *fiber.Ctx, err error) error {
		status := 500
		if known, ok := err.(*fiber.Error); ok {
			status = known.Code
		}
		return ctx.Status(status).Type("json").Send(verdict.Reject(status, "bad_request", err.Error(), 0).JSON())
	}})
	app.Get("/v1/health", func(ctx *fiber.Ctx) error {
		return sendJSON(ctx, map[string]any{"name": daemon.Process.Name, "core_epoch": daemon.Core().Epoch}, nil)
	})
	app.Get("/v1/local", func(ctx *fiber.Ctx) error { return sendJSON(ctx, daemon.Local(), nil) })
	app.Get("/v1/status", func(ctx *fiber.Ctx) error { return sendJSON(ctx, daemon.Status(), nil) })
	app.Get("/v1/counters", func(ctx *fiber.Ctx) error { return sendJSON(ctx, daemon.Counters(), nil) })
	app.Get("/v1/members", func(ctx *fiber.Ctx) error { return sendJSON(ctx, daemon.Sessions.Live(""), nil) })
	app.Get("/v1/config", func(ctx *fiber.Ctx) error {
		if err := daemon.Issuer.Refresh(); err != nil {
			return sendError(ctx, err)
		}
		serial, config, tree := daemon.Issuer.Current()
		if tree == nil {
			return sendJSON(ctx, map[string]any{"serial": 0}, nil)
		}
		out := map[string]any{"serial": serial, "document": config.WithOrigin(), "evacuated": config.Evacuated}
		if scope, isSet := ctx.Queries()["effective"]; isSet {
			leaves, known := effective(tree, scope)
			if !known {
				return sendError(ctx, verdict.Reject(404, "no_zone", fmt.Sprintf("the configuration has no zone or region %q", scope), 0))
			}
			out["effective"] = leaves
		}
		return sendJSON(ctx, out, nil)
	})
	app.Post("/v1/config", func(ctx *fiber.Ctx) error {
		var expect *uint64
		if text := ctx.Query("expect"); text != "" {
			serial, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				return sendError(ctx, verdict.Reject(400, "bad_request", "expect must be a serial", 0))
			}
			expect = &serial
		}
		document := append([]byte{}, ctx.Body()...) // copied: fiber reuses the body's buffer
		if text := ctx.Query("expect_label"); text != "" {
			label, err := strconv.ParseUint(text, 10, 64)
			if err != nil || expect != nil {
				return sendError(ctx, verdict.Reject(400, "bad_request", "expect_label must be a label and can't be combined with expect", 0))
			}
			applied, err := daemon.OperatorFor(CallerOf(ctx)).Replace(document, label)
			return sendJSON(ctx, applied, err)
		}
		applied, err := daemon.OperatorFor(CallerOf(ctx)).Apply(document, expect, ctx.QueryBool("dry_run"))
		return sendJSON(ctx, applied, err)
	})
	for path, back := range map[string]bool{"evacuate": false, "hand-back": true} {
		app.Post("/v1/zones/:zone/"+path, func(ctx *fiber.Ctx) error {
			applied, err := daemon.OperatorFor(CallerOf(ctx)).Evacuate(string([]byte(ctx.Params("zone"))), back)
			return sendJSON(ctx, applied, err)
		})
	}
	app.Post("/v1/daemons/:name/reload", func(ctx *fiber.Ctx) error {
		reloaded, err := daemon.Reload(string([]byte(ctx.Params("name"))))
		return sendJSON(ctx, reloaded, err)
	})
	app.Post("/v1/init", func(ctx *fiber.Ctx) error {
		var request struct{ Seeds []string }
		if err := json.Unmarshal(ctx.Body(), &request); err != nil || len(request.Seeds) == 0 {
			request.Seeds = daemon.Live.Seeds()
		}
		core, err := daemon.Init(request.Seeds)
		if err != nil {
			err = verdict.Reject(409, "init", err.Error(), 0)
		}
		return sendJSON(ctx, core, err)
	})
	app.Post("/v1/core", func(ctx *fiber.Ctx) error {
		var request struct{ Add, Remove []string }
		if err := json.Unmarshal(ctx.Body(), &request); err != nil {
			return sendError(ctx, verdict.Reject(400, "bad_request", err.Error(), 0))
		}
		core, err := daemon.ChangeCoreMembers(request.Add, request.Remove)
		return sendJSON(ctx, core, err)
	})
	app.Get("/v1/handovers", func(ctx *fiber.Ctx) error {
		models, err := daemon.Handovers()
		return sendJSON(ctx, models, err)
	})
	app.Post("/v1/handovers", func(ctx *fiber.Ctx) error {
		var request struct {
			ID, Model, Version string
			Regions            []string
		}
		if err := json.Unmarshal(ctx.Body(), &request); err != nil {
			return sendError(ctx, verdict.Reject(400, "bad_request", err.Error(), 0))
		}
		runs, err := daemon.Handover(request.ID, request.Model, request.Version, request.Regions)
		return sendJSON(ctx, runs, err)
	})
	app.Post("/v1/rollouts", func(ctx *fiber.Ctx) error {
		var request struct {
			Model, Version string
			Over           float64 `json:"over_s"`
		}
		if err := json.Unmarshal(ctx.Body(), &request); err != nil {
			return sendError(ctx, verdict.Reject(400, "bad_request", err.Error(), 0))
		}
		if err := daemon.OperatorFor(CallerOf(ctx)).BeginRollout(request.Model, request.Version, time.Duration(request.Over*float64(time.Second))); err != nil {
			return sendError(ctx, err)
		}
		state, err := daemon.RolloutState(request.Model)
		return sendJSON(ctx, state, err)
	})
	app.Get("/v1/rollouts/:model", func(ctx *fiber.Ctx) error {
		state, err := daemon.RolloutState(string([]byte(ctx.Params("model"))))
		return sendJSON(ctx, state, err)
	})
	app.Get("/v1/tenants", func(ctx *fiber.Ctx) error {
		tenants, err := daemon.Tenants()
		return sendJSON(ctx, tenants, err)
	})
	for path, isPin := range map[string]bool{"pin": true, "release": false} {
		app.Post("/v1/tenants/"+path, func(ctx *fiber.Ctx) error {
			var request struct {
				Tenant  string
				Regions []string
			}
			if err := json.Unmarshal(ctx.Body(), &request); err != nil || request.Tenant == "" || isPin != (len(request.Regions) > 0) {
				return sendError(ctx, verdict.Reject(400, "bad_request", "pin requires a tenant and regions, release only a tenant", 0))
			}
			placement, err := daemon.Pin(request.Tenant, request.Regions)
			return sendJSON(ctx, placement, err)
		})
	}
	app.Post("/v1/handovers/:model/rollback", func(ctx *fiber.Ctx) error {
		model, err := daemon.Objects.Rollback(string([]byte(ctx.Params("model"))), splitList(string([]byte(ctx.Query("regions")))), daemon.standbyPeriod())
		return sendJSON(ctx, model, err)
	})
	app.Post("/v1/handovers/:model/promote", func(ctx *fiber.Ctx) error {
		model, err := daemon.Objects.Promote(string([]byte(ctx.Params("model"))), ctx.QueryBool("stay"), daemon.standbyPeriod())
		return sendJSON(ctx, model, err)
	})
	return app
}

// standbyPeriod is the configured standby_ms; 0 without a configuration.
func (daemon *Daemon) standbyPeriod() time.Duration {
	if _, _, tree := daemon.Issuer.Current(); tree != nil {
		return tree.Duration("standby_ms", "")
	}
	return 0
}

// Counters gives the daemon's counters and gauges by name.
func (daemon *Daemon) Counters() map[string]any {
	local := daemon.Local()
	sessions := map[string]int{}
	for _, entry := range local.Sessions {
		sessions[entry.Member.Role]++
	}
	led := 0
	for range local.Regions {
		led++
	}
	out := map[string]any{
		"config_serial": local.Serial, "core_epoch": local.Core.Epoch, "sessions": sessions, "duties_held": led,
		"permits_granted": local.Granted, "cells_mended": local.Mended, "rounds": local.Rounds, "duty_changes": local.Changes,
	}
	if local.Acceptor != nil {
		out["disk_syncs"] = local.Acceptor.Disk.Syncs
	}
	if daemon.Counter != nil {
		out["calls"] = daemon.Counter.Snapshot()
	}
	return out
}
