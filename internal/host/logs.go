package host

import (
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// NewLogger returns the logger of the program. Each component derives its own logger with a fixed prefix.
func NewLogger(w io.Writer, s LogSettings) (*log.Logger, error) {
	level, err := log.ParseLevel(s.Level)
	if err != nil {
		return nil, fmt.Errorf("host: log level: %w", err)
	}
	l := log.NewWithOptions(w, log.Options{Level: level, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	switch s.Format {
	case "json":
		l.SetFormatter(log.JSONFormatter)
	case "logfmt":
		l.SetFormatter(log.LogfmtFormatter)
	}
	return l, nil
}
