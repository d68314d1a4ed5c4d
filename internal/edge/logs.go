package edge

import (
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// NewLogger returns the program's logger. It writes one logfmt line for each entry.
func NewLogger(w io.Writer, s LogSettings) (*log.Logger, error) {
	level, err := log.ParseLevel(s.Level)
	if err != nil {
		return nil, fmt.Errorf("edge: log level: %w", err)
	}
	l := log.NewWithOptions(w, log.Options{Level: level, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	l.SetFormatter(log.LogfmtFormatter)
	return l, nil
}
