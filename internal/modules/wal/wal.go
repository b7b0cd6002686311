// Package wal stores the replicated log of one VM on disk, as a snapshot file and a log file of checksummed records.
//
// Each Save writes one record. A crash or a full disk leaves at most one incomplete record at the end of the file, which Open
// removes. Open fails with ErrCorrupt if a corrupt record is followed by valid ones. What Open returns is synced.
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
	"k8s.io/klog/v2"

	"wagtaillift/internal/modules/quorum"
)

// ErrCorrupt means that synced data cannot be read back. The VM must rejoin the fleet with an empty data folder.
var ErrCorrupt = errors.New("the log is damaged before its end")

const (
	headerBytes    = 12
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	filePerm       = 0o600
	folderPerm     = 0o700
)

var (
	recordMagic = []byte("wgl1")
	crcTable    = crc32.MakeTable(crc32.Castagnoli)
)

// record is the data of one Save.
type record struct {
	HardState *quorum.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []quorum.Entry    `cbor:"2,keyasint,omitempty"`
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	files      Files
	folder     string
	file       File
	generation uint64           // number in the names of the current log and snapshot files
	hardState  quorum.HardState // latest saved hard state
	size       int64            // bytes of the log file
	failure    error            // of the first write that failed; the log takes no others after it
}

// Open reads the log in folder and removes an incomplete last record. It creates folder if it does not exist.
func Open(folder string) (*Log, quorum.State, error) { return OpenOn(OS, folder) }

// OpenOn is like Open with another file system.
func OpenOn(files Files, folder string) (*Log, quorum.State, error) {
	var s quorum.State
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return nil, s, errors.Annotate(err, "create data folder")
	}
	if err := files.SyncFolder(filepath.Dir(folder)); err != nil {
		return nil, s, err
	}
	l := &Log{files: files, folder: folder}
	if err := l.loadSnapshot(&s); err != nil {
		return nil, s, err
	}
	if err := l.loadRecords(&s); err != nil {
		if l.file != nil {
			l.file.Close()
		}
		return nil, s, err
	}
	l.hardState = s.HardState
	return l, s, nil
}

// path returns the path of the current log file.
func (l *Log) path() string { return filepath.Join(l.folder, logName(l.generation)) }

// Size returns the size of the log file in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the log file.
func (l *Log) Close() error { return errors.Annotate(l.file.Close(), "close log") }

// Save appends hardState, unless it is nil, and entries as one record and syncs the file. After an error the log has to be opened again.
func (l *Log) Save(hardState *quorum.HardState, entries []quorum.Entry) error {
	if l.failure != nil || hardState == nil && len(entries) == 0 {
		return l.failure
	}
	if hardState != nil {
		l.hardState = *hardState
	}
	data, err := encodeRecord(record{HardState: hardState, Entries: entries})
	if err != nil {
		return err
	}
	n, err := l.file.Write(data)
	l.size += int64(n)
	if err == nil {
		err = l.file.Sync()
	}
	l.failure = errors.Annotatef(err, "write %s", l.path())
	return l.failure
}

// SaveSnapshot writes s and a new log file that contains only rest, the entries after s, and removes the older files. After an error the log
// has to be opened again.
func (l *Log) SaveSnapshot(s quorum.Snapshot, rest []quorum.Entry) error {
	if l.failure == nil {
		l.failure = l.saveSnapshot(s, rest)
	}
	return l.failure
}

func (l *Log) saveSnapshot(s quorum.Snapshot, rest []quorum.Entry) error {
	body, err := cbor.Marshal(s)
	if err != nil {
		return errors.Annotate(err, "encode snapshot")
	}
	generation := l.generation + 1
	if err := WriteFileOn(l.files, filepath.Join(l.folder, snapshotName(generation)), encodeFrame(body), filePerm); err != nil {
		return err
	}
	first, err := encodeRecord(record{HardState: &l.hardState, Entries: rest})
	if err != nil {
		return err
	}
	if err := WriteFileOn(l.files, filepath.Join(l.folder, logName(generation)), first, filePerm); err != nil {
		return err
	}
	if err := l.switchTo(generation, int64(len(first))); err != nil {
		return err
	}
	l.removeOthers()
	return l.files.SyncFolder(l.folder)
}

// switchTo opens the log file of generation, which has size bytes, for appending and closes the previous one.
func (l *Log) switchTo(generation uint64, size int64) error {
	f, err := l.files.OpenFile(filepath.Join(l.folder, logName(generation)), os.O_WRONLY|os.O_APPEND|os.O_CREATE, filePerm)
	if err != nil {
		return errors.Annotate(err, "open log")
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.generation, l.size = f, generation, size
	return l.files.SyncFolder(l.folder)
}

// WriteFile atomically replaces the contents of path with data and syncs the file and its folder.
func WriteFile(path string, data []byte, perm os.FileMode) error {
	return WriteFileOn(OS, path, data, perm)
}

// WriteFileOn is like WriteFile with another file system.
func WriteFileOn(files Files, path string, data []byte, perm os.FileMode) error {
	tmp := path + ".tmp"
	f, err := files.OpenFile(tmp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, perm)
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
		err = files.Rename(tmp, path)
	}
	if err != nil {
		if rerr := files.Remove(tmp); rerr != nil { // it takes up room that the disk may lack
			klog.ErrorS(rerr, "Failed to remove an incomplete file", "file", tmp)
		}
		return errors.Annotatef(err, "write %s", path)
	}
	return files.SyncFolder(filepath.Dir(path))
}

