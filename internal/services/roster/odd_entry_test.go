package roster

import (
	"testing"

	"wagtaillift/internal/models/engine"
	"wagtaillift/internal/modules/id"
)

// A name that is no text stops neither the list that it is in nor those who read it.
func TestOddNameDoesNotStopTheList(t *testing.T) {
	f := newFleet(t)
	c, e := f.add("c1", true), f.add("e", false)
	go c.Run(t.Context())
	c.Roster.MarkLeaving(0, "\xff\xfe", 1, 0)
	for _, n := range []id.Upstream{"u1", "u2"} {
		if err := c.Roster.Announce(0, announcement(string(n), 1, engine.Ready)); err != nil {
			t.Fatal(err)
		}
	}
	f.waitForUpstreams(e, 2)
	e.refreshMultiZone(t.Context())
	f.waitForUpstreams(e, 2)
}
