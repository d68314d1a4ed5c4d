package service

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against run counts that contradict the answers: for each fault, the answer and the number of runs
// must be those that the fault stands for.
func TestRunsAndFaults(t *testing.T) {
	s := New(Options{ID: "s1"})
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	post := func(order string) (int, string, error) {
		req, _ := http.NewRequest("POST", "http://"+s.Addr()+"/cut", strings.NewReader(`{"order":"`+order+`"}`))
		req.Header.Set(HeaderRequestID, "r-"+order)
		req.Header.Set("Cookie", "a=b")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, "", err
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, resp.Header.Get(HeaderRan) + "/" + resp.Header.Get(HeaderRequestID), nil
	}
	cases := []struct {
		fault  string
		status int
		head   string
		broken bool
		runs   int
	}{
		{"", 200, "/r-", false, 1},
		{FaultRefuse, 503, "no/r-", false, 0},
		{FaultLose, 0, "", true, 1},
		{FaultFail, 500, "/r-", false, 1},
		{FaultWrongID, 200, "/other-", false, 1},
	}
	for _, c := range cases {
		order := "order" + c.fault
		if c.fault != "" {
			if err := s.SetFault(Fault{Kind: c.fault, Count: 1}); err != nil {
				t.Fatal(err)
			}
		}
		status, head, err := post(order)
		if status != c.status || !strings.HasPrefix(head, c.head) || (err != nil) != c.broken {
			t.Errorf("fault %q: status %d, headers X-Service-Ran/X-Request-Id %q, error %v, which the test case does not want", c.fault, status, head, err)
		}
		if s.Runs(order) != c.runs {
			t.Errorf("fault %q: the order ran %d times, which the test case does not want", c.fault, s.Runs(order))
		}
	}
	if got := s.Received(); len(got) != len(cases) || got[0].Headers["Cookie"] != "a=b" {
		t.Errorf("%d requests are recorded, want one for each test case, the first with its Cookie header", len(got))
	}
	s.Stop()
	if _, _, err := post("x"); err == nil {
		t.Error("a stopped service answered")
	}
}