// removeOthers removes the files of other generations, and the incomplete files of a process that was killed. Those that can't be removed
// only take up room.
func (l *Log) removeOthers() {
	files, err := os.ReadDir(l.folder)
	if err != nil {
		klog.ErrorS(err, "Failed to look for old files", "folder", l.folder)
	}
	for _, f := range files {
		name := f.Name()
		isOurs := strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix)
		if isOurs && name != logName(l.generation) && name != snapshotName(l.generation) {
			if err := l.files.Remove(filepath.Join(l.folder, name)); err != nil {
				klog.ErrorS(err, "Failed to remove an old file", "file", name)
			}
		}
	}
}

func logName(n uint64) string      { return fmt.Sprintf("%s%016d", logPrefix, n) }
func snapshotName(n uint64) string { return fmt.Sprintf("%s%016d", snapshotPrefix, n) }

// generations returns the generation numbers of the files with prefix in ascending order.
func (l *Log) generations(prefix string) []uint64 {
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

// loadSnapshot sets the generation to the newest one that has a log file and reads its snapshot. SaveSnapshot writes
// the log file last, so a generation without one is incomplete.
func (l *Log) loadSnapshot(s *quorum.State) error {
	logs := l.generations(logPrefix)
	if len(logs) == 0 {
		return nil
	}
	l.generation = logs[len(logs)-1]
	path := filepath.Join(l.folder, snapshotName(l.generation))
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) && l.generation == 0 {
		return nil
	}
	if err != nil {
		return errors.Annotate(err, "read snapshot")
	}
	body, size, ok := decodeFrame(data)
	if !ok || size != len(data) {
		return errors.Annotatef(ErrCorrupt, "read %s", path)
	}
	return errors.Annotatef(cbor.Unmarshal(body, &s.Snapshot), "decode %s", path)
}

// loadRecords reads the log file of the current generation into s and opens it for appending.
func (l *Log) loadRecords(s *quorum.State) error {
	data, err := os.ReadFile(l.path())
	if err != nil && !os.IsNotExist(err) {
		return errors.Annotate(err, "read log")
	}
	offset, last := 0, 0 // last is the offset of the last record
	for offset < len(data) {
		body, size, ok := decodeFrame(data[offset:])
		if !ok {
			break
		}
		var r record
		if err := cbor.Unmarshal(body, &r); err != nil {
			return errors.Annotatef(err, "decode %s at offset %d", l.path(), offset)
		}
		if err := applyRecord(s, r); err != nil {
			return errors.Annotatef(err, "replay %s at offset %d", l.path(), offset)
		}
		offset, last = offset+size, offset
	}
	if err := l.repair(data, last, offset); err != nil {
		return err
	}
	if err := l.switchTo(l.generation, int64(offset)); err != nil {
		return err
	}
	l.removeOthers()
	return nil
}

// repair removes the incomplete record that may follow offset, and writes the last record before it once more, to the same place, and syncs
// it: its sync may have failed, or its process may have ended before. After a failed sync the operating system takes data for written, so
// that a sync alone does not store it.
func (l *Log) repair(data []byte, last, offset int) error {
	if len(data) == 0 {
		return nil
	}
	if err := checkTail(l.path(), data, offset); err != nil {
		return err
	}
	f, err := l.files.OpenFile(l.path(), os.O_WRONLY, filePerm)
	if err != nil {
		return errors.Annotate(err, "open log")
	}
	err = f.Truncate(int64(offset))
	if err == nil {
		_, err = f.WriteAt(data[last:offset], int64(last))
	}
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return errors.Annotatef(err, "repair %s at offset %d", l.path(), last)
}

// checkTail returns ErrCorrupt if a valid record follows the incomplete one at offset, which is then not the last.
func checkTail(path string, data []byte, offset int) error {
	for i := offset + 1; i < len(data); i++ {
		next := bytes.Index(data[i:], recordMagic)
		if next < 0 {
			break
		}
		i += next
		if _, _, ok := decodeFrame(data[i:]); ok {
			return errors.Annotatef(ErrCorrupt, "read %s: record at offset %d is corrupt, the one at %d is valid", path, offset, i)
		}
	}
	return nil
}

// applyRecord applies r to s. The entries of r replace those of s at and after their first index.
func applyRecord(s *quorum.State, r record) error {
	if r.HardState != nil {
		s.HardState = *r.HardState
	}
	for _, e := range r.Entries {
		last := s.Snapshot.Index + quorum.Index(len(s.Entries))
		if e.Index <= s.Snapshot.Index {
			continue
		}
		if e.Index > last+1 {
			return errors.Annotatef(ErrCorrupt, "entry %d follows entry %d", e.Index, last)
		}
		s.Entries = append(s.Entries[:e.Index-s.Snapshot.Index-1], e)
	}
	return nil
}

func encodeRecord(r record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, errors.Annotate(err, "encode record")
	}
	return encodeFrame(body), nil
}

// encodeFrame prepends the magic number, the length and the checksum to body.
func encodeFrame(body []byte) []byte {
	data := make([]byte, headerBytes, headerBytes+len(body))
	copy(data, recordMagic)
	binary.LittleEndian.PutUint32(data[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(data[8:], crc32.Checksum(body, crcTable))
	return append(data, body...)
}

// decodeFrame returns the body of the record at the start of data and the size of the whole record. ok is false if the
// record is incomplete or its checksum is wrong.
func decodeFrame(data []byte) (body []byte, size int, ok bool) {
	if len(data) < headerBytes || !bytes.HasPrefix(data, recordMagic) {
		return nil, 0, false
	}
	n := int(binary.LittleEndian.Uint32(data[4:]))
	if n > len(data)-headerBytes {
		return nil, 0, false
	}
	body = data[headerBytes : headerBytes+n]
	sum := binary.LittleEndian.Uint32(data[8:])
	return body, headerBytes + n, crc32.Checksum(body, crcTable) == sum
}
