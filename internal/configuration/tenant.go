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
	maxTenants     = 10_000
	maxTenantKeys  = 1000
	maxTenantLimit = 1 << 40 // of one dimension, as for any resource

	keyDigestDigits = 2 * sha256.Size // in hex
)

var tenantSchema = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"name":   {Kind: schema.Name, Required: true},
	"weight": {Kind: schema.Number},
	"limit":  tenantLimitSchema,
	"key_digests": {Kind: schema.List, Max: maxTenantKeys, Elem: &schema.Field{
		Kind: schema.String, Min: keyDigestDigits, Max: keyDigestDigits,
	}},
}}

// tenantLimitSchema allows 0 in all dimensions, unlike a task's resources: 0 means no limit.
var tenantLimitSchema = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"cpu":          {Kind: schema.Integer, Max: maxTenantLimit},
	"memory":       {Kind: schema.Integer, Max: maxTenantLimit},
	"accelerators": {Kind: schema.Integer, Max: maxTenantLimit},
}}

// Tenant is one customer of the cluster. Its keys authenticate calls, its limit bounds the
// resources of its running tasks, and its weight sets its admission rate and its share when the
// cluster is full.
type Tenant struct {
	Name   string
	Weight float64         // jobs per second that don't count as excess; also its share of a full cluster
	Limit  resource.Amount // over all workers; 0 in a dimension means no limit
	Keys   []KeyDigest
}

// KeyDigest is the SHA-256 of a key. Keys themselves are stored only in the document that the
// operator sent.
type KeyDigest [sha256.Size]byte

// DigestOfKey returns the digest by which a key is looked up.
//
// Example: tenant := config.TenantOfKey(configuration.DigestOfKey(key))
func DigestOfKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// RequiresKey reports whether calls need a key, except at open queues. They do if the document
// declares tenants.
func (c *Configuration) RequiresKey() bool { return c.Tenants != nil }

// TenantOfKey returns the tenant whose key has a digest; nil if there is none. The lookup takes the
// same time for any key, since only digests are compared.
func (c *Configuration) TenantOfKey(digest KeyDigest) *Tenant { return c.tenantsByKey[digest] }

// addTenants compiles the tenants of a document. A key that two tenants hold would leave the tenant
// of a job ambiguous, so it is reported as a fault, which names both tenants but not the key.
func (c *compiler) addTenants(path string, docs []gjson.Result) {
	c.config.Tenants, c.config.tenantsByKey = map[string]*Tenant{}, map[KeyDigest]*Tenant{}
	for i, doc := range docs {
		at := fmt.Sprintf("%s.%d", path, i)
		t := &Tenant{
			Name: doc.Get("name").Str, Weight: doc.Get("weight").Num, Limit: resource.Parse(doc.Get("limit")),
		}
		if c.config.Tenants[t.Name] != nil {
			c.addFault(at+".name", "stands twice")
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
		c.addFault(path, "must be a SHA-256 in hex digits")
		return
	}
	if other := c.config.tenantsByKey[digest]; other != nil {
		c.addFault(path, "is a key of tenant "+other.Name+" and of tenant "+t.Name)
		return
	}
	c.config.tenantsByKey[digest] = t
	t.Keys = append(t.Keys, digest)
}
