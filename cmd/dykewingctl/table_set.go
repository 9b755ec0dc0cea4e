package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/table"
)

// maxSends is the maximum number of attempts for an edit whose outcome is
// unknown.
const maxSends = 4

type setFlags struct {
	service, place string
	cells          []string
	expect         int64
	create, remove bool
	wait           bool
	waitTimeout    time.Duration
}

func registerTableSet(command *kingpin.CmdClause, s *session) {
	set := &setFlags{}
	clause := command.Command("set", "Set cells of one row: set SERVICE PLACE weight=50 batch_allowance=8 ...")
	clause.Arg("service", "The row's service.").Required().StringVar(&set.service)
	clause.Arg("place", "The row's place.").Required().StringVar(&set.place)
	clause.Arg("cells", "column=value; other cells are unchanged.").Required().StringsVar(&set.cells)
	clause.Flag("create", "Add the row if it is not in the table.").BoolVar(&set.create)
	set.common(clause)
	clause.Action(action(func() error { return s.setRow(set) }))

	remove := &setFlags{remove: true}
	clause = command.Command("delete", "Delete one row from the table.")
	clause.Arg("service", "The row's service.").Required().StringVar(&remove.service)
	clause.Arg("place", "The row's place.").Required().StringVar(&remove.place)
	remove.common(clause)
	clause.Action(action(func() error { return s.setRow(remove) }))
}

func (f *setFlags) common(clause *kingpin.CmdClause) {
	clause.Flag("expect-revision", "Refuse the edit unless the row has this revision (see show).").Int64Var(&f.expect)
	clause.Flag("wait", "Wait until the edit is in force at every node, and show its progress by zone.").BoolVar(&f.wait)
	clause.Flag("wait-timeout", "Timeout of --wait.").Default("30s").DurationVar(&f.waitTimeout)
}

func (f *setFlags) edit() (api.TableEdit, error) {
	edit := api.TableEdit{
		ID:     uuid.NewString(),
		Key:    api.RowKey{Service: api.ServiceName(f.service), Place: api.PlaceName(f.place)},
		Author: operator(), Create: f.create, Delete: f.remove, ExpectedRevision: f.expect,
	}
	for _, cell := range f.cells {
		column, text, ok := strings.Cut(cell, "=")
		if !ok {
			return edit, fmt.Errorf("%q is not column=value", cell)
		}
		if err := table.SetCell(&edit.Change, column, text); err != nil {
			return edit, err
		}
	}
	return edit, edit.Validate()
}

func (s *session) setRow(flags *setFlags) error {
	edit, err := flags.edit()
	if err != nil {
		return err
	}
	result, err := s.sendEdit(edit)
	if err != nil {
		return err
	}
	if err := s.printResult(edit, result); err != nil {
		return err
	}
	if result.Outcome != api.EditAccepted {
		return fmt.Errorf("edit of row %s: %s: %s", edit.Key, result.Outcome, result.Message)
	}
	if flags.wait {
		return s.awaitRevision(result.Revision, flags.waitTimeout)
	}
	return nil
}

// sendEdit sends the edit and resends it with the same id while its outcome is
// unknown. The id makes resends idempotent.
func (s *session) sendEdit(edit api.TableEdit) (api.EditResult, error) {
	since, _, err := s.readTable()
	if err != nil {
		return api.EditResult{}, err
	}
	var result api.EditResult
	var failure error
	for send := range maxSends {
		result, failure = s.postEdit(edit)
		if failure == nil && result.Outcome != api.EditUnknown {
			return result, nil
		}
		if failure != nil && api.AsError("edit table", failure).Outcome == api.OutcomeNotRun && edit.SinceRevision == 0 {
			return result, failure
		}
		edit.SinceRevision = max(since, 1)
		time.Sleep(time.Duration(send+1) * 200 * time.Millisecond)
	}
	if failure != nil {
		result = api.EditResult{ID: edit.ID, Outcome: api.EditUnknown, Message: failure.Error()}
	}
	return result, nil
}

func (s *session) postEdit(edit api.TableEdit) (api.EditResult, error) {
	ctx, cancel := s.newContext()
	defer cancel()
	var result api.EditResult
	err := transport.Call(ctx, s.client, "edit table", s.node, api.PathEdits, edit, &result)
	return result, err
}

func (s *session) printResult(edit api.TableEdit, result api.EditResult) error {
	if s.output == outputJSON {
		return s.print(result, "", nil)
	}
	switch result.Outcome {
	case api.EditAccepted:
		fmt.Fprintf(s.out, "Row %s: accepted at revision %d.\n", edit.Key, result.Revision)
	case api.EditConflict:
		fmt.Fprintf(s.out, "Row %s: conflict, the edit had no effect: %s.\n", edit.Key, result.Message)
	case api.EditUnknown:
		fmt.Fprintf(s.out, "Row %s: unknown whether the edit (%s) took effect: %s. Look at table history.\n", edit.Key, edit.ID, result.Message)
	default:
		fmt.Fprintf(s.out, "Row %s: refused, the edit had no effect: %s.\n", edit.Key, result.Message)
	}
	if result.Current == nil || result.Outcome == api.EditAccepted {
		return nil
	}
	line := strings.Join(table.FormatCells(result.Current.Row), "\t") + fmt.Sprintf("\t%d", result.Current.Revision)
	return s.print(nil, tableHeader, []string{line})
}

// awaitRevision prints the rollout of the revision by zone until it is in force in
// all zones or the timeout passes.
func (s *session) awaitRevision(revision int64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	last := ""
	for {
		nodes, err := s.readNodes()
		if err == nil {
			zones := countByZone(nodes, revision)
			if text := describeZones(zones); text != last {
				fmt.Fprintf(os.Stderr, "In force: %s\n", text)
				last = text
			}
			if inForceEverywhere(zones) {
				return nil
			}
		}
		if time.Now().After(deadline) {
			return errors.Join(fmt.Errorf("revision %d is not in force everywhere after %v: %s", revision, timeout, last), err)
		}
		time.Sleep(waitInterval)
	}
}
