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

// withPriority sets the engine's priority field in JSON bodies of the model
// API; application requests stay as they are. Lower numbers go first there. A
// field that the caller set is replaced, so that no caller goes first by
// asking for it.
func withPriority(call Call) ([]byte, error) {
	if strings.HasPrefix(call.Path, jobs.ServicesPath) {
		return call.Body, nil
	}
	body := bytes.TrimSpace(call.Body)
	if !gjson.ValidBytes(body) || len(body) < 2 || body[0] != '{' {
		return nil, fmt.Errorf("set priority: body is not a JSON object")
	}
	if gjson.GetBytes(body, priorityField).Exists() {
		return replacePriority(body, -call.Priority)
	}
	return appendPriority(body, -call.Priority), nil
}

// appendPriority adds the field at the end, where it also goes before an
// earlier one in readers that take the last of equal names.
func appendPriority(body []byte, priority int) []byte {
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

func replacePriority(body []byte, priority int) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("set priority: %w", err)
	}
	fields[priorityField] = json.RawMessage(strconv.Itoa(priority))
	return json.Marshal(fields)
}
