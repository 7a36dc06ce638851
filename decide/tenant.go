package decide

import (
	"time"

	"swifttiller/permit"
	"swifttiller/tenant"
)

// longPromptDivisor: a prompt is long if reading it takes at least the route's target
// divided by this.
const longPromptDivisor = 8

// isLong reports whether the request's prompt is long.
func (decider *Decider) isLong(routed *Routed) bool {
	return decider.reading(routed.Tokens) >= routed.Route.Target/longPromptDivisor
}

// note counts a request for its tenant, if tenant placement is enabled (tenant_ms).
func (decider *Decider) note(view *permit.View, routed *Routed) {
	if view.Tree.Limit("tenant_ms", "") <= 0 {
		return
	}
	shared := 0
	for _, part := range routed.Parts[:max(0, len(routed.Parts)-1)] {
		shared += part.Tokens
	}
	decider.tenants.Note(tenant.Request{Tenant: routed.Route.Address(), Model: routed.Model, Key: routed.owner, Prompt: routed.Tokens, Shared: shared, Answer: routed.Most, Bytes: routed.Bytes, Long: decider.isLong(routed)})
}

// noteEnd counts the end of a routed request for its tenant.
func (decider *Decider) noteEnd(selection *Selection, now time.Duration) {
	if !decider.tenants.IsEmpty() {
		decider.tenants.Ended(selection.routed.Route.Address(), now-selection.sent)
	}
}

// placement returns the tenant placement that determines the owners of the request's
// shared prompt parts. It is nil if the request has none, or no placement applies.
func (decider *Decider) placement(view *permit.View, routed *Routed, now time.Duration) *tenant.Placement {
	if routed.owner == 0 || view.Placed == nil || view.Tree.Limit("tenant_ms", "") <= 0 {
		return nil
	}
	return view.Placement(routed.Route.Address(), now)
}
