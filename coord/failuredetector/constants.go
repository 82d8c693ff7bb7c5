package failuredetector

// News to the routers.
const (
	watchersEach = 2 // watchers of one router: one may be lost with it
	missesMost   = 3 // pings missed before a node is suspected: one or two are lost by chance
	againPart    = 3 // parts of a round after which those that missed are asked again: three misses fit into contact_ms
)
