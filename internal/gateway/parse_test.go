package gateway

import (
	"encoding/json"
	"testing"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// TestSentMaximumMatchesCharge guards against an engine that generates more output tokens than were charged. This could
// happen when a request has both max_tokens and max_completion_tokens and the engine uses the one that was not charged.
func TestSentMaximumMatchesCharge(t *testing.T) {
	for _, body := range []string{
		`{"model":"m","prompt":"x","max_tokens":3,"max_completion_tokens":5000}`,
		`{"model":"m","prompt":"x","max_completion_tokens":3}`,
		`{"model":"m","prompt":"x","max_tokens":3}`,
	} {
		c, refusal := parseCompletion([]byte(body), entity.Interactive, config.Limits{MaxOutputTokens: 256})
		if refusal != nil {
			t.Fatal(refusal)
		}
		var sent struct {
			Tokens     int `json:"max_tokens"`
			Completion int `json:"max_completion_tokens"`
		}
		if err := json.Unmarshal(c.body, &sent); err != nil {
			t.Fatal(err)
		}
		if sent.Tokens != c.outputTokens || sent.Completion != 0 && sent.Completion != c.outputTokens {
			t.Errorf("%s: charged %d output tokens, but the body for the engine has the limits %+v", body, c.outputTokens, sent)
		}
	}
}
