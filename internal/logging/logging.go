// Package logging configures logrus. Text lines start with the name of the component that
// logged them; Queue writes lines in the background.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/config"
)

// New returns a logger that writes to output.
func New(settings config.Log, output io.Writer) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(settings.Level)
	if err != nil {
		return nil, fmt.Errorf("set up log: %w", err)
	}
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetLevel(level)
	if settings.Format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
		return logger, nil
	}
	logger.SetFormatter(&prefixFormatter{inner: &logrus.TextFormatter{DisableColors: true, FullTimestamp: true}})
	return logger, nil
}

// NewQueued returns a logger whose lines a Queue writes to output in the background. The
// caller must close the queue before the process exits, or lines may be lost.
func NewQueued(settings config.Log, output io.Writer) (*logrus.Logger, *Queue, error) {
	logger, err := New(settings, io.Discard)
	if err != nil {
		return nil, nil, err
	}
	queue := newQueue(logger.Formatter, output)
	logger.SetFormatter(queue)
	return logger, queue, nil
}

// prefixFormatter moves the field "part" to the front of the message as "[part]".
type prefixFormatter struct{ inner logrus.Formatter }

// Format implements logrus.Formatter.
func (f *prefixFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	part, ok := entry.Data["part"]
	if !ok {
		return f.inner.Format(entry)
	}
	copied := *entry
	copied.Data = logrus.Fields{}
	for key, value := range entry.Data {
		if key != "part" {
			copied.Data[key] = value
		}
	}
	copied.Message = fmt.Sprintf("[%v] %s", part, entry.Message)
	return f.inner.Format(&copied)
}
