package edge

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
)

// NewLogger returns the program's logger and its level, which may be changed while the program runs. The
// logger writes one logfmt line for each entry. It uses the standard library's handler, not charmbracelet/log:
// every request logs several lines, and the standard handler needs half of the processor time for a line.
func NewLogger(w io.Writer, s LogSettings) (*slog.Logger, *slog.LevelVar, error) {
	level := new(slog.LevelVar)
	if err := SetLevel(level, s); err != nil {
		return nil, nil, err
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})), level, nil
}

// SetLevel applies the level of the settings.
func SetLevel(level *slog.LevelVar, s LogSettings) error {
	var l slog.Level
	if err := l.UnmarshalText([]byte(strings.ToUpper(s.Level))); err != nil {
		return fmt.Errorf("edge: log level: %w", err)
	}
	level.Set(l)
	return nil
}
