package replicamodel

import "container/list"

// node is one cached part behind the parts before it.
type node struct {
	parent   *node
	children map[Part]*node
	part     Part
	complete bool          // prefilled to its end
	users    int           // running requests that use it
	recent   *list.Element // in the order of use
}

// memory is the memory that running requests and the cache of prompt parts share.
type memory struct {
	capacity int        // tokens
	root     *node      // of the prefix tree
	recent   *list.List // of *node, the one used last in front
	used     int        // tokens of all cached parts and of what running requests generated
	pinned   int        // of these, what can't be evicted
}

func newMemory(capacity int) *memory {
	return &memory{
		capacity: capacity,
		root:     &node{children: map[Part]*node{}},
		recent:   list.New(),
	}
}

func (m *memory) overfull() bool { return m.used > m.capacity }

// reserve counts tokens that running requests generated; a negative number gives
// them back.
func (m *memory) reserve(tokens int) {
	m.used += tokens
	m.pinned += tokens
}

// acquire pins the nodes of a prompt and adds those that are not cached. It returns
// how many of the prompt's tokens are cached; ok is false if there is no room.
// What is cached is pinned first, so that making room can't evict it.
func (m *memory) acquire(parts []Part) (path []*node, cached int, ok bool) {
	path, cached = m.pinCached(parts)
	missing := parts[len(path):]
	needed := 1 // the first token
	for _, part := range missing {
		needed += part.Tokens
	}
	for m.used+needed > m.capacity {
		if !m.evict() {
			for _, node := range path {
				m.unpin(node)
			}
			return nil, 0, false
		}
	}
	return m.grow(path, missing), cached, true
}

// pinCached pins the cached nodes of a prompt and counts the tokens of those,
// from the first on, that were prefilled to their end.
func (m *memory) pinCached(parts []Part) (path []*node, cached int) {
	parent := m.root
	complete := true
	for _, part := range parts {
		found := parent.children[part]
		if found == nil {
			break
		}
		complete = complete && found.complete
		if complete {
			cached += part.Tokens
		}
		m.pin(found)
		path = append(path, found)
		parent = found
	}
	return path, cached
}

// grow adds pinned nodes for the parts behind a path.
func (m *memory) grow(path []*node, parts []Part) []*node {
	parent := m.root
	if len(path) > 0 {
		parent = path[len(path)-1]
	}
	for _, part := range parts {
		added := &node{parent: parent, children: map[Part]*node{}, part: part}
		parent.children[part] = added
		added.recent = m.recent.PushFront(added)
		m.used += part.Tokens
		m.pin(added)
		path = append(path, added)
		parent = added
	}
	return path
}

func (m *memory) pin(pinned *node) {
	pinned.users++
	if pinned.users == 1 {
		m.pinned += pinned.part.Tokens
	}
}

func (m *memory) unpin(unpinned *node) {
	unpinned.users--
	if unpinned.users == 0 {
		m.pinned -= unpinned.part.Tokens
	}
}

// release unpins a request's nodes and removes those that no request prefilled to
// their end. It goes from the last part to the first, so that the first one ends up as
// the newest: a part is never older than those that follow it.
func (m *memory) release(path []*node) {
	for i := len(path) - 1; i >= 0; i-- {
		node := path[i]
		m.unpin(node)
		if !node.complete && node.removable() {
			m.remove(node)
			continue
		}
		m.recent.MoveToFront(node.recent)
	}
}

// removable reports whether no request uses a node and nothing is cached behind it.
func (n *node) removable() bool { return n.users == 0 && len(n.children) == 0 }

// evict removes the part that was unused longest and behind which nothing is
// cached; false if there is none.
func (m *memory) evict() bool {
	for element := m.recent.Back(); element != nil; element = element.Prev() {
		if candidate := element.Value.(*node); candidate.removable() {
			m.remove(candidate)
			return true
		}
	}
	return false
}

func (m *memory) remove(removed *node) {
	delete(removed.parent.children, removed.part)
	m.recent.Remove(removed.recent)
	m.used -= removed.part.Tokens
}
