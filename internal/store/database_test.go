package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/bbolt"

	"github.com/dykewing/dykewing/replication"
)

const corruptionSeed = 20260401

// populatedFolder creates a data folder with a log and returns the used bytes of its file.
func populatedFolder(t *testing.T) (string, []byte) {
	t.Helper()
	folder := t.TempDir()
	database, err := openDatabase(folder, hooks{})
	if err != nil {
		t.Fatal(err)
	}
	if err := database.createGroup(0, replication.Members{Voters: []replication.ReplicaID{database.identity}}); err != nil {
		t.Fatal(err)
	}
	for first := uint64(1); first < 200; first += 20 {
		writeTestEntries(t, database, first, 20)
	}
	used := int64(0)
	err = database.bolt.View(func(transaction *bbolt.Tx) error {
		used = transaction.Size()
		return nil
	})
	if err := errors.Join(err, database.close()); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(folder, databaseFile))
	if err != nil {
		t.Fatal(err)
	}
	return folder, raw[:used]
}

func writeTestEntries(t testing.TB, database *database, first, count uint64) {
	t.Helper()
	persist := replication.Persist{HardState: &replication.HardState{Term: 1}}
	for index := first; index < first+count; index++ {
		persist.Entries = append(persist.Entries, replication.Entry{Index: index, Term: 1, Data: bytes.Repeat([]byte{byte(index)}, 100)})
	}
	err := database.update(func(transaction *bbolt.Tx) error {
		records, err := openSealedBucket(groupBucket(transaction, 0))
		if err != nil {
			return err
		}
		if err := writePersist(records, persist, nil); err != nil {
			return err
		}
		return records.close()
	})
	if err != nil {
		t.Fatal(err)
	}
}

// readLog opens a folder and returns its log, or the error of the verification.
func readLog(folder string, hooks hooks) (entries []replication.Entry, failure error) {
	database, err := openDatabase(folder, hooks)
	if err != nil {
		return nil, err
	}
	defer func() { _ = recoverFault(database.close) }()
	err = recoverFault(func() error {
		restored, err := database.restore(0)
		entries = restored.machine.Entries
		return err
	})
	return entries, err
}

func sameLog(a, b []replication.Entry) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Index != b[i].Index || a[i].Term != b[i].Term || !bytes.Equal(a[i].Data, b[i].Data) {
			return false
		}
	}
	return true
}

type corruption struct {
	name  string
	apply func(random *rand.Rand, raw []byte) []byte
}

var corruptions = []corruption{
	{"flipped bit", func(random *rand.Rand, raw []byte) []byte {
		raw[random.IntN(len(raw))] ^= 1 << random.IntN(8)
		return raw
	}},
	{"zeroed sector", func(random *rand.Rand, raw []byte) []byte {
		const sector = 512
		start := random.IntN(len(raw)/sector) * sector
		clear(raw[start : start+sector])
		return raw
	}},
	{"old page", func(random *rand.Rand, raw []byte) []byte {
		const page = 4096
		from, to := random.IntN(len(raw)/page), random.IntN(len(raw)/page)
		copy(raw[to*page:(to+1)*page], raw[from*page:])
		return raw
	}},
	{"truncation", func(random *rand.Rand, raw []byte) []byte { return raw[:random.IntN(len(raw))] }},
}

// countCorruption corrupts the file repeatedly and counts the rejections and the reads that
// returned a different log.
func countCorruption(t *testing.T, damage corruption, rounds int, hooks hooks) (refused, wrong int) {
	t.Helper()
	folder, raw := populatedFolder(t)
	whole, err := readLog(folder, hooks)
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(corruptionSeed, 0))
	for range rounds {
		damaged := damage.apply(random, bytes.Clone(raw))
		path := filepath.Join(folder, databaseFile) // recreated, since bbolt keeps its lock when it panics
		if err := errors.Join(os.Remove(path), os.WriteFile(path, damaged, fileMode)); err != nil {
			t.Fatal(err)
		}
		entries, err := readLog(folder, hooks)
		switch {
		case err != nil:
			refused++
			if hooks.skipVerify {
				continue
			}
			if text := err.Error(); !strings.Contains(text, folder) || strings.Contains(text, "\n") {
				t.Fatalf("error does not name the folder or has several lines: %q", text)
			}
		case !sameLog(entries, whole):
			wrong++
		}
	}
	return refused, wrong
}

func TestCorruptFileIsRejectedOrReadCorrectly(t *testing.T) {
	for _, damage := range corruptions {
		t.Run(damage.name, func(t *testing.T) {
			refused, wrong := countCorruption(t, damage, 80, hooks{})
			if wrong > 0 || refused == 0 {
				t.Fatalf("%d corrupt files were read wrongly, %d rejected", wrong, refused)
			}
		})
	}
}

// Verifies that the corruption test fails if the file is not verified.
func TestSkippedVerificationIsDetected(t *testing.T) {
	wrong := 0
	for _, damage := range corruptions {
		_, served := countCorruption(t, damage, 80, hooks{skipVerify: true})
		wrong += served
	}
	if wrong == 0 {
		t.Fatal("no wrong log was read without verification: the corruption test can't fail")
	}
}

func TestDataFolderIsLocked(t *testing.T) {
	folder, _ := populatedFolder(t)
	first, err := openDatabase(folder, hooks{})
	if err != nil {
		t.Fatal(err)
	}
	defer first.close()
	if _, err := openDatabase(folder, hooks{}); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Fatalf("second open of the folder: %v, want an error that it is in use", err)
	}
}

// A power loss may tear the meta page of an unacknowledged transaction, which is harmless. The
// same damage to an acknowledged transaction must be rejected.
func TestTornMetaPageIsRejectedOnlyIfAcknowledged(t *testing.T) {
	folder, raw := populatedFolder(t)
	path := filepath.Join(folder, databaseFile)
	whole, err := readLog(folder, hooks{})
	if err != nil {
		t.Fatal(err)
	}
	first, _ := readMetaOf(raw, 0)
	second, _ := readMetaOf(raw, os.Getpagesize())
	newestAt, newest := 0, first
	if second > first {
		newestAt, newest = os.Getpagesize(), second
	}
	torn := bytes.Clone(raw)
	clear(torn[newestAt+pageHeaderBytes+metaTransactionOffset : newestAt+512])
	try := func(acknowledged uint64) ([]replication.Entry, error) {
		marker, err := openCommitMarker(folder)
		if err := errors.Join(err, marker.record(acknowledged), marker.close(), os.Remove(path), os.WriteFile(path, torn, fileMode)); err != nil {
			t.Fatal(err)
		}
		return readLog(folder, hooks{})
	}
	if _, err := try(newest); err == nil {
		t.Error("opened a file that lacks an acknowledged transaction")
	}
	entries, err := try(newest - 1)
	if err != nil {
		t.Fatalf("torn page of an unacknowledged transaction: %v", err)
	}
	if len(entries) >= len(whole) || !sameLog(entries, whole[:len(entries)]) {
		t.Errorf("got %d entries, want a proper prefix of %d", len(entries), len(whole))
	}
}

func readMetaOf(raw []byte, page int) (transaction uint64, whole bool) {
	at := page + pageHeaderBytes + metaTransactionOffset
	return binary.NativeEndian.Uint64(raw[at:]), true
}
