package wal

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/quorum"
)

// fillingDisk is a disk that is full for a while, and that keeps after a loss of power only what was synced. As with Linux, data whose
// sync failed is not written by a later one.
type fillingDisk struct {
	t       *testing.T
	rand    *rand.Rand
	full    bool
	fails   float64           // part of the operations that fail while the disk is full
	only    string            // if set, the only operation that fails
	synced  map[string][]byte // contents of files
	durable map[string][]byte // contents of the files, and the folders, whose names are synced too
	lost    map[string]int    // offset from which the data of a file failed to be synced
}

func newFillingDisk(t *testing.T, seed uint64) *fillingDisk {
	return &fillingDisk{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), fails: 1,
		synced: map[string][]byte{}, durable: map[string][]byte{}, lost: map[string]int{},
	}
}

func (d *fillingDisk) check(op, path string) error {
	if d.full && (d.only == "" || d.only == op) && d.rand.Float64() < d.fails {
		return &os.PathError{Op: op, Path: path, Err: syscall.ENOSPC}
	}
	return nil
}

func (d *fillingDisk) OpenFile(path string, flag int, perm os.FileMode) (File, error) {
	if _, err := os.Stat(path); os.IsNotExist(err) {
		if err := d.check("create", path); err != nil {
			return nil, err
		}
	}
	f, err := os.OpenFile(path, flag, perm)
	if flag&os.O_TRUNC != 0 {
		delete(d.lost, path)
	}
	return &fillingFile{File: f, disk: d}, err
}

func (d *fillingDisk) Rename(from, to string) error {
	if err := d.check("rename", from); err != nil {
		return err
	}
	d.synced[to] = d.synced[from]
	return os.Rename(from, to)
}

func (d *fillingDisk) Remove(path string) error { return os.Remove(path) }

func (d *fillingDisk) SyncFolder(path string) error {
	if err := d.check("sync folder", path); err != nil {
		return err
	}
	maps.DeleteFunc(d.durable, func(f string, _ []byte) bool { return filepath.Dir(f) == path })
	list, err := os.ReadDir(path)
	for _, f := range list {
		name := filepath.Join(path, f.Name())
		d.durable[name] = d.synced[name]
	}
	return err
}

// losePower leaves only what is durable in folder.
func (d *fillingDisk) losePower(folder string) {
	require.NoError(d.t, os.RemoveAll(folder))
	if _, ok := d.durable[folder]; !ok {
		clear(d.durable)
	}
	for path, data := range d.durable {
		require.NoError(d.t, os.MkdirAll(folder, folderPerm))
		if path != folder {
			require.NoError(d.t, os.WriteFile(path, data, filePerm))
		}
	}
	d.synced = maps.Clone(d.durable)
	clear(d.lost)
}

type fillingFile struct {
	*os.File
	disk *fillingDisk
}

func (f *fillingFile) Write(data []byte) (int, error) {
	if err := f.disk.check("write", f.Name()); err != nil {
		n, _ := f.File.Write(data[:f.disk.rand.IntN(len(data))])
		return n, err
	}
	return f.File.Write(data)
}

func (f *fillingFile) WriteAt(data []byte, offset int64) (int, error) {
	if err := f.disk.check("write", f.Name()); err != nil {
		n, _ := f.File.WriteAt(data[:f.disk.rand.IntN(len(data)+1)], offset)
		return n, err
	}
	f.disk.forget(f.Name(), int(offset))
	return f.File.WriteAt(data, offset)
}

func (f *fillingFile) Truncate(size int64) error {
	f.disk.forget(f.Name(), int(size))
	return f.File.Truncate(size)
}

// forget drops the record of lost data from offset size on.
func (d *fillingDisk) forget(path string, size int) {
	if n, ok := d.lost[path]; ok && n >= size {
		delete(d.lost, path)
	}
}

func (f *fillingFile) Sync() error {
	d, path := f.disk, f.Name()
	data, err := os.ReadFile(path)
	require.NoError(d.t, err)
	if err := d.check("sync", path); err != nil {
		if _, ok := d.lost[path]; !ok {
			d.lost[path] = len(d.synced[path])
		}
		return err
	}
	if n, ok := d.lost[path]; ok && n < len(data) {
		data = slices.Concat(data[:n], make([]byte, len(data)-n))
	}
	d.synced[path] = data
	if _, ok := d.durable[path]; ok {
		d.durable[path] = data
	}
	return nil
}

// plainState is what a log holds.
type plainState struct {
	hard     quorum.HardState
	snapshot quorum.Index
	entries  []string // data of the entries, including those that the snapshot replaces
}

func (s plainState) save(h quorum.HardState, first int, data []string) plainState {
	return plainState{h, s.snapshot, slices.Concat(s.entries[:first-1], data)}
}

// read returns s with the entries before its snapshot taken from before.
func read(t testing.TB, s quorum.State, before plainState) plainState {
	require.LessOrEqual(t, int(s.Snapshot.Index), len(before.entries))
	r := plainState{s.HardState, s.Snapshot.Index, append([]string{}, before.entries[:s.Snapshot.Index]...)}
	for i, e := range s.Entries {
		require.Equal(t, int(s.Snapshot.Index)+1+i, int(e.Index))
		r.entries = append(r.entries, string(e.Data))
	}
	return r
}

// diskRun plays one sequence of saves, full moments and restarts.
type diskRun struct {
	*fillingDisk
	folder string
	log    *Log
	kept   plainState   // what was acknowledged
	maybe  []plainState // what a failed operation may have left
	writes int
}

