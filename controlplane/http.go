package controlplane

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"swifttiller/verdict"
)

// fail answers with a mishap.
func fail(ctx *fiber.Ctx, err error) error {
	mishap := Answer(err)
	if mishap.ComeBack > 0 {
		ctx.Set("Retry-After", strconv.Itoa(int((mishap.ComeBack+time.Second-1)/time.Second)))
	}
	return ctx.Status(mishap.Status).Type("json").Send(mishap.JSON())
}

func reply(ctx *fiber.Ctx, value any, err error) error {
	if err != nil {
		return fail(ctx, err)
	}
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return ctx.Type("json").Send(body)
}

// App makes the operators' endpoint.
func (daemon *Daemon) App() *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 8 << 20, ErrorHandler: func(ctx *fiber.Ctx, err error) error {
		status := 500
		if known, ok := err.(*fiber.Error); ok {
			status = known.Code
		}
		return ctx.Status(status).Type("json").Send(verdict.Decline(status, "bad_request", err.Error(), 0).JSON())
	}})
	app.Get("/v1/health", func(ctx *fiber.Ctx) error {
		return reply(ctx, map[string]any{"name": daemon.Process.Name, "core_epoch": daemon.Core().Epoch}, nil)
	})
	app.Get("/v1/local", func(ctx *fiber.Ctx) error { return reply(ctx, daemon.Local(), nil) })
	app.Get("/v1/status", func(ctx *fiber.Ctx) error { return reply(ctx, daemon.Status(), nil) })
	app.Get("/v1/counters", func(ctx *fiber.Ctx) error { return reply(ctx, daemon.Counters(), nil) })
	app.Get("/v1/members", func(ctx *fiber.Ctx) error { return reply(ctx, daemon.Table.Live(""), nil) })
	app.Get("/v1/config", func(ctx *fiber.Ctx) error {
		if err := daemon.Office.Refresh(); err != nil {
			return fail(ctx, err)
		}
		serial, config, tree := daemon.Office.Current()
		if tree == nil {
			return reply(ctx, map[string]any{"serial": 0}, nil)
		}
		out := map[string]any{"serial": serial, "document": config.Whole(), "evacuated": config.Evacuated}
		if place, asked := ctx.Queries()["effective"]; asked {
			leaves, known := effective(tree, place)
			if !known {
				return fail(ctx, verdict.Decline(404, "no_zone", fmt.Sprintf("the configuration has no zone or region %q", place), 0))
			}
			out["effective"] = leaves
		}
		return reply(ctx, out, nil)
	})
	app.Post("/v1/config", func(ctx *fiber.Ctx) error {
		var expect *uint64
		if text := ctx.Query("expect"); text != "" {
			serial, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				return fail(ctx, verdict.Decline(400, "bad_request", "expect must be a serial", 0))
			}
			expect = &serial
		}
		document := append([]byte{}, ctx.Body()...) // the body is the library's
		if text := ctx.Query("expect_label"); text != "" {
			label, err := strconv.ParseUint(text, 10, 64)
			if err != nil || expect != nil {
				return fail(ctx, verdict.Decline(400, "bad_request", "expect_label must be a label, and stand without expect", 0))
			}
			applied, err := daemon.For(CallerOf(ctx)).Replace(document, label)
			return reply(ctx, applied, err)
		}
		applied, err := daemon.For(CallerOf(ctx)).Apply(document, expect, ctx.QueryBool("dry_run"))
		return reply(ctx, applied, err)
	})
	for path, back := range map[string]bool{"evacuate": false, "hand-back": true} {
		app.Post("/v1/zones/:zone/"+path, func(ctx *fiber.Ctx) error {
			applied, err := daemon.For(CallerOf(ctx)).Evacuate(string([]byte(ctx.Params("zone"))), back)
			return reply(ctx, applied, err)
		})
	}
	app.Post("/v1/daemons/:name/reload", func(ctx *fiber.Ctx) error {
		reloaded, err := daemon.Reload(string([]byte(ctx.Params("name"))))
		return reply(ctx, reloaded, err)
	})
	app.Post("/v1/init", func(ctx *fiber.Ctx) error {
		var ask struct{ Seeds []string }
		if err := json.Unmarshal(ctx.Body(), &ask); err != nil || len(ask.Seeds) == 0 {
			ask.Seeds = daemon.Live.Seeds()
		}
		core, err := daemon.Init(ask.Seeds)
		if err != nil {
			err = verdict.Decline(409, "init", err.Error(), 0)
		}
		return reply(ctx, core, err)
	})
	app.Post("/v1/core", func(ctx *fiber.Ctx) error {
		var ask struct{ Add, Remove []string }
		if err := json.Unmarshal(ctx.Body(), &ask); err != nil {
			return fail(ctx, verdict.Decline(400, "bad_request", err.Error(), 0))
		}
		core, err := daemon.ChangeVotes(ask.Add, ask.Remove)
		return reply(ctx, core, err)
	})
	app.Get("/v1/handovers", func(ctx *fiber.Ctx) error {
		models, err := daemon.Handovers()
		return reply(ctx, models, err)
	})
	app.Post("/v1/handovers", func(ctx *fiber.Ctx) error {
		var ask struct {
			ID, Model, Version string
			Regions            []string
		}
		if err := json.Unmarshal(ctx.Body(), &ask); err != nil {
			return fail(ctx, verdict.Decline(400, "bad_request", err.Error(), 0))
		}
		runs, err := daemon.Handover(ask.ID, ask.Model, ask.Version, ask.Regions)
		return reply(ctx, runs, err)
	})
	app.Post("/v1/rollouts", func(ctx *fiber.Ctx) error {
		var ask struct {
			Model, Version string
			Over           float64 `json:"over_s"`
		}
		if err := json.Unmarshal(ctx.Body(), &ask); err != nil {
			return fail(ctx, verdict.Decline(400, "bad_request", err.Error(), 0))
		}
		if err := daemon.For(CallerOf(ctx)).BeginRollout(ask.Model, ask.Version, time.Duration(ask.Over*float64(time.Second))); err != nil {
			return fail(ctx, err)
		}
		state, err := daemon.RolloutState(ask.Model)
		return reply(ctx, state, err)
	})
	app.Get("/v1/rollouts/:model", func(ctx *fiber.Ctx) error {
		state, err := daemon.RolloutState(string([]byte(ctx.Params("model"))))
		return reply(ctx, state, err)
	})
	app.Get("/v1/tenants", func(ctx *fiber.Ctx) error {
		tenants, err := daemon.Tenants()
		return reply(ctx, tenants, err)
	})
	for path, isPin := range map[string]bool{"pin": true, "release": false} {
		app.Post("/v1/tenants/"+path, func(ctx *fiber.Ctx) error {
			var ask struct {
				Tenant  string
				Regions []string
			}
			if err := json.Unmarshal(ctx.Body(), &ask); err != nil || ask.Tenant == "" || isPin != (len(ask.Regions) > 0) {
				return fail(ctx, verdict.Decline(400, "bad_request", "a pin needs a tenant and regions, a release a tenant", 0))
			}
			placement, err := daemon.Pin(ask.Tenant, ask.Regions)
			return reply(ctx, placement, err)
		})
	}
	app.Post("/v1/handovers/:model/rollback", func(ctx *fiber.Ctx) error {
		model, err := daemon.Objects.Rollback(string([]byte(ctx.Params("model"))), words(string([]byte(ctx.Query("regions")))), daemon.standby())
		return reply(ctx, model, err)
	})
	app.Post("/v1/handovers/:model/promote", func(ctx *fiber.Ctx) error {
		model, err := daemon.Objects.Promote(string([]byte(ctx.Params("model"))), ctx.QueryBool("stay"), daemon.standby())
		return reply(ctx, model, err)
	})
	return app
}

func (daemon *Daemon) standby() time.Duration {
	if _, _, tree := daemon.Office.Current(); tree != nil {
		return tree.Span("standby_ms", "")
	}
	return 0
}

// Counters are the daemon's counters and gauges.
func (daemon *Daemon) Counters() map[string]any {
	local := daemon.Local()
	live := map[string]int{}
	for _, one := range local.Sessions {
		live[one.Member.Role]++
	}
	held := 0
	for range local.Regions {
		held++
	}
	out := map[string]any{
		"config_serial": local.Serial, "core_epoch": local.Core.Epoch, "sessions": live, "duties_held": held,
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
