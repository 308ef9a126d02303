package daemon

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"flag"
	"fmt"
	"hash"
	"os"
	"slices"
	"sync"
	"testing"
)

var digestFlag = flag.String("digest", "", "file for one line per simulated cluster: its seed, its size and a hash over everything that left its daemons")

// runDigests holds the digests of all simulated clusters of this process.
var runDigests struct {
	mu  sync.Mutex
	all []*runDigest
}

// runDigest hashes everything that leaves the daemons of one simulated cluster, in order and
// with its simulated time: frames, disk writes, orders and HTTP replies. Log text is left out.
// Two revisions with equal digests behave the same in that run, even if names and packages
// differ.
//
// A nil *runDigest ignores all calls.
type runDigest struct {
	label string
	hash  hash.Hash
	count int
}

// newRunDigest returns the digest of a new world, or nil without -digest.
func newRunDigest(label string) *runDigest {
	if *digestFlag == "" {
		return nil
	}
	d := &runDigest{label: label, hash: sha256.New()}
	runDigests.mu.Lock()
	defer runDigests.mu.Unlock()
	runDigests.all = append(runDigests.all, d)
	return d
}

// add hashes one effect of a daemon.
func (d *runDigest) add(atUs int64, node, effect string, numbers []int64, parts ...[]byte) {
	if d == nil {
		return
	}
	d.count++
	b := binary.BigEndian.AppendUint64(nil, uint64(atUs))
	for _, n := range numbers {
		b = binary.BigEndian.AppendUint64(b, uint64(n))
	}
	for _, part := range append([][]byte{[]byte(node), []byte(effect)}, parts...) {
		b = binary.BigEndian.AppendUint32(b, uint32(len(part)))
		b = append(b, part...)
	}
	_, _ = d.hash.Write(b)
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// writeDigests writes the digests of all worlds, sorted by line because parallel tests create
// their worlds in any order.
func writeDigests(path string) error {
	runDigests.mu.Lock()
	defer runDigests.mu.Unlock()
	lines := make([]string, 0, len(runDigests.all))
	for _, d := range runDigests.all {
		lines = append(lines, fmt.Sprintf("%s effects %d sha256 %x\n", d.label, d.count, d.hash.Sum(nil)))
	}
	slices.Sort(lines)
	var out bytes.Buffer
	for _, line := range lines {
		out.WriteString(line)
	}
	return os.WriteFile(path, out.Bytes(), 0o600)
}

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if *digestFlag != "" {
		if err := writeDigests(*digestFlag); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}