// open opens the log, which may take until the disk has room, and checks what it holds. The opener acts on that, so it must not be lost later.
func (r *diskRun) open() {
	l, s, err := OpenOn(r.fillingDisk, r.folder)
	for err != nil {
		require.ErrorIs(r.t, err, syscall.ENOSPC)
		r.full = r.rand.IntN(3) > 0
		if r.rand.IntN(4) == 0 {
			r.losePower(r.folder)
		}
		l, s, err = OpenOn(r.fillingDisk, r.folder)
	}
	r.log = l
	allowed := append(r.maybe, r.kept)
	got := read(r.t, s, allowed[0])
	require.Contains(r.t, allowed, got)
	r.kept, r.maybe = got, nil
}

// result records that an operation that would make the state next ended with err.
func (r *diskRun) result(next plainState, err error) {
	if err == nil {
		r.kept = next
		return
	}
	require.ErrorIs(r.t, err, syscall.ENOSPC)
	r.maybe = []plainState{next}
	r.restart()
}

func (r *diskRun) restart() {
	require.NoError(r.t, r.log.Close())
	switch r.rand.IntN(3) {
	case 0:
		r.losePower(r.folder)
	case 1:
		r.full = false
	}
	r.open()
}

func (r *diskRun) save() {
	n := len(r.kept.entries)
	first := 1 + n - r.rand.IntN(min(2, n-int(r.kept.snapshot))+1)
	var list []quorum.Entry
	var data []string
	for i := range 1 + r.rand.IntN(3) {
		r.writes++
		data = append(data, fmt.Sprint("entry ", r.writes, strings.Repeat("x", r.rand.IntN(20))))
		list = append(list, quorum.Entry{Term: 1, Index: quorum.Index(first + i), Data: []byte(data[i])})
	}
	h := quorum.HardState{Term: r.kept.hard.Term + quorum.Term(r.rand.IntN(2)), Vote: "a"}
	r.result(r.kept.save(h, first, data), r.log.Save(&h, list))
}

func (r *diskRun) saveSnapshot() {
	after := len(r.kept.entries) - r.rand.IntN(min(3, len(r.kept.entries)+1))
	if after <= int(r.kept.snapshot) {
		return
	}
	var rest []quorum.Entry
	for i, data := range r.kept.entries[after:] {
		rest = append(rest, quorum.Entry{Term: 1, Index: quorum.Index(after + 1 + i), Data: []byte(data)})
	}
	s := quorum.Snapshot{Index: quorum.Index(after), Term: 1, Data: []byte("state")}
	r.result(plainState{r.kept.hard, s.Index, r.kept.entries}, r.log.SaveSnapshot(s, rest))
}

// Nothing that was acknowledged, or read back after a restart, is lost by disks that fill up, by restarts or by losses of power, and the log
// opens again.
func TestFullDiskKeepsWhatWasAcknowledged(t *testing.T) {
	for seed := range uint64(300) {
		r := &diskRun{fillingDisk: newFillingDisk(t, seed), folder: filepath.Join(t.TempDir(), "log"), kept: plainState{entries: []string{}}}
		r.fails = 0.5
		r.open()
		for range 60 {
			switch r.rand.IntN(8) {
			case 0:
				r.full = !r.full
			case 1:
				r.restart()
			case 2:
				r.saveSnapshot()
			default:
				r.save()
			}
		}
		require.NoError(t, r.log.Close())
	}
}

// A log file that a failed save has left with an incomplete record takes no further ones, which would make it corrupt.
func TestFailedSaveEndsLog(t *testing.T) {
	for _, op := range []string{"write", "sync"} {
		t.Run(op, func(t *testing.T) {
			d, folder := newFillingDisk(t, 7), t.TempDir()
			l, _, err := OpenOn(d, folder)
			require.NoError(t, err)
			require.NoError(t, l.Save(nil, []quorum.Entry{entry(1)}))
			d.full, d.only = true, op
			require.ErrorIs(t, l.Save(nil, []quorum.Entry{entry(2)}), syscall.ENOSPC)
			d.full = false
			require.Error(t, l.Save(nil, []quorum.Entry{entry(2)}))
			require.NoError(t, l.Close())
			write(t, folder, 2, 3)
			requireEntries(t, folder, 1, 3)
		})
	}
}

// A full disk leaves no files behind that take up the room it lacks.
func TestFullDiskLeavesNoFiles(t *testing.T) {
	for _, op := range []string{"create", "write", "sync", "rename", "sync folder"} {
		t.Run(op, func(t *testing.T) {
			d, folder := newFillingDisk(t, 7), t.TempDir()
			l, _, err := OpenOn(d, folder)
			require.NoError(t, err)
			require.NoError(t, l.Save(nil, []quorum.Entry{entry(1)}))
			d.full, d.only = true, op
			require.ErrorIs(t, l.SaveSnapshot(quorum.Snapshot{Index: 1, Term: 1}, nil), syscall.ENOSPC)
			files, err := filepath.Glob(filepath.Join(folder, "*.tmp"))
			require.NoError(t, err)
			require.Empty(t, files)
			require.NoError(t, l.Close())
			d.full = false
			require.NoError(t, os.WriteFile(filepath.Join(folder, logName(2)+".tmp"), nil, filePerm), "of a process that was killed")
			l, _, err = OpenOn(d, folder)
			require.NoError(t, err)
			require.NoError(t, l.Close())
			list, err := os.ReadDir(folder)
			require.NoError(t, err)
			require.LessOrEqual(t, len(list), 2, "one log and its snapshot")
		})
	}
}
