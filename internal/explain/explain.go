// Package explain tells the story of one request from the log files of all hosts: what each
// decision saw, in the order of time, with what the hosts believed about the upstreams involved.
package explain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

const (
	// beliefBefore is how long before the request beliefs are looked for.
	beliefBefore = 10 * time.Second
	// beliefAfter is how long after its last line.
	beliefAfter = time.Second
	// hostStarted is the message of a process that has started.
	hostStarted = "Host started."
	// maxLine bounds one line of a log.
	maxLine = 1 << 20
)

// ErrNotFound means that no line names the request.
var ErrNotFound = errors.New("explain: no line names the request")

// Line is one line of a log.
type Line struct {
	Host   string
	Time   time.Time
	Level  string
	Prefix string
	Msg    string
	// Fields are the other fields in the order of the line.
	Fields []Field
}

// Field is one key with its value.
type Field struct{ Key, Value string }

// Get returns the value of a field, empty if absent.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Parse reads a logfmt line. What stands before the time, as a collector adds it, ends with the name
// of the host; host is used where there is nothing.
func Parse(text, host string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	l := Line{Host: host}
	if before := strings.Fields(text[:start]); len(before) > 0 {
		l.Host = before[len(before)-1]
	}
	for _, f := range fields(text[start:]) {
		switch f.Key {
		case "time":
			t, err := time.Parse(time.RFC3339Nano, f.Value)
			if err != nil {
				return Line{}, false
			}
			l.Time = t
		case "level":
			l.Level = f.Value
		case "prefix":
			l.Prefix = f.Value
		case "msg":
			l.Msg = f.Value
		default:
			l.Fields = append(l.Fields, f)
		}
	}
	return l, true
}

// fields splits a logfmt line; values with spaces are quoted.
func fields(text string) []Field {
	var out []Field
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimLeft(text, " ") {
		key, rest, ok := strings.Cut(text, "=")
		if !ok {
			return out
		}
		value, after := cutValue(rest)
		out = append(out, Field{Key: key, Value: value})
		text = after
	}
	return out
}

func cutValue(text string) (value, rest string) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return strings.ReplaceAll(text[1:i], `\"`, `"`), text[i+1:]
		}
	}
	return text[1:], ""
}

// Read returns the lines of a log; other lines are passed over.
func Read(r io.Reader, host string) ([]Line, error) {
	var out []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 64<<10), maxLine)
	for sc.Scan() {
		if l, ok := Parse(sc.Text(), host); ok {
			out = append(out, l)
		}
	}
	return out, sc.Err()
}

// Story is what the logs say of one request.
type Story struct {
	Request string
	// Lines are those of the request and the beliefs of its hosts, in the order of time.
	Lines []Line
	// own marks the lines that name the request.
	own []bool
}

// Tell finds the lines of a request, and beside them what its hosts believed about the upstreams,
// the configuration, the coordinator and the key-value service at that time.
func Tell(lines []Line, request string) (*Story, error) {
	hosts := make(map[string]bool)
	upstreams := make(map[string]bool)
	var first, last time.Time
	for _, l := range lines {
		if l.Get("request") != request {
			continue
		}
		hosts[l.Host] = true
		if u := l.Get("upstream"); u != "" {
			upstreams[u] = true
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	if len(hosts) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, request)
	}
	s := &Story{Request: request}
	from, to := first.Add(-beliefBefore), last.Add(beliefAfter)
	for _, l := range lines {
		switch {
		case l.Get("request") == request:
		case l.Get("request") != "" || l.Time.Before(from) || l.Time.After(to):
			continue
		case !relevant(l, hosts, upstreams):
			continue
		}
		s.Lines = append(s.Lines, l)
	}
	sort.SliceStable(s.Lines, func(i, j int) bool { return s.Lines[i].Time.Before(s.Lines[j].Time) })
	for _, l := range s.Lines {
		s.own = append(s.own, l.Get("request") == request)
	}
	s.addRestart(lines, to)
	return s, nil
}

// unfinished are the messages after which a request has no outcome yet.
var unfinished = map[string]bool{"Sent.": true, "Queued.": true, "Lacks tokens.": true, "Attempt failed.": true, "Stream resumed.": true}

// addRestart adds the next start of the host at which the request was left without an outcome, when that
// is later than the other lines of the story.
func (s *Story) addRestart(lines []Line, after time.Time) {
	var last Line
	for i, l := range s.Lines {
		if s.own[i] {
			last = l
		}
	}
	if !unfinished[last.Msg] {
		return
	}
	var restart *Line
	for i, l := range lines {
		if l.Msg == hostStarted && l.Host == last.Host && l.Time.After(after) && (restart == nil || l.Time.Before(restart.Time)) {
			restart = &lines[i]
		}
	}
	if restart != nil {
		s.Lines = append(s.Lines, *restart)
		s.own = append(s.own, false)
	}
}

// relevant says whether a line without a request belongs to the story: orders to its upstreams on
// any host, and on its own hosts beliefs about these upstreams and about the whole site.
func relevant(l Line, hosts, upstreams map[string]bool) bool {
	if u := l.Get("upstream"); u != "" {
		return upstreams[u] && (hosts[l.Host] || l.Msg == "Order answered.")
	}
	return hosts[l.Host] && !strings.EqualFold(l.Level, "debug")
}

// Write prints the story: the request's own lines are marked with an asterisk.
func (s *Story) Write(w io.Writer) error {
	start := s.Lines[0].Time
	for i, l := range s.Lines {
		if s.own[i] {
			start = l.Time
			break
		}
	}
	for i, l := range s.Lines {
		mark := " "
		if s.own[i] {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%s %+9.3fs %-18s %s%s\n", mark, l.Time.Sub(start).Seconds(), l.Host, l.Msg, l.details()); err != nil {
			return err
		}
	}
	return nil
}

// details prints the fields that say something.
func (l Line) details() string {
	var b strings.Builder
	for _, f := range l.Fields {
		switch {
		case f.Key == "request" || f.Value == "" || f.Value == "null" || f.Value == "0s" || f.Value == "false":
		case strings.ContainsRune(f.Value, ' '):
			fmt.Fprintf(&b, " %s=%q", f.Key, f.Value)
		default:
			fmt.Fprintf(&b, " %s=%s", f.Key, f.Value)
		}
	}
	return b.String()
}
