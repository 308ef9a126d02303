package wire

import "otterchute/internal/resource"

// Messages between shard owners and the daemon whose counter lends a tenant's limit, see package
// quota.

// ShareReport reports to a tenant counter how much one shard's owner holds of the limits of all
// tenants that are counted there. A tenant that is not listed has nothing in that shard.
type ShareReport struct {
	Counter       string // the shard whose owner is the counter
	CounterEpoch  uint64 // of the counter; a counter with another epoch ignores the report
	Shard         string // the reporting shard
	ShardEpoch    uint64
	Seq           uint64 // rises with each report of an owner; only a grant for the newest is accepted
	ConfigVersion int64
	Accounts      []ShareAccount
}

// ShareAccount is one tenant's part of a ShareReport.
type ShareAccount struct {
	Tenant   string
	Keep     resource.Amount // the owner starts nothing beyond this until the next grant
	Used     resource.Amount // the part of Keep taken by tasks that run or may run
	Prefetch resource.Amount // requested beyond Keep, so that later starts need not wait
	Claims   []ShareClaim    // tasks that wait only for a share, the most urgent first
}

// ShareClaim requests a share for tasks of one step: Count units, each of which is granted as a
// whole or not at all. A unit is one task, or all members of a gang.
type ShareClaim struct {
	Job         string
	Urgency     int64
	SubmittedMs int64
	Unit        resource.Amount
	Task        resource.Amount // one task of the unit
	Count       int32
	WaitedMs    int64
}

// ShareGrant answers the ShareReport with the same Seq. It may be sent several times for one
// report, with amounts that only rise.
type ShareGrant struct {
	Counter       string
	CounterEpoch  uint64
	Shard         string
	ShardEpoch    uint64
	Seq           uint64
	ConfigVersion int64 // of the configuration whose limits were applied
	Shares        []TenantShare
}

// TenantShare is the amount that one tenant's tasks may take in a shard.
type TenantShare struct {
	Tenant    string
	Amount    resource.Amount
	NearLimit bool // the tenant is near its limit: return unused amounts at once
	// ReturnFreed is set if the amounts of tasks that end must be returned as well, without
	// replacing the tasks: more may be granted than the limit allows, or a larger unit waits.
	ReturnFreed bool
}
