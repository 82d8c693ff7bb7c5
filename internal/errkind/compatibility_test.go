package errkind

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestKind_Answers_AreTheRecordedOnes pins the statuses and texts that clients and operators are given.
func TestKind_Answers_AreTheRecordedOnes(t *testing.T) {
	type answer struct {
		status int
		text   string
	}
	for kind, expected := range map[Kind]answer{
		InvalidInput:     {400, "bad input"},
		NoRoute:          {404, "no such path"},
		BodyTooLarge:     {413, "body too large"},
		HeaderTooLarge:   {431, "head too large"},
		ClientTimeout:    {408, "too slow"},
		VersionConflict:  {412, "another version is current"},
		NotPrimary:       {307, "ask the primary"},
		Unavailable:      {503, "not ready"},
		Overloaded:       {503, "crowded"},
		UpstreamFailure:  {502, "replica failed"},
		DeadlineExceeded: {504, "time ran out"},
		Internal:         {500, "internal"},
		InvalidSettings:  {500, "bad settings"},
	} {
		require.Equal(t, expected, answer{kind.Status(), kind.Text()}, "%d", kind)
	}
}
