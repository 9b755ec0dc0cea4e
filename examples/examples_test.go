package examples

import (
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/discovery"
)

// workersByService holds the number of workers per service of each deployment.
var workersByService = map[string]map[api.ServiceName]int{
	"dk-east": {"language-model": 12, "booking-calendar": 3},
	"cairo":   {"tutor": 18, "judging": 3},
}

const (
	zonesPerDeployment         = 3
	settingsFilesPerDeployment = 12 // 2 routers, a store and a sidecar in each zone
)

func TestEverySettingsFileLoads(t *testing.T) {
	for deployment := range workersByService {
		files, _ := filepath.Glob(filepath.Join(deployment, "*.yaml"))
		if len(files) != settingsFilesPerDeployment {
			t.Errorf("%s has %d settings files, want %d", deployment, len(files), settingsFilesPerDeployment)
		}
		ids, zones := map[string]bool{}, map[string]bool{}
		for _, file := range files {
			settings, err := config.Load(file, nil)
			if err != nil {
				t.Errorf("load: %v", err)
				continue
			}
			if err := checkRole(filepath.Base(file), settings); err != nil {
				t.Errorf("%s: %v", file, err)
			}
			ids[settings.Node.ID], zones[settings.Node.Zone] = true, true
		}
		if len(ids) != settingsFilesPerDeployment || len(zones) != zonesPerDeployment {
			t.Errorf("%s has %d ids in %d zones", deployment, len(ids), len(zones))
		}
	}
}

// checkRole checks that the settings match the role in the file's name.
func checkRole(file string, settings config.Settings) error {
	role, _, _ := strings.Cut(file, "-")
	switch {
	case role == "router" && settings.MachineList.URL == "":
		return errors.New("a router without a machine list")
	case role == "store" && settings.Store.DataFolder == "":
		return errors.New("a store without a data folder")
	case role == "sidecar" && settings.Sidecar.Address == "":
		return errors.New("a sidecar without an address for callers")
	case !strings.Contains(settings.Node.ID, role):
		return fmt.Errorf("id %s is of another role", settings.Node.ID)
	}
	return nil
}

func TestEveryRowIsValidAndHasWorkers(t *testing.T) {
	for deployment, services := range workersByService {
		rows := map[api.RowKey]api.Row{}
		for _, row := range readTable(t, filepath.Join(deployment, "table.csv")) {
			if _, ok := rows[row.Key()]; ok {
				t.Errorf("%s has row %s twice", deployment, row.Key())
			}
			rows[row.Key()] = row
		}
		counts, slots := map[api.ServiceName]int{}, map[api.RowKey]int{}
		for _, worker := range readWorkers(t, filepath.Join(deployment, "machines.json")) {
			counts[worker.Service]++
			slots[api.RowKey{Service: worker.Service, Place: worker.Place}] += worker.Slots
		}
		for service, want := range services {
			if counts[service] != want {
				t.Errorf("%s has %d workers of %s, want %d", deployment, counts[service], service, want)
			}
		}
		for key, row := range rows {
			if slots[key] == 0 || row.BatchAllowance > slots[key] {
				t.Errorf("%s row %s allows %d batch requests on %d slots", deployment, key, row.BatchAllowance, slots[key])
			}
			delete(slots, key)
		}
		if len(slots) > 0 {
			t.Errorf("%s has workers without a row: %v", deployment, slots)
		}
	}
}

func TestInvalidRowIsRejected(t *testing.T) {
	if _, err := parseRow([]string{"tutor", "cairo-old", "-1", "0", "0", "0", "0", "true"}); err == nil {
		t.Fatal("negative weight was accepted")
	}
	if _, err := parseRow([]string{"tutor", "cairo-old", "1", "many", "0", "0", "0", "true"}); err == nil {
		t.Fatal("non-numeric batch allowance was accepted")
	}
}

func readWorkers(t *testing.T, file string) []api.Worker {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var groups []discovery.Group
	if err := json.Unmarshal(raw, &groups); err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	workers, err := discovery.ParseWorkers(groups)
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	return workers
}

func readTable(t *testing.T, file string) []api.Row {
	t.Helper()
	opened, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	lines, err := csv.NewReader(opened).ReadAll()
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	var rows []api.Row
	for i, line := range lines[1:] {
		row, err := parseRow(line)
		if err != nil {
			t.Errorf("%s line %d: %v", file, i+2, err)
		}
		rows = append(rows, row)
	}
	return rows
}

// parseRow parses a line of the table's CSV file.
func parseRow(line []string) (api.Row, error) {
	row := api.Row{Service: api.ServiceName(line[0]), Place: api.PlaceName(line[1])}
	var problems [6]error
	row.Weight, problems[0] = strconv.ParseFloat(line[2], 64)
	row.BatchAllowance, problems[1] = strconv.Atoi(line[3])
	row.CeilingConcurrency, problems[2] = strconv.Atoi(line[4])
	row.CeilingRate, problems[3] = strconv.ParseFloat(line[5], 64)
	row.Priority, problems[4] = strconv.Atoi(line[6])
	row.Repeatable, problems[5] = strconv.ParseBool(line[7])
	return row, errors.Join(append(problems[:], row.Validate())...)
}
