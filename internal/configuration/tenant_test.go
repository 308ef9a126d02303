package configuration

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"otterchute/internal/resource"

	"github.com/shoenig/test/must"
)

func digestText(key string) string {
	digest := DigestOfKey(key)
	return hex.EncodeToString(digest[:])
}

func tenantsSetup(tenants string) []byte {
	return []byte(`{"queues":[{"name":"checks","addresses":[{"host":"h","prefix":"/"}]},{"name":"free","open":true}],"tenants":` + tenants + `}`)
}

// Guards against keys, limits and weights that are not those of the document, and against calls
// that need a key where the document declares no tenants, or need none where it declares some.
func TestTenants(t *testing.T) {
	c, faults := Compile(1, tenantsSetup(`[{"name":"a","key_digests":["`+digestText("one")+`","`+strings.ToUpper(digestText("two"))+`"],"weight":2.5,"limit":{"cpu":5,"memory":7,"accelerators":1}},{"name":"b"}]`))
	must.SliceEmpty(t, faults)
	must.True(t, c.RequiresKey())
	for key, name := range map[string]string{"one": "a", "two": "a", "three": "", "": "", digestText("one"): ""} {
		tenant := c.TenantOfKey(DigestOfKey(key))
		must.Eq(t, name != "", tenant != nil, must.Sprint(key))
		if name != "" {
			must.Eq(t, name, tenant.Name)
		}
	}
	must.Eq(t, 2.5, c.Tenants["a"].Weight)
	must.Eq(t, resource.Amount{CPU: 5, Memory: 7, GPU: 1}, c.Tenants["a"].Limit)
	must.Len(t, 2, c.Tenants["a"].Keys)
	must.Eq(t, resource.Amount{}, c.Tenants["b"].Limit)
	must.True(t, c.Queues["free"].Open)
	must.False(t, c.Queues["checks"].Open)

	emptied := c.WithEmptiedZones([]string{"attic"})
	must.NotNil(t, emptied.TenantOfKey(DigestOfKey("one")), must.Sprint("an emptied zone takes no key away"))
	none, faults := Compile(1, tenantsSetup(`[]`))
	must.SliceEmpty(t, faults)
	must.True(t, none.RequiresKey())
	must.Nil(t, none.TenantOfKey(DigestOfKey("one")))
	absent, faults := Compile(1, []byte(`{"queues":[]}`))
	must.SliceEmpty(t, faults)
	must.False(t, absent.RequiresKey())
	must.Nil(t, absent.TenantOfKey(DigestOfKey("one")))
}

// Guards against a valid document that is refused: a tenant need have no limit, in one dimension
// or in any, and no keys.
func TestTenantsWithoutLimits(t *testing.T) {
	for limit, amount := range map[string]resource.Amount{
		`{}`: {}, `{"cpu":0,"memory":0,"accelerators":0}`: {}, `{"memory":3}`: {Memory: 3}, `{"cpu":0,"accelerators":2}`: {GPU: 2},
	} {
		c, faults := Compile(1, tenantsSetup(`[{"name":"a","key_digests":[],"weight":0,"limit":`+limit+`}]`))
		must.SliceEmpty(t, faults, must.Sprint(limit))
		must.Eq(t, amount, c.Tenants["a"].Limit)
	}
}

// Guards against damaged tenants that are accepted, and against a key, or its digest, in a fault.
func TestTenantFaults(t *testing.T) {
	key := `"` + digestText("one") + `"`
	for _, x := range []struct{ tenants, path, reason string }{
		{`{}`, "tenants", "must be a list"},
		{`null`, "tenants", "must be a list"},
		{`[7]`, "tenants.0", "must be an object"},
		{`[{}]`, "tenants.0.name", "is missing"},
		{`[{"name":"a b"}]`, "tenants.0.name", "must be a name"},
		{`[{"name":"a"},{"name":"a"}]`, "tenants.1.name", "stands twice"},
		{`[{"name":"a","weight":-1}]`, "tenants.0.weight", "0 or more"},
		{`[{"name":"a","limit":7}]`, "tenants.0.limit", "must be an object"},
		{`[{"name":"a","limit":{"cpu":-1}}]`, "tenants.0.limit.cpu", "must be 0 to"},
		{`[{"name":"a","limit":{"memory":1.5}}]`, "tenants.0.limit.memory", "whole number"},
		{`[{"name":"a","limit":{"disk":1}}]`, "tenants.0.limit.disk", "not a known field"},
		{`[{"name":"a","key":"one"}]`, "tenants.0.key", "not a known field"},
		{`[{"name":"a","key_digests":["one"]}]`, "tenants.0.key_digests.0", "bytes"},
		{`[{"name":"a","key_digests":["` + strings.Repeat("x", keyDigestDigits) + `"]}]`, "tenants.0.key_digests.0", "SHA-256"},
		{`[{"name":"a","key_digests":[` + key + `]},{"name":"b","key_digests":[` + key + `]}]`, "tenants.1.key_digests.0", "is a key of tenant a and of tenant b"},
		{`[{"name":"a","key_digests":[` + key + `,` + key + `]}]`, "tenants.0.key_digests.1", "is a key of tenant a and of tenant a"},
	} {
		_, faults := Compile(1, tenantsSetup(x.tenants))
		must.Positive(t, len(faults), must.Sprint(x))
		must.Eq(t, x.path, faults[0].Path, must.Sprint(faults))
		must.StrContains(t, faults[0].Reason, x.reason, must.Sprint(x.path))
		must.StrNotContains(t, fmt.Sprint(faults), digestText("one"))
	}
	_, faults := Compile(1, []byte(`{"queues":[{"name":"checks","open":1}]}`))
	must.Eq(t, "queues.0.open", faults[0].Path)
}
