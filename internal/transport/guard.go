package transport

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/dykewing/dykewing/api"
)

// Guard answers a panic of the handler with 500 and outcome unknown, or cuts
// the connection when an answer has begun. report gets the panic and its stack.
// http.ErrAbortHandler passes: it cuts the connection by intent.
func Guard(handler http.Handler, report func(cause any, stack []byte)) http.Handler {
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
			if guarded.began {
				panic(http.ErrAbortHandler)
			}
			WriteError(w, api.NewError("handle request", "", api.CodeInternal, api.OutcomeUnknown, "%w", panicError{cause}))
		}()
		handler.ServeHTTP(guarded, r)
	})
}

type panicError struct{ cause any }

// Error names no detail of the process: the log has the stack.
func (e panicError) Error() string { return fmt.Sprintf("panic of type %T", e.cause) }

// guardedWriter notes whether an answer has begun.
type guardedWriter struct {
	http.ResponseWriter
	began bool
}

// WriteHeader begins the answer.
func (w *guardedWriter) WriteHeader(status int) {
	w.began = true
	w.ResponseWriter.WriteHeader(status)
}

// Write begins the answer.
func (w *guardedWriter) Write(data []byte) (int, error) {
	w.began = true
	return w.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *guardedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
