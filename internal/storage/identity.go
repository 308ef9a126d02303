package storage

import (
	"bufio"
	"fmt"
	"strings"
	"time"
)

// identity is what the file "disk-id" holds: the disk's id and the first segment
// that was written under it. Segments and snapshots with lower numbers belong to
// an earlier identity of the disk and count for nothing. So one rename of one
// file ends an identity and begins the next, empty one: whatever of the old files
// a loss of power brings back, no store is ever read under another identity than
// its own.
type identity struct {
	id    uint64
	first uint64 // 0 where an earlier release wrote the file
}

// readIdentity returns the folder's identity; false where there is none.
func readIdentity(f folder) (found identity, ok bool) {
	content, err := f.Read(identityName)
	if err != nil {
		return identity{}, false
	}
	fields := len(strings.Fields(string(content)))
	read, _ := fmt.Sscanf(string(content), "%x %d", &found.id, &found.first) // how many were read tells enough
	complete := read == fields && (read == 1 || read == 2 && found.first != 0)
	return found, complete && found.id != 0
}

// begin makes the disk an empty one under a new identity.
func (l *Log) begin(next identity) error {
	err := l.writeSynced(identityName, func(w *bufio.Writer) { _, _ = fmt.Fprintf(w, "%x %d\n", next.id, next.first) })
	if err == nil {
		l.identity = next
	}
	return err
}

// quarantine keeps files that no identity stands for any more under other names,
// unless they are large: see removeQuarantined for when they go.
func (l *Log) quarantine() error {
	names, err := l.folder.List()
	if err != nil {
		return failed("list", "", err)
	}
	prefix := fmt.Sprintf("%s%d-", quarantinePrefix, time.Now().UnixNano())
	kept := int64(0)
	for _, name := range names {
		number, ok := fileNumber(name)
		if !ok || number >= l.first {
			continue
		}
		size, err := l.folder.Size(name)
		if err != nil {
			return failed("measure", name, err)
		}
		if kept+size > quarantineBytes {
			err = failed("remove", name, l.folder.Remove(name))
		} else {
			kept += size
			err = failed("rename", name, l.folder.Rename(name, prefix+name))
		}
		if err != nil {
			return err
		}
	}
	l.events("disk_damaged", "kept_as", prefix, "bytes", kept)
	return nil
}

// removeQuarantined removes what was kept of damaged files.
func (l *Log) removeQuarantined() error {
	return l.removeFiles(func(name string) bool { return strings.HasPrefix(name, quarantinePrefix) })
}

// removeBefore removes the segments and snapshots before a number, and what was
// begun and never got its name. Nothing needs the removal to be durable.
func (l *Log) removeBefore(n uint64) error {
	return l.removeFiles(func(name string) bool {
		number, ok := fileNumber(name)
		return ok && number < n || strings.HasSuffix(name, unfinishedSuffix)
	})
}

// removeFiles removes the files that a test picks.
func (l *Log) removeFiles(pick func(name string) bool) error {
	names, err := l.folder.List()
	if err != nil {
		return failed("list", "", err)
	}
	for _, name := range names {
		if !pick(name) {
			continue
		}
		if err := l.folder.Remove(name); err != nil {
			return failed("remove", name, err)
		}
	}
	return nil
}
