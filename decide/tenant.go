package decide

import (
	"time"

	"swifttiller/lease"
	"swifttiller/tenant"
)

// longPromptDivisor: a prompt is long if reading it takes at least the route's target
// divided by this.
const longPromptDivisor = 8

// isLong reports whether the request's prompt is long.
func (decider *Decider) isLong(routed *Routed) bool {
	return decider.prefillTime(routed.Tokens) >= routed.Route.Target/longPromptDivisor
}

// countTenantRequest counts a request for its tenant, if tenant placement is enabled (tenant_ms).
func (decider *Decider) countTenantRequest(view *lease.View, routed *Routed) {
	if view.Tree.Limit("tenant_ms", "") <= 0 {
		return
	}
	shared := 0
	for _, part := range routed.Parts[:max(0, len(routed.Parts)-1)] {
		shared += part.Tokens
	}
	decider.tenants.Count(tenant.Request{Tenant: routed.Route.Address(), Model: routed.Model, Key: routed.sharedKey, Prompt: routed.Tokens, Shared: shared, Answer: routed.MaxAnswerTokens, Bytes: routed.Bytes, Long: decider.isLong(routed)})
}

// countTenantEnd counts the end of a routed request for its tenant.
func (decider *Decider) countTenantEnd(selection *Selection, now time.Duration) {
	if !decider.tenants.IsEmpty() {
		decider.tenants.CountEnd(selection.routed.Route.Address(), now-selection.sent)
	}
}

// placement returns the tenant placement that determines the owners of the request's
// shared prompt parts. It is nil if the request has none, or no placement applies.
func (decider *Decider) placement(view *lease.View, routed *Routed, now time.Duration) *tenant.Placement {
	if routed.sharedKey == 0 || view.Placements == nil || view.Tree.Limit("tenant_ms", "") <= 0 {
		return nil
	}
	return view.Placement(routed.Route.Address(), now)
}
