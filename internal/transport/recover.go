package transport

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/dykewing/dykewing/api"
)

// RecoverPanics recovers from panics of the handler. It responds with status 500 and outcome
// unknown, or aborts the connection if the response has started. report is called with the
// panic and its stack. It passes on http.ErrAbortHandler, which aborts the connection
// deliberately.
func RecoverPanics(handler http.Handler, report func(cause any, stack []byte)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		guarded := &guardedWriter{ResponseWriter: w}
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause == http.ErrAbortHandler {
				panic(cause)
			}
			report(cause, debug.Stack())
			if guarded.started {
				panic(http.ErrAbortHandler)
			}
			WriteError(w, api.NewError("handle request", "", api.CodeInternal, api.OutcomeUnknown, "%w", panicError{cause}))
		}()
		handler.ServeHTTP(guarded, r)
	})
}

type panicError struct{ cause any }

// Error omits the value of the panic, which must not be sent to callers.
func (e panicError) Error() string { return fmt.Sprintf("panic of type %T", e.cause) }

// guardedWriter records whether the response has started.
type guardedWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *guardedWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *guardedWriter) Write(data []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *guardedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
