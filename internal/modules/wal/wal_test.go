package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/modules/quorum"
)

func entry(i int) quorum.Entry {
	return quorum.Entry{Term: 1, Index: quorum.Index(i), Data: []byte(fmt.Sprint("entry ", i))}
}

// write opens folder and saves the entries with the indexes from to to, one record each.
func write(t *testing.T, folder string, from, to int) {
	t.Helper()
	l, _, err := Open(folder)
	require.NoError(t, err)
	for i := from; i <= to; i++ {
		require.NoError(t, l.Save(&quorum.HardState{Term: 1, Vote: "a"}, []quorum.Entry{entry(i)}))
	}
	require.NoError(t, l.Close())
}

// requireEntries checks that folder holds the entries first to last.
func requireEntries(t *testing.T, folder string, first, last int) quorum.State {
	t.Helper()
	l, s, err := Open(folder)
	require.NoError(t, err)
	defer l.Close()
	require.Len(t, s.Entries, last-first+1)
	for i, e := range s.Entries {
		require.Equal(t, entry(first+i), e)
	}
	return s
}

func logFile(t *testing.T, folder string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "log-*"))
	require.NoError(t, err)
	require.Len(t, files, 1)
	return files[0]
}

// TestReopen checks that Open returns what earlier calls saved.
func TestReopen(t *testing.T) {
	folder := t.TempDir()
	write(t, folder, 1, 5)
	s := requireEntries(t, folder, 1, 5)
	require.Equal(t, quorum.HardState{Term: 1, Vote: "a"}, s.HardState)
}

// TestIncompleteLastRecordIsRemoved truncates the file at every byte of the last record, as a crash during a write may
// do: Open must return the earlier records, and later writes must work.
func TestIncompleteLastRecordIsRemoved(t *testing.T) {
	folder := t.TempDir()
	write(t, folder, 1, 2)
	short, err := os.Stat(logFile(t, folder))
	require.NoError(t, err)
	write(t, folder, 3, 3)
	whole, err := os.ReadFile(logFile(t, folder))
	require.NoError(t, err)
	for n := short.Size(); n < int64(len(whole)); n++ {
		require.NoError(t, os.WriteFile(logFile(t, folder), whole[:n], filePerm))
		requireEntries(t, folder, 1, 2)
		write(t, folder, 3, 4)
		requireEntries(t, folder, 1, 4)
	}
}

// TestCorruptRecordIsRejected flips a bit in every byte before the last record: Open must fail and must not return a
// shorter log.
func TestCorruptRecordIsRejected(t *testing.T) {
	folder := t.TempDir()
	write(t, folder, 1, 3)
	before, err := os.Stat(logFile(t, folder))
	require.NoError(t, err)
	write(t, folder, 4, 4)
	whole, err := os.ReadFile(logFile(t, folder))
	require.NoError(t, err)
	for n := range before.Size() {
		bad := append([]byte(nil), whole...)
		bad[n] ^= 0x40
		require.NoError(t, os.WriteFile(logFile(t, folder), bad, filePerm))
		_, _, err := Open(folder)
		require.ErrorIs(t, err, ErrCorrupt, "byte %d", n)
	}
}

// TestConflictingTailIsReplaced checks that a saved entry replaces stored entries at and after its index.
func TestConflictingTailIsReplaced(t *testing.T) {
	folder := t.TempDir()
	write(t, folder, 1, 4)
	write(t, folder, 3, 3)
	requireEntries(t, folder, 1, 3)
}

func TestSnapshotReplacesLog(t *testing.T) {
	folder := t.TempDir()
	l, _, err := Open(folder)
	require.NoError(t, err)
	for i := 1; i <= 6; i++ {
		require.NoError(t, l.Save(&quorum.HardState{Term: 1}, []quorum.Entry{entry(i)}))
	}
	snapshot := quorum.Snapshot{
		Index: 4, Term: 1, Data: []byte("state"), Members: quorum.Members{Voters: []quorum.Node{"a"}},
	}
	require.NoError(t, l.SaveSnapshot(snapshot, []quorum.Entry{entry(5), entry(6)}))
	require.NoError(t, l.Save(nil, []quorum.Entry{entry(7)}))
	require.NoError(t, l.Close())
	s := requireEntries(t, folder, 5, 7)
	require.Equal(t, snapshot, s.Snapshot)
	require.Equal(t, quorum.Term(1), s.HardState.Term)
	t.Run("corrupt snapshot is rejected", func(t *testing.T) {
		files, err := filepath.Glob(filepath.Join(folder, "snapshot-*"))
		require.NoError(t, err)
		require.Len(t, files, 1)
		raw, err := os.ReadFile(files[0])
		require.NoError(t, err)
		raw[len(raw)-1] ^= 1
		require.NoError(t, os.WriteFile(files[0], raw, filePerm))
		_, _, err = Open(folder)
		require.ErrorIs(t, err, ErrCorrupt)
	})
}

// TestCrashWhileSavingSnapshot leaves a new snapshot without its log file: Open must use the previous generation.
func TestCrashWhileSavingSnapshot(t *testing.T) {
	folder := t.TempDir()
	write(t, folder, 1, 3)
	require.NoError(t, os.WriteFile(filepath.Join(folder, snapshotName(1)), encodeFrame([]byte{0xa0}), filePerm))
	requireEntries(t, folder, 1, 3)
}

func FuzzOpen(f *testing.F) {
	good, err := encodeRecord(record{HardState: &quorum.HardState{Term: 3}, Entries: []quorum.Entry{entry(1)}})
	require.NoError(f, err)
	f.Add(good)
	f.Add(append(good, good...))
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(folder, logName(0)), data, filePerm))
		l, _, err := Open(folder)
		if err == nil {
			require.NoError(t, l.Close())
		}
	})
}

func BenchmarkSave(b *testing.B) {
	l, _, err := Open(b.TempDir())
	require.NoError(b, err)
	defer l.Close()
	for i := 1; b.Loop(); i++ {
		require.NoError(b, l.Save(nil, []quorum.Entry{entry(i)}))
	}
}

// TestReadsLongLog reads back 100,000 entries and logs the time.
func TestReadsLongLog(t *testing.T) {
	folder := t.TempDir()
	l, _, err := Open(folder)
	require.NoError(t, err)
	const n, perRecord = 100000, 1000
	for i := 1; i <= n; i += perRecord {
		var list []quorum.Entry
		for k := range perRecord {
			list = append(list, entry(i+k))
		}
		require.NoError(t, l.Save(nil, list))
	}
	require.NoError(t, l.Close())
	start := time.Now()
	requireEntries(t, folder, 1, n)
	t.Logf("read in %s", time.Since(start))
}
