package decide

import (
	"time"

	"swifttiller/permit"
	"swifttiller/tenant"
)

// longShare: a prompt that takes this part of its target to read is long.
const longShare = 8

// isLong tells whether a prompt goes where long ones go.
func (decider *Decider) isLong(routed *Routed) bool {
	return decider.reading(routed.Tokens) >= routed.Route.Target/longShare
}

// note counts a directed request for its tenant, where tenants are looked at.
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

// noteEnd counts the end of a routed selection for its tenant.
func (decider *Decider) noteEnd(selection *Selection, now time.Duration) {
	if !decider.tenants.IsEmpty() {
		decider.tenants.Ended(selection.routed.Route.Address(), now-selection.sent)
	}
}

// placement is what says where the owners of a request's shared parts are; nil where it
// has none, or nothing says so.
func (decider *Decider) placement(view *permit.View, routed *Routed, now time.Duration) *tenant.Placement {
	if routed.owner == 0 || view.Placed == nil || view.Tree.Limit("tenant_ms", "") <= 0 {
		return nil
	}
	return view.Placement(routed.Route.Address(), now)
}
