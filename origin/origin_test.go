package origin

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func TestRecordsExpire(t *testing.T) {
	table, key := NewTable(8), KeyOf("t", "h", "r")
	want := Origin{Service: "s", Version: "v1"}
	table.Put(start, key, want, time.Second)
	if got, ok := table.Get(start.Add(999*time.Millisecond), key); !ok || got != want {
		t.Errorf("got %+v, %t before the end of its time", got, ok)
	}
	table.Put(start.Add(500*time.Millisecond), key, want, time.Second)
	if _, ok := table.Get(start.Add(1400*time.Millisecond), key); !ok {
		t.Error("the later record did not extend the time")
	}
	if got, ok := table.Get(start.Add(1500*time.Millisecond), key); ok {
		t.Errorf("got %+v after the end of its time", got)
	}
}

// Two streams under one key must not take each other's origin.
func TestDifferentOriginsOfOneKeyAreNotFound(t *testing.T) {
	table, key := NewTable(8), KeyOf("t", "h", "r")
	table.Put(start, key, Origin{Service: "s", Version: "v1"}, time.Second)
	table.Put(start, key, Origin{Service: "s", Version: "v2"}, time.Second)
	table.Put(start, key, Origin{Service: "s", Version: "v1"}, time.Second)
	if got, ok := table.Get(start, key); ok {
		t.Errorf("got %+v", got)
	}
}

func TestKeyCoversEveryPart(t *testing.T) {
	same := KeyOf("t", "h", "r")
	tests := []struct {
		name  string
		other Key
	}{
		{"another tenant", KeyOf("u", "h", "r")},
		{"another host", KeyOf("t", "i", "r")},
		{"another request", KeyOf("t", "h", "s")},
		{"different boundary between parts", KeyOf("th", "", "r")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.other == same {
				t.Error("the keys are equal")
			}
		})
	}
	if again := KeyOf("t", "h", "r"); again != same || !again.Valid() || Key("x").Valid() {
		t.Errorf("keys %q and %q", same, again)
	}
}

// The table never holds more than its limit, and finds only what was recorded last.
func TestTableIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5
		table, now := NewTable(limit), start
		expires := map[Key]time.Time{}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			key := Key(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key")))
			ttl := time.Duration(rapid.IntRange(1, 3000).Draw(t, "ttl")) * time.Millisecond
			table.Put(now, key, Origin{Service: string(key)}, ttl)
			if until := now.Add(ttl); until.After(expires[key]) {
				expires[key] = until
			}
			if table.Len() > limit || len(table.order) != table.Len() {
				t.Fatalf("%d records, %d in order", table.Len(), len(table.order))
			}
			for other, until := range expires {
				if got, ok := table.Get(now, other); ok && (got.Service != string(other) || !now.Before(until)) {
					t.Fatalf("%s at %v: got %+v, expired at %v", other, now, got, until)
				}
			}
			if _, ok := table.Get(now, key); !ok {
				t.Fatalf("%s was not found after it was recorded", key)
			}
		}
	})
}
