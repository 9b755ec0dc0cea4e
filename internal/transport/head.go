package transport

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// errMalformedHead means that a response's head is not one of HTTP/1.1, although net/http accepts it.
var errMalformedHead = errors.New("malformed response head")

// Range of the status of a final response (RFC 9110, section 15).
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// RoundTripper is an http.Transport that returns an error instead of a response with a malformed head. The
// request may have run then.
type RoundTripper struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *RoundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// checkHead returns an error if the response's head is malformed. net/http takes any three digits for a
// status, and returns 101 although no request asks for another protocol. It takes a name with a blank for
// that of another field, so that "Content-Length : 5" does not bound the body.
func checkHead(response *http.Response) error {
	if status := response.StatusCode; status < minFinalStatus || status > maxFinalStatus {
		return fmt.Errorf("%w: status %03d", errMalformedHead, status)
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", errMalformedHead, name)
		}
	}
	return nil
}
