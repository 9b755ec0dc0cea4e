package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/dykewing/dykewing/jobs"
)

const priorityField = "priority"

// withPriority returns the body with the engine's priority field, in which lower values
// run first. A field set by the caller is replaced, so that callers cannot raise their own
// priority. Bodies of application requests are returned unchanged.
func withPriority(call Call) ([]byte, error) {
	if strings.HasPrefix(call.Path, jobs.ServicesPath) {
		return call.Body, nil
	}
	body := bytes.TrimSpace(call.Body)
	if !gjson.ValidBytes(body) || len(body) < 2 || body[0] != '{' {
		return nil, fmt.Errorf("set priority: body is not a JSON object")
	}
	if gjson.GetBytes(body, priorityField).Exists() {
		return replacePriorityField(body, -call.Priority)
	}
	return appendPriorityField(body, -call.Priority), nil
}

// appendPriorityField adds the field as the last one, which takes precedence in parsers that
// use the last of duplicate names.
func appendPriorityField(body []byte, priority int) []byte {
	open := bytes.TrimRight(body[:len(body)-1], " \t\r\n")
	result := make([]byte, 0, len(body)+len(priorityField)+8)
	result = append(result, open...)
	if len(open) > 1 {
		result = append(result, ',')
	}
	result = append(result, `"priority":`...)
	result = strconv.AppendInt(result, int64(priority), 10)
	return append(result, '}')
}

func replacePriorityField(body []byte, priority int) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("set priority: %w", err)
	}
	fields[priorityField] = json.RawMessage(strconv.Itoa(priority))
	return json.Marshal(fields)
}
