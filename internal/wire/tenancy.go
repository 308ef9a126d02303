package wire

import "otterchute/internal/resource"

// Messages between shard owners and the node that counts a tenant's resources, see package quota.

// ShareReport tells a tenant counter what one shard's owner holds of the limits of all tenants
// that are counted there. A tenant that isn't listed has nothing in that shard. Seq rises with
// each report of one owner; only a grant for the newest report is taken.
type ShareReport struct {
	Counter       string // the shard whose owner counts
	CounterEpoch  uint64 // of that owner: another one must not take the report
	Shard         string // the shard that reports
	ShardEpoch    uint64
	Seq           uint64
	ConfigVersion int64
	Accounts      []ShareAccount
}

// ShareAccount is one tenant's part of a ShareReport.
type ShareAccount struct {
	Tenant   string
	Keep     resource.Amount // the owner starts nothing beyond this until a grant comes
	Used     resource.Amount // of that: what tasks take that run or may run
	Prefetch resource.Amount // what it would like to hold beyond that, so that starts need not wait
	Claims   []ShareClaim    // what waits only for a share, the most urgent first
}

// ShareClaim is what tasks of one step lack: Count units, of which each is granted whole or not
// at all. A unit is one task, or all members of a gang.
type ShareClaim struct {
	Job         string
	Urgency     int64
	SubmittedMs int64
	Unit        resource.Amount
	Task        resource.Amount // one task of the unit
	Count       int32
	WaitedMs    int64
}

// ShareGrant answers the ShareReport with the same Seq. It may come several times for one
// report, with amounts that only rise.
type ShareGrant struct {
	Counter       string
	CounterEpoch  uint64
	Shard         string
	ShardEpoch    uint64
	Seq           uint64
	ConfigVersion int64 // by whose limits it was granted
	Shares        []TenantShare
}

// TenantShare is what a shard's owner may have running of one tenant.
type TenantShare struct {
	Tenant    string
	Amount    resource.Amount
	NearLimit bool // the tenant is near its limit: what isn't used is to be given back at once
	// ReturnFreed: what ends is to be given back, too, and not replaced. More may be lent than the
	// limit admits, or a larger unit waits for it.
	ReturnFreed bool
}
