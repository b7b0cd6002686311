// Package wal keeps the replicated log of one VM on disk: a snapshot file and a log file of checksummed records.
//
// Each Save is one record, so that a crash leaves at most one incomplete record at the end, which Open cuts off.
// A record that is damaged while valid ones follow it makes Open fail with ErrDamaged.
package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"wagtaillift/internal/modules/quorum"
)

// ErrDamaged says that synced data cannot be read back. The VM must rejoin with an empty folder.
var ErrDamaged = errors.New("the log is damaged before its end")

const (
	headerBytes = 12
	logPrefix   = "log-"
	snapPrefix  = "snapshot-"
	filePerm    = 0o600
	folderPerm  = 0o700
)

var (
	magic = []byte("wgl1")
	table = crc32.MakeTable(crc32.Castagnoli)
)

// record is the unit of writing.
type record struct {
	Hard    *quorum.Hard   `cbor:"1,keyasint,omitempty"`
	Entries []quorum.Entry `cbor:"2,keyasint,omitempty"`
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	folder string
	file   *os.File
	serial uint64
	hard   quorum.Hard
	size   int64
}

// Open reads the log in folder, which it creates where missing, and cuts an incomplete last record off.
func Open(folder string) (*Log, quorum.State, error) {
	var s quorum.State
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return nil, s, errors.Annotate(err, "create data folder")
	}
	l := &Log{folder: folder}
	if err := l.loadSnapshot(&s); err != nil {
		return nil, s, err
	}
	if err := l.loadRecords(&s); err != nil {
		return nil, s, err
	}
	l.hard = s.Hard
	return l, s, nil
}

// Size returns the bytes of the log file.
func (l *Log) Size() int64 { return l.size }

// Close closes the log file.
func (l *Log) Close() error { return errors.Annotate(l.file.Close(), "close log") }

// Save appends hard, where set, and entries as one record and syncs it.
func (l *Log) Save(hard *quorum.Hard, entries []quorum.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if hard != nil {
		l.hard = *hard
	}
	data, err := encode(record{Hard: hard, Entries: entries})
	if err != nil {
		return err
	}
	n, err := l.file.Write(data)
	l.size += int64(n)
	if err != nil {
		return errors.Annotatef(err, "write %s", l.file.Name())
	}
	return errors.Annotatef(l.file.Sync(), "sync %s", l.file.Name())
}

// SaveSnapshot makes s durable and starts a new log file that holds only rest, the entries after s.
func (l *Log) SaveSnapshot(s quorum.Snapshot, rest []quorum.Entry) error {
	body, err := cbor.Marshal(s)
	if err != nil {
		return errors.Annotate(err, "encode snapshot")
	}
	serial := l.serial + 1
	if err := l.writeFile(snapName(serial), frame(body)); err != nil {
		return err
	}
	first, err := encode(record{Hard: &l.hard, Entries: rest})
	if err != nil {
		return err
	}
	if err := l.writeFile(logName(serial), first); err != nil {
		return err
	}
	if err := l.use(serial, int64(len(first))); err != nil {
		return err
	}
	return l.removeBefore(serial)
}

// use switches appending to the log file of serial.
func (l *Log) use(serial uint64, size int64) error {
	f, err := os.OpenFile(filepath.Join(l.folder, logName(serial)), os.O_WRONLY|os.O_APPEND|os.O_CREATE, filePerm)
	if err != nil {
		return errors.Annotate(err, "open log")
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.serial, l.size = f, serial, size
	return syncFolder(l.folder)
}

// writeFile writes a whole file so that it is either absent or complete after a crash.
func (l *Log) writeFile(name string, data []byte) error {
	path := filepath.Join(l.folder, name)
	if err := WriteFile(path, data, filePerm); err != nil {
		return err
	}
	return nil
}

// WriteFile replaces path by data atomically and durably.
func WriteFile(path string, data []byte, perm os.FileMode) error {
	tmp := path + ".tmp"
	f, err := os.OpenFile(tmp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, perm)
	if err != nil {
		return errors.Annotate(err, "create file")
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(tmp, path)
	}
	if err != nil {
		return errors.Annotatef(err, "write %s", path)
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return errors.Annotate(err, "open folder")
	}
	defer d.Close()
	return errors.Annotatef(d.Sync(), "sync folder %s", folder)
}

func (l *Log) removeBefore(serial uint64) error {
	for _, n := range l.serials(logPrefix) {
		if n < serial {
			os.Remove(filepath.Join(l.folder, logName(n)))
			os.Remove(filepath.Join(l.folder, snapName(n)))
		}
	}
	return syncFolder(l.folder)
}

func logName(n uint64) string  { return fmt.Sprintf("%s%016d", logPrefix, n) }
func snapName(n uint64) string { return fmt.Sprintf("%s%016d", snapPrefix, n) }

// serials returns the numbers of the files with prefix, ascending.
func (l *Log) serials(prefix string) []uint64 {
	var list []uint64
	files, _ := os.ReadDir(l.folder)
	for _, f := range files {
		var n uint64
		rest, ok := strings.CutPrefix(f.Name(), prefix)
		if !ok || strings.HasSuffix(rest, ".tmp") {
			continue
		}
		if _, err := fmt.Sscanf(rest, "%d", &n); err == nil {
			list = append(list, n)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a] < list[b] })
	return list
}

