package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// maxLogLineBytes is the maximum length of a log line in bytes.
const maxLogLineBytes = 1 << 20

// eventRanks ranks events by how conclusively they explain a request's outcome. The
// highest-ranked event of a request is reported. docs/LOGS.md lists all events.
var eventRanks = map[string]int{
	"request_served": 1, "job_accepted": 1, "request_retried": 2, "item_send_ended": 2, "results_not_committed": 2,
	"item_gives_way": 3, "job_stopped": 3, "job_ended": 4, "job_call_failed": 4, "item_abandoned": 5, "caller_gone": 5,
	"worker_failed": 6, "request_refused": 7, "answer_cut": 7,
}

// omittedFields lists the fields that are not printed among a line's details.
var omittedFields = []string{"level", "time", "node", "part", "event", "msg", "request"}

// logLine is a parsed log line about the request.
type logLine struct {
	at     time.Time
	prefix string // text before the JSON object, as added by log collectors
	fields map[string]any
}

func (l logLine) text(name string) string {
	text, _ := l.fields[name].(string)
	return text
}

func registerExplain(application *kingpin.Application) {
	command := application.Command("explain", "Show the log lines of a request from all processes, in order, and mark the one that decided its outcome.")
	id := command.Arg("id", "The id of the request, or of the batch job.").Required().String()
	files := command.Arg("logs", "Log files, in any order; standard input if none is given.").ExistingFiles()
	command.Action(action(func() error { return explainFiles(os.Stdout, *id, *files) }))
}

func explainFiles(w io.Writer, id string, files []string) error {
	if len(files) == 0 {
		return explain(w, id, os.Stdin)
	}
	var readers []io.Reader
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
		defer file.Close()
		readers = append(readers, file, strings.NewReader("\n"))
	}
	return explain(w, id, io.MultiReader(readers...))
}

// explain prints the log lines about a request in order of time and marks the one
// that decided its outcome.
func explain(w io.Writer, id string, logs io.Reader) error {
	lines, err := readLines(id, logs)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line for %s: it was served without being logged, was dropped, or was never received", id)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	decided := decidingLine(lines)
	for i, line := range lines {
		mark := " "
		if i == decided {
			mark = "*"
		}
		_, _ = fmt.Fprintf(w, "%s %s%s %s %s %s%s\n", mark, line.prefix, line.at.Format(time.RFC3339Nano), line.text("node"), line.text("event"), line.text("msg"), details(line))
	}
	last := lines[decided]
	_, _ = fmt.Fprintf(w, "decided by: %s at %s%s\n", last.text("event"), last.text("node"), details(last))
	return nil
}

func readLines(id string, logs io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLogLineBytes)
	var lines []logLine
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), id) {
			continue
		}
		if line, ok := parseLine(scanner.Text()); ok && line.text("request") == id {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read logs: %w", err)
	}
	return lines, nil
}

// parseLine parses a JSON log line and keeps any text before its first brace. It
// returns false if the line is not JSON or has no valid time.
func parseLine(text string) (logLine, bool) {
	brace := strings.IndexByte(text, '{')
	if brace < 0 {
		return logLine{}, false
	}
	line := logLine{prefix: text[:brace]}
	if err := json.Unmarshal([]byte(text[brace:]), &line.fields); err != nil {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	if err != nil {
		return logLine{}, false
	}
	line.at = at
	return line, true
}

// decidingLine returns the index of the last line with the highest rank.
func decidingLine(lines []logLine) int {
	best := 0
	for i, line := range lines {
		if eventRanks[line.text("event")] >= eventRanks[lines[best].text("event")] {
			best = i
		}
	}
	return best
}

func details(line logLine) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(line.fields)) {
		if !slices.Contains(omittedFields, name) {
			_, _ = fmt.Fprintf(&text, " %s=%v", name, line.fields[name])
		}
	}
	return text.String()
}
