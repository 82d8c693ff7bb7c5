package distribution

import (
	"testing"

	"shaletrestle/internal/mutation"
)

// TestSchedulesFindMutants shows that each check of the transfer by parts is needed, and that the tests see when it is
// missing.
func TestSchedulesFindMutants(t *testing.T) {
	mutation.AllFound(t, []mutation.Mutation{
		{Name: "an offer of another state is adopted", File: "content.go", From: "here == nil || here.digest() != offered", To: "here == nil", Run: "PartsUnder"},
		{Name: "an older offer is adopted", File: "content.go", From: "func (c *content) adopt(at Position, offered digest) error {\n\tif err := c.progress.checkRestore(at); err != nil {\n\t\treturn err\n\t}", To: "func (c *content) adopt(at Position, offered digest) error {", Run: "OlderPosition"},
		{Name: "older parts are restored", File: "content.go", From: "\tif err := c.progress.checkRestore(at); err != nil {\n\t\treturn err\n\t}\n\twhole, err", To: "\twhole, err", Run: "OlderPosition"},
		{Name: "contents are not compared with the list", File: "parts.go", From: ` || digestOf(part.Content) != listed.digest`, To: "", Run: "UnusableParts"},
		{Name: "parts that are not listed are dropped", File: "parts.go", From: "if len(sent) > 0 {", To: "if false {", Run: "UnusableParts"},
		{Name: "the list of an earlier state is kept", File: "content.go", From: "c.listed == nil || c.listedAt != c.progress.at", To: "c.listed == nil", Run: "PartsUnder"},
		{Name: "a snapshot of an earlier position is sent", File: "feed.go", From: "\tclear(f.snapshots)\n\tf.changes = append", To: "\tf.changes = append", Run: "PartsUnder|Snapshot"},
		{Name: "a change that does not fit is sent as if the snapshot was there", File: "subscriber.go", From: "if s.need != needChanges {\n\t\treturn\n\t}", To: "", Run: "WhileTheStateIsOffered"},
		{Name: "followers of a relay are forgotten when it subscribes again", File: "subscriber.go", From: "\t\ts.endFollowers = previous.endFollowers // a relay lists them only when they change\n", To: "", Run: "Relay"},
		{Name: "one that has a state is sent away", File: "subscriber.go", From: " || positionOf(message) != (Position{})", To: "", Run: "InAnotherZone"},
		{Name: "one that was sent away is sent away again", File: "follower.go", From: " && !f.redirected.Load()", To: "", Run: "InAnotherZone"},
		{Name: "a refused snapshot is asked for in parts again", File: "follower.go", From: "\t\tf.wholeWanted.Store(true)\n", To: "", Run: "UnusableParts"},
	})
}
