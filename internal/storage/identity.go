package storage

import (
	"bufio"
	"fmt"
	"strings"
	"time"
)

// identity is the content of the file "disk-id": the disk's id and the number of the
// first segment that was written under it. Segments and snapshots with lower numbers
// belong to an earlier identity of the disk and are ignored. So the rename of one file
// ends an identity and begins the next, empty one: whichever old files reappear after a
// power loss, no store is ever read under another identity than its own.
type identity struct {
	id           uint64
	firstSegment uint64 // 0 if an earlier release wrote the file
}

// readIdentity returns the folder's identity, or false if there is none.
func readIdentity(f folder) (found identity, ok bool) {
	content, err := f.Read(identityName)
	if err != nil {
		return identity{}, false
	}
	fields := len(strings.Fields(string(content)))
	count, _ := fmt.Sscanf(string(content), "%x %d", &found.id, &found.firstSegment) // an error shows in count
	complete := count == fields && (count == 1 || count == 2 && found.firstSegment != 0)
	return found, complete && found.id != 0
}

// writeIdentity writes a new identity, which makes the disk an empty one.
func (l *Log) writeIdentity(next identity) error {
	err := l.writeAtomically(identityName, func(w *bufio.Writer) {
		_, _ = fmt.Fprintf(w, "%x %d\n", next.id, next.firstSegment)
	})
	if err == nil {
		l.identity = next
	}
	return err
}

// quarantine renames the files of former identities, up to quarantineBytes in total, and
// removes the others. The next snapshot removes the renamed files.
func (l *Log) quarantine() error {
	names, err := l.folder.List()
	if err != nil {
		return wrapError("list", "", err)
	}
	prefix := fmt.Sprintf("%s%d-", quarantinePrefix, time.Now().UnixNano())
	kept := int64(0)
	for _, name := range names {
		number, ok := fileNumber(name)
		if !ok || number >= l.firstSegment {
			continue
		}
		size, err := l.folder.Size(name)
		if err != nil {
			return wrapError("measure", name, err)
		}
		if kept+size > quarantineBytes {
			err = wrapError("remove", name, l.folder.Remove(name))
		} else {
			kept += size
			err = wrapError("rename", name, l.folder.Rename(name, prefix+name))
		}
		if err != nil {
			return err
		}
	}
	l.events("disk_damaged", "kept_as", prefix, "bytes", kept)
	return nil
}

// removeQuarantined removes the quarantined files.
func (l *Log) removeQuarantined() error {
	return l.removeFiles(func(name string) bool { return strings.HasPrefix(name, quarantinePrefix) })
}

// removeBefore removes the segments and snapshots with lower numbers, and unfinished
// files. The removal need not be durable.
func (l *Log) removeBefore(n uint64) error {
	return l.removeFiles(func(name string) bool {
		number, ok := fileNumber(name)
		return ok && number < n || strings.HasSuffix(name, temporarySuffix)
	})
}

// removeFiles removes the files whose names match.
func (l *Log) removeFiles(matches func(name string) bool) error {
	names, err := l.folder.List()
	if err != nil {
		return wrapError("list", "", err)
	}
	for _, name := range names {
		if !matches(name) {
			continue
		}
		if err := l.folder.Remove(name); err != nil {
			return wrapError("remove", name, err)
		}
	}
	return nil
}
