package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/table"
)

type importFlags struct {
	file   string
	dryRun bool
}

// plannedEdit is the edit for one imported line. Rows that are equal to the
// table's need none.
type plannedEdit struct {
	line  table.Line
	edit  api.TableEdit
	text  string // human-readable difference
	equal bool
}

// importOutcome is the result of one line, for --output json.
type importOutcome struct {
	Line   int             `json:"line"`
	Key    api.RowKey      `json:"key"`
	Change string          `json:"change"`
	Equal  bool            `json:"equal,omitempty"`
	Result *api.EditResult `json:"result,omitempty"` // nil if not sent
}

func registerTableImport(command *kingpin.CmdClause, s *session) {
	flags := &importFlags{}
	clause := command.Command("import", "Apply the rows of a CSV file to the table; rows that are not in the file are unchanged. An interrupted import can be run again.")
	clause.Arg("file", "CSV file; - for standard input.").Required().StringVar(&flags.file)
	clause.Flag("dry-run", "Only check the file and show what would change.").BoolVar(&flags.dryRun)
	clause.Action(action(func() error { return s.importTable(flags) }))
}

func (s *session) importTable(flags *importFlags) error {
	input, err := readInput(flags.file)
	if err != nil {
		return err
	}
	lines, err := table.ReadCSV(input)
	if err != nil {
		return fmt.Errorf("%s is not imported; nothing was changed:\n%w", flags.file, err)
	}
	_, rows, err := s.readTable()
	if err != nil {
		return err
	}
	plan := planImport(lines, rows)
	outcomes := make([]importOutcome, 0, len(plan))
	failed := 0
	progress := newProgress(os.Stderr, "rows", len(plan))
	for _, planned := range plan {
		outcome := importOutcome{Line: planned.line.Number, Key: planned.line.Key, Change: planned.text, Equal: planned.equal}
		if !planned.equal && !flags.dryRun {
			result, err := s.sendEdit(planned.edit)
			if err != nil {
				return fmt.Errorf("line %d, row %s: %w; run the import again to continue", planned.line.Number, planned.line.Key, err)
			}
			outcome.Result = &result
			if result.Outcome != api.EditAccepted {
				failed++
			}
		}
		outcomes = append(outcomes, outcome)
		progress.step()
	}
	progress.end()
	if err := s.printImport(outcomes); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d rows were not accepted; run the import again to continue", failed, len(plan))
	}
	return nil
}

func readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	input, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("import table: %w", err)
	}
	return input, nil
}

// planImport compares the file with the table. Each edit expects the revision that
// was read, so that concurrent edits are not overwritten.
func planImport(lines []table.Line, rows []api.VersionedRow) []plannedEdit {
	standing := map[api.RowKey]api.VersionedRow{}
	for _, row := range rows {
		standing[row.Row.Key()] = row
	}
	plan := make([]plannedEdit, 0, len(lines))
	for _, line := range lines {
		planned := plannedEdit{line: line}
		planned.edit = api.TableEdit{ID: uuid.NewString(), Key: line.Key, Change: line.Change, Author: operator()}
		before, exists := standing[line.Key]
		after := line.Change.Apply(before.Row)
		after.Service, after.Place = line.Key.Service, line.Key.Place
		switch {
		case !exists:
			planned.edit.Create = true
			planned.text = "new: " + describeCells(api.Row{}, after)
		case before.Row == after:
			planned.equal, planned.text = true, "equal"
		default:
			planned.edit.ExpectedRevision = before.Revision
			planned.text = describeCells(before.Row, after)
		}
		plan = append(plan, planned)
	}
	return plan
}

func (s *session) printImport(outcomes []importOutcome) error {
	rows := make([]string, 0, len(outcomes))
	for _, outcome := range outcomes {
		result := "not sent"
		switch {
		case outcome.Equal:
			result = "skipped"
		case outcome.Result != nil && outcome.Result.Outcome == api.EditAccepted:
			result = fmt.Sprintf("accepted at %d", outcome.Result.Revision)
		case outcome.Result != nil:
			result = fmt.Sprintf("%s: %s", outcome.Result.Outcome, outcome.Result.Message)
		}
		rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%s", outcome.Line, outcome.Key, outcome.Change, result))
	}
	return s.print(outcomes, "LINE\tROW\tCHANGE\tRESULT", rows)
}
