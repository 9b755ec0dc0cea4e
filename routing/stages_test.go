package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/dykewing/dykewing/api"
)

var testKey = api.RowKey{Service: "model", Place: "here"}

func TestFilters(t *testing.T) {
	request := Request{Service: "model", Place: "here", Excluded: []string{"tried"}}
	good := Endpoint{Name: "good", Key: testKey}
	cases := map[string]struct {
		filter   Filter
		endpoint Endpoint
		want     bool
	}{
		"staying":                {NotLeavingFilter{}, good, true},
		"leaving":                {NotLeavingFilter{}, Endpoint{Key: testKey, Leaving: true}, false},
		"row":                    {RowFilter{}, good, true},
		"other place":            {RowFilter{}, Endpoint{Key: api.RowKey{Service: "model", Place: "there"}}, false},
		"other service":          {RowFilter{}, Endpoint{Key: api.RowKey{Service: "other", Place: "here"}}, false},
		"not tried":              {NotTriedFilter{}, good, true},
		"tried already":          {NotTriedFilter{}, Endpoint{Name: "tried", Key: testKey}, false},
		"prefix of a tried name": {NotTriedFilter{}, Endpoint{Name: "tri", Key: testKey}, true},
	}
	for name, test := range cases {
		if got := test.filter.Keep(&request, &test.endpoint); got != test.want {
			t.Errorf("%s: filter %s gives %v", name, test.filter.Name(), got)
		}
	}
}

func TestScorers(t *testing.T) {
	online := Request{Class: api.ClassOnline, Prefix: make([]uint64, 10)}
	batch := Request{Class: api.ClassBatch}
	here, near, far := api.Location{Region: "r", Zone: "a"}, api.Location{Region: "r", Zone: "b"}, api.Location{Region: "s", Zone: "c"}
	cases := map[string]struct {
		scorer        Scorer
		request       Request
		better, worse Endpoint
	}{
		"fewer online":                           {LoadScorer{}, online, Endpoint{Slots: 8, Online: 1}, Endpoint{Slots: 8, Online: 2}},
		"batch instead of online":                {LoadScorer{}, online, Endpoint{Slots: 8, Batch: 2}, Endpoint{Slots: 8, Online: 2}},
		"more slots":                             {LoadScorer{}, online, Endpoint{Slots: 16, Online: 2}, Endpoint{Slots: 8, Online: 2}},
		"fewer batch":                            {LoadScorer{}, batch, Endpoint{Slots: 8, Batch: 1}, Endpoint{Slots: 8, Batch: 2}},
		"own zone":                               {ZoneScorer{Self: here}, online, Endpoint{Location: here}, Endpoint{Location: near}},
		"own region":                             {ZoneScorer{Self: here}, online, Endpoint{Location: near}, Endpoint{Location: far}},
		"longer prefix":                          {PrefixScorer{}, online, Endpoint{CachedBlocks: 5}, Endpoint{CachedBlocks: 4}},
		"cached prompt":                          {FirstTokenScorer{}, online, Endpoint{CachedBlocks: 5}, Endpoint{CachedBlocks: 4}},
		"fewer pending prompts":                  {FirstTokenScorer{}, online, Endpoint{PendingBlocks: 1}, Endpoint{PendingBlocks: 2}},
		"no batch in prefill":                    {FirstTokenScorer{}, online, Endpoint{}, Endpoint{BatchStarting: 1}},
		"cached prefix outweighs pending blocks": {FirstTokenScorer{}, online, Endpoint{CachedBlocks: 10, PendingBlocks: 5}, Endpoint{CachedBlocks: 0}},
	}
	for name, test := range cases {
		better, worse := test.scorer.Score(&test.request, &test.better), test.scorer.Score(&test.request, &test.worse)
		if better <= worse || better > 1 || worse < 0 {
			t.Errorf("%s: scorer %s gives %v and %v", name, test.scorer.Name(), better, worse)
		}
	}
}

func TestPrefixScorerWithoutPrompt(t *testing.T) {
	if got := (PrefixScorer{}).Score(&Request{}, &Endpoint{CachedBlocks: 3}); got != 0 {
		t.Fatalf("score %v", got)
	}
}

func TestPickers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	scored := []Scored{{&Endpoint{Name: "a"}, 0.5}, {&Endpoint{Name: "b"}, 0.9}, {&Endpoint{Name: "c"}, 0.9}}
	for name, picker := range map[string]Picker{"best": BestPicker{Random: random}, "two choices": PowerOfTwoPicker{Random: random}} {
		counts := map[string]int{}
		for range 900 {
			counts[picker.Pick(&Request{}, scored).Endpoint.Name]++
		}
		if counts["b"] < 300 || counts["c"] < 300 {
			t.Errorf("%s does not distribute ties: %v", name, counts)
		}
		if name == "best" && counts["a"] > 0 {
			t.Errorf("best picked a lower score: %v", counts)
		}
	}
}

func TestChoosePlaceFollowsWeights(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	rows := []api.Row{{Place: "old", Weight: 3}, {Place: "new", Weight: 1}, {Place: "off", Weight: 0}}
	counts := map[api.PlaceName]int{}
	for range 4000 {
		row, ok := ChoosePlace(rows, random)
		if !ok {
			t.Fatal("no place")
		}
		counts[row.Place]++
	}
	if counts["off"] != 0 || counts["old"] < 2800 || counts["old"] > 3200 {
		t.Fatalf("draws %v", counts)
	}
	if _, ok := ChoosePlace(rows[2:], random); ok {
		t.Fatal("a place of weight 0 was chosen")
	}
}

func testEndpoints(count int) []Endpoint {
	endpoints := make([]Endpoint, count)
	for i := range endpoints {
		endpoints[i] = Endpoint{Name: fmt.Sprint(i), Key: testKey, Slots: 8, Online: i % 5}
	}
	return endpoints
}

func TestChooserDoesNotAllocate(t *testing.T) {
	chooser := Chooser{Profile: OnlineProfile(api.Location{Zone: "a"}, rand.New(rand.NewPCG(1, 1)))}
	endpoints := testEndpoints(16)
	request := Request{Service: "model", Place: "here", Class: api.ClassOnline}
	if allocations := testing.AllocsPerRun(100, func() { chooser.Choose(request, endpoints) }); allocations > 0 {
		t.Fatalf("%v allocations per choice", allocations)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{15, 100} {
		b.Run(fmt.Sprintf("endpoints=%d", count), func(b *testing.B) {
			chooser := Chooser{Profile: OnlineProfile(api.Location{Zone: "a"}, rand.New(rand.NewPCG(1, 1)))}
			endpoints := testEndpoints(count)
			request := Request{Service: "model", Place: "here", Class: api.ClassOnline}
			b.ReportAllocs()
			for b.Loop() {
				chooser.Choose(request, endpoints)
			}
		})
	}
}
