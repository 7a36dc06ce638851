package dataplane

import (
	"swifttiller/quota"
	"swifttiller/settings"
)

// limited are the tenants' limits of a tree.
type limited struct {
	tree   *settings.Tree
	limits *quota.Limits
}

// limits are the tenants' limits in force.
func (daemon *Daemon) limits() *quota.Limits {
	var tree *settings.Tree
	if daemon.Holder != nil {
		tree = daemon.Holder.View().Tree
	}
	have := daemon.limited.Load()
	if have != nil && have.tree == tree {
		return have.limits
	}
	terms := quota.Terms{Window: tree.Span("quota_window_ms", ""), Excess: tree.Limit("quota_excess", ""), Slack: tree.Limit("quota_slack", ""), Reserve: tree.Span("quota_reserve_ms", "")}
	var list []quota.Limit
	if tree != nil {
		for _, one := range tree.Tenants() {
			list = append(list, quota.Limit{Tenant: one.Name, PerSecond: one.PerSecond, Burst: one.Burst})
		}
	}
	next := &limited{tree, quota.Index(terms, list)}
	daemon.limited.Store(next)
	return next.limits
}
