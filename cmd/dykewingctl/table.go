package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/user"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/table"
)

const tableHeader = "SERVICE\tPLACE\tWEIGHT\tBATCH ALLOWANCE\tCEILING CONCURRENCY\tCEILING RATE\tPRIORITY\tREPEATABLE\tREVISION"

func registerTable(application *kingpin.Application, s *session) {
	command := application.Command("table", "The table of services and places.")
	registerTableReads(command, s)
	registerTableSet(command, s)
	registerTableImport(command, s)
}

func registerTableReads(command *kingpin.CmdClause, s *session) {
	show := command.Command("show", "Show the table in force at the node.")
	service := show.Flag("service", "Only this service.").String()
	show.Action(action(func() error { return s.showTable(*service) }))

	export := command.Command("export", "Write the table in force as CSV.")
	file := export.Arg("file", "Output file; standard output if not given.").String()
	export.Action(action(func() error { return s.exportTable(*file) }))

	history := command.Command("history", "Show the last edits, newest first.")
	limit := history.Flag("limit", "Maximum number of edits.").Default("50").Int()
	history.Action(action(func() error { return s.showHistory(*limit) }))

	status := command.Command("status", "Show the revision in force in each zone.")
	status.Action(action(s.showStatus))
}

func (s *session) requireNode() error {
	if s.node == "" {
		return errors.New("--node is missing: the internal address of any router")
	}
	return nil
}

// newContext returns a context with the timeout of the --timeout flag.
func (s *session) newContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.timeout)
}

// readTable returns the revision of the table in force at the node and its live
// rows, sorted.
func (s *session) readTable() (int64, []api.VersionedRow, error) {
	if err := s.requireNode(); err != nil {
		return 0, nil, err
	}
	ctx, cancel := s.newContext()
	defer cancel()
	var delta api.TableDelta
	if err := transport.Get(ctx, s.client, "read table", s.node, api.PathTable, &delta); err != nil {
		return 0, nil, err
	}
	live := slices.DeleteFunc(delta.Rows, func(row api.VersionedRow) bool { return row.Deleted })
	slices.SortFunc(live, func(a, b api.VersionedRow) int {
		return strings.Compare(a.Row.Key().String(), b.Row.Key().String())
	})
	return delta.Revision, live, nil
}

func (s *session) showTable(service string) error {
	_, rows, err := s.readTable()
	if err != nil {
		return err
	}
	if service != "" {
		rows = slices.DeleteFunc(rows, func(row api.VersionedRow) bool { return string(row.Row.Service) != service })
	}
	lines := make([]string, 0, len(rows))
	for _, row := range rows {
		lines = append(lines, strings.Join(table.FormatCells(row.Row), "\t")+fmt.Sprintf("\t%d", row.Revision))
	}
	return s.print(rows, tableHeader, lines)
}

func (s *session) exportTable(file string) error {
	_, rows, err := s.readTable()
	if err != nil {
		return err
	}
	plain := make([]api.Row, 0, len(rows))
	for _, row := range rows {
		plain = append(plain, row.Row)
	}
	if file == "" {
		return table.WriteCSV(s.out, plain)
	}
	output, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("export table: %w", err)
	}
	if err := table.WriteCSV(output, plain); err != nil {
		return errors.Join(fmt.Errorf("export table to %s: %w", file, err), output.Close())
	}
	if err := output.Close(); err != nil {
		return fmt.Errorf("export table to %s: %w", file, err)
	}
	fmt.Fprintf(os.Stderr, "%d rows written to %s.\n", len(plain), file)
	return nil
}

func (s *session) showHistory(limit int) error {
	if err := s.requireNode(); err != nil {
		return err
	}
	ctx, cancel := s.newContext()
	defer cancel()
	var records []api.EditRecord
	path := fmt.Sprintf("%s?limit=%d", api.PathHistory, limit)
	if err := transport.Get(ctx, s.client, "read history", s.node, path, &records); err != nil {
		return err
	}
	lines := make([]string, 0, len(records))
	for _, record := range records {
		lines = append(lines, fmt.Sprintf("%d\t%s\t%s\t%s\t%s\t%s", record.Revision,
			record.Time.Format("2006-01-02 15:04:05"), record.Author, record.Key, describeEdit(record), record.ID))
	}
	return s.print(records, "REVISION\tTIME (UTC)\tBY\tROW\tCHANGE\tEDIT", lines)
}

func describeEdit(record api.EditRecord) string {
	switch {
	case record.After == nil:
		return "deleted"
	case record.Before == nil:
		return "created: " + describeCells(api.Row{}, *record.After)
	}
	return describeCells(*record.Before, *record.After)
}

// describeCells lists the cells that differ as "column old -> new".
func describeCells(before, after api.Row) string {
	old, now := table.FormatCells(before), table.FormatCells(after)
	var changes []string
	for i, column := range table.Columns() {
		if column == table.ColumnService || column == table.ColumnPlace || old[i] == now[i] {
			continue
		}
		changes = append(changes, fmt.Sprintf("%s %s -> %s", column, old[i], now[i]))
	}
	if len(changes) == 0 {
		return "no cell changed"
	}
	return strings.Join(changes, ", ")
}

// operator returns the user name to record in the edit history.
func operator() string {
	name := "unknown"
	if current, err := user.Current(); err == nil {
		name = current.Username
	}
	if host, err := os.Hostname(); err == nil {
		name += "@" + host
	}
	return name
}
