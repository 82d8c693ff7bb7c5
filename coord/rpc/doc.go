// Package rpc carries messages between the processes of a system: FlatBuffers in length-prefixed frames over
// connections that stay open.
//
// A [Channel] is one connection. Either side may send on it at any time: a message that expects no answer (Send), or a
// call (Call), whose answer is matched by a number that counts up within the channel. A [Pool] holds one channel per
// address and dials when one is needed; [Serve] accepts them.
//
// What holds:
//   - Messages without an answer arrive in the order of sending and are handled one at a time; calls are handled each
//     in a goroutine of its own.
//   - Each call ends with the answer that was made for it, or with an error within its time-out, whatever the
//     connection does. A call is handled once at most; after an error it may or may not have been handled. Nothing is
//     sent again by this package.
//   - A call whose time-out has passed before it was written is not written any more.
//   - Whoever sends never waits for the peer: a channel whose peer lags by 256 messages is closed.
//   - A message that can't be decoded, or an answer of another kind than its call, closes the channel.
//
// All state is in memory and belongs to the channel and the pool; a restart loses it, and the peer sees a closed
// channel. All types and functions are safe for concurrent use, but a [Message] must not be changed while it is
// being sent.
package rpc
