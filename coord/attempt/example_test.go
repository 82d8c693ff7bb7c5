package attempt_test

import (
	"fmt"

	"shaletrestle/coord/attempt"
)

// A call that is not idempotent may be sent again after a promise that it has not run, and not after a silence.
func ExampleHistory() {
	var history attempt.History
	const limit = 3

	history.BeginSend()
	history.Advance(attempt.Sent)
	fmt.Println(history.Current(), history.MayRetry(false, limit))
	history.Advance(attempt.NotExecuted)
	fmt.Println(history.Current(), history.MayRetry(false, limit))

	history.BeginSend()
	history.Advance(attempt.Sent)
	fmt.Println(history.Sends(), "sends:", history.MayRetry(false, limit), history.MayRetry(true, limit))
	// Output:
	// sent false
	// not executed true
	// 2 sends: false true
}
