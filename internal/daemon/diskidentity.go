package daemon

import (
	"bufio"
	"fmt"
	"strings"
	"time"
)

// diskIdentity is what the file "disk-id" holds: the disk's id and the first
// segment that was written under it. Segments and snapshots with lower numbers
// belong to an earlier identity of the disk and count for nothing. So one
// rename of one file ends an identity and begins the next, empty one: whatever
// of the old files a loss of power brings back, no store is ever read under
// another identity than its own.
type diskIdentity struct {
	id    uint64
	first uint64 // 0 where an earlier release wrote the file
}

const identityName = "disk-id"

// readIdentity gives the folder's identity; false where there is none.
func (d *segmentLog) readIdentity() (found diskIdentity, ok bool) {
	content, err := d.folder.Read(identityName)
	if err != nil {
		return diskIdentity{}, false
	}
	fields := len(strings.Fields(string(content)))
	read, _ := fmt.Sscanf(string(content), "%x %d", &found.id, &found.first)
	return found, found.id != 0 && read == fields && (read == 1 || read == 2 && found.first != 0)
}

// writeIdentity makes the disk an empty one under a new identity.
func (d *segmentLog) writeIdentity(next diskIdentity) error {
	err := d.writeSynced(identityName, func(w *bufio.Writer) { fmt.Fprintf(w, "%x %d\n", next.id, next.first) })
	if err == nil {
		d.diskIdentity = next
	}
	return err
}

// quarantine keeps files that no identity stands for any more under other names,
// unless they are large: see removeQuarantined for when they go.
func (d *segmentLog) quarantine() error {
	names, err := d.folder.List()
	if err != nil {
		return err
	}
	prefix := fmt.Sprintf("%s%d-", quarantinePrefix, time.Now().UnixNano())
	kept := int64(0)
	for _, name := range names {
		number, ok := fileNumber(name)
		if !ok || number >= d.first {
			continue
		}
		size, err := d.folder.Size(name)
		if err != nil {
			return err
		}
		if kept+size > quarantineBytes {
			err = d.folder.Remove(name)
		} else {
			kept += size
			err = d.folder.Rename(name, prefix+name)
		}
		if err != nil {
			return err
		}
	}
	d.log("disk_damaged", "kept_as", prefix, "bytes", kept)
	return nil
}

const quarantinePrefix = "damaged-"

// removeQuarantined removes what was put aside.
func (d *segmentLog) removeQuarantined() error {
	return d.removeFiles(func(name string) bool { return strings.HasPrefix(name, quarantinePrefix) })
}

// removeFiles removes the files that a test picks.
func (d *segmentLog) removeFiles(pick func(name string) bool) error {
	names, err := d.folder.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if pick(name) {
			if err := d.folder.Remove(name); err != nil {
				return err
			}
		}
	}
	return nil
}
