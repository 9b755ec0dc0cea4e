package table

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/api"
)

func drawRow(t *rapid.T) api.Row {
	name := rapid.StringMatching(`[A-Za-z0-9][A-Za-z0-9._-]{0,20}`)
	return api.Row{
		Service: api.ServiceName(name.Draw(t, "service")), Place: api.PlaceName(name.Draw(t, "place")),
		Weight:             rapid.Float64Range(0, api.MaxWeight).Draw(t, "weight"),
		BatchAllowance:     rapid.IntRange(0, api.MaxSlots).Draw(t, "allowance"),
		CeilingConcurrency: rapid.IntRange(0, api.MaxSlots).Draw(t, "concurrency"),
		CeilingRate:        rapid.Float64Range(0, api.MaxRate).Draw(t, "rate"),
		Priority:           rapid.IntRange(0, api.MaxPriority).Draw(t, "priority"),
		Repeatable:         rapid.Bool().Draw(t, "repeatable"),
	}
}

func TestCSVRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		row := drawRow(t)
		var output bytes.Buffer
		if err := WriteCSV(&output, []api.Row{row}); err != nil {
			t.Fatal(err)
		}
		lines, err := ReadCSV(output.Bytes())
		if err != nil || len(lines) != 1 {
			t.Fatalf("%d lines, %v", len(lines), err)
		}
		if back := lines[0].Change.Apply(api.Row{Service: lines[0].Key.Service, Place: lines[0].Key.Place}); back != row {
			t.Fatalf("got %+v, want %+v", back, row)
		}
	})
}

func TestCSVErrorsNameLineAndColumn(t *testing.T) {
	for name, test := range map[string]struct{ input, want string }{
		"empty":          {"", "line 1"},
		"unknown column": {"service,place,wieght\n", `"wieght"`},
		"missing column": {"service,weight\n", "place is missing"},
		"double column":  {"service,place,weight,weight\n", "line 1: duplicate column weight"},
		"not a number":   {"service,place,weight\na,b,1\nc,d,many\n", "line 3: column weight"},
		"out of range":   {"service,place,priority\na,b,1000\n", "line 2: cell priority"},
		"bad name":       {"service,place\na b,c\n", `line 2: service "a b"`},
		"same row twice": {"service,place\na,b\nc,d\na,b\n", "line 4: row a/b is already on line 2"},
		"short line":     {"service,place,weight\na,b\n", "line 2: 2 cells"},
		"bad quote":      {"service,place\n\"a,b\n", "line 2"},
	} {
		if _, err := ReadCSV([]byte(test.input)); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got %v, want %q in it", name, err, test.want)
		}
	}
}

func TestReadCSVFromSpreadsheet(t *testing.T) {
	lines, err := ReadCSV([]byte("\xef\xbb\xbfplace;service;repeatable;weight\r\nnew;model;TRUE;\r\n\r\nold;model;false;2.5\r\n"))
	if err != nil || len(lines) != 2 {
		t.Fatalf("%v, %v", lines, err)
	}
	if lines[0].Change.Weight != nil || !*lines[0].Change.Repeatable || *lines[1].Change.Weight != 2.5 || lines[1].Number != 4 {
		t.Errorf("got %+v", lines)
	}
}

func FuzzReadCSV(f *testing.F) {
	f.Add([]byte("service,place,weight\na,b,1\n"))
	f.Add([]byte("\xef\xbb\xbfservice;place\na;b\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		lines, err := ReadCSV(input)
		if err != nil {
			return
		}
		for _, line := range lines {
			row := line.Change.Apply(api.Row{Service: line.Key.Service, Place: line.Key.Place})
			if err := row.Validate(); err != nil {
				t.Fatalf("line %d was accepted but is invalid: %v", line.Number, err)
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	value, _ := Encode(api.Row{Service: "a", Place: "b", Weight: 1}, "edit")
	f.Add(value)
	f.Add([]byte(`{"row":{"service":"a","place":"b","weight":1e300}}`))
	f.Add([]byte(`{"row":{"service":"a","place":"b"},"records":[{"previous":-1},{}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := Decode(value, 7)
		if _, historyErr := History(value, 7); (err == nil) != (historyErr == nil) {
			t.Fatalf("decode %v, history %v", err, historyErr)
		}
		if err == nil && (math.IsNaN(row.Row.Weight) || row.Row.Validate() != nil) {
			t.Fatalf("%s was decoded as %+v", value, row)
		}
	})
}
