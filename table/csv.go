package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/dykewing/dykewing/api"
)

// Columns of the table in CSV, in the order of an export.
const (
	ColumnService            = "service"
	ColumnPlace              = "place"
	ColumnWeight             = "weight"
	ColumnBatchAllowance     = "batch_allowance"
	ColumnCeilingConcurrency = "ceiling_concurrency"
	ColumnCeilingRate        = "ceiling_rate"
	ColumnPriority           = "priority"
	ColumnRepeatable         = "repeatable"
)

// Columns returns all columns in the order of an export.
func Columns() []string {
	return []string{
		ColumnService, ColumnPlace, ColumnWeight, ColumnBatchAllowance,
		ColumnCeilingConcurrency, ColumnCeilingRate, ColumnPriority, ColumnRepeatable,
	}
}

// maxCSVRows bounds the rows of a file.
const maxCSVRows = 100_000

// Line is a row of a CSV file. Change holds its non-empty cells.
type Line struct {
	Number int // line number in the file, from 1
	Key    api.RowKey
	Change api.RowChange
}

// FormatCells returns a row's cells in the order of Columns.
func FormatCells(row api.Row) []string {
	number := func(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }
	return []string{
		string(row.Service), string(row.Place), number(row.Weight), strconv.Itoa(row.BatchAllowance),
		strconv.Itoa(row.CeilingConcurrency), number(row.CeilingRate), strconv.Itoa(row.Priority),
		strconv.FormatBool(row.Repeatable),
	}
}

// WriteCSV writes a header line and the rows.
func WriteCSV(output io.Writer, rows []api.Row) error {
	writer := csv.NewWriter(output)
	if err := writer.Write(Columns()); err != nil {
		return err
	}
	for _, row := range rows {
		if err := writer.Write(FormatCells(row)); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}

// SetCell parses the text of a cell into the change. Errors name the column.
func SetCell(change *api.RowChange, column, text string) error {
	var err error
	switch column {
	case ColumnWeight:
		change.Weight, err = parseFloat(text)
	case ColumnBatchAllowance:
		change.BatchAllowance, err = parseInt(text)
	case ColumnCeilingConcurrency:
		change.CeilingConcurrency, err = parseInt(text)
	case ColumnCeilingRate:
		change.CeilingRate, err = parseFloat(text)
	case ColumnPriority:
		change.Priority, err = parseInt(text)
	case ColumnRepeatable:
		change.Repeatable, err = parseBool(text)
	default:
		return fmt.Errorf("unknown column %q; valid columns are %s", column, strings.Join(Columns(), ", "))
	}
	if err != nil {
		return fmt.Errorf("column %s: %w", column, err)
	}
	return nil
}

func parseFloat(text string) (*float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return nil, fmt.Errorf("%q is not a number", text)
	}
	return &value, nil
}

func parseInt(text string) (*int, error) {
	value, err := strconv.Atoi(text)
	if err != nil {
		return nil, fmt.Errorf("%q is not an integer", text)
	}
	return &value, nil
}

func parseBool(text string) (*bool, error) {
	value, err := strconv.ParseBool(strings.ToLower(text))
	if err != nil {
		return nil, fmt.Errorf("%q is not true or false", text)
	}
	return &value, nil
}

// ReadCSV parses a file as written by spreadsheets: with or without a byte order mark,
// separated by commas or semicolons, with columns in any order. Missing columns and empty
// cells leave the row's value unchanged. The returned error joins the errors of all
// lines, each with its line number.
func ReadCSV(input []byte) ([]Line, error) {
	input = bytes.TrimPrefix(input, []byte("\xef\xbb\xbf"))
	reader := csv.NewReader(bytes.NewReader(input))
	reader.Comma = detectSeparator(input)
	reader.FieldsPerRecord = -1
	reader.TrimLeadingSpace = true
	header, err := reader.Read()
	if err != nil {
		return nil, fmt.Errorf("line 1: read header: %w", err)
	}
	columns, err := readHeader(header)
	if err != nil {
		return nil, fmt.Errorf("line 1: %w", err)
	}
	var lines []Line
	var problems []error
	first := map[api.RowKey]int{}
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return lines, errors.Join(problems...)
		}
		if err != nil {
			return nil, errors.Join(append(problems, err)...)
		}
		number, _ := reader.FieldPos(0)
		if len(lines) >= maxCSVRows {
			return nil, fmt.Errorf("line %d: more than %d rows", number, maxCSVRows)
		}
		line, err := readLine(columns, record)
		line.Number = number
		if earlier, ok := first[line.Key]; ok && err == nil {
			err = fmt.Errorf("row %s is already on line %d", line.Key, earlier)
		}
		if err != nil {
			problems = append(problems, fmt.Errorf("line %d: %w", number, err))
			continue
		}
		first[line.Key] = number
		lines = append(lines, line)
	}
}

func detectSeparator(input []byte) rune {
	header, _, _ := bytes.Cut(input, []byte("\n"))
	if bytes.ContainsRune(header, ';') && !bytes.ContainsRune(header, ',') {
		return ';'
	}
	return ','
}

func readHeader(header []string) ([]string, error) {
	columns := make([]string, len(header))
	for i, name := range header {
		columns[i] = strings.ToLower(strings.TrimSpace(name))
		if !slices.Contains(Columns(), columns[i]) {
			return nil, fmt.Errorf("unknown column %q; valid columns are %s", name, strings.Join(Columns(), ", "))
		}
		if slices.Contains(columns[:i], columns[i]) {
			return nil, fmt.Errorf("duplicate column %s", columns[i])
		}
	}
	for _, needed := range []string{ColumnService, ColumnPlace} {
		if !slices.Contains(columns, needed) {
			return nil, fmt.Errorf("column %s is missing", needed)
		}
	}
	return columns, nil
}

func readLine(columns, record []string) (Line, error) {
	var line Line
	if len(record) != len(columns) {
		return line, fmt.Errorf("%d cells, but the header has %d columns", len(record), len(columns))
	}
	for i, column := range columns {
		text := strings.TrimSpace(record[i])
		switch {
		case column == ColumnService:
			line.Key.Service = api.ServiceName(text)
		case column == ColumnPlace:
			line.Key.Place = api.PlaceName(text)
		case text != "":
			if err := SetCell(&line.Change, column, text); err != nil {
				return line, err
			}
		}
	}
	// The range of a cell does not depend on other cells, so a row with only the
	// given cells is enough for validation.
	row := line.Change.Apply(api.Row{Service: line.Key.Service, Place: line.Key.Place})
	return line, row.Validate()
}
