// Package explain builds the timeline of one request from the log files of all hosts: the decisions about the
// request with the data they were based on, and the log lines that show what the hosts knew about the
// upstreams involved.
package explain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"
)

const (
	// contextBefore is how long before the first line of the request the timeline begins to include other
	// lines.
	contextBefore = 10 * time.Second
	// contextAfter is how long after the last line of the request the timeline stops including other lines.
	contextAfter = time.Second
	// hostStartedMessage is the message that a host logs when its process has started.
	hostStartedMessage = "Host started."
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
)

// ErrNotFound is returned when no log line names the request.
var ErrNotFound = errors.New("explain: no line names the request")

// Line is one parsed log line.
type Line struct {
	Host   string
	Time   time.Time
	Level  string
	Prefix string
	Msg    string
	// Fields are the other fields, in the order in which the line contains them.
	Fields []Field
}

// Field is one key with its value.
type Field struct{ Key, Value string }

// Get returns the value of a field, or the empty string if the line has no such field.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Parse parses a logfmt line. It returns false for a line without a valid time. Log collectors put a text
// that ends with the name of the host before the time; if a line has no such text, the parameter host is its
// host.
func Parse(text, host string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	l := Line{Host: host}
	if before := strings.Fields(text[:start]); len(before) > 0 {
		l.Host = before[len(before)-1]
	}
	for _, f := range splitFields(text[start:]) {
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

// splitFields splits a logfmt line into its fields. Values with spaces are quoted.
func splitFields(text string) []Field {
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

// cutValue cuts the first value, quoted or not, off a text and removes its quotes.
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

// Read returns the log lines of r. It skips lines that Parse rejects.
func Read(r io.Reader, host string) ([]Line, error) {
	var out []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for sc.Scan() {
		if l, ok := Parse(sc.Text(), host); ok {
			out = append(out, l)
		}
	}
	return out, sc.Err()
}

// Timeline is the timeline of one request.
type Timeline struct {
	Request string
	// Lines are the lines of the request and the other lines that explain its course, in chronological order.
	Lines []Line
	// namesRequest reports for each line whether it names the request.
	namesRequest []bool
}

// BuildTimeline builds the timeline of a request from the lines of all hosts. Beside the lines of the request,
// it includes what the hosts that handled the request logged at that time about its upstreams, the
// configuration, the coordinator and the key-value service.
func BuildTimeline(lines []Line, request string) (*Timeline, error) {
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
	s := &Timeline{Request: request}
	from, to := first.Add(-contextBefore), last.Add(contextAfter)
	for _, l := range lines {
		switch {
		case l.Get("request") == request:
		case l.Get("request") != "" || l.Time.Before(from) || l.Time.After(to):
			continue
		case !isRelevant(l, hosts, upstreams):
			continue
		}
		s.Lines = append(s.Lines, l)
	}
	s.addQuarantine(lines, from)
	sort.SliceStable(s.Lines, func(i, j int) bool { return s.Lines[i].Time.Before(s.Lines[j].Time) })
	for _, l := range s.Lines {
		s.namesRequest = append(s.namesRequest, l.Get("request") == request)
	}
	s.addRestart(lines, to)
	return s, nil
}

// pendingMessages are the messages after which a request has no outcome yet. Builds before the current one logged
// "Sent." and "Queued.".
var pendingMessages = map[string]bool{"Request sent.": true, "Request queued.": true, "Sent.": true, "Queued.": true,
	"Lacks tokens.": true, "Attempt failed.": true, "Stream resumed.": true}

// addRestart adds the next start of the host that handled the request last, if the request has no outcome and
// the start is later than the other lines of the timeline. The restart explains the missing outcome.
func (t *Timeline) addRestart(lines []Line, after time.Time) {
	var last Line
	for i, l := range t.Lines {
		if t.namesRequest[i] {
			last = l
		}
	}
	if !pendingMessages[last.Msg] {
		return
	}
	var restart *Line
	for i, l := range lines {
		if l.Msg == hostStartedMessage && l.Host == last.Host && l.Time.After(after) && (restart == nil || l.Time.Before(restart.Time)) {
			restart = &lines[i]
		}
	}
	if restart != nil {
		t.Lines = append(t.Lines, *restart)
		t.namesRequest = append(t.namesRequest, false)
	}
}

// quarantineKind describes how hosts log the quarantine of something that requests have in common.
type quarantineKind struct {
	// message is that of the begin of the quarantine, whose field names what is quarantined.
	message, field string
	// reason is that of the refusals, whose refusedField lists the quarantined parts or names the quarantined request.
	reason, refusedField string
}

var quarantineKinds = []quarantineKind{
	{message: "Prompt part quarantined.", field: "part", reason: "prompt_part_quarantined", refusedField: "parts"},
	{message: "Request quarantined.", field: "digest", reason: "request_quarantined", refusedField: "digest"},
}

// addQuarantine adds the lines that tell since when, and because of which replicas, the request or parts of its prompt
// have been quarantined at its hosts, if that was before the timeline begins.
func (t *Timeline) addQuarantine(lines []Line, before time.Time) {
	last := make(map[string]Line)
	for _, refused := range t.Lines {
		for _, kind := range quarantineKinds {
			if refused.Get("request") != t.Request || refused.Get("reason") != kind.reason {
				continue
			}
			quarantined := strings.Fields(strings.Trim(refused.Get(kind.refusedField), "[]"))
			for _, l := range lines {
				if l.Host == refused.Host && l.Msg == kind.message && l.Time.Before(before) && slices.Contains(quarantined, l.Get(kind.field)) {
					last[l.Host+" "+l.Get(kind.field)] = l
				}
			}
		}
	}
	for _, l := range last {
		t.Lines = append(t.Lines, l)
	}
}

// isRelevant reports whether a line that names no request belongs to the timeline. Relevant lines are:
//   - on any host, the answers of the request's upstreams to orders;
//   - on the hosts that handled the request, all lines about these upstreams, and the lines about no upstream
//     except debug lines.
func isRelevant(l Line, hosts, upstreams map[string]bool) bool {
	if u := l.Get("upstream"); u != "" {
		return upstreams[u] && (hosts[l.Host] || l.Msg == "Order answered.")
	}
	return hosts[l.Host] && !strings.EqualFold(l.Level, "debug")
}

// Write prints the timeline. The lines of the request are marked with an asterisk.
func (t *Timeline) Write(w io.Writer) error {
	start := t.Lines[0].Time
	for i, l := range t.Lines {
		if t.namesRequest[i] {
			start = l.Time
			break
		}
	}
	for i, l := range t.Lines {
		mark := " "
		if t.namesRequest[i] {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%s %+9.3fs %-18s %s%s\n", mark, l.Time.Sub(start).Seconds(), l.Host, l.Msg, l.details()); err != nil {
			return err
		}
	}
	return nil
}

// details formats the fields of a line. It leaves out the request ID and fields with an empty, null, zero or
// false value.
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
