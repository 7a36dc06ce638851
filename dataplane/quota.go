package dataplane

import (
	"swifttiller/quota"
	"swifttiller/settings"
)

// cachedLimits holds the tenants' rate limits that were computed from a settings tree.
type cachedLimits struct {
	tree   *settings.Tree
	limits *quota.Limits
}

// limits returns the tenants' rate limits that are in force. They are computed again only when the
// settings tree changes.
func (daemon *Daemon) limits() *quota.Limits {
	var tree *settings.Tree
	if daemon.Holder != nil {
		tree = daemon.Holder.View().Tree
	}
	cached := daemon.cachedLimits.Load()
	if cached != nil && cached.tree == tree {
		return cached.limits
	}
	terms := quota.Accuracy{Window: tree.Duration("quota_window_ms", ""), Excess: tree.Limit("quota_excess", ""), Slack: tree.Limit("quota_slack", ""), Reserve: tree.Duration("quota_reserve_ms", "")}
	var tenantLimits []quota.Limit
	if tree != nil {
		for _, tenant := range tree.Tenants() {
			tenantLimits = append(tenantLimits, quota.Limit{Tenant: tenant.Name, PerSecond: tenant.PerSecond, Burst: tenant.Burst})
		}
	}
	current := &cachedLimits{tree, quota.NewLimits(terms, tenantLimits)}
	daemon.cachedLimits.Store(current)
	return current.limits
}
