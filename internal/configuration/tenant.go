package configuration

import (
	"crypto/sha256"

	"otterchute/internal/resource"
)

// Tenant is one customer of the fleet: its keys admit calls, its limit bounds what it may have
// running, and its weight says how much it may send and what it gets when all is full.
type Tenant struct {
	Name   string
	Weight float64         // jobs a second that count as its own; also its share of a full fleet
	Limit  resource.Amount // over all workers; a dimension that is 0 has no limit
	Keys   []KeyDigest
}

// KeyDigest is the SHA-256 of a key: keys themselves are kept nowhere but in the document that
// the operator sent.
type KeyDigest [sha256.Size]byte

// DigestOfKey returns the digest that a key is known by.
//
// Example: tenant := config.TenantOfKey(configuration.DigestOfKey(key))
func DigestOfKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Authenticates tells whether calls need a key, but for those at open queues: whether the
// document declares tenants.
func (c *Configuration) Authenticates() bool { return c.Tenants != nil }

// TenantOfKey returns whose key has a digest; nil for a key that nobody has. It takes as long
// for any key, since only digests are compared.
func (c *Configuration) TenantOfKey(digest KeyDigest) *Tenant { return c.tenantsByKey[digest] }
