package jobs

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"

	"github.com/dykewing/dykewing/api"
)

// Line is one line of a batch input file, as the OpenAI API defines it.
type Line struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// ServicesPath is the path prefix of application back ends; the service name follows
// it.
const ServicesPath = "/v1/services/"

// ParseLine parses and validates one input line.
func ParseLine(raw []byte) (Line, error) {
	var line Line
	if err := json.Unmarshal(raw, &line); err != nil {
		return Line{}, fmt.Errorf("read input line: %w", err)
	}
	if line.CustomID == "" {
		return Line{}, fmt.Errorf("read input line: custom_id is missing")
	}
	if line.Method != "" && line.Method != "POST" {
		return Line{}, fmt.Errorf("read input line %q: method %q is not POST", line.CustomID, line.Method)
	}
	if !strings.HasPrefix(line.URL, "/v1/") {
		return Line{}, fmt.Errorf("read input line %q: url %q does not start with /v1/", line.CustomID, line.URL)
	}
	if _, err := url.ParseRequestURI(line.URL); err != nil {
		return Line{}, fmt.Errorf("read input line %q: %w", line.CustomID, err)
	}
	if len(line.Body) == 0 {
		return Line{}, fmt.Errorf("read input line %q: body is missing", line.CustomID)
	}
	return line, nil
}

// ServiceOf returns the service that a request is for: the name in the path under
// ServicesPath, or else the model in the body. The name is validated.
func ServiceOf(path string, body []byte) (api.ServiceName, error) {
	if rest, ok := strings.CutPrefix(path, ServicesPath); ok {
		name, _, _ := strings.Cut(rest, "/")
		return api.ServiceName(name), api.ValidateName("service", name)
	}
	var request struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return "", fmt.Errorf("read model of request: %w", err)
	}
	return api.ServiceName(request.Model), api.ValidateName("model", request.Model)
}
