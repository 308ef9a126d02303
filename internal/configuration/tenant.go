package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"otterchute/internal/resource"
	"otterchute/internal/schema"

	"github.com/tidwall/gjson"
)

const (
	maxTenants    = 10_000
	maxTenantKeys = 1000
	maxLimit      = 1 << 40 // of one dimension, as of any resource

	keyDigestDigits = 2 * sha256.Size // in hex
)

var tenantFields = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"name":   {Kind: schema.Name, Required: true},
	"weight": {Kind: schema.Number},
	"limit":  tenantLimitFields,
	"key_digests": {Kind: schema.List, Max: maxTenantKeys, Elem: &schema.Field{
		Kind: schema.String, Min: keyDigestDigits, Max: keyDigestDigits,
	}},
}}

// tenantLimitFields allow a limit of 0 in all dimensions, unlike what a task takes: it has none then.
var tenantLimitFields = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"cpu":          {Kind: schema.Integer, Max: maxLimit},
	"memory":       {Kind: schema.Integer, Max: maxLimit},
	"accelerators": {Kind: schema.Integer, Max: maxLimit},
}}

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

// RequiresKey tells whether calls need a key, but for those at open queues: whether the
// document declares tenants.
func (c *Configuration) RequiresKey() bool { return c.Tenants != nil }

// TenantOfKey returns whose key has a digest; nil for a key that nobody has. It takes as long
// for any key, since only digests are compared.
func (c *Configuration) TenantOfKey(digest KeyDigest) *Tenant { return c.tenantsByKey[digest] }

// addTenants compiles the tenants of a document. A key that two of them hold would leave open
// whose jobs come with it: it is a fault, which names both and not the key.
func (c *compiler) addTenants(path string, docs []gjson.Result) {
	c.config.Tenants, c.config.tenantsByKey = map[string]*Tenant{}, map[KeyDigest]*Tenant{}
	for i, doc := range docs {
		at := fmt.Sprintf("%s.%d", path, i)
		t := &Tenant{
			Name: doc.Get("name").Str, Weight: doc.Get("weight").Num, Limit: resource.Parse(doc.Get("limit")),
		}
		if c.config.Tenants[t.Name] != nil {
			c.fault(at+".name", "stands twice")
			continue
		}
		c.config.Tenants[t.Name] = t
		for k, text := range doc.Get("key_digests").Array() {
			c.addKey(fmt.Sprintf("%s.key_digests.%d", at, k), t, text.Str)
		}
	}
}

func (c *compiler) addKey(path string, t *Tenant, text string) {
	var digest KeyDigest
	if _, err := hex.Decode(digest[:], []byte(text)); err != nil {
		c.fault(path, "must be a SHA-256 in hex digits")
		return
	}
	if other := c.config.tenantsByKey[digest]; other != nil {
		c.fault(path, "is a key of tenant "+other.Name+" and of tenant "+t.Name)
		return
	}
	c.config.tenantsByKey[digest] = t
	t.Keys = append(t.Keys, digest)
}