// loadSnapshot finds the newest generation: the one whose log file exists.
func (l *Log) loadSnapshot(s *quorum.State) error {
	logs := l.serials(logPrefix)
	if len(logs) == 0 {
		return nil
	}
	l.serial = logs[len(logs)-1]
	path := filepath.Join(l.folder, snapName(l.serial))
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) && l.serial == 0 {
		return nil
	}
	if err != nil {
		return errors.Annotate(err, "read snapshot")
	}
	body, size, ok := unframe(data)
	if !ok || size != len(data) {
		return errors.Annotatef(ErrDamaged, "read %s", path)
	}
	return errors.Annotatef(cbor.Unmarshal(body, &s.Snapshot), "decode %s", path)
}

func (l *Log) loadRecords(s *quorum.State) error {
	path := filepath.Join(l.folder, logName(l.serial))
	data, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return errors.Annotate(err, "read log")
	}
	at := 0
	for at < len(data) {
		body, size, ok := unframe(data[at:])
		if !ok {
			break
		}
		var r record
		if err := cbor.Unmarshal(body, &r); err != nil {
			return errors.Annotatef(err, "decode %s at %d", path, at)
		}
		if err := replay(s, r); err != nil {
			return errors.Annotatef(err, "replay %s at %d", path, at)
		}
		at += size
	}
	if at < len(data) {
		if err := cutTail(path, data, at); err != nil {
			return err
		}
	}
	return l.use(l.serial, int64(at))
}

// cutTail removes an incomplete last record; valid records behind it mean damage.
func cutTail(path string, data []byte, at int) error {
	for i := at + 1; i < len(data); i++ {
		next := bytes.Index(data[i:], magic)
		if next < 0 {
			break
		}
		i += next
		if _, _, ok := unframe(data[i:]); ok {
			return errors.Annotatef(ErrDamaged, "read %s: record at %d is bad, the one at %d is good", path, at, i)
		}
	}
	return errors.Annotatef(os.Truncate(path, int64(at)), "cut %s at %d", path, at)
}

// replay adds r to s. Entries replace those at and after their first index.
func replay(s *quorum.State, r record) error {
	if r.Hard != nil {
		s.Hard = *r.Hard
	}
	for _, e := range r.Entries {
		last := s.Snapshot.Index + quorum.Index(len(s.Entries))
		if e.Index <= s.Snapshot.Index {
			continue
		}
		if e.Index > last+1 {
			return errors.Annotatef(ErrDamaged, "entry %d follows entry %d", e.Index, last)
		}
		s.Entries = append(s.Entries[:e.Index-s.Snapshot.Index-1], e)
	}
	return nil
}

func encode(r record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, errors.Annotate(err, "encode record")
	}
	return frame(body), nil
}

// frame puts the magic number, the length and the checksum before body.
func frame(body []byte) []byte {
	data := make([]byte, headerBytes, headerBytes+len(body))
	copy(data, magic)
	binary.LittleEndian.PutUint32(data[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(data[8:], crc32.Checksum(body, table))
	return append(data, body...)
}

// unframe returns the body of the record at the start of data and the bytes it takes.
func unframe(data []byte) (body []byte, size int, ok bool) {
	if len(data) < headerBytes || !bytes.HasPrefix(data, magic) {
		return nil, 0, false
	}
	n := int(binary.LittleEndian.Uint32(data[4:]))
	if n > len(data)-headerBytes {
		return nil, 0, false
	}
	body = data[headerBytes : headerBytes+n]
	sum := binary.LittleEndian.Uint32(data[8:])
	return body, headerBytes + n, crc32.Checksum(body, table) == sum
}
