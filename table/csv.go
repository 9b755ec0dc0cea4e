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

// Columns of the table's CSV form, in the order of an export.
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

// Columns lists all columns in the order of an export.
func Columns() []string {
	return []string{
		ColumnService, ColumnPlace, ColumnWeight, ColumnBatchAllowance,
		ColumnCeilingConcurrency, ColumnCeilingRate, ColumnPriority, ColumnRepeatable,
	}
}

// maximumCSVRows bounds a file.
const maximumCSVRows = 100_000

// Line is a row of a CSV file: the cells that the file has a column for.
type Line struct {
	Number int // in the file, from 1
	Key    api.RowKey
	Change api.RowChange
}

// FormatCells gives a row's cells in the order of Columns.
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

// SetCell puts the text of a cell into the change; the error names the column.
func SetCell(change *api.RowChange, column, text string) error {
	var err error
	switch column {
	case ColumnWeight:
		change.Weight, err = number(text)
	case ColumnBatchAllowance:
		change.BatchAllowance, err = whole(text)
	case ColumnCeilingConcurrency:
		change.CeilingConcurrency, err = whole(text)
	case ColumnCeilingRate:
		change.CeilingRate, err = number(text)
	case ColumnPriority:
		change.Priority, err = whole(text)
	case ColumnRepeatable:
		change.Repeatable, err = truth(text)
	default:
		return fmt.Errorf("column %q is not known; there are %s", column, strings.Join(Columns(), ", "))
	}
	if err != nil {
		return fmt.Errorf("column %s: %w", column, err)
	}
	return nil
}

func number(text string) (*float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return nil, fmt.Errorf("%q is not a number", text)
	}
	return &value, nil
}

func whole(text string) (*int, error) {
	value, err := strconv.Atoi(text)
	if err != nil {
		return nil, fmt.Errorf("%q is not a whole number", text)
	}
	return &value, nil
}

func truth(text string) (*bool, error) {
	value, err := strconv.ParseBool(strings.ToLower(text))
	if err != nil {
		return nil, fmt.Errorf("%q is neither true nor false", text)
	}
	return &value, nil
}

// ReadCSV reads a whole file as spreadsheets write it: with or without a byte
// order mark, separated by commas or semicolons, columns in any order. Columns
// that are missing, and empty cells, stay as they are. All faults are reported,
// each with its line and column.
func ReadCSV(input []byte) ([]Line, error) {
	input = bytes.TrimPrefix(input, []byte("\xef\xbb\xbf"))
	reader := csv.NewReader(bytes.NewReader(input))
	reader.Comma = separator(input)
	reader.FieldsPerRecord = -1
	reader.TrimLeadingSpace = true
	header, err := reader.Read()
	if err != nil {
		return nil, fmt.Errorf("line 1: no header line: %w", err)
	}
	columns, err := readHeader(header)
	if err != nil {
		return nil, fmt.Errorf("line 1: %w", err)
	}
	var lines []Line
	var faults []error
	first := map[api.RowKey]int{}
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return lines, errors.Join(faults...)
		}
		if err != nil {
			return nil, errors.Join(append(faults, err)...)
		}
		number, _ := reader.FieldPos(0)
		if len(lines) >= maximumCSVRows {
			return nil, fmt.Errorf("line %d: more than %d rows", number, maximumCSVRows)
		}
		line, err := readLine(columns, record)
		line.Number = number
		if earlier, ok := first[line.Key]; ok && err == nil {
			err = fmt.Errorf("row %s stands on line %d already", line.Key, earlier)
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("line %d: %w", number, err))
			continue
		}
		first[line.Key] = number
		lines = append(lines, line)
	}
}

func separator(input []byte) rune {
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
			return nil, fmt.Errorf("column %q is not known; there are %s", name, strings.Join(Columns(), ", "))
		}
		if slices.Contains(columns[:i], columns[i]) {
			return nil, fmt.Errorf("column %s stands twice", columns[i])
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
	// Ranges are checked on a row that has only these cells: each cell's range
	// stands for itself.
	row := line.Change.Apply(api.Row{Service: line.Key.Service, Place: line.Key.Place})
	return line, row.Validate()
}
